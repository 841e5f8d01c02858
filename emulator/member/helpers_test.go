package member

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// testLimit is the time limit of every wait. It is reached only when a test fails.
const testLimit = 8 * time.Second

// fixture is a running service with a control client.
type fixture struct {
	*Service
	t      *testing.T
	ctx    context.Context
	client *httpapi.Client
}

func newFixture(t *testing.T, members, slots, connections int, o ServiceOptions) *fixture {
	s, err := StartService(NewServiceInfo("db.1", "db", "dc", "region", members, slots, connections), o)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	c := httpapi.New(httpapi.Options{Timeout: testLimit})
	t.Cleanup(c.Close)
	return &fixture{Service: s, t: t, ctx: ctx, client: c}
}

func (f *fixture) connect(i int) *pgx.Conn {
	f.t.Helper()
	c, err := pgx.Connect(f.ctx, "postgres://u@"+f.Members[i].DataAddr()+"/db.1?sslmode=prefer")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func (f *fixture) exec(c *pgx.Conn, sql string, args ...any) {
	f.t.Helper()
	_, err := c.Exec(f.ctx, sql, args...)
	require.NoError(f.t, err, sql)
}

func (f *fixture) value(c *pgx.Conn, key string) (v string) {
	f.t.Helper()
	err := c.QueryRow(f.ctx, "SELECT value FROM t WHERE key = $1", key).Scan(&v)
	if errors.Is(err, pgx.ErrNoRows) {
		return ""
	}
	require.NoError(f.t, err)
	return v
}

// waitApplied waits until member i has applied the entry at (term, position).
func (f *fixture) waitApplied(i int, term platform.Term, p platform.Position) {
	f.t.Helper()
	_, err := f.Members[i].WaitStatus(f.ctx, func(s platform.Status) bool { return s.AppliedTerm == term && s.Applied >= p })
	require.NoError(f.t, err)
}

func sqlState(t *testing.T, err error) string {
	t.Helper()
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	return pe.Code
}
