// Package silence wraps a listener so that a test can make its open connections silent permanently while new ones work.
// A silent connection stays open, but data from the client is discarded, and the answer to a request that was received
// before is not sent. The package is not part of the product.
package silence

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Path is the HTTP path on which the emulators serve Handler: POST without a body.
const Path = "/silence"

// Listener is a listener that can make the connections it has accepted silent.
type Listener struct {
	net.Listener

	mu        sync.Mutex
	openConns map[*conn]struct{} // open connections that are not silent
}

// Wrap returns a Listener that accepts its connections from l.
func Wrap(l net.Listener) *Listener {
	return &Listener{Listener: l, openConns: make(map[*conn]struct{})}
}

// Accept waits for and returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns[wrapped] = struct{}{}
	return wrapped, nil
}

// Silence makes all open connections silent.
func (l *Listener) Silence() { l.silenceExcept("") }

// silenceExcept makes all open connections silent except the one from remoteAddr.
func (l *Listener) silenceExcept(remoteAddr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.openConns {
		if c.RemoteAddr().String() != remoteAddr {
			c.silent.Store(true)
			delete(l.openConns, c)
		}
	}
}

// Handler returns a handler that makes the open connections of the listeners silent, except the one of the request.
// That connection is closed after the answer.
func Handler(listeners ...*Listener) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for _, l := range listeners {
			l.silenceExcept(r.RemoteAddr)
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusNoContent)
	}
}

// conn is an accepted connection, which may be silent.
type conn struct {
	net.Conn
	listener  *Listener
	silent    atomic.Bool
	closeOnce sync.Once
}

// Read reads from the connection. On a silent connection it discards all data and returns when either side closes it.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. On a silent connection it discards the data and returns success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection, also when it is silent.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.openConns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
