package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// waitLimit bounds waits for a condition. No wait takes nearly as long unless the code has a fault.
const waitLimit = 8 * time.Second

// executor is a unit.Executor that runs units as the test says and reports rollbacks.
type executor struct {
	run        func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result
	rolledBack chan unit.TxRef
}

func (e *executor) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	return e.run(ctx, u, sink)
}

func (e *executor) Rollback(tx unit.TxRef) { e.rolledBack <- tx }

func newExecutor(run func(context.Context, *unit.Unit, unit.Sink) unit.Result) *executor {
	return &executor{run: run, rolledBack: make(chan unit.TxRef, 64)}
}

// done returns the result of a successful unit outside a transaction.
func done() unit.Result { return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'} }

// echo answers a unit with its own messages, written by WriteLast.
func echo(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if err := unit.WriteLast(ctx, sink, u.Messages); err != nil {
		return unit.Failed(err)
	}
	return done()
}

// echoInTx returns an echo that leaves tx open.
func echoInTx(tx unit.TxRef) func(context.Context, *unit.Unit, unit.Sink) unit.Result {
	return func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
		res := echo(ctx, u, sink)
		res.Tx = tx
		return res
	}
}

// buffer is a sink that keeps the whole answer.
type buffer struct{ bytes.Buffer }

func (b *buffer) Write(_ context.Context, p []byte) error { _, err := b.Buffer.Write(p); return err }

// sinkFunc is a sink made of a function.
type sinkFunc func(ctx context.Context, p []byte) error

func (f sinkFunc) Write(ctx context.Context, p []byte) error { return f(ctx, p) }

// gate lets bytes pass until it is closed. From then on its connections drop what they read. They stay open until release
// is closed.
type gate struct {
	closed  atomic.Bool
	release chan struct{}
}

func newGate() *gate { return &gate{release: make(chan struct{})} }

// tcpProxy forwards TCP connections until the test makes them silent or cuts them.
type tcpProxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	conns  []net.Conn
	gate   *gate // of the connections accepted since the last call of silence
}

func newProxy(t testing.TB, target string) *tcpProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{ln: ln, target: target, gate: newGate()}
	t.Cleanup(func() { ln.Close(); p.cut() })
	go p.serve()
	return p
}

func (p *tcpProxy) serve() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		g := p.gate
		p.mu.Unlock()
		go pump(in, out, g)
		go pump(out, in, g)
	}
}

// pump copies bytes until a connection ends or the gate is closed.
func pump(from, to net.Conn, g *gate) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if g.closed.Load() {
			<-g.release
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the present connections permanently silent. Later ones work.
func (p *tcpProxy) silence(t testing.TB) {
	p.mu.Lock()
	old := p.gate
	p.gate = newGate()
	p.mu.Unlock()
	old.closed.Store(true)
	t.Cleanup(func() { close(old.release) })
}

// cut closes the present connections.
func (p *tcpProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

func vm(name, addr string) platform.VM {
	return platform.VM{Name: name, DataCentre: "kurume-yard", Region: "chikugo", PeerAddr: addr, State: platform.VMLive}
}

// serve starts a server behind a tcpProxy and returns a VM with the address of the proxy.
func serve(t testing.TB, e unit.Executor) (platform.VM, *tcpProxy, *Server) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := newProxy(t, ln.Addr().String())
	s := NewServer(Options{Self: vm("owner", ln.Addr().String()), Cluster: "test", Executor: e})
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Close)
	return vm("owner", p.ln.Addr().String()), p, s
}

func newTestPool(t testing.TB) *Pool {
	p := NewPool(Options{Self: vm("proxy", "127.0.0.1:1"), Cluster: "test"})
	t.Cleanup(p.Close)
	return p
}

// within returns a context that ends after d, or with the test.
func within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against lost, reordered or mixed-up answers when many units share a connection.
func TestExecuteMultiplexes(t *testing.T) {
	owner, _, _ := serve(t, newExecutor(echo))
	pool := newTestPool(t)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			want := bytes.Repeat([]byte(fmt.Sprintf("unit %d;", i)), 1+i*400)
			var got buffer
			res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: want}, &got)
			if res.Outcome != errkind.OutcomeDone || !bytes.Equal(want, got.Bytes()) || !res.Streamed {
				t.Errorf("unit %d: %+v, %d of %d bytes", i, res, got.Len(), len(want))
			}
		}()
	}
	wg.Wait()
}

