package netfault

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Link is the path from one data centre to another, shared by all connections between them. It is safe for
// concurrent use.
type Link struct {
	ForwardedBytes atomic.Uint64 // bytes received for forwarding, in both directions

	mu      sync.Mutex
	delay   time.Duration
	limiter *rate.Limiter
	cut     bool
	healed  chan struct{} // closed when the present cut ends
	conns   map[*conn]struct{}
}

func newLink(delay time.Duration, limiter *rate.Limiter) *Link {
	return &Link{delay: delay, limiter: limiter, conns: map[*conn]struct{}{}}
}

// Delay returns the one-way delay of data received now.
func (l *Link) Delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// SetDelay changes the one-way delay of data received from now on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Cut stops all traffic, as a partition does. Open and new connections stay without an answer until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.cut, l.healed = true, make(chan struct{})
	}
}

// Heal ends a cut. Data sent during the cut arrives then, as by TCP retransmission.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		l.cut = false
		close(l.healed)
	}
}

// Silence makes the open connections silent permanently: they stay open without forwarding data. New connections work.
// It emulates a middlebox that has lost its state.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Reset closes the open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.close()
	}
}

// delayAndCut returns the delay and, during a cut, a channel that is closed when the cut ends.
func (l *Link) delayAndCut() (time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return l.delay, l.healed
	}
	return l.delay, nil
}

func (l *Link) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Link) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
