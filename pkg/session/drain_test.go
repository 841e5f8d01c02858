package session

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// drainTest is a server whose callers connect when the test says so.
type drainTest struct {
	*Server
	listener *pipeListener
	callers  chan *fakeCaller
}

// newDrainTest starts a server with a drain grace of 2 s, whose statements may take 10 s. beforePolicy is called before the
// policy of a session is read; nil for nothing.
func newDrainTest(t *testing.T, e fakeExecutor, beforePolicy func()) *drainTest {
	doc := &clusterconfig.Document{Version: 1, Default: "session", Classes: []clusterconfig.Class{classWith(clusterconfig.ConsistencySession)},
		Routes: []clusterconfig.Route{{Database: "db", Service: "svc", Class: "session", Timeout: clusterconfig.Duration(10 * time.Second)}}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &drainTest{listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, callers: make(chan *fakeCaller, 1)}
	d.Server = NewServer(Options{Protocol: func(net.Conn, *membudget.Holder) CallerConn { return <-d.callers }, Executor: e, Log: log, MaxConnections: 4,
		Document: func() *clusterconfig.Document {
			if beforePolicy != nil {
				beforePolicy()
			}
			return doc
		},
		DrainGrace: 2 * time.Second, RecordFailure: func(requestlog.Entry) {},
		ObserveRequest: func(string, time.Duration, errkind.Outcome, string, time.Duration) {}})
	t.Cleanup(d.close)
	go func() { _ = d.Serve(d.listener) }()
	return d
}

// connect connects a caller, or returns nil if the server does not accept any.
func (d *drainTest) connect(t *testing.T) *fakeCaller { return d.connectCaller(t, newFakeCaller()) }

func (d *drainTest) connectCaller(t *testing.T, f *fakeCaller) *fakeCaller {
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	select {
	case <-d.listener.closed:
		return nil
	case d.listener.conns <- a:
		t.Cleanup(func() { close(f.statements) })
		d.callers <- f
		synctest.Wait()
		return f
	}
}

// drain starts a drain with a limit of 6 s. The returned function waits for its end and returns its duration and error.
func (d *drainTest) drain(t *testing.T) func() (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	t.Cleanup(cancel)
	type end struct {
		err error
		at  time.Time
	}
	ended := make(chan end, 1)
	start := time.Now()
	go func() {
		err := d.Drain(ctx)
		ended <- end{err, time.Now()}
	}()
	synctest.Wait()
	return func() (time.Duration, error) {
		d := <-ended
		return d.at.Sub(start), d.err
	}
}

// A server that has no caller when it begins to drain must accept none after its grace: their statements would be cut off
// at the end of the stop.
func TestDrainWithoutCallersStopsAccepting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, fakeExecutor{}, nil)
		wait := d.drain(t)
		time.Sleep(1900 * time.Millisecond)
		early := d.connect(t)
		require.NotNil(t, early, "callers are accepted until the grace ends")
		time.Sleep(3 * time.Second)
		require.Nil(t, d.connect(t), "a caller was accepted after the grace")
		took, err := wait()
		require.NoError(t, err)
		require.Equal(t, 2*time.Second, took)
	})
}

// send sends a statement and returns the answer, or false if the session has ended.
func (f *fakeCaller) send(k Kind) (Answer, bool) {
	select {
	case f.statements <- statement(k):
		return <-f.answers, true
	case <-time.After(time.Minute):
		return Answer{}, false
	}
}

// A transaction that begins while its session is asked to leave must have until two thirds of the drain to end.
func TestTransactionBegunWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delay time.Duration
		d := newDrainTest(t, fakeExecutor{rollbacks: make(chan unit.TxRef, 1), execute: func(_ context.Context, u *unit.Unit) unit.Result {
			if u.Tx.Open() {
				return doneResult('I', unit.TxRef{})
			}
			return doneResult('T', openTx)
		}}, func() { time.Sleep(delay) })
		f := d.connect(t)
		wait := d.drain(t)
		time.Sleep(1900 * time.Millisecond)
		delay = 200 * time.Millisecond // the drain asks callers to leave meanwhile
		for _, k := range []Kind{KindBegin, KindWrite, KindCommit} {
			a, ok := f.send(k)
			require.True(t, ok, "the session ended before statement %d", k)
			require.NoError(t, a.Err)
		}
		took, err := wait()
		require.NoError(t, err)
		require.Less(t, took, 4*time.Second)
	})
}

// A statement whose time reaches beyond the end of the drain must be answered before it ends, with what is known of its
// outcome.
func TestStatementOutlastsDrain(t *testing.T) {
	for name, c := range map[string]struct {
		kind Kind
		res  unit.Result
		want errkind.Kind
	}{
		"a write that may have run": {KindWrite, unit.Failed(errkind.New(errkind.Cancelled, "the caller cancelled the request")), errkind.RequestOutcomeUnknown},
		"a read":                    {KindRead, unit.Failed(errkind.New(errkind.Cancelled, "the caller cancelled the request")), errkind.ReadFailed},
		"a write that did not run":  {KindWrite, unit.NotRun(errkind.New(errkind.Cancelled, "the caller cancelled the request")), errkind.Draining},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDrainTest(t, fakeExecutor{rollbacks: make(chan unit.TxRef, 1), execute: func(ctx context.Context, _ *unit.Unit) unit.Result {
					<-ctx.Done()
					return c.res
				}}, nil)
				f := d.connect(t)
				f.statements <- statement(c.kind)
				wait := d.drain(t)
				took, err := wait()
				require.NoError(t, err)
				require.Less(t, took, 6*time.Second)
				require.Len(t, f.answers, 1)
				a := <-f.answers
				require.True(t, errkind.Is(a.Err, c.want), "%v", a.Err)
			})
		})
	}
}