// A unit for a VM that can't be reached must end as not run, not as unknown.
func TestExecuteUnreachableIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	res := newTestPool(t).Execute(within(t, waitLimit), vm("gone", addr), &unit.Unit{Write: true}, &buffer{})
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.True(t, errkind.Is(res.Err, errkind.PeerUnreachable))
}

// If the connection is lost while a unit runs, the outcome must be unknown: a write that is reported as not run would be
// repeated. The owner must cancel the units of a connection that has ended.
func TestExecuteLostConnection(t *testing.T) {
	started, stopped := make(chan bool, 2), make(chan bool, 2)
	owner, proxy, _ := serve(t, newExecutor(func(ctx context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
		started <- true
		<-ctx.Done()
		stopped <- true
		return unit.Failed(ctx.Err())
	}))
	pool := newTestPool(t)
	for _, write := range []bool{true, false} {
		go func() { <-started; proxy.cut() }()
		res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Write: write}, &buffer{})
		require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
		want := errkind.ReadFailed
		if write {
			want = errkind.RequestOutcomeUnknown
		}
		require.True(t, errkind.Is(res.Err, want), "%v", res.Err)
		<-stopped
	}
}

// When the VM that began a transaction is killed, the owner must roll the transaction back. Otherwise its locks would stay.
func TestTransactionRolledBackWithConnection(t *testing.T) {
	tx := unit.TxRef{VM: "owner", Member: "m", ID: 7}
	e := newExecutor(func(context.Context, *unit.Unit, unit.Sink) unit.Result {
		res := done()
		res.Tx, res.TxStatus = tx, 'T'
		return res
	})
	owner, proxy, s := serve(t, e)
	res := newTestPool(t).Execute(within(t, waitLimit), owner, &unit.Unit{Write: true}, &buffer{})
	require.Equal(t, tx, res.Tx)
	require.Equal(t, 1, s.Transactions())
	proxy.cut()
	select {
	case got := <-e.rolledBack:
		require.Equal(t, tx, got)
	case <-time.After(waitLimit):
		t.Fatal("transaction was not rolled back")
	}
}

// A caller that doesn't read its answer must not delay other callers, and its answer must not be buffered without a bound.
func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	var sent atomic.Int64
	block := make([]byte, 8<<10)
	owner, _, _ := serve(t, newExecutor(func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
		if len(u.Messages) > 0 {
			return echo(ctx, u, sink)
		}
		for range 1024 {
			if err := sink.Write(ctx, block); err != nil {
				return unit.Failed(err)
			}
			sent.Add(int64(len(block)))
		}
		return done()
	}))
	pool := newTestPool(t)
	hold, got, result := make(chan struct{}), atomic.Int64{}, make(chan unit.Result, 1)
	go func() {
		result <- pool.Execute(within(t, waitLimit), owner, &unit.Unit{}, sinkFunc(func(_ context.Context, p []byte) error {
			<-hold
			got.Add(int64(len(p)))
			return nil
		}))
	}()
	for range 100 {
		res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: []byte("q")}, &buffer{})
		require.Equal(t, errkind.OutcomeDone, res.Outcome)
	}
	require.LessOrEqual(t, sent.Load(), int64(DefaultWindow))
	close(hold)
	require.Equal(t, errkind.OutcomeDone, (<-result).Outcome)
	require.EqualValues(t, 1024*len(block), got.Load())
}

// When a caller cancels a unit, the owner must stop the unit and its outcome must still be reported.
func TestCancelReachesOwner(t *testing.T) {
	started := make(chan struct{})
	owner, _, _ := serve(t, newExecutor(func(ctx context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
		close(started)
		<-ctx.Done()
		return unit.NotRun(errkind.New(errkind.Cancelled, "cancelled while queued"))
	}))
	ctx, cancel := context.WithCancel(within(t, waitLimit))
	go func() { <-started; cancel() }()
	res := newTestPool(t).Execute(ctx, owner, &unit.Unit{Write: true}, &buffer{})
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.True(t, errkind.Is(res.Err, errkind.Cancelled))
}

