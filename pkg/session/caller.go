package session

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/team"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// callerSession serves one caller on its connection.
type callerSession struct {
	server   *Server
	conn     CallerConn
	session  *Session
	database string
	key      team.KeyHash
	room     *membudget.Holder // what the messages of the caller take
	accepted time.Time

	mu          sync.Mutex
	state       callerState // guarded by mu
	inTx        bool        // guarded by mu; a transaction was open when the session began to wait for the last statement
	request     string      // guarded by mu; id of the last statement that was read
	requestRead time.Time   // guarded by mu; when that statement was read
}

// callerState says what a session is doing.
type callerState uint8

const (
	callerStarting  callerState = iota // the startup has not been read
	callerReading                      // the session waits for a statement
	callerExecuting                    // the startup or the last statement is not answered yet
	callerLeaving                      // the caller was told that its session ends
)

// mustEnd reports whether the session ends instead of reading another statement. inTx says whether a transaction is open.
func (p drainPhase) mustEnd(inTx bool) bool {
	return p == endingTransactions || p == endingIdleSessions && !inTx
}

// wake ends the session's wait for a statement if the session must end in the given phase. A caller whose startup has not
// arrived by the last phase is disconnected.
func (c *callerSession) wake(p drainPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == callerReading && p.mustEnd(c.inTx):
		_ = c.conn.SetIdleDeadline(time.Unix(1, 0))
	case c.state == callerStarting && p == endingTransactions:
		_ = c.conn.Close()
	}
}

// mustEnd reports whether the session must end now that its last statement has been answered.
func (c *callerSession) mustEnd() bool {
	return drainPhase(c.server.phase.Load()).mustEnd(!c.session.Idle())
}

func (c *callerSession) serve() {
	defer c.server.remove(c)
	defer c.room.Release()
	defer c.session.Release()
	defer func() { _ = c.conn.Close() }()
	defer panics.Confine(c.server.opts.Log, "session of a caller", nil)
	if !c.startup() {
		return
	}
	defer func() { c.rollback(c.session.Abandon()) }()
	for {
		st, err := c.nextStatement()
		if errors.Is(err, errDraining) {
			c.end()
		}
		if err != nil {
			return
		}
		a := c.answerStatement(st)
		if c.conn.WriteAnswer(a) != nil {
			return
		}
	}
}

// leaveTimeout is how long a caller has to close its connection after it was told that its session ends, at most until the
// end of the drain.
const leaveTimeout = time.Second

// end rolls back the open transaction, if any, and tells the caller that its session ends.
func (c *callerSession) end() {
	reason := c.server.drainingError()
	if !c.session.Idle() {
		reason = errkind.New(errkind.TransactionLost, "entry VM %s is stopping, the transaction was idle for too long", c.server.opts.VMName)
	}
	c.rollback(c.session.Abandon())
	c.setState(callerLeaving)
	deadline := time.Now().Add(leaveTimeout)
	if end := c.server.drainEnd.Load(); end != nil && end.Before(deadline) {
		deadline = *end
	}
	c.conn.EndSession(reason, deadline)
}

// isStarting reports whether the startup has not been read.
func (c *callerSession) isStarting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == callerStarting
}

func (c *callerSession) setState(s callerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}

// startup reads and answers the caller's startup and reports whether the session was accepted.
func (c *callerSession) startup() bool {
	database, key, err := c.conn.ReadStartup()
	if err != nil {
		return false
	}
	c.database, c.key = database, team.Hash(key)
	c.setState(callerExecuting)
	c.server.awaitConfiguration()
	if _, err = c.currentPolicy(); err == nil && c.mustEnd() {
		err = c.server.drainingError()
	}
	if err != nil {
		c.server.opts.RecordFailure(requestlog.Entry{Time: time.Now(), Database: c.database, Err: err})
	}
	return c.conn.AnswerStartup(err) == nil && err == nil
}

// currentPolicy returns the route and class of the session's database and the team of its key in the configuration in force.
func (c *callerSession) currentPolicy() (Policy, error) {
	doc := c.server.opts.Document()
	if doc == nil {
		return Policy{}, c.server.errNotReady()
	}
	r, ok := doc.Route(c.database)
	if !ok {
		return Policy{}, errkind.New(errkind.UnknownService, "database %q has no route in configuration version %d", c.database, doc.Version)
	}
	t, err := team.Identify(doc, r, c.key)
	if err != nil {
		return Policy{}, err
	}
	return Policy{Route: r, Class: doc.ClassOf(r), Team: t}, nil
}

