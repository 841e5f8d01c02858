// Package silence wraps a listener so that its open connections can go permanently silent while new ones work: what a
// client sends arrives nowhere or has its effect without an answer, and the connection stays open. It is not part of the
// product.
package silence

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Path is the HTTP path, used by the stand-ins, that silences open connections: POST, no body.
const Path = "/silence"

// Listener accepts connections that Silence affects.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*conn]struct{}
}

// Wrap returns a listener on top of l.
func Wrap(l net.Listener) *Listener {
	return &Listener{Listener: l, open: make(map[*conn]struct{})}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[out] = struct{}{}
	return out, nil
}

// Silence makes all open connections silent.
func (l *Listener) Silence() { l.silence("") }

// silence spares the connection from the remote address except.
func (l *Listener) silence(except string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.RemoteAddr().String() != except {
			c.silent.Store(true)
			delete(l.open, c)
		}
	}
}

// Handler silences the connections of the given listeners. Its own connection answers and is closed then.
func Handler(listeners ...*Listener) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, l := range listeners {
			l.silence(r.RemoteAddr)
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
	}
}

// conn is a connection that may be silent.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	once     sync.Once
}

// Read discards what arrives on a silent connection until either side closes it.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends success on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection, also a silent one.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
