package differential

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/netfault"
)

const (
	sessionCount = 4
	requestCount = 200
	keyCount     = 12
)

// TestSameAnswers guards against answers that differ from those of a plain connection to the primary, where the naive
// proxy sends every request. It compares rows, command tags and SQLSTATEs of seeded requests in several sessions,
// transactions included.
func TestSameAnswers(t *testing.T) {
	seed := seedOf(t)
	answers := runOnBoth(t, func(c *cluster) ([]string, error) { return runRequests(c, seed) })
	require.Len(t, answers[systemUnderTest], requestCount)
	require.Equal(t, answers[naiveProxy], answers[systemUnderTest])
}

// runRequests runs the requests one after another, each in a random session, and returns the answers.
func runRequests(c *cluster, seed uint64) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 0))
	vms := c.network.TopologyFrom(netfault.Clients).VMs
	var conns []*pgx.Conn
	for session := range sessionCount {
		cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable", vms[session%len(vms)].CallerAddr, c.service().Name))
		if err != nil {
			return nil, err
		}
		cfg.RuntimeParams["sycamorehub.class"] = "record"
		conn, err := pgx.ConnectConfig(ctx, cfg)
		if err != nil {
			return nil, err
		}
		defer func() { _ = conn.Close(ctx) }()
		conns = append(conns, conn)
	}
	var answers []string
	for range requestCount {
		session := rng.IntN(sessionCount)
		sql, args := randomRequest(rng, session)
		answers = append(answers, fmt.Sprintf("%d: %s %v: %s", session, sql, args, answerText(ctx, conns[session], sql, args)))
	}
	return answers, ctx.Err()
}

// randomRequest returns a random statement of a session and its arguments. Each session has a table of its own: on a
// shared one the answer would depend on how far a replica has caught up, and only one of the systems reads from
// replicas.
func randomRequest(rng *rand.Rand, session int) (string, []any) {
	table, key, value := fmt.Sprintf("plates%d", session), fmt.Sprintf("k%d", rng.IntN(keyCount)), fmt.Sprintf("v%d", rng.IntN(1000))
	switch rng.IntN(12) {
	case 0, 1, 2:
		return "INSERT INTO " + table + " (key, value) VALUES ($1, $2)", []any{key, value}
	case 3:
		return "UPDATE " + table + " SET value = $1 WHERE key = $2", []any{value, key}
	case 4:
		return "DELETE FROM " + table + " WHERE key = $1", []any{key}
	case 5:
		return "SELECT count(*) FROM " + table, nil
	case 6:
		return "SET sycamorehub.class = 'confirm'", nil
	case 7:
		return "SET sycamorehub.class = 'record'", nil
	case 8:
		return []string{"BEGIN", "COMMIT", "ROLLBACK"}[rng.IntN(3)], nil
	case 9:
		return "SELECT nonsense", nil
	case 10:
		return fmt.Sprintf("SELECT generate_series(1, %d)", 1+rng.IntN(50)), nil
	}
	return "SELECT value FROM " + table + " WHERE key = $1", []any{key}
}

// answerText runs a statement and returns its rows and command tag, or its SQLSTATE or error, followed by the
// transaction status.
func answerText(ctx context.Context, conn *pgx.Conn, sql string, args []any) string {
	rows, err := conn.Query(ctx, sql, args...)
	text := ""
	if err == nil {
		var values [][]any
		values, err = pgx.CollectRows(rows, func(row pgx.CollectableRow) ([]any, error) { return row.Values() })
		text = fmt.Sprint(values, rows.CommandTag())
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		text = pgErr.Code
	} else if err != nil {
		text = err.Error()
	}
	return text + " " + string(conn.PgConn().TxStatus())
}
