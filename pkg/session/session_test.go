package session

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/team"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

func classWith(c clusterconfig.Consistency) clusterconfig.Class {
	return clusterconfig.Class{Name: string(c), Rank: "routine", Access: clusterconfig.AccessStatement, Consistency: c,
		MaxAge: unit.LimitAge(time.Second)}
}

func policyWith(c clusterconfig.Consistency) func() (Policy, error) {
	return func() (Policy, error) {
		return Policy{Class: classWith(c), Route: clusterconfig.Route{Database: "db", Service: "svc", Class: string(c),
			Timeout: clusterconfig.Duration(800 * time.Millisecond)}}, nil
	}
}

func statement(k Kind) Statement { return Statement{Kind: k, ID: "1", Messages: []byte("1 text")} }

var openTx = unit.TxRef{VM: "vm", Member: "m", ID: 7}

func doneResult(status byte, tx unit.TxRef) unit.Result {
	return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: status, Tx: tx}
}

// Reads must not be served from data older than the class allows. A class with session consistency also promises that
// reads see the session's own writes.
func TestReadsRequire(t *testing.T) {
	written := unit.Requirement{Term: 3, Position: 40}
	for c, want := range map[clusterconfig.Consistency]unit.Unit{
		clusterconfig.ConsistencyPrimary: {ConfirmPrimary: true},
		clusterconfig.ConsistencyBounded: {MaxAge: unit.LimitAge(time.Second)},
		clusterconfig.ConsistencySession: {MaxAge: unit.LimitAge(time.Second), Require: written},
	} {
		s := New(nil)
		write, _, _ := s.Plan(statement(KindWrite), policyWith(c))
		require.True(t, write.Write)
		require.False(t, write.ConfirmPrimary)
		res := doneResult('I', unit.TxRef{})
		res.Term, res.Position = written.Term, written.Position
		_, rollback := s.ApplyResult(statement(KindWrite), write, res, nil)
		require.False(t, rollback.Open())
		read, _, _ := s.Plan(statement(KindRead), policyWith(c))
		require.Equal(t, want, unit.Unit{ConfirmPrimary: read.ConfirmPrimary, MaxAge: read.MaxAge, Require: read.Require}, c)
		require.False(t, read.Write)
	}
}

// After its primary was replaced, a session's reads must not be refused permanently and must not miss its writes. A
// write in a later term replaces a higher position of an earlier one.
func TestLaterTermReplacesPosition(t *testing.T) {
	s := New(nil)
	s.raiseLastWrite("svc", unit.Requirement{Term: 3, Position: 90})
	s.raiseLastWrite("svc", unit.Requirement{Term: 4, Position: 80})
	s.raiseLastWrite("svc", unit.Requirement{Term: 3, Position: 95})
	require.Equal(t, unit.Requirement{Term: 4, Position: 80}, s.lastWrites["svc"])
}

// Read-only transactions must not run on the primary without need, and writing ones must not run on a replica.
func TestTransactionChoosesItsMember(t *testing.T) {
	for _, c := range []struct {
		begin       Kind
		consistency clusterconfig.Consistency
		write       bool
	}{
		{KindBegin, clusterconfig.ConsistencySession, true},
		{KindBeginReadOnly, clusterconfig.ConsistencySession, false},
		{KindBeginReadOnly, clusterconfig.ConsistencyBounded, false},
		{KindBeginReadOnly, clusterconfig.ConsistencyPrimary, true}, // the primary alone confirms that it is the primary
	} {
		s := New(nil)
		u, a, _ := s.Plan(statement(c.begin), policyWith(c.consistency))
		require.Nil(t, u, "the transaction begins at a member with its first statement")
		require.Equal(t, byte('T'), a.TxStatus)
		u, _, _ = s.Plan(statement(KindRead), policyWith(c.consistency))
		require.Equal(t, c.write, u.Write)
		require.True(t, u.Begin)
		s.ApplyResult(statement(KindRead), u, doneResult('T', openTx), nil)
		u, _, _ = s.Plan(statement(KindRead), policyWith(c.consistency))
		require.Equal(t, openTx, u.Tx)
		require.False(t, u.Begin)
	}
}

