package session

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// CallerConn is the connection of one caller, decoded by a Protocol. One goroutine calls all methods; another one may also
// call SetIdleDeadline while ReadStatement waits, and Close while ReadStartup waits.
type CallerConn interface {
	// ReadStartup reads the caller's startup and returns the database that it names and the key that it presents.
	ReadStartup() (database, key string, err error)
	// AnswerStartup answers the startup. A non-nil err refuses the session.
	AnswerStartup(err error) error
	// ReadStatement waits for the next statement.
	ReadStatement() (Statement, error)
	// WriteAnswer sends the answer to the last statement that was read.
	WriteAnswer(Answer) error
	// SetIdleDeadline sets the time at which ReadStatement stops waiting and returns os.ErrDeadlineExceeded. The zero time
	// means no deadline.
	SetIdleDeadline(time.Time) error
	// EndSession tells the caller, which has got all its answers, that the session ends for the given reason. It refuses
	// statements that the caller sent before it learnt that, until the caller closes the connection or the deadline passes.
	EndSession(reason error, deadline time.Time)
	Close() error
}

// Protocol wraps the connection of a caller with the decoding and encoding of its protocol. room is what its messages may take.
type Protocol func(nc net.Conn, room *membudget.Holder) CallerConn

// Options configure a Server.
type Options struct {
	Protocol Protocol
	Executor unit.Executor
	// Document returns the configuration in force, or nil while the VM has none.
	Document func() *clusterconfig.Document
	// Changed returns a channel that is closed when Document may return another configuration. Nil: callers do not wait for one.
	Changed        func() <-chan struct{}
	VMName         string
	MaxConnections int
	Budget         *membudget.Budget // room for messages of callers; nil: no limit
	Memory         *Memory           // room for what sessions keep between statements; nil: no limit
	// DrainGrace is how long a draining server still accepts callers, so that the balancer stops sending callers before
	// the server refuses them.
	DrainGrace time.Duration
	// Admit decides whether an operation of the team, a statement or a transaction, may run now. It waits up to limit for the
	// decision, and up to patience for the team's rate limit. Nil admits every operation.
	Admit func(ctx context.Context, team clusterconfig.Team, patience, limit time.Duration) error
	// ObserveRequest is called after each request that was executed as a unit.
	ObserveRequest func(class string, target time.Duration, outcome errkind.Outcome, code string, latency time.Duration)
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
	phase          atomic.Int32              // a drainPhase
	drainEnd       atomic.Pointer[time.Time] // nil unless the server drains
	units          context.Context           // parent of the contexts of all units; cancelled at the end of a drain
	cancelUnits    context.CancelCauseFunc
	waiting        atomic.Int64 // callers that wait for the first configuration

	mu         sync.Mutex
	callers    map[*callerSession]struct{} // guarded by mu
	listeners  []net.Listener              // guarded by mu
	closing    bool                        // guarded by mu; callers are refused
	callerLeft chan struct{}               // guarded by mu; closed and replaced when a caller leaves
}

// NewServer returns a server that listens nowhere yet.
func NewServer(o Options) *Server {
	if o.Admit == nil {
		o.Admit = func(context.Context, clusterconfig.Team, time.Duration, time.Duration) error { return nil }
	}
	s := &Server{opts: o, callers: map[*callerSession]struct{}{}, callerLeft: make(chan struct{})}
	s.units, s.cancelUnits = context.WithCancelCause(context.Background())
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
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
		room := s.opts.Budget.NewHolder(func() { _ = nc.Close() })
		c := &callerSession{server: s, conn: s.opts.Protocol(nc, room), room: room, session: New(s.opts.Memory.NewState(func() { _ = nc.Close() }))}
		if !s.add(c) {
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

// addListener adds a listener, which close closes. It returns false if the server is closing.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

func (s *Server) add(c *callerSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.callers) >= s.opts.MaxConnections && !s.endOldestStarting() {
		return false
	}
	c.accepted = time.Now()
	s.callers[c] = struct{}{}
	return true
}

// endOldestStarting closes the connection that has waited longest without sending its startup, and reports whether there was
// one. A crowd that connects and says nothing must not keep others out. s.mu must be held.
func (s *Server) endOldestStarting() bool {
	var oldest *callerSession
	for c := range s.callers {
		if c.isStarting() && (oldest == nil || c.accepted.Before(oldest.accepted)) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.callers, oldest)
	_ = oldest.conn.Close()
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
