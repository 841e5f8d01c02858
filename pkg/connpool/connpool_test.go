package connpool

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// fakeConn is a connection on which a unit with Begin opens a transaction, and a unit without it ends the transaction.
type fakeConn struct {
	m      *fakeMember
	broken bool
	inTx   bool
}

// fakeMember is a member with a connection limit. It counts its connections, dials and rollbacks.
type fakeMember struct {
	mu                             sync.Mutex
	limit, open, dials, rolledBack int // guarded by mu
	run                            func(c *fakeConn, u *unit.Unit) unit.Result
}

func (m *fakeMember) dial(context.Context) (Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dials++
	if m.open >= m.limit {
		return nil, errkind.New(errkind.TooManyConnections, "limit")
	}
	m.open++
	return &fakeConn{m: m}, nil
}

func (c *fakeConn) Run(_ context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
	if c.m.run != nil {
		return c.m.run(c, u)
	}
	c.inTx = u.Begin
	return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: map[bool]byte{true: 'T', false: 'I'}[c.inTx]}
}

func (c *fakeConn) Rollback(context.Context) error {
	if c.broken {
		return errors.New("broken")
	}
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.inTx = false
	c.m.rolledBack++
	return nil
}
func (c *fakeConn) Usable() bool { return !c.broken }
func (c *fakeConn) Close() {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.broken = true
	c.m.open--
}

// connections returns the number of open connections.
func (m *fakeMember) connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open
}

func newTestPool(m *fakeMember, maxConnections int) *Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Member: "m", MaxConnections: maxConnections, Dial: func(ctx context.Context, _ string) (Conn, error) { return m.dial(ctx) }, Log: log})
}

func begin(t *testing.T, p *Pool) unit.TxRef {
	res := p.Run(t.Context(), &unit.Unit{Begin: true}, nil)
	require.NoError(t, res.Err)
	require.True(t, res.Tx.Open())
	return res.Tx
}

// All units of a transaction must run on the connection that began it, and no other unit may run on that connection until
// the transaction ends.
func TestTransactionKeepsItsConnection(t *testing.T) {
	m := &fakeMember{limit: 9}
	ran := map[*fakeConn][]string{}
	m.run = func(c *fakeConn, u *unit.Unit) unit.Result {
		ran[c] = append(ran[c], string(u.Messages))
		status := byte('T')
		if string(u.Messages) == "end" || string(u.Messages) == "single" {
			status = 'I'
		}
		return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: status}
	}
	p := newTestPool(m, 3)
	run := func(text string, tx unit.TxRef) unit.TxRef {
		res := p.Run(t.Context(), &unit.Unit{Messages: []byte(text), Tx: tx}, nil)
		require.NoError(t, res.Err)
		return res.Tx
	}
	a, b := run("a", unit.TxRef{}), run("b", unit.TxRef{})
	run("single", unit.TxRef{})
	require.Equal(t, a, run("a", a))
	require.Equal(t, b, run("b", b))
	require.False(t, run("end", a).Open())
	var got [][]string
	for _, texts := range ran {
		got = append(got, texts)
	}
	require.ElementsMatch(t, [][]string{{"a", "a", "end"}, {"b", "b"}, {"single"}}, got)
	res := p.Run(t.Context(), &unit.Unit{Tx: a}, nil)
	require.True(t, errkind.Is(res.Err, errkind.TransactionLost), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
}

// When the caller of an open transaction has gone or the pool is closed, the transaction must be rolled back at the member.
// Its connection must not be lost to the pool.
func TestAbandonedTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMember{limit: 9}
		p := newTestPool(m, 2)
		tx := begin(t, p)
		p.Rollback(tx.ID)
		synctest.Wait()
		require.Equal(t, 1, m.rolledBack)
		require.NoError(t, p.Run(t.Context(), &unit.Unit{}, nil).Err)
		require.Equal(t, 1, m.dials, "the connection is used again")

		begin(t, p)
		p.Close()
		synctest.Wait()
		require.Zero(t, m.connections())
		require.True(t, errkind.Is(p.Run(t.Context(), &unit.Unit{}, nil).Err, errkind.NoMember))
	})
}

// The pool must never have more connections than its limit, and units must not wait without end. When a connection breaks or
// a wait is given up, the permit to dial must be returned: otherwise the pool would run out of connections and not recover.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMember{limit: 9}
		m.run = func(c *fakeConn, _ *unit.Unit) unit.Result {
			time.Sleep(time.Second)
			c.broken = true
			return unit.Result{Outcome: errkind.OutcomeUnknown, TxStatus: 'I', Err: errors.New("broken")}
		}
		p := newTestPool(m, 2)
		for range 3 {
			results := make(chan unit.Result, 5)
			for range 5 {
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
					defer cancel()
					results <- p.Run(ctx, &unit.Unit{}, nil)
				}()
			}
			refused := 0
			for range 5 {
				if res := <-results; res.Outcome == errkind.OutcomeNotRun {
					require.True(t, errkind.Is(res.Err, errkind.DeadlineExceeded), "%v", res.Err)
					refused++
				}
				require.LessOrEqual(t, m.connections(), 2)
			}
			require.Equal(t, 1, refused, "two units run at once, two run when those connections break, and one runs out of time")
			time.Sleep(time.Minute)
			require.Zero(t, m.connections())
			require.Zero(t, p.open)
		}
	})
}

