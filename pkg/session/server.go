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
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Caller is the connection of one caller, decoded by a Protocol. Read and Write are called by one goroutine; Interrupt may
// be called by another.
type Caller interface {
	// Startup reads the name of the database.
	Startup() (database string, err error)
	// Accept answers the startup; a non-nil error refuses it.
	Accept(err error) error
	Read() (Statement, error)
	Write(Answer) error
	// SetIdleDeadline bounds the wait of Read for a statement; zero for none. Read then fails with os.ErrDeadlineExceeded.
	SetIdleDeadline(time.Time) error
	Close() error
}

// Protocol decodes connections of callers.
type Protocol func(net.Conn) Caller

// Options configure a Server.
type Options struct {
	Protocol Protocol
	Executor unit.Executor
	// Document returns the configuration in force, nil while there is none that may be served.
	Document       func() *clusterconfig.Document
	VMName         string
	MaxConnections int
	// DrainGrace is how long a draining server goes on as before, so that the balancer stops sending callers first.
	DrainGrace time.Duration
	// Observe is told of each request that needed a member.
	Observe func(class string, outcome errkind.Outcome, code string, latency time.Duration)
	Log     logrus.FieldLogger
}

// acceptPause follows a failed Accept, for example when file descriptors run out.
const acceptPause = 10 * time.Millisecond

// Server accepts callers.
type Server struct {
	o         Options
	logAccept loglimit.Limiter

	mu        sync.Mutex
	callers   map[*caller]struct{} // guarded by mu
	listeners []net.Listener       // guarded by mu
	closing   bool                 // guarded by mu; callers are closed as they become idle
	changed   chan struct{}        // guarded by mu; closed and replaced when a caller leaves
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	return &Server{o: o, callers: map[*caller]struct{}{}, changed: make(chan struct{})}
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
			if log, ok := s.logAccept.Allow(s.o.Log, ""); ok {
				log.WithError(err).Warn("accept failed")
			}
			time.Sleep(acceptPause)
			continue
		}
		c := &caller{server: s, conn: s.o.Protocol(nc), state: New()}
		if !s.add(c) {
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

func (s *Server) add(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.callers) >= s.o.MaxConnections {
		return false
	}
	s.callers[c] = struct{}{}
	return true
}

func (s *Server) remove(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Connections returns the number of callers.
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

// Drain serves callers as before for the grace period, then closes each as it becomes idle. In the last third of the time
// that ctx leaves, transactions that idle are rolled back; statements in progress still finish. It returns nil once no
// caller is left.
func (s *Server) Drain(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(time.Minute)
	}
	start := time.Now()
	if !s.waitEmpty(ctx, start.Add(min(s.o.DrainGrace, end.Sub(start)/3))) {
		s.close()
		s.interrupt(false)
		if !s.waitEmpty(ctx, start.Add(end.Sub(start)*2/3)) {
			s.interrupt(true)
		}
	}
	if s.waitEmpty(ctx, end) {
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

// waitEmpty waits until no caller is left, at most until the given time, and reports whether none is.
func (s *Server) waitEmpty(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		s.mu.Lock()
		n, changed, closing := len(s.callers), s.changed, s.closing
		s.mu.Unlock()
		if n == 0 && closing {
			return true
		}
		select {
		case <-changed:
		case <-t.C:
			return n == 0
		case <-ctx.Done():
			return false
		}
	}
}

// interrupt wakes the callers that wait for a statement, with transactions also those that idle in one.
func (s *Server) interrupt(transactions bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		c.interrupt(transactions)
	}
}

// caller serves one connection.
type caller struct {
	server   *Server
	conn     Caller
	state    *Session
	database string

	mu      sync.Mutex
	reading bool // guarded by mu; waits for a statement
	inTx    bool // guarded by mu
	ending  atomic.Bool
}

// interrupt ends the wait for a statement.
func (c *caller) interrupt(transactions bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inTx || transactions {
		c.ending.Store(true)
		if c.reading {
			_ = c.conn.SetIdleDeadline(time.Unix(1, 0))
		}
	}
}