// The outcome of a failed transaction must be reported correctly. Only a lost COMMIT may have taken effect. After any
// other failure nothing of the transaction is kept, and its outcome is never unknown.
func TestFailureInTransaction(t *testing.T) {
	lost := unit.Result{Outcome: errkind.OutcomeUnknown, TxStatus: 'I', Err: errkind.New(errkind.RequestOutcomeUnknown, "lost")}
	refused := unit.NotRun(errkind.New(errkind.Overload, "busy"))
	for name, c := range map[string]struct {
		last  Kind
		res   unit.Result
		kind  errkind.Kind
		state byte
	}{
		"statement lost":    {KindWrite, lost, errkind.TransactionLost, 'E'},
		"statement refused": {KindWrite, refused, errkind.Overload, 'E'},
		"commit lost":       {KindCommit, lost, errkind.RequestOutcomeUnknown, 'I'},
		"commit refused":    {KindCommit, refused, errkind.TransactionLost, 'I'},
	} {
		t.Run(name, func(t *testing.T) {
			policy := policyWith(clusterconfig.ConsistencySession)
			s := New(nil)
			s.Plan(statement(KindBegin), policy)
			u, _, _ := s.Plan(statement(KindWrite), policy)
			s.ApplyResult(statement(KindWrite), u, doneResult('T', openTx), nil)
			u, _, _ = s.Plan(statement(c.last), policy)
			require.NotNil(t, u)
			a, rollback := s.ApplyResult(statement(c.last), u, c.res, nil)
			require.True(t, errkind.Is(a.Err, c.kind), "%v", a.Err)
			require.Equal(t, c.state, a.TxStatus)
			require.Equal(t, openTx, rollback, "the member must not keep the transaction")
			if c.state != 'E' {
				return
			}
			_, a, _ = s.Plan(statement(KindRead), policy)
			require.True(t, errkind.Is(a.Err, errkind.ProtocolViolation), "%v", a.Err)
			_, a, _ = s.Plan(statement(KindCommit), policy)
			require.True(t, errkind.Is(a.Err, errkind.TransactionLost), "%v", a.Err)
			require.Equal(t, byte('I'), a.TxStatus)
		})
	}
}

// A change of the route must not take effect within a transaction, and must take effect after it.
func TestRouteCountsFromTheNextTransaction(t *testing.T) {
	s := New(nil)
	s.Plan(statement(KindBegin), policyWith(clusterconfig.ConsistencySession))
	gone := func() (Policy, error) { return Policy{}, errkind.New(errkind.UnknownService, "no route") }
	u, a, _ := s.Plan(statement(KindRead), gone)
	require.NotNil(t, u, "%v", a.Err)
	s.ApplyResult(statement(KindRead), u, doneResult('T', openTx), nil)
	u, _, _ = s.Plan(statement(KindCommit), gone)
	s.ApplyResult(statement(KindCommit), u, doneResult('I', unit.TxRef{}), nil)
	u, a, _ = s.Plan(statement(KindRead), gone)
	require.Nil(t, u)
	require.True(t, errkind.Is(a.Err, errkind.UnknownService))
}

// Prepared statements and values of one session must not reach another. Each session has its own names, while
// connections know a prepared statement by a name that follows from its text.
func TestPreparedStatementsAndValues(t *testing.T) {
	policy := policyWith(clusterconfig.ConsistencySession)
	a, b := New(nil), New(nil)
	prepare := func(s *Session, text string, writes bool) {
		s.Plan(Statement{Kind: KindPrepare, Name: "s1", Parse: []byte(text), Writes: writes}, policy)
	}
	execute := func(s *Session) *unit.Unit {
		u, answer, _ := s.Plan(Statement{Kind: KindExecute, Name: "s1", Messages: []byte("1 EXECUTE "), AfterName: []byte(" x y")}, policy)
		require.NoError(t, answer.Err)
		return u
	}
	prepare(a, "READ q", false)
	prepare(b, "WRITE q", true)
	ua, ub := execute(a), execute(b)
	require.NotEqual(t, ua.Statements[0].Name, ub.Statements[0].Name)
	require.Equal(t, "1 EXECUTE "+ua.Statements[0].Name+" x y", string(ua.Messages))
	require.False(t, ua.Write)
	require.True(t, ub.Write)
	prepare(b, "READ q", false)
	require.Equal(t, ua.Statements, execute(b).Statements)

	set := func(s *Session, name, value string) {
		s.Plan(Statement{Kind: KindSet, Name: name, Value: value}, policy)
	}
	set(a, "v", "1")
	before := execute(a).Values
	set(a, "v", "2")
	require.Equal(t, []unit.Value{{Name: "v", Value: "1"}}, before, "a unit in progress keeps its values")
	require.Equal(t, []unit.Value{{Name: "v", Value: "2"}}, execute(a).Values)
	require.Empty(t, execute(b).Values)
	a.Plan(Statement{Kind: KindDeallocate, Name: "s1"}, policy)
	_, answer, _ := a.Plan(Statement{Kind: KindExecute, Name: "s1"}, policy)
	require.True(t, errkind.Is(answer.Err, errkind.UnknownStatement))
}

