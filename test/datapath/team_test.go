package datapath

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
	"github.com/sycamorehub/sycamorehub/pkg/team"
)

// keyOfCrew lets callers with one key in until it is withdrawn, and a number of operations.
type keyOfCrew struct {
	withdrawn atomic.Bool
	left      atomic.Int64
}

func (k *keyOfCrew) Identify(_ string, key team.KeyHash) (clusterconfig.Team, error) {
	if key != team.Hash("k1") || k.withdrawn.Load() {
		return clusterconfig.Team{}, errkind.New(errkind.UnknownKey, "no team holds the key")
	}
	return clusterconfig.Team{Name: "crew"}, nil
}

func (k *keyOfCrew) Admit(context.Context, clusterconfig.Team, time.Duration, time.Duration) error {
	if k.left.Add(-1) < 0 {
		return errkind.New(errkind.RateLimited, "used up")
	}
	return nil
}

// Callers that speak PostgreSQL must be known by their team's key too: none without it, no statement after it was withdrawn,
// and a transaction takes one operation of the limit.
func TestTeamsOfPostgreSQLCallers(t *testing.T) {
	crew := &keyOfCrew{}
	crew.left.Store(2)
	p := newDataPath(t, func(_ *backend.Options, o *frontend.Options) { o.Teams = crew })
	connect := func(key string) (*pgx.Conn, error) {
		config, err := pgx.ParseConfig("postgres://u@" + p.addr + "/db?sslmode=disable")
		require.NoError(t, err)
		config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
		if key != "" {
			config.RuntimeParams["sycamorehub.team_key"] = key
		}
		return pgx.ConnectConfig(t.Context(), config)
	}
	code := func(err error) string {
		var e *pgconn.PgError
		require.ErrorAs(t, err, &e)
		return e.Code
	}
	for _, key := range []string{"", "k2"} {
		_, err := connect(key)
		require.Equal(t, "28P01", code(err), key)
	}
	c, err := connect("k1")
	require.NoError(t, err)
	defer c.Close(context.Background())
	_, err = c.Exec(t.Context(), "SHOW sycamorehub.team_key")
	require.Error(t, err, "a key must not be shown")
	for _, text := range []string{"BEGIN", "SELECT 1", "SELECT 1", "COMMIT", "SELECT 1"} {
		_, err = c.Exec(t.Context(), text)
		require.NoError(t, err, text)
		require.Equal(t, "crew", p.executor.lastUnit.Team, text)
	}
	_, err = c.Exec(t.Context(), "SELECT 1")
	require.Equal(t, "53400", code(err), "beyond the limit")
	crew.left.Store(10)
	crew.withdrawn.Store(true)
	_, err = c.Exec(t.Context(), "SELECT 1")
	require.Equal(t, "28P01", code(err))
}
