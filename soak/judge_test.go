package main

import (
	"errors"
	"os/exec"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
)

// at returns a time of the cases below.
func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

// TestJudgeRequest guards against checks that accept a request that was cut off or answered wrongly, or blame the system for
// what a kill does.
func TestJudgeRequest(t *testing.T) {
	stops := []stop{{addr: "a", sent: at(10), ended: at(12)}}
	kills := []kill{{addr: "a", at: at(20), gone: at(20)}}
	lost, state := errors.New("unexpected EOF"), func(code string) error { return &pgconn.PgError{Code: code} }
	for _, c := range []struct {
		name               string
		opened, begin, end int
		addr               string
		err                error
		inTx               bool
		want               string
	}{
		{"served", 0, 10, 11, "a", nil, false, ""},
		{"sent before SIGTERM and cut off", 0, 9, 12, "a", lost, false, "cut off by a planned stop"},
		{"sent after SIGTERM and cut off", 0, 11, 12, "a", lost, false, "cut off by a planned stop"},
		{"asked to reconnect", 0, 11, 11, "a", state(codeDraining), false, ""},
		{"transaction asked to reconnect", 0, 11, 11, "a", state(codeDraining), true, "transaction cut off by a drain"},
		{"killed", 0, 19, 21, "a", lost, false, ""},
		{"another VM killed", 0, 19, 21, "b", lost, false, "no answer from a VM that runs"},
		{"sent on the connection of a killed process", 0, 22, 22, "a", lost, false, ""},
		{"lost by the process after the killed one", 21, 22, 23, "a", lost, false, "no answer from a VM that runs"},
		{"closed without a reason", 0, 13, 13, "a", lost, false, "connection closed by a planned stop without a reason"},
		{"outcome unknown", 0, 1, 2, "a", state(workload.SQLStateOutcomeUnknown), false, ""},
		{"row exists", 0, 1, 2, "a", state(codeUniqueViolation), false, "ran twice"},
		{"internal error", 0, 1, 2, "a", state("XX000"), false, "unexpected answer"},
	} {
		r := workload.Request{Addr: c.addr, Opened: at(c.opened), Begin: at(c.begin), End: at(c.end), Err: c.err, InTransaction: c.inTx}
		require.Equal(t, c.want, judgeRequest(r, stops, kills), c.name)
	}
	require.Equal(t, "stale", judgeRequest(workload.Request{Wrong: "stale"}, nil, nil))
}

// TestJudgeStop guards against a stop that passes though the process was killed, failed or took too long.
func TestJudgeStop(t *testing.T) {
	const limit = 15 * time.Second
	failed, terminated := exec.Command("false").Run(), exec.Command("sh", "-c", "kill -TERM $$").Run()
	require.Empty(t, judgeStop(stop{sent: at(0), ended: at(15)}, limit))
	require.NotEmpty(t, judgeStop(stop{sent: at(0), ended: at(26)}, limit))
	require.NotEmpty(t, judgeStop(stop{sent: at(0), ended: at(1), err: failed}, limit))
	require.NotEmpty(t, judgeStop(stop{sent: at(0), ended: at(1), err: terminated}, limit))
	require.Empty(t, judgeStop(stop{sent: at(0), ended: at(1), err: terminated, beforeReady: true}, limit))
	require.NotEmpty(t, judgeStop(stop{sent: at(0), ended: at(1), err: failed, beforeReady: true}, limit))
}

// TestJudgeLedgerAndVersions guards against checks that overlook lost, doubled or mixed rows and older configurations.
func TestJudgeLedgerAndVersions(t *testing.T) {
	orders := []workload.Order{{ID: "ran"}}
	require.Empty(t, judgeLedger(orders, &workload.Ledger{Acknowledged: 1, Unknown: 1}))
	require.Len(t, judgeLedger(orders, &workload.Ledger{Lost: []string{"lost"}, RanAnyway: []string{"ran"}, Partial: []string{"tx"}}), 3)
	v := versions{highest: map[string]uint64{}}
	for _, shown := range []uint64{1, 2, 0, 2, 3} {
		v.show("a", shown, at(0))
	}
	require.Empty(t, v.reverts)
	v.show("a", 2, at(0))
	require.Len(t, v.reverts, 1)
}