// A peer that is frozen while a VM dials it must find the version of the configuration that the Hello names when it resumes,
// although the VM has given up and ended: it may be the only trace of that version.
func TestFrozenPeerFindsVersionInHello(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	owner := vm("owner", ln.Addr().String())
	pool := NewPool(Options{Self: vm("proxy", ""), Cluster: "test", DialTimeout: 50 * time.Millisecond, ConfigVersion: func() uint64 { return 7 }})
	require.Error(t, pool.Probe(within(t, waitLimit), owner))
	pool.Close()

	versions := make(chan uint64, 1)
	s := NewServer(Options{Self: owner, Cluster: "test", Executor: newExecutor(echo), OnHello: func(version uint64) { versions <- version }})
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(s.Close)
	select {
	case version := <-versions:
		require.EqualValues(t, 7, version)
	case <-time.After(waitLimit):
		t.Fatal("the Hello was not read")
	}
}

// There must be no connection to a VM of another cluster, or to another VM that has taken over an address.
func TestHandshakeRefuses(t *testing.T) {
	owner, _, _ := serve(t, newExecutor(echo))
	pool := NewPool(Options{Self: vm("proxy", ""), Cluster: "other"})
	defer pool.Close()
	err := pool.Probe(within(t, waitLimit), owner)
	require.True(t, errkind.Is(err, errkind.PeerUnreachable))
	require.ErrorContains(t, err, "cluster test")
	owner.Name = "predecessor"
	require.ErrorContains(t, newTestPool(t).Probe(within(t, waitLimit), owner), "belongs to entry VM owner")
}

// Each request must get its own reply, and an error must keep its kind on the connection.
func TestRequest(t *testing.T) {
	owner, _, s := serve(t, newExecutor(echo))
	s.Handle(wire.TypeViewRequest, func(_ context.Context, from platform.VM, body []byte) ([]byte, error) {
		if len(body) == 0 {
			return nil, errkind.New(errkind.UnknownService, "no such service")
		}
		return append([]byte(from.Name+" "), body...), nil
	})
	pool := newTestPool(t)
	out, err := pool.Request(within(t, waitLimit), owner, wire.TypeViewRequest, []byte("orders-db.1"))
	require.NoError(t, err)
	require.Equal(t, "proxy orders-db.1", string(out))
	_, err = pool.Request(within(t, waitLimit), owner, wire.TypeViewRequest, nil)
	require.True(t, errkind.Is(err, errkind.UnknownService))
	_, err = pool.Request(within(t, waitLimit), owner, wire.TypeCancelKey, nil)
	require.True(t, errkind.Is(err, errkind.NotReady))
}

// When a connection goes silent and new ones work, units must not wait on it until their deadline. Replacing it must not end
// the transactions that were begun over it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	tx := unit.TxRef{VM: "owner", Member: "m", ID: 9}
	e := newExecutor(echoInTx(tx))
	owner, proxy, s := serve(t, e)
	pool := newTestPool(t)
	require.Equal(t, tx, pool.Execute(within(t, waitLimit), owner, &unit.Unit{}, &buffer{}).Tx)
	proxy.silence(t)
	res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{}, &buffer{})
	require.True(t, errkind.Is(res.Err, errkind.ReadFailed), "%v", res.Err)
	require.ErrorIs(t, res.Err, ErrSilent)
	res = pool.Execute(within(t, waitLimit), owner, &unit.Unit{Tx: tx, Messages: []byte("x")}, &buffer{})
	require.Equal(t, errkind.OutcomeDone, res.Outcome)
	require.Equal(t, 1, s.Transactions())
	require.Empty(t, e.rolledBack)
}

// A VM must not count as gone because its control connection alone went silent. It must count as gone if a new connection
// fails as well. An idle connection that was closed is dialled again.
func TestSilentControlConnection(t *testing.T) {
	owner, proxy, s := serve(t, newExecutor(echo))
	s.Handle(wire.TypeHeartbeat, func(context.Context, platform.VM, []byte) ([]byte, error) { return []byte("here"), nil })
	pool := newTestPool(t)
	ask := func(limit time.Duration) error {
		_, err := pool.Request(within(t, limit), owner, wire.TypeHeartbeat, nil)
		return err
	}
	require.NoError(t, ask(waitLimit))
	proxy.silence(t)
	require.True(t, errkind.Is(ask(50*time.Millisecond), errkind.PeerUnreachable))
	require.NoError(t, pool.Probe(within(t, waitLimit), owner))
	require.NoError(t, ask(waitLimit))
	for _, c := range pool.connections() {
		c.closeIfIdle()
	}
	require.NoError(t, ask(waitLimit))
	proxy.ln.Close()
	proxy.cut()
	require.Error(t, pool.Probe(within(t, waitLimit), owner))
}