func (c *caller) serve() {
	defer c.server.remove(c)
	defer func() { _ = c.conn.Close() }()
	if !c.startup() {
		return
	}
	defer func() { c.rollback(c.state.Abandon()) }()
	for {
		st, err := c.next()
		if err != nil {
			return
		}
		a := c.handle(st)
		if c.conn.Write(a) != nil {
			return
		}
		if c.state.Idle() && (c.ending.Load() || c.server.isClosing()) {
			return
		}
	}
}

// startup reports whether the session may go on.
func (c *caller) startup() bool {
	var err error
	if c.database, err = c.conn.Startup(); err != nil {
		return false
	}
	_, err = c.rules()
	if err != nil {
		c.server.o.Log.WithError(err).WithField("database", c.database).Info("session refused")
	}
	return c.conn.Accept(err) == nil && err == nil
}

// rules returns the route and class of the session in the present configuration.
func (c *caller) rules() (Rules, error) {
	doc := c.server.o.Document()
	if doc == nil {
		return Rules{}, errkind.New(errkind.NotReady, "entry VM %s has no configuration yet", c.server.o.VMName)
	}
	r, ok := doc.Route(c.database)
	if !ok {
		return Rules{}, errkind.New(errkind.UnknownService, "database %q has no route in version %d", c.database, doc.Version)
	}
	class, _ := doc.Class(r.Class) // validated with the document
	return Rules{Route: r, Class: class}, nil
}

// next waits for a statement. In a transaction the wait is bounded; then the transaction is rolled back and the wait goes
// on.
func (c *caller) next() (Statement, error) {
	for {
		if !c.beginRead() {
			return Statement{}, errDraining
		}
		st, err := c.conn.Read()
		c.endRead()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if c.ending.Load() {
			return Statement{}, errDraining
		}
		c.server.o.Log.WithField("database", c.database).Info("transaction idled too long; rolling it back")
		c.rollback(c.state.Abandon())
	}
}

var errDraining = errors.New("session: the entry VM is stopping")

func (c *caller) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.inTx = true, !c.state.Idle()
	if c.ending.Load() {
		return false
	}
	var deadline time.Time
	if doc := c.server.o.Document(); doc != nil && doc.IdleTransaction > 0 && c.state.State() == 'T' && !c.state.lost {
		deadline = time.Now().Add(time.Duration(doc.IdleTransaction))
	}
	return c.conn.SetIdleDeadline(deadline) == nil
}

func (c *caller) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

func (c *caller) rollback(ref unit.TxRef) {
	if ref.Open() {
		c.server.o.Executor.Rollback(ref)
	}
}

// handle answers one statement.
func (c *caller) handle(st Statement) Answer {
	start := time.Now()
	u, a, rollback := c.state.Plan(st, c.rules)
	c.rollback(rollback)
	if u != nil {
		a = c.execute(st, u, start)
	}
	if a.Err != nil {
		c.logFailed(st, a, time.Since(start))
	}
	return a
}

// execute runs the unit and settles the session.
func (c *caller) execute(st Statement, u *unit.Unit, start time.Time) Answer {
	u.Arrived = start
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(u.Target))
	defer cancel()
	var answer sink
	res := c.server.o.Executor.Execute(ctx, u, &answer)
	a, rollback := c.state.Settle(st, u, res, answer.bytes)
	c.rollback(rollback)
	code := ""
	if res.Err != nil {
		code = errkind.Of(res.Err).Code
	}
	c.server.o.Observe(u.Class, res.Outcome, code, time.Since(start))
	return a
}

func (c *caller) logFailed(st Statement, a Answer, took time.Duration) {
	c.server.o.Log.WithFields(logrus.Fields{
		"request": st.ID, "database": c.database, "of": c.state.rules.Route.Service, "class": c.state.rules.Class.Name, "kind": errkind.Of(a.Err).Code, "state": string(a.State),
		"outcome": errkind.Of(a.Err).Outcome.String(), "ms": took.Milliseconds(), "error": a.Err.Error(),
	}).Info("request not served")
}

// sink keeps the answer of a unit. Members answer with a few kilobytes.
type sink struct{ bytes []byte }

// Write implements unit.Sink.
func (s *sink) Write(_ context.Context, messages []byte) error {
	s.bytes = append(s.bytes, messages...)
	return nil
}