// A caller that gets no reason could take a statement that crosses with the end of its session as one of unknown outcome.
func TestSessionsAreToldWhyTheyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rollbacks := make(chan unit.TxRef, 1)
		d := newDrainTest(t, fakeExecutor{rollbacks: rollbacks, execute: func(context.Context, *unit.Unit) unit.Result {
			return doneResult('T', openTx)
		}}, nil)
		idle, inTransaction := d.connect(t), d.connect(t)
		for _, k := range []Kind{KindBegin, KindWrite} {
			_, ok := inTransaction.send(k)
			require.True(t, ok)
		}
		inTransaction.stays = true
		wait := d.drain(t)
		require.True(t, errkind.Is(<-idle.ended, errkind.Draining))
		require.True(t, errkind.Is(<-inTransaction.ended, errkind.TransactionLost))
		require.Len(t, rollbacks, 1, "the transaction must be rolled back before its caller is told so")
		took, err := wait()
		require.NoError(t, err)
		require.Equal(t, 4*time.Second+leaveTimeout, took)
	})
}

// A connection on which no startup arrives must not hold up the drain until its limit.
func TestConnectionWithoutStartupDoesNotHoldUpDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, fakeExecutor{}, nil)
		f := newFakeCaller()
		f.startup = make(chan struct{})
		d.connectCaller(t, f)
		took, err := d.drain(t)()
		require.NoError(t, err)
		require.Equal(t, 4*time.Second, took)
	})
}

// A transaction that is open when the grace ends must not be rolled back before two thirds of the drain, also if it idles.
func TestIdleTransactionOutlastsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, fakeExecutor{rollbacks: make(chan unit.TxRef, 1), execute: func(_ context.Context, u *unit.Unit) unit.Result {
			if u.Tx.Open() {
				return doneResult('I', unit.TxRef{})
			}
			return doneResult('T', openTx)
		}}, nil)
		f := d.connect(t)
		for _, k := range []Kind{KindBegin, KindWrite} {
			_, ok := f.send(k)
			require.True(t, ok)
		}
		wait := d.drain(t)
		time.Sleep(3900 * time.Millisecond)
		a, ok := f.send(KindCommit)
		require.True(t, ok, "the session ended before the commit")
		require.NoError(t, a.Err)
		_, err := wait()
		require.NoError(t, err)
	})
}

// A caller whose startup arrives after the grace must be refused as not run: a session that ends at once could take a
// statement with it.
func TestStartupAfterGraceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, fakeExecutor{}, nil)
		f := newFakeCaller()
		f.startup = make(chan struct{})
		d.connectCaller(t, f)
		wait := d.drain(t)
		time.Sleep(3 * time.Second)
		close(f.startup)
		require.True(t, errkind.Is(<-f.started, errkind.Draining))
		took, err := wait()
		require.NoError(t, err)
		require.Equal(t, 3*time.Second, took)
	})
}

// A caller that has its answers and does not close its connection must not make the drain outlast its limit or fail.
func TestCallerThatStaysDoesNotFailDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, fakeExecutor{rollbacks: make(chan unit.TxRef, 1), execute: func(ctx context.Context, _ *unit.Unit) unit.Result {
			<-ctx.Done()
			return unit.Failed(errkind.New(errkind.Cancelled, "the caller cancelled the request"))
		}}, nil)
		f := newFakeCaller()
		f.stays = true
		d.connectCaller(t, f)
		f.statements <- statement(KindWrite)
		took, err := d.drain(t)()
		require.NoError(t, err)
		require.LessOrEqual(t, took, 6*time.Second)
		require.Len(t, f.answers, 1)
	})
}

// A listener that is served only once the server is closing must not stay open.
func TestServeAfterDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, fakeExecutor{}, nil)
		_, err := d.drain(t)()
		require.NoError(t, err)
		late := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		require.NoError(t, d.Serve(late))
		select {
		case <-late.closed:
		default:
			t.Error("the listener is open")
		}
	})
}

// A cancelled statement whose member is silent must be answered before the end of the drain, with an unknown outcome.
func TestSilentMemberAtTheEndOfADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrainTest(t, fakeExecutor{rollbacks: make(chan unit.TxRef, 1), execute: func(ctx context.Context, _ *unit.Unit) unit.Result {
			<-ctx.Done()
			time.Sleep(unit.OutcomeWait(ctx, time.Second))
			return unit.Failed(errkind.New(errkind.Cancelled, "the caller cancelled the request"))
		}}, nil)
		f := d.connect(t)
		f.statements <- statement(KindWrite)
		_, err := d.drain(t)()
		require.NoError(t, err)
		require.True(t, errkind.Is((<-f.answers).Err, errkind.RequestOutcomeUnknown))
	})
}
