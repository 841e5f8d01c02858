package fault

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/admin"
)

// poolCaller uses connections as a driver's pool does: when a connection has closed, it connects to the next VM.
type poolCaller struct {
	cluster              *cluster
	keyPrefix            string
	vms                  []string
	nextVM               int
	conn                 *pgx.Conn
	orders               []insertedOrder
	refusedOnClosingConn int     // refused with 57P01 (codeDraining) on a connection that is closing
	failedByPrimaryLoss  int     // 08007, 40001, or 57P03 in a transaction; allowed while a primary is lost
	refusedBeforeRun     int     // refused with 53400 or 57P03; allowed, since they did not run
	cutOff               []error // any other error
	requests             int
	// class is the class of all requests, and statements returns the statements of the request with an id.
	class      string
	statements func(id string) []string
}

func (p *poolCaller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if p.conn == nil || p.conn.IsClosed() {
			p.nextVM++
			dialCtx, cancel := callContext(2 * time.Second)
			conn, err := p.cluster.connect(dialCtx, p.vms[p.nextVM%len(p.vms)], p.class, nil)
			cancel()
			if err != nil {
				continue // the VM is stopped; a balancer would not choose it
			}
			p.conn = conn
		}
		p.runRequest(fmt.Sprintf("%s-%d", p.keyPrefix, n))
		time.Sleep(requestPause)
	}
	if p.conn != nil {
		_ = p.conn.Close(context.Background())
	}
}

// runRequest runs the statements of one request in turn, up to the first that fails, and counts how the request ended.
func (p *poolCaller) runRequest(id string) {
	ctx, cancel := callContext(livenessTimeout)
	defer cancel()
	var err error
	transactionBegun := false // an earlier statement of the transaction has run
	for i, stmt := range p.statements(id) {
		transactionBegun = i > 0
		if _, err = p.conn.Exec(ctx, stmt); err != nil {
			break
		}
	}
	p.requests++
	if p.class == "record" {
		p.orders = append(p.orders, insertedOrder{id, err, time.Now()})
	}
	switch state := sqlState(err); {
	case err == nil:
	case state == "57P01" && !transactionBegun: // codeDraining
		p.refusedOnClosingConn++
		_ = p.conn.Close(ctx)
	case state == codeOutcomeUnknown || state == codeSerializationFailure || state == codeCannotConnectNow && transactionBegun:
		p.failedByPrimaryLoss++
		if transactionBegun {
			_, _ = p.conn.Exec(ctx, "ROLLBACK")
		}
	case state == "53400" || state == "57P03": // codeOverload, codeCannotConnectNow
		p.refusedBeforeRun++
	default:
		p.cutOff = append(p.cutOff, fmt.Errorf("%s: %w", id, err))
	}
}

// poolRequestKinds are the requests that callers send, assigned to them in turn: a write, a transaction and a read.
var poolRequestKinds = []func(id string) (class string, statements []string){
	func(id string) (string, []string) {
		return "record", []string{"INSERT INTO orders (key, value) VALUES ('" + id + "', 'plate')"}
	},
	func(id string) (string, []string) {
		return "record", []string{"BEGIN", "INSERT INTO orders (key, value) VALUES ('" + id + "', 'plate')", "SELECT sleep_ms(50)", "COMMIT"}
	},
	func(string) (string, []string) { return "lookup", []string{"SELECT repeat_rows(50, 1000)"} },
}

// startPoolCallers runs two callers per entry VM, each with one kind of request, until finish is called. finish
// requires that no request was cut off and returns the sums of what the callers counted.
func (c *cluster) startPoolCallers() (finish func() poolCaller) {
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var callers []*poolCaller
	for i := range 2 * len(c.Topology.VMs) {
		p := &poolCaller{cluster: c, keyPrefix: fmt.Sprintf("p%d", i), vms: c.vmsExcept(), nextVM: i}
		requestKind := poolRequestKinds[i%len(poolRequestKinds)]
		p.class, _ = requestKind("")
		p.statements = func(id string) []string {
			_, statements := requestKind(id)
			return statements
		}
		callers = append(callers, p)
		group.Go(func() { p.run(ctx) })
	}
	c.t.Cleanup(func() { stop(); group.Wait() })
	return func() poolCaller {
		stop()
		group.Wait()
		var sum poolCaller
		for _, p := range callers {
			sum.orders = append(sum.orders, p.orders...)
			sum.requests, sum.refusedOnClosingConn, sum.refusedBeforeRun, sum.failedByPrimaryLoss = sum.requests+p.requests,
				sum.refusedOnClosingConn+p.refusedOnClosingConn, sum.refusedBeforeRun+p.refusedBeforeRun, sum.failedByPrimaryLoss+p.failedByPrimaryLoss
			for _, err := range p.cutOff {
				c.t.Errorf("request was cut off: %v", err)
			}
		}
		c.t.Logf("%d requests, %d refused with 57P01 on closing connections, %d refused before they ran, %d failed because the primary was lost",
			sum.requests, sum.refusedOnClosingConn, sum.refusedBeforeRun, sum.failedByPrimaryLoss)
		c.checkLedger(sum.orders)
		return sum
	}
}

