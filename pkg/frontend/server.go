package frontend

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/sockio"
)

const (
	// startupHeadroom is how many connections beyond MaxConnections may be open, so that at the limit cancel requests
	// are still read and new callers are told why they are refused.
	startupHeadroom = 256
	// acceptRetryDelay is the pause after a failed Accept, for example when file descriptors run out.
	acceptRetryDelay = 10 * time.Millisecond
)

// Server accepts the connections of callers and serves a session on each.
type Server struct {
	options          Options
	processIDPrefix  uint16 // upper half of the process ids in cancel keys
	sharedStatements statementInterner

	startups *admission
	runners  runnerPool

	units       context.Context // parent of the contexts of all units; cancelled at the end of a drain
	cancelUnits context.CancelCauseFunc

	openConns    atomic.Int64 // open connections, including those in startup
	draining     atomic.Bool
	startMonitor sync.Once
	drained      chan struct{} // closed at the end of Drain

	mu           sync.Mutex
	sessions     map[uint16]*session // guarded by mu; by the lower 16 bits of the process id in the cancel key
	nextID       uint16              // guarded by mu; where the search for a free key of sessions starts
	listeners    []net.Listener      // guarded by mu
	sessionEnded chan struct{}       // guarded by mu; closed and replaced when a session ends while draining
	closeOnce    sync.Once

	acceptLogLimit loglimit.Limiter
}

// New returns a server, which accepts callers once Serve is called.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		options: o, processIDPrefix: ProcessIDPrefix(o.VMName), sessions: map[uint16]*session{},
		startups: newAdmission(maxConcurrentStartups, maxWaitingStartups, minStartupHold, maxStartupHold),
		runners:  runnerPool{executor: o.Executor},
		drained:  make(chan struct{}), sessionEnded: make(chan struct{}),
	}
	s.units, s.cancelUnits = context.WithCancelCause(context.Background())
	return s
}

// Serve accepts callers until the listener is closed or the server drains; then it returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	s.startMonitor.Do(func() { go s.watchCallers() })
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if log, ok := s.acceptLogLimit.Allow(s.options.Log, ""); ok {
				log.WithError(err).Warn("accepting a caller's connection failed; trying again")
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.openConns.Add(1) > int64(s.options.MaxConnections+startupHeadroom) {
			s.openConns.Add(-1)
			_ = conn.Close()
			continue
		}
		go s.serveConn(sockio.Wrap(conn))
	}
}

// Connections returns the number of callers with a session.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Cancel cancels the unit in progress of the session with this cancel key: the process id and the secret that its
// caller got in BackendKeyData. It returns false when this server has no such session.
func (s *Server) Cancel(pid, secret uint32) bool {
	if uint16(pid>>16) != s.processIDPrefix {
		return false
	}
	s.mu.Lock()
	c := s.sessions[uint16(pid)]
	s.mu.Unlock()
	if c == nil || c.secret != secret {
		return false
	}
	c.cancelUnit()
	return true
}

// register adds the session to the server and gives it its cancel key. It refuses the session while the server drains
// or serves MaxConnections callers.
func (s *Server) register(c *session) error {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return errkind.Wrap(errkind.Internal, err, "cannot generate the secret of a cancel key")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return errkind.New(errkind.Draining, "entry VM %s is stopping", s.options.VMName)
	}
	if len(s.sessions) >= s.options.MaxConnections {
		return errkind.New(errkind.TooManyConnections, "entry VM %s already serves %d callers, which is its limit", s.options.VMName, len(s.sessions))
	}
	for s.sessions[s.nextID] != nil {
		s.nextID++
	}
	c.pid = uint32(s.processIDPrefix)<<16 | uint32(s.nextID)
	c.secret = binary.BigEndian.Uint32(b[:])
	s.sessions[s.nextID] = c
	s.nextID++
	return nil
}

// unregister removes the session and wakes Drain.
func (s *Server) unregister(c *session) {
	s.mu.Lock()
	delete(s.sessions, uint16(c.pid))
	if s.draining.Load() {
		close(s.sessionEnded)
		s.sessionEnded = make(chan struct{})
	}
	s.mu.Unlock()
}

// serveConn handles one connection from accept to close.
func (s *Server) serveConn(conn net.Conn) {
	defer s.openConns.Add(-1)
	c := &session{server: s, conn: conn, txStatus: 'I'}
	c.room = s.options.Budget.NewHolder(func() { _ = conn.Close() })
	defer c.room.Release()
	defer func() { _ = c.conn.Close() }()
	defer panics.Confine(s.options.Log, "session of a caller", nil)
	ok, err := c.startup()
	if err != nil {
		c.sendFatal(err)
		return
	}
	if !ok {
		return
	}
	defer s.unregister(c)
	if c.serve() {
		c.awaitClose()
	}
}
