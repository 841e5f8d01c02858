package session

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// CallerConn is the connection of one caller, decoded by a Protocol. One goroutine calls all methods; only
// SetIdleDeadline may also be called by another goroutine while ReadStatement waits.
type CallerConn interface {
	// ReadStartup reads the caller's startup and returns the database that it names.
	ReadStartup() (database string, err error)
	// AnswerStartup answers the startup. A non-nil err refuses the session.
	AnswerStartup(err error) error
	// ReadStatement waits for the next statement.
	ReadStatement() (Statement, error)
	// WriteAnswer sends the answer to the last statement that was read.
	WriteAnswer(Answer) error
	// SetIdleDeadline sets the time at which ReadStatement stops waiting and returns os.ErrDeadlineExceeded. The zero time
	// means no deadline.
	SetIdleDeadline(time.Time) error
	Close() error
}

// Protocol wraps the connection of a caller with the decoding and encoding of its protocol.
type Protocol func(net.Conn) CallerConn

// Options configure a Server.
type Options struct {
	Protocol Protocol
	Executor unit.Executor
	// Document returns the configuration in force, or nil while the VM has none.
	Document       func() *clusterconfig.Document
	VMName         string
	MaxConnections int
	// DrainGrace is how long a draining server still accepts callers, so that the balancer stops sending callers before
	// the server refuses them.
	DrainGrace time.Duration
	// ObserveRequest is called after each request that was executed as a unit.
	ObserveRequest func(class string, outcome errkind.Outcome, code string, latency time.Duration)
	// RecordFailure is called for each statement that failed and each session that was refused. It must not block.
	RecordFailure func(requestlog.Entry)
	Log           logrus.FieldLogger
}

// acceptRetryDelay is the pause after a failed Accept, for example when file descriptors run out.
const acceptRetryDelay = 10 * time.Millisecond

// Server accepts the connections of callers and serves their sessions.
type Server struct {
	opts           Options
	acceptLogLimit loglimit.Limiter

	mu         sync.Mutex
	callers    map[*callerSession]struct{} // guarded by mu
	listeners  []net.Listener              // guarded by mu
	closing    bool                        // guarded by mu; callers are refused, and closed once without a transaction
	callerLeft chan struct{}               // guarded by mu; closed and replaced when a caller leaves
}

// NewServer returns a server that listens nowhere yet.
func NewServer(o Options) *Server {
	return &Server{opts: o, callers: map[*callerSession]struct{}{}, callerLeft: make(chan struct{})}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if log, ok := s.acceptLogLimit.Allow(s.opts.Log, ""); ok {
				log.WithError(err).Warn("accepting a caller's connection failed; trying again")
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &callerSession{server: s, conn: s.opts.Protocol(nc), session: New()}
		if !s.add(c) {
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

func (s *Server) add(c *callerSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.callers) >= s.opts.MaxConnections {
		return false
	}
	s.callers[c] = struct{}{}
	return true
}

func (s *Server) remove(c *callerSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c)
	close(s.callerLeft)
	s.callerLeft = make(chan struct{})
}

// Connections returns the number of connected callers.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Drain ends the service within the time that ctx leaves, one minute if ctx has no deadline. It serves callers as before
// for the drain grace, at most a third of the time, and then closes each caller that is outside a transaction. In the last
// third of the time it also closes callers that idle in a transaction, which is rolled back; statements in progress still
// finish. It returns nil once no caller is left.
func (s *Server) Drain(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(time.Minute)
	}
	start := time.Now()
	if !s.waitUntilEmpty(ctx, start.Add(min(s.opts.DrainGrace, end.Sub(start)/3))) {
		s.close()
		s.interrupt(false)
		if !s.waitUntilEmpty(ctx, start.Add(end.Sub(start)*2/3)) {
			s.interrupt(true)
		}
	}
	if s.waitUntilEmpty(ctx, end) {
		s.close()
		return nil
	}
	return errkind.New(errkind.Draining, "statements of %d callers are still in progress", s.Connections())
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
}

// waitUntilEmpty waits until the server is closing and no caller is left, at most until the given time. It reports whether
// no caller is left then, and false if ctx ends first.
func (s *Server) waitUntilEmpty(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		s.mu.Lock()
		n, callerLeft, closing := len(s.callers), s.callerLeft, s.closing
		s.mu.Unlock()
		if n == 0 && closing {
			return true
		}
		select {
		case <-callerLeft:
		case <-t.C:
			return n == 0
		case <-ctx.Done():
			return false
		}
	}
}

