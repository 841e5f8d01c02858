package differential

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/test/timing"
)

const (
	orderCallers = 14
	orderPause   = 20 * time.Millisecond
)

var orderClass = workload.Class{Name: "order", Kind: workload.Write, Callers: orderCallers, Pause: orderPause}

// TestAcknowledgedOrdersSurviveCutOff covers that no acknowledged write is lost with its primary: the primary is cut
// off with its data centre while callers there still reach it. The naive proxy goes on acknowledging on the old primary
// and loses these orders; the system loses none.
func TestAcknowledgedOrdersSurviveCutOff(t *testing.T) {
	seed := seedOf(t)
	ledgers := runOnBoth(t, func(c *cluster) (*workload.Ledger, error) {
		dc := c.service().Members[0].DataCentre
		cut := time.AfterFunc(1500*time.Millisecond, func() { c.network.Isolate(dc) })
		defer cut.Stop()
		heal := time.AfterFunc(5*time.Second, func() { c.network.Rejoin(dc) })
		defer heal.Stop()
		return c.checkLedger(workload.Run(context.Background(), c.workloadOptions(seed, 7*time.Second, orderClass)))
	})
	logLedgers(t, ledgers)
	require.Empty(t, ledgers[systemUnderTest].Lost, "acknowledged orders were lost")
	require.Empty(t, ledgers[systemUnderTest].RanAnyway, "refused orders ran")
	require.NotEmpty(t, ledgers[naiveProxy].Lost, "the naive proxy lost no acknowledged order, so this test does not show that its check can fail")
}

// TestRefusedOrdersDidNotRun covers, while connections break, that a request reported as not run has not run, and that
// none runs twice. The naive proxy sends an order again after any error. When the first attempt has run, the second
// fails on its key, and the caller is told of a failure although the order ran. The system reports such orders as
// unknown.
func TestRefusedOrdersDidNotRun(t *testing.T) {
	seed := seedOf(t)
	ledgers := runOnBoth(t, func(c *cluster) (*workload.Ledger, error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.resetConnectionsToPrimary(ctx)
		return c.checkLedger(workload.Run(ctx, c.workloadOptions(seed, 5*time.Second, orderClass)))
	}, "--service-time", "10ms")
	logLedgers(t, ledgers)
	for _, l := range ledgers {
		require.Positive(t, l.Acknowledged)
	}
	require.Empty(t, ledgers[systemUnderTest].Lost, "acknowledged orders were lost")
	require.Empty(t, ledgers[systemUnderTest].RanAnyway, "refused orders ran")
	require.NotEmpty(t, ledgers[naiveProxy].RanAnyway, "the naive proxy ran no refused order, so this test does not show that its check can fail")
}

const resetInterval = 150 * time.Millisecond

// resetConnectionsToPrimary resets all connections to the primary's data centre every resetInterval until ctx ends.
func (c *cluster) resetConnectionsToPrimary(ctx context.Context) {
	tick := time.NewTicker(resetInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		to := c.service().Members[0].DataCentre
		for _, r := range c.Topology.Regions {
			for _, from := range r.DataCentres {
				c.network.Link(from, to).Reset()
			}
		}
	}
}

func logLedgers(t *testing.T, ledgers map[string]*workload.Ledger) {
	t.Helper()
	for system, l := range ledgers {
		t.Logf("%s: %d acknowledged (%d lost), %d refused (%d ran), %d unknown", system, l.Acknowledged, len(l.Lost), l.Refused, len(l.RanAnyway), l.Unknown)
	}
}

const (
	floodCallers = 250
	urgentTarget = 400 * time.Millisecond // target of class order in examples/kitakata.json
	// minUrgentShare is the share of urgent work that must stay within its target while batch work floods the members.
	minUrgentShare = 0.99
)

// TestUrgentOrdersInBatchFlood covers that urgent work stays within its target under a flood of batch work, ten times
// what the members can take. The single queue of the naive proxy makes orders wait behind batch work.
func TestUrgentOrdersInBatchFlood(t *testing.T) {
	seed := seedOf(t)
	shares := runOnBoth(t, func(c *cluster) (float64, error) {
		options := c.workloadOptions(seed, 8*time.Second,
			workload.Class{Name: "order", Kind: workload.Write, Callers: 10, Pause: 500 * time.Millisecond, FixedRate: true},
			workload.Class{Name: "etch-jobs", Kind: workload.Read, Callers: floodCallers, Pause: 10 * time.Millisecond})
		options.Warmup = 3 * time.Second
		res := workload.Run(context.Background(), options)
		orders := res.Classes["order"]
		t.Logf("%s: %d orders, p50 %v, p99 %v, errors %v", c.system, orders.Requests, orders.Quantile(0.5), orders.Quantile(0.99), orders.Errors)
		return orders.Within(urgentTarget), nil
	}, "--service-time", "20ms")
	t.Logf("orders within %v: %s %.2f%%, %s %.2f%%", urgentTarget, systemUnderTest, 100*shares[systemUnderTest], naiveProxy, 100*shares[naiveProxy])
	require.GreaterOrEqual(timing.Checks(t), shares[systemUnderTest], minUrgentShare)
	require.Less(t, shares[naiveProxy], minUrgentShare, "the naive proxy kept orders within their target, so this test does not show that its check can fail")
}
