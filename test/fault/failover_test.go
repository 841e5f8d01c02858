package fault

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// primaryChangeBound is the time that the design allows for a change of primary.
const primaryChangeBound = 16 * time.Second

// insertedOrder is one insert and what its caller was told of it.
type insertedOrder struct {
	id      string
	err     error
	endedAt time.Time // time at which the call returned
}

// acknowledged reports whether the caller was told that the insert succeeded.
func (o insertedOrder) acknowledged() bool { return o.err == nil }

// refused reports whether the caller was told that the insert did not run.
func (o insertedOrder) refused() bool {
	var pg *pgconn.PgError
	return errors.Is(o.err, errNotSent) || errors.As(o.err, &pg) && pg.Code != codeOutcomeUnknown
}

// writer inserts orders through one entry VM until it is stopped. It reconnects as the pool of a driver does.
type writer struct {
	cluster       *cluster
	vm, keyPrefix string
	class         string
	cancel        context.CancelFunc
	done          chan struct{}

	mu     sync.Mutex
	orders []insertedOrder
}

// startWriter starts a writer of the class order whose keys begin with keyPrefix.
func (c *cluster) startWriter(vm, keyPrefix string) *writer {
	return c.startWriterOf("order", vm, keyPrefix)
}

// startWriterOf starts a writer of the class whose keys begin with keyPrefix.
func (c *cluster) startWriterOf(class, vm, keyPrefix string) *writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &writer{cluster: c, vm: vm, keyPrefix: keyPrefix, class: class, cancel: cancel, done: make(chan struct{})}
	go w.run(ctx)
	c.t.Cleanup(func() { w.stop() })
	return w
}

// startBackground returns run, which starts goroutines, and end, which stops them and waits for them. The end of the
// test calls end as well.
func (c *cluster) startBackground() (run func(f func(stop <-chan struct{})), end func()) {
	stop, wg := make(chan struct{}), sync.WaitGroup{}
	end = sync.OnceFunc(func() { close(stop); wg.Wait() })
	c.t.Cleanup(end)
	return func(f func(stop <-chan struct{})) { wg.Go(func() { f(stop) }) }, end
}

// startWritersOf starts a writer of the class through each of the entry VMs. Its keys begin with the name of the VM.
func (c *cluster) startWritersOf(class string, vms []string) []*writer {
	var out []*writer
	for _, vm := range vms {
		out = append(out, c.startWriterOf(class, vm, vm))
	}
	return out
}

// requestPause is the time between two requests of a caller.
const requestPause = 5 * time.Millisecond

func (w *writer) run(ctx context.Context) {
	defer close(w.done)
	var conn *pgx.Conn
	for n := 0; ctx.Err() == nil; {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = w.cluster.connect(ctx, w.vm, w.class, nil); err != nil {
				time.Sleep(requestPause)
				continue
			}
		}
		n++
		id := fmt.Sprintf("%s-%d", w.keyPrefix, n)
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*primaryChangeBound)
		_, err := conn.Exec(callCtx, "INSERT INTO orders (key, value) VALUES ($1, 'plate')", id)
		cancel()
		w.mu.Lock()
		w.orders = append(w.orders, insertedOrder{id, err, time.Now()})
		w.mu.Unlock()
		time.Sleep(requestPause)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// stop ends the writer after its current insert and returns all its orders.
func (w *writer) stop() []insertedOrder {
	w.cancel()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders
}

// countAcknowledgedSince returns the number of orders that were acknowledged after t.
func (w *writer) countAcknowledgedSince(t time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, o := range w.orders {
		if o.acknowledged() && o.endedAt.After(t) {
			n++
		}
	}
	return n
}

// TestEmptyMemberIsNoMajority covers a member that loses its state: orders are acknowledged by the primary and one
// replica, while the other replica receives nothing. Then the primary freezes and the first replica restarts empty. The
// two replicas must not replace the primary, since neither holds the orders.
func TestEmptyMemberIsNoMajority(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	old, _ := c.primary()
	emptied, lagging := c.replicas(old)[0], c.replicas(old)[1]
	c.setMemberFaults(lagging, emember.Faults{PauseReplication: true})
	pausedAt := time.Now()
	orderWriter := c.startWriter(c.vmIn(old.DataCentre), "w")
	eventually(t, func() bool { return orderWriter.countAcknowledgedSince(pausedAt.Add(time.Second)) > 10 }, primaryChangeBound, pollInterval)
	freezeMember(c, old)
	killMember(c, emptied)
	require.NoError(t, c.StartMember(emptied, "--primary-term=0"))
	c.setMemberFaults(lagging, emember.Faults{})
	time.Sleep(2 * time.Second) // until the loss of the primary is detected
	resumeMember(c, old)
	resumedAt := time.Now()
	eventually(t, func() bool { return orderWriter.countAcknowledgedSince(resumedAt.Add(time.Second)) > 10 }, primaryChangeBound, pollInterval)
	c.checkLedger(orderWriter.stop())
}

// storedKeys returns the keys on the current primaries of all services, read past the daemons and network faults.
func (c *cluster) storedKeys() map[string]bool {
	c.t.Helper()
	keys := map[string]bool{}
	for _, service := range c.Topology.Services {
		primary, _ := c.primaryOf(service)
		c.addKeys(primary, keys)
	}
	return keys
}

// withDirectConnection calls f with a connection to the member, past the daemons and network faults.
func (c *cluster) withDirectConnection(m platform.Member, f func(ctx context.Context, conn *pgx.Conn)) {
	c.t.Helper()
	ctx, cancel := callContext(10 * time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://check@%s/check?sslmode=disable", m.DataAddr))
	require.NoError(c.t, err)
	defer func() { _ = conn.Close(ctx) }()
	f(ctx, conn)
}

// addKeys adds the keys that the member holds to keys.
func (c *cluster) addKeys(m platform.Member, keys map[string]bool) {
	c.t.Helper()
	c.withDirectConnection(m, func(ctx context.Context, conn *pgx.Conn) {
		rows, err := conn.Query(ctx, "SELECT key, value FROM orders")
		require.NoError(c.t, err)
		var key, value string
		_, err = pgx.ForEachRow(rows, []any{&key, &value}, func() error { keys[key] = true; return nil })
		require.NoError(c.t, err)
	})
}

// checkLedger compares what callers were told with the keys on the primary: acknowledged orders are present, refused
// ones are absent.
func (c *cluster) checkLedger(orders []insertedOrder) {
	c.t.Helper()
	keys := c.storedKeys()
	unknown, acknowledged, refused := 0, 0, 0
	for _, o := range orders {
		switch {
		case o.acknowledged():
			acknowledged++
			require.True(c.t, keys[o.id], "acknowledged order %s is lost", o.id)
		case o.refused():
			refused++
			require.False(c.t, keys[o.id], "order %s ran although it was refused: %v", o.id, o.err)
		default:
			unknown++
		}
	}
	c.t.Logf("orders: %d acknowledged, %d refused, %d with an unknown outcome", acknowledged, refused, unknown)
}

// primaryLoss is a way in which the primary is lost.
type primaryLoss struct {
	name   string
	inject func(c *cluster, member, dc string)
}

var primaryLosses = []primaryLoss{
	{"killed", func(c *cluster, member, _ string) { c.Members[member].Kill() }},
	{"frozen", func(c *cluster, member, _ string) { require.NoError(c.t, c.Members[member].Freeze()) }},
	{"cut off", func(c *cluster, _, dc string) { c.network.Isolate(dc) }},
}