// stopGracefully stops a daemon and requires that it exits gracefully within the bound.
func (c *cluster) stopGracefully(vm string) { c.requireGracefulExit(c.Daemon(vm), time.Now()) }

// requireGracefulExit requires that a daemon exits gracefully. It tells the daemon to stop unless that was done at
// begin, from which the bound counts.
func (c *cluster) requireGracefulExit(p *launch.Process, begin time.Time) {
	c.t.Helper()
	require.NoError(c.t, p.Stop(livenessTimeout), "%s did not exit gracefully", p.Name)
	require.LessOrEqual(timingChecks(c.t), time.Since(begin), drainStopBound, "%s took too long to stop", p.Name)
}

// statementsBegun returns how many statements of a kind all members together have begun.
func (c *cluster) statementsBegun(kind string) uint64 {
	n := uint64(0)
	for _, m := range c.service().Members {
		n += c.memberCounters(m).ByKind[kind]
	}
	return n
}

// seesDraining reports whether a VM knows that another VM drains.
func (c *cluster) seesDraining(vm, draining string) bool {
	vmEntry, err := c.VM(vm)
	require.NoError(c.t, err)
	var list []admin.VM
	return getJSON("http://"+vmEntry.AdminAddr+"/v1/vms", &list) == nil &&
		slices.ContainsFunc(list, func(other admin.VM) bool { return other.Name == draining && other.Draining })
}

// shortDrainGrace makes stopping daemons close idle callers earlier, so that restarts take less time.
func shortDrainGrace(o *launch.Options) {
	o.Settings = func(_ string, s map[string]any) { s["limits"] = map[string]any{"drainGrace": "300ms"} }
}

// TestRollingRestart covers planned restarts without a failure: all daemons are restarted one after another under load.
// No request in progress is cut off: each succeeds, or is refused with 57P01 on a connection that is closing.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	c := start(t, shortDrainGrace)
	finish := c.startPoolCallers()
	for _, vm := range c.vmsExcept() {
		c.stopGracefully(vm)
		startAndAwaitReady(c, vm)
	}
	sum := finish()
	require.Zero(timingChecks(t), sum.refusedBeforeRun, "requests were refused although the other VMs have capacity")
	require.Zero(t, sum.failedByPrimaryLoss, "requests were lost although the primary was available")
}

// TestStopWhilePrimaryIsLost covers planned stops while a primary is lost: the primary is killed, frozen or cut off,
// and during the change of primary its owner and a promoter are stopped; later they are started again. Each request in
// progress gets an answer, if only that its outcome is unknown, before its connection is closed. Acknowledged orders
// survive, and refused ones did not run.
func TestStopWhilePrimaryIsLost(t *testing.T) {
	for _, loss := range primaryLosses {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, shortDrainGrace)
			old, _ := c.primary()
			owner := c.ownerOf(old)
			promoter := c.promoters()[0]
			if promoter == owner {
				promoter = c.promoters()[1]
			}
			finish := c.startPoolCallers()
			time.Sleep(500 * time.Millisecond) // until requests are in progress
			loss.inject(c, old.Name, old.DataCentre)
			for _, vm := range []string{owner, promoter} {
				c.stopGracefully(vm)
			}
			eventually(t, func() bool { m, _ := c.primary(); return m.Name != "" && m.Name != old.Name },
				primaryChangeBound, 20*time.Millisecond, "no other member became primary")
			if loss.name == "frozen" {
				resumeMember(c, old)
			}
			c.network.Rejoin(old.DataCentre)
			startAndAwaitReady(c, owner) // after Rejoin, since a daemon that cannot read the lists does not become ready
			startAndAwaitReady(c, promoter)
			time.Sleep(time.Second) // writes go on while the old primary is back
			finish()
		})
	}
}

// TestCancelReachesDrainingVM covers cancel requests during a planned stop: a caller of a stopping VM cancels its
// statement, and the balancer sends the cancel request to another VM. The statement ends with 57014 well before its
// full time.
func TestCancelReachesDrainingVM(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	vms := c.vmsExcept()
	conn := c.mustConnect(vms[0], "etch-jobs", nil)
	statementResult := make(chan error, 1)
	ctx, cancel := callContext(etchDoneDeadline)
	defer cancel()
	go func() { statementResult <- execAll(ctx, conn, "SELECT sleep_ms(8000)") }()
	eventually(t, func() bool { return c.statementsBegun(emember.KindSleep) == 1 }, unitDeadline, pollInterval, "the statement was not begun on any member")
	require.NoError(t, c.Daemon(vms[0]).Terminate())
	eventually(t, func() bool { return c.seesDraining(vms[len(vms)-1], vms[0]) }, configInForceBound, pollInterval, "the other VM did not learn that the first one drains")
	other, err := c.VM(vms[len(vms)-1])
	require.NoError(t, err)
	begin := time.Now()
	sendCancel(other.CallerAddr, conn.PgConn().PID(), conn.PgConn().SecretKey())
	require.Equal(t, "57014", sqlState(<-statementResult)) // codeCanceled
	require.Less(timingChecks(t), time.Since(begin), 3*time.Second)
}