// interrupt asks the callers outside transactions to leave, and with transactions set also those in one. Callers that wait
// for a statement are woken.
func (s *Server) interrupt(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		c.interrupt(transactions)
	}
}

// callerSession serves one caller on its connection.
type callerSession struct {
	server   *Server
	conn     CallerConn
	session  *Session
	database string

	mu             sync.Mutex
	reading        bool // guarded by mu; the session waits for a statement
	inTx           bool // guarded by mu; a transaction was open when the session began to wait for the last statement
	closeRequested atomic.Bool
}

// interrupt requests that the session closes, and ends its wait for a statement. A session in a transaction is left alone
// unless transactions is set.
func (c *callerSession) interrupt(transactions bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inTx || transactions {
		c.closeRequested.Store(true)
		if c.reading {
			_ = c.conn.SetIdleDeadline(time.Unix(1, 0))
		}
	}
}

func (c *callerSession) serve() {
	defer c.server.remove(c)
	defer func() { _ = c.conn.Close() }()
	defer panics.Confine(c.server.opts.Log, "session of a caller", nil)
	if !c.startup() {
		return
	}
	defer func() { c.rollback(c.session.Abandon()) }()
	for {
		st, err := c.nextStatement()
		if err != nil {
			return
		}
		a := c.answerStatement(st)
		if c.conn.WriteAnswer(a) != nil {
			return
		}
		if c.session.Idle() && (c.closeRequested.Load() || c.server.isClosing()) {
			return
		}
	}
}

// startup reads and answers the caller's startup and reports whether the session was accepted.
func (c *callerSession) startup() bool {
	var err error
	if c.database, err = c.conn.ReadStartup(); err != nil {
		return false
	}
	_, err = c.currentPolicy()
	if err != nil {
		c.server.opts.RecordFailure(requestlog.Entry{Time: time.Now(), Database: c.database, Err: err})
	}
	return c.conn.AnswerStartup(err) == nil && err == nil
}

// currentPolicy returns the route and class of the session's database in the configuration in force.
func (c *callerSession) currentPolicy() (Policy, error) {
	doc := c.server.opts.Document()
	if doc == nil {
		return Policy{}, errkind.New(errkind.NotReady, "entry VM %s has no configuration yet", c.server.opts.VMName)
	}
	r, ok := doc.Route(c.database)
	if !ok {
		return Policy{}, errkind.New(errkind.UnknownService, "database %q has no route in configuration version %d", c.database, doc.Version)
	}
	class, _ := doc.Class(r.Class) // a valid document holds the class of each route
	return Policy{Route: r, Class: class}, nil
}

// nextStatement waits for a statement. A transaction that idles longer than the configuration allows is rolled back, and
// the wait goes on.
func (c *callerSession) nextStatement() (Statement, error) {
	for {
		if !c.startReading() {
			return Statement{}, errDraining
		}
		st, err := c.conn.ReadStatement()
		c.stopReading()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if c.closeRequested.Load() {
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
	c.reading, c.inTx = true, !c.session.Idle()
	if c.closeRequested.Load() {
		return false
	}
	var deadline time.Time
	if doc := c.server.opts.Document(); doc != nil && doc.IdleTransaction > 0 && c.session.TxStatus() == 'T' && !c.session.lossUnreported {
		deadline = time.Now().Add(time.Duration(doc.IdleTransaction))
	}
	return c.conn.SetIdleDeadline(deadline) == nil
}

func (c *callerSession) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

func (c *callerSession) rollback(ref unit.TxRef) {
	if ref.Open() {
		c.server.opts.Executor.Rollback(ref)
	}
}

// answerStatement returns the answer to one statement, and records the error of a statement that failed.
func (c *callerSession) answerStatement(st Statement) Answer {
	start := time.Now()
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

// execute runs the unit with its target as the deadline, updates the session with the result and returns the answer.
func (c *callerSession) execute(st Statement, u *unit.Unit, start time.Time) Answer {
	u.Arrived = start
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(u.Target))
	defer cancel()
	var answer answerBuffer
	res := c.server.opts.Executor.Execute(ctx, u, &answer)
	a, rollback := c.session.ApplyResult(st, u, res, answer.messages)
	c.rollback(rollback)
	code := ""
	if res.Err != nil {
		code = errkind.Of(res.Err).Code
	}
	c.server.opts.ObserveRequest(u.Class, res.Outcome, code, time.Since(start))
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