// If a dial to a VM fails while the VM's idle connection works, the transactions begun over that connection must not be
// rolled back. An idle connection receives nothing for longer than silentAfter, and a probe then makes it suspect.
func TestIdleConnectionOutlivesFailedDial(t *testing.T) {
	tx := unit.TxRef{VM: "owner", Member: "m", ID: 11}
	e := newExecutor(echoInTx(tx))
	owner, proxy, s := serve(t, e)
	pool := newTestPool(t)
	require.Equal(t, tx, pool.Execute(within(t, waitLimit), owner, &unit.Unit{}, &buffer{}).Tx)
	idle, err := pool.getConn(within(t, waitLimit), owner, wire.PurposeData)
	require.NoError(t, err)
	idle.lastReceived.Store(int64(monotonic() - 2*silentAfter))
	proxy.ln.Close()
	pool.suspect(idle, int64(monotonic()-silentAfter))
	require.Eventually(t, func() bool { return pool.Stats().Dials.Load() == 2 && !idle.suspected.Load() }, waitLimit, time.Millisecond)
	res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Tx: tx, Messages: []byte("x")}, &buffer{})
	require.Equal(t, errkind.OutcomeDone, res.Outcome, "%v", res.Err)
	require.Equal(t, 1, s.Transactions())
	require.Empty(t, e.rolledBack)
}

// When the sink of a unit fails, the unit must be cancelled at the owner and the connection must stay usable.
func TestSinkErrorCancelsUnit(t *testing.T) {
	owner, _, _ := serve(t, newExecutor(func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
		for {
			if err := sink.Write(ctx, make([]byte, 1024)); err != nil {
				return unit.Failed(err)
			}
		}
	}))
	gone := errors.New("caller is gone")
	res := newTestPool(t).Execute(within(t, waitLimit), owner, &unit.Unit{}, sinkFunc(func(context.Context, []byte) error { return gone }))
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
	require.True(t, res.Streamed)
}

// An answer that arrives shortly after the deadline, or in part, must reach the caller: a sink that fails because its deadline
// has passed closes the caller's connection without an answer.
func TestAnswerAfterTheDeadlineIsDelivered(t *testing.T) {
	for name, writesInTime := range map[string]int{"whole": 0, "rest": 1} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(within(t, waitLimit))
			writes := 0
			endAfter := func(n int) {
				if n == writesInTime {
					cancel()
				}
			}
			f := &forwardedUnit{conn: &clientConn{window: DefaultWindow}, call: newCall(), sink: sinkFunc(func(ctx context.Context, _ []byte) error {
				writes++
				defer endAfter(writes)
				return ctx.Err()
			})}
			defer f.releaseSinkContext()
			endAfter(writes)
			f.call.chunks = []chunk{{payload: []byte("RowDescription")}, {payload: []byte("DataRow")}}
			f.call.done, f.call.result = true, done()
			res, answered, err := f.deliverChunks(ctx)
			require.NoError(t, err)
			require.True(t, answered && res.Streamed)
			require.Equal(t, 2, writes)
		})
	}
}

// An unexpected error in one unit or request must end only that one: its outcome is unknown, and the connection goes on.
func TestPanicEndsOneUnit(t *testing.T) {
	e := newExecutor(func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
		if u.Write {
			panic("broken")
		}
		return echo(ctx, u, sink)
	})
	owner, _, server := serve(t, e)
	server.Handle(wire.TypeViewRequest, func(context.Context, platform.VM, []byte) ([]byte, error) { panic("broken") })
	p := newTestPool(t)
	before := panics.Confined()
	for range 3 {
		res := p.Execute(within(t, 5*time.Second), owner, &unit.Unit{Write: true, Messages: []byte("w")}, &buffer{})
		require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
		require.True(t, errkind.Is(res.Err, errkind.Internal), "%v", res.Err)
		_, err := p.Request(within(t, 5*time.Second), owner, wire.TypeViewRequest, nil)
		require.Error(t, err)
		out := &buffer{}
		res = p.Execute(within(t, 5*time.Second), owner, &unit.Unit{Messages: []byte("r")}, out)
		require.Equal(t, errkind.OutcomeDone, res.Outcome)
	}
	require.Equal(t, before+6, panics.Confined())
}