// nextStatement waits for a statement. A transaction that idles longer than the configuration allows is rolled back, and
// the wait goes on.
func (c *callerSession) nextStatement() (Statement, error) {
	for {
		if !c.startReading() {
			return Statement{}, errDraining
		}
		st, err := c.conn.ReadStatement()
		c.stopReading(st.ID)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if c.mustEnd() {
			return Statement{}, errDraining
		}
		c.server.opts.Log.WithField("database", c.database).Info("transaction of a caller was idle too long; rolling it back")
		c.rollback(c.session.Abandon())
	}
}

var errDraining = errors.New("session: the entry VM is stopping")

// startReading sets the deadline for the next statement and reports whether the session may wait for it.
func (c *callerSession) startReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.inTx = callerReading, !c.session.Idle()
	if c.mustEnd() {
		return false
	}
	var deadline time.Time
	if doc := c.server.opts.Document(); doc != nil && doc.IdleTransaction > 0 && c.session.TxStatus() == 'T' && !c.session.lossUnreported {
		deadline = time.Now().Add(time.Duration(doc.IdleTransaction))
	}
	return c.conn.SetIdleDeadline(deadline) == nil
}

func (c *callerSession) stopReading(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.request, c.requestRead = callerExecuting, request, time.Now()
}

func (c *callerSession) rollback(ref unit.TxRef) {
	if ref.Open() {
		c.server.opts.Executor.Rollback(ref)
	}
}

// answerStatement returns the answer to one statement, and records the error of a statement that failed.
func (c *callerSession) answerStatement(st Statement) Answer {
	start := time.Now()
	if err := c.admit(st); err != nil {
		a := c.session.emptyAnswer(st)
		a.Err = err
		c.recordFailure(st, a, start)
		return a
	}
	u, a, rollback := c.session.Plan(st, c.currentPolicy)
	c.rollback(rollback)
	if u != nil {
		a = c.execute(st, u, start)
	}
	if a.Err != nil {
		c.recordFailure(st, a, start)
	}
	return a
}

// admit refuses a statement that begins an operation beyond the limit of the caller's team. A wait for the limit takes at most
// a fifth of the class's target, and one for the decision at most half of the statement's time.
func (c *callerSession) admit(st Statement) error {
	if !c.session.BeginsOperation(st) {
		return nil
	}
	p, err := c.currentPolicy()
	if err != nil || p.Team.Limit == nil {
		return nil // Plan refuses a statement without a policy
	}
	c.session.policy = p
	return c.server.opts.Admit(c.server.units, p.Team, time.Duration(p.Class.Target.Latency)/5, time.Duration(p.Route.Timeout)/2)
}

// execute runs the unit with its target as the deadline, updates the session with the result and returns the answer.
func (c *callerSession) execute(st Statement, u *unit.Unit, start time.Time) Answer {
	u.Arrived = start
	ctx, cancel := context.WithDeadline(c.server.units, start.Add(u.Target))
	defer cancel()
	var answer answerBuffer
	var res unit.Result
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		res = unit.NotRun(errkind.New(errkind.DeadlineExceeded, "the route allows %v for a statement, which has passed", u.Target))
	} else {
		res = c.server.opts.Executor.Execute(ctx, u, &answer)
	}
	if res.Err != nil && errors.Is(ctx.Err(), context.Canceled) {
		res.Err = unit.CancelledByStop(c.server.opts.VMName, u, res)
	}
	a, rollback := c.session.ApplyResult(st, u, res, answer.messages)
	c.rollback(rollback)
	code := ""
	if res.Err != nil {
		code = errkind.Of(res.Err).Code
	}
	c.server.opts.ObserveRequest(u.Class, time.Duration(c.session.policy.Class.Target.Latency), res.Outcome, code, time.Since(start))
	return a
}

func (c *callerSession) recordFailure(st Statement, a Answer, start time.Time) {
	now := time.Now()
	c.server.opts.RecordFailure(requestlog.Entry{
		Time: now, Request: st.ID, Database: c.database, Service: c.session.policy.Route.Service, Class: c.session.policy.Class.Name,
		State: string(a.TxStatus), Took: now.Sub(start), Err: a.Err,
	})
}

// answerBuffer collects the whole answer of a unit. Answers of members have a few kilobytes, so that none is streamed.
type answerBuffer struct{ messages []byte }

// Write implements unit.Sink.
func (s *answerBuffer) Write(_ context.Context, messages []byte) error {
	s.messages = append(s.messages, messages...)
	return nil
}