// fakeCaller is a CallerConn that reads the statements that a test sends and passes on the answers.
type fakeCaller struct {
	statements chan Statement
	answers    chan Answer
	deadline   chan time.Time
	ended      chan error    // receives the reason with which the session is ended
	startup    chan struct{} // closed once the startup is sent
	started    chan error    // receives the answer to the startup
	stays      bool          // does not close the connection when its session is ended
	key        string        // presented at startup
	closed     chan struct{}
	closeOnce  sync.Once
}

func newFakeCaller() *fakeCaller {
	f := &fakeCaller{statements: make(chan Statement), answers: make(chan Answer, 16), deadline: make(chan time.Time, 16),
		ended: make(chan error, 1), started: make(chan error, 1), startup: make(chan struct{}), closed: make(chan struct{})}
	close(f.startup)
	return f
}

func (f *fakeCaller) ReadStartup() (database, key string, err error) {
	select {
	case <-f.startup:
		return "db", f.key, nil
	case <-f.closed:
		return "", "", net.ErrClosed
	}
}
func (f *fakeCaller) AnswerStartup(err error) error { f.started <- err; return err }
func (f *fakeCaller) WriteAnswer(a Answer) error    { f.answers <- a; return nil }
func (f *fakeCaller) EndSession(reason error, deadline time.Time) {
	f.ended <- reason
	if f.stays {
		time.Sleep(time.Until(deadline))
	}
}

func (f *fakeCaller) Close() error {
	f.closeOnce.Do(func() { close(f.closed) })
	return nil
}
func (f *fakeCaller) SetIdleDeadline(t time.Time) error {
	f.deadline <- t
	return nil
}

func (f *fakeCaller) ReadStatement() (Statement, error) {
	var expired <-chan time.Time
	for {
		select {
		case t := <-f.deadline:
			expired = nil
			if !t.IsZero() {
				expired = time.After(max(time.Until(t), 0))
			}
		case <-expired:
			return Statement{}, os.ErrDeadlineExceeded
		case st, ok := <-f.statements:
			if !ok {
				return Statement{}, io.EOF
			}
			return st, nil
		}
	}
}

type fakeExecutor struct {
	execute   func(ctx context.Context, u *unit.Unit) unit.Result
	rollbacks chan unit.TxRef
}

func (f fakeExecutor) Execute(ctx context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
	return f.execute(ctx, u)
}
func (f fakeExecutor) Rollback(tx unit.TxRef) { f.rollbacks <- tx }

// pipeListener accepts the connections that a test puts into conns.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func startServer(t *testing.T, f *fakeCaller, e fakeExecutor) *Server {
	doc := &clusterconfig.Document{Version: 1, Default: "session", Classes: []clusterconfig.Class{classWith(clusterconfig.ConsistencySession)},
		Routes:          []clusterconfig.Route{{Database: "db", Service: "svc", Class: "session", Timeout: clusterconfig.Duration(time.Second)}},
		IdleTransaction: clusterconfig.Duration(3 * time.Second)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(Options{Protocol: func(net.Conn, *membudget.Holder) CallerConn { return f }, Executor: e, Log: log, MaxConnections: 4,
		Document: func() *clusterconfig.Document { return doc }, DrainGrace: 2 * time.Second,
		RecordFailure:  func(requestlog.Entry) {},
		ObserveRequest: func(string, time.Duration, errkind.Outcome, string, time.Duration) {}})
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- a
	go func() { _ = s.Serve(l) }()
	return s
}

// A drain must not cut off a statement in progress, must not end an idle transaction before two thirds of the time are
// over, and must not wait for callers outside transactions.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCaller()
		running := make(chan struct{})
		s := startServer(t, f, fakeExecutor{rollbacks: make(chan unit.TxRef, 1), execute: func(context.Context, *unit.Unit) unit.Result {
			close(running)
			time.Sleep(3 * time.Second)
			return doneResult('I', unit.TxRef{})
		}})
		f.statements <- statement(KindRead)
		<-running
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		start := time.Now()
		require.NoError(t, s.Drain(ctx))
		require.Equal(t, 3*time.Second, time.Since(start))
		require.NoError(t, (<-f.answers).Err)
	})
	synctest.Test(t, func(t *testing.T) {
		f, rollbacks := newFakeCaller(), make(chan unit.TxRef, 1)
		s := startServer(t, f, fakeExecutor{rollbacks: rollbacks, execute: func(context.Context, *unit.Unit) unit.Result {
			return doneResult('T', openTx)
		}})
		f.statements <- statement(KindBegin)
		f.statements <- statement(KindWrite)
		<-f.answers
		<-f.answers
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		require.NoError(t, s.Drain(ctx))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Equal(t, openTx, <-rollbacks)
	})
}