// While a former owner still holds the member's connections, units of the new owner must wait instead of failing, and the
// former owner must close its connections.
func TestMovedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMember{limit: 1}
		old, next := newTestPool(m, 1), newTestPool(m, 1)
		require.NoError(t, old.Run(t.Context(), &unit.Unit{}, nil).Err)
		go func() {
			time.Sleep(100 * time.Millisecond)
			old.SetOwned(false)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, next.Run(ctx, &unit.Unit{}, nil).Err)
		res := old.Run(ctx, &unit.Unit{}, nil)
		require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
		require.True(t, errkind.Is(res.Err, errkind.TooManyConnections), "%v", res.Err)
	})
}

// A unit must not be sent if Admit refuses it when it has got its connection, for example because the primary was replaced
// while the unit waited. The unit must end as not run, and the connection must serve the next unit.
func TestAdmit(t *testing.T) {
	m := &fakeMember{limit: 1}
	p := newTestPool(m, 1)
	refuse := true
	p.opts.Admit = func(*unit.Unit) error {
		if refuse {
			return errkind.New(errkind.NoPrimary, "replaced")
		}
		return nil
	}
	m.run = func(*fakeConn, *unit.Unit) unit.Result {
		require.False(t, refuse)
		return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
	}
	res := p.Run(t.Context(), &unit.Unit{Write: true}, nil)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	refuse = false
	require.NoError(t, p.Run(t.Context(), &unit.Unit{Write: true}, nil).Err)
	require.Equal(t, 1, m.dials)
}

// While a member is at its connection limit, the pool must not flood the member with dials, which would be refused. Once the
// member has room again, the waiting units must run without delay. A member reaches its limit when many VMs restart at the
// same time while it still holds their former connections.
func TestMemberAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMember{limit: 0}
		m.run = func(*fakeConn, *unit.Unit) unit.Result {
			time.Sleep(10 * time.Millisecond)
			return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
		}
		p := newTestPool(m, 8)
		var limits []int
		p.opts.OnConnectionLimit = func(n int) { limits = append(limits, n) }
		results := make(chan unit.Result, 40)
		run := func(timeout time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			results <- p.Run(ctx, &unit.Unit{}, nil)
		}
		for i := range 40 {
			go run(map[bool]time.Duration{true: 300 * time.Millisecond, false: 3 * time.Second}[i < 10])
		}
		time.Sleep(time.Second)
		refused := len(results)
		require.Equal(t, 10, refused, "units stop waiting at their deadline")
		for range refused {
			require.Equal(t, errkind.OutcomeNotRun, (<-results).Outcome)
		}
		m.mu.Lock()
		require.LessOrEqual(t, m.dials, int(time.Second/limitRetryInterval)+8+2, "8 dials at once, then one at a time")
		m.limit = 9
		m.mu.Unlock()
		start := time.Now()
		for range 30 {
			require.NoError(t, (<-results).Err)
		}
		require.Less(t, time.Since(start), 100*time.Millisecond)
		require.LessOrEqual(t, m.connections(), 8)
		require.Less(t, limits[0], 8)
		require.Equal(t, 8, limits[len(limits)-1], "the member is no longer at its limit")
	})
}

// Connections that are no longer needed after a burst must be closed. Otherwise, after a power failure, the next owner would
// find the member at its connection limit.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeMember{limit: 16}
		m.run = func(*fakeConn, *unit.Unit) unit.Result {
			time.Sleep(10 * time.Millisecond)
			return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
		}
		p := newTestPool(m, 12)
		load := func(units int, duration time.Duration) {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				var wg sync.WaitGroup
				for range units {
					wg.Go(func() { require.NoError(t, p.Run(t.Context(), &unit.Unit{}, nil).Err) })
				}
				wg.Wait()
				p.SetOwned(true)
			}
		}
		load(12, time.Second)
		require.Equal(t, 12, m.connections())
		load(3, 2*idleTimeout)
		require.Equal(t, 3, m.connections())
		require.Equal(t, 12, m.dials, "connections in use stay open")
		time.Sleep(time.Minute)
		p.SetOwned(true)
		require.Equal(t, minIdle, m.connections())
	})
}
