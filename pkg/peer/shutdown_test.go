package peer

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// A write that crosses with the shutdown of its owner must be refused as not run. Its sender could not repeat it if the
// outcome were unknown.
func TestWritesSentThroughoutAShutdown(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	owner, _, server := serve(t, newExecutor(func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
		mu.Lock()
		ran[string(u.Messages)] = true
		mu.Unlock()
		time.Sleep(time.Millisecond)
		return echo(ctx, u, sink)
	}))
	pool := newTestPool(t)
	var senders sync.WaitGroup
	for i := range 50 {
		senders.Go(func() {
			for n := 0; ; n++ {
				id := strconv.Itoa(i) + "-" + strconv.Itoa(n)
				res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Write: true, Messages: []byte(id)}, &buffer{})
				if res.Outcome == errkind.OutcomeDone {
					continue
				}
				mu.Lock()
				defer mu.Unlock()
				if res.Outcome != errkind.OutcomeNotRun || ran[id] {
					t.Errorf("write %s: ran %t, result is %v: %v", id, ran[id], res.Outcome, res.Err)
				}
				return
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	server.Shutdown(within(t, time.Second))
	senders.Wait()
}

// A unit that is still in progress at the end of a shutdown must be answered with its outcome before the connection ends.
func TestUnitInProgressAtTheEndOfAShutdown(t *testing.T) {
	begun := make(chan struct{})
	owner, _, server := serve(t, newExecutor(func(ctx context.Context, _ *unit.Unit, _ unit.Sink) unit.Result {
		close(begun)
		<-ctx.Done()
		return unit.NotRun(errkind.New(errkind.Cancelled, "cancelled while it waited for its turn"))
	}))
	pool := newTestPool(t)
	result := make(chan unit.Result, 1)
	go func() { result <- pool.Execute(within(t, waitLimit), owner, &unit.Unit{Write: true}, &buffer{}) }()
	<-begun
	server.Shutdown(within(t, 300*time.Millisecond))
	res := <-result
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome, "%v", res.Err)
}

// A transaction whose next unit is refused must be rolled back and reported as lost, or its caller would commit a part of it.
func TestTransactionRefusedByAShutdown(t *testing.T) {
	tx := unit.TxRef{VM: "owner", Member: "m", ID: 7}
	executor := newExecutor(echoInTx(tx))
	owner, _, server := serve(t, executor)
	pool := newTestPool(t)
	res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: []byte("BEGIN")}, &buffer{})
	require.Equal(t, tx, res.Tx)
	server.refuseUnits()
	res = pool.Execute(within(t, waitLimit), owner, &unit.Unit{Tx: tx, Write: true}, &buffer{})
	require.True(t, errkind.Is(res.Err, errkind.TransactionLost), "%v", res.Err)
	require.False(t, res.Tx.Open())
	require.Equal(t, tx, <-executor.rolledBack)
}