// A transaction in which the caller stays idle must be rolled back: it keeps others from using the member's connection.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, rollbacks := newFakeCaller(), make(chan unit.TxRef, 1)
		s := startServer(t, f, fakeExecutor{rollbacks: rollbacks, execute: func(context.Context, *unit.Unit) unit.Result {
			return doneResult('T', openTx)
		}})
		defer s.close()
		f.statements <- statement(KindBegin)
		f.statements <- statement(KindWrite)
		start := time.Now()
		require.Equal(t, openTx, <-rollbacks)
		require.Equal(t, 3*time.Second, time.Since(start))
		time.Sleep(time.Minute)
		f.statements <- statement(KindWrite)
		<-f.answers
		<-f.answers
		a := <-f.answers
		require.True(t, errkind.Is(a.Err, errkind.TransactionLost), "%v", a.Err)
		require.Equal(t, byte('E'), a.TxStatus)
		f.statements <- statement(KindRollback)
		require.Equal(t, byte('I'), (<-f.answers).TxStatus)
		close(f.statements)
	})
}

// An unexpected error in one session must end only that session. Its open transaction must be rolled back.
func TestPanicEndsOneSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, rollbacks := newFakeCaller(), make(chan unit.TxRef, 1)
		units := 0
		s := startServer(t, f, fakeExecutor{rollbacks: rollbacks, execute: func(context.Context, *unit.Unit) unit.Result {
			if units++; units > 1 {
				panic("broken")
			}
			return doneResult('T', openTx)
		}})
		for _, k := range []Kind{KindBegin, KindWrite, KindWrite} {
			f.statements <- statement(k)
		}
		require.Equal(t, openTx, <-rollbacks)
		synctest.Wait()
		require.Zero(t, s.Connections())
		require.Len(t, f.answers, 2, "the caller is told nothing about the statement, whose outcome is unknown")
		require.NoError(t, s.Drain(t.Context()))
	})
}

// A withdrawn key must stop counting on sessions that stand open, with the next transaction; an open one ends as its team's.
// A VM without a configuration must not call a key unknown.
func TestKeyIsWithdrawn(t *testing.T) {
	var doc *clusterconfig.Document
	s := NewServer(Options{Document: func() *clusterconfig.Document { return doc }, VMName: "vm"})
	c := &callerSession{server: s, session: New(nil), database: "db", key: team.Hash("k1")}
	_, err := c.currentPolicy()
	require.True(t, errkind.Is(err, errkind.NotReady), "%v", err)
	version := func(keys ...string) *clusterconfig.Document {
		d := &clusterconfig.Document{KeysRequired: true, Teams: []clusterconfig.Team{{Name: "crew", Keys: keys}},
			Classes: []clusterconfig.Class{classWith(clusterconfig.ConsistencySession)},
			Routes:  []clusterconfig.Route{{Database: "db", Service: "svc", Class: string(clusterconfig.ConsistencySession)}}}
		return d
	}
	doc = version(string(team.Hash("k1")))
	c.session.Plan(statement(KindBegin), c.currentPolicy)
	u, _, _ := c.session.Plan(statement(KindWrite), c.currentPolicy)
	require.Equal(t, "crew", u.Team)
	c.session.ApplyResult(statement(KindWrite), u, doneResult('T', openTx), nil)
	doc = version(string(team.Hash("k2")))
	u, _, _ = c.session.Plan(statement(KindWrite), c.currentPolicy)
	require.Equal(t, "crew", u.Team)
	u, _, _ = c.session.Plan(statement(KindCommit), c.currentPolicy)
	c.session.ApplyResult(statement(KindCommit), u, doneResult('I', unit.TxRef{}), nil)
	u, a, _ := c.session.Plan(statement(KindRead), c.currentPolicy)
	require.Nil(t, u)
	require.True(t, errkind.Is(a.Err, errkind.UnknownKey), "%v", a.Err)
}
