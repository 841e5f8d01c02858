package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/sockio"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// silenceCheckInterval is the time between two searches for silent connections.
const silenceCheckInterval = time.Second

// Server accepts connections from other daemons, runs their units and answers their control messages.
type Server struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup // connections, and all goroutines that don't run units
	units  sync.WaitGroup // running units; beginUnit adds to it

	workers workerPool

	mu           sync.Mutex
	handlers     map[wire.Type]Handler
	peerSessions map[peerSessionKey]*peerSession
	conns        map[*serverConn]struct{}
	listener     net.Listener
	refusing     bool // units are answered as not run
	closed       bool
}

// NewServer returns a server. Handlers are registered before Serve.
func NewServer(o Options) *Server {
	s := &Server{opts: o.withDefaults(), handlers: map[wire.Type]Handler{}, peerSessions: map[peerSessionKey]*peerSession{},
		conns: map[*serverConn]struct{}{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.workers = workerPool{handOver: make(chan *unitRun), closed: s.ctx.Done()}
	return s
}

// Handle registers the handler of a request type.
func (s *Server) Handle(t wire.Type, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[t] = h
}

func (s *Server) handler(t wire.Type) Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handlers[t]
}

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ln.Close()
	}
	s.listener = ln
	s.wg.Add(1)
	s.mu.Unlock()
	go s.closeSilentConns()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.startGoroutine(func() { s.serveConn(nc) }) {
			_ = nc.Close()
		}
	}
}

// acceptRetryDelay is the pause after a failed accept, for example when file descriptors run out.
const acceptRetryDelay = 10 * time.Millisecond

// startGoroutine runs f in a goroutine that Close waits for. It returns false if the server is closed.
func (s *Server) startGoroutine(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer panics.Confine(s.opts.Log, "connection of a peer", nil)
		f()
	}()
	return true
}

// Close ends all connections, cancels their units and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	ln := s.listener
	s.mu.Unlock()
	s.cancel()
	if ln != nil {
		_ = ln.Close()
	}
	for _, c := range s.connections() {
		c.close(ErrClosed)
	}
	s.wg.Wait()
	s.units.Wait()
}

// Disconnect closes the connections of a VM that counts as gone. Its units are cancelled and its transactions are rolled
// back.
func (s *Server) Disconnect(vm string) {
	for _, c := range s.connections() {
		if c.peer.Name == vm {
			c.close(ErrPeerGone)
		}
	}
}

func (s *Server) connections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// closeSilentConns closes connections over which the client sends nothing: data connections, which clients ping while idle,
// after serverSilenceLimit, and control connections, which aren't pinged, after twice idleCloseAfter.
func (s *Server) closeSilentConns() {
	defer s.wg.Done()
	t := time.NewTicker(silenceCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
		for _, c := range s.connections() {
			limit := serverSilenceLimit
			if c.purpose == wire.PurposeControl {
				limit = 2 * idleCloseAfter
			}
			if c.silentFor(0) > limit {
				c.close(ErrPeerGone)
			}
		}
	}
}

// serveConn serves one connection until it ends.
func (s *Server) serveConn(nc net.Conn) {
	defer nc.Close()
	nc = sockio.Wrap(nc)
	if s.opts.TLS != nil {
		nc = tls.Server(nc, s.opts.TLS)
	}
	c := &serverConn{baseConn: newBaseConn(nc, &s.opts), server: s, running: map[uint64]*unitRun{}}
	h, err := c.acceptHello()
	if err != nil {
		_ = c.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Refuse(err) })
		return
	}
	if !s.addConn(c) {
		return
	}
	defer s.removeConn(c)
	if c.purpose == wire.PurposeData {
		c.session = s.joinSession(peerSessionKey{h.VM.Name, h.Instance})
		defer func() {
			c.cancel()
			s.leaveSession(c.session)
		}()
	}
	reply := ownHello(&s.opts, h.Purpose)
	err = c.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Hello(reply) })
	for err == nil {
		var f wire.Frame
		if f, err = c.nextFrame(); err == nil {
			err = confined(s.opts.Log, "frame of a peer", func() error { return c.handleFrame(f) })
		}
	}
	c.close(err)
	if c.purpose == wire.PurposeControl && c.endedUnexpectedly() {
		s.opts.OnConnectionLost(c.peer)
	}
}

// acceptHello reads and checks the peer's Hello within the dial timeout.
func (c *serverConn) acceptHello() (wire.Hello, error) {
	o := &c.server.opts
	if err := c.nc.SetReadDeadline(time.Now().Add(o.DialTimeout)); err != nil {
		return wire.Hello{}, err
	}
	h, err := c.readHello()
	switch {
	case err != nil:
		return h, err
	case h.Cluster != o.Cluster:
		return h, errkind.New(errkind.PeerUnreachable, "entry VM %s belongs to cluster %s and accepts no peers of other clusters", o.Self.Name, o.Cluster)
	case h.Purpose != wire.PurposeData && h.Purpose != wire.PurposeControl:
		return h, wire.ErrMalformed
	}
	c.establish(h, o)
	return h, c.nc.SetReadDeadline(time.Time{})
}

// addConn adds a connection and sets its context. It returns false if the server is closed.
func (s *Server) addConn(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.units, c.cancelUnits = context.WithCancelCause(c.ctx)
	s.conns[c] = struct{}{}
	return true
}

// removeConn cancels and removes a connection that has ended.
func (s *Server) removeConn(c *serverConn) {
	c.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// callHandler runs the handler of a control message.
func (s *Server) callHandler(ctx context.Context, t wire.Type, from platform.VM, body []byte) ([]byte, error) {
	h := s.handler(t)
	if h == nil {
		return nil, errkind.New(errkind.NotReady, "no handler for message type %d", t)
	}
	var reply []byte
	err := confined(s.opts.Log, "request of a peer", func() (err error) {
		reply, err = h(ctx, from, body)
		return err
	})
	return reply, err
}

// confined calls f and returns its error, or one of kind Internal if f panics.
func confined(log logrus.FieldLogger, where string, f func() error) (err error) {
	defer panics.Confine(log, where, func() { err = errkind.New(errkind.Internal, "%s could not be handled", where) })
	return f()
}
