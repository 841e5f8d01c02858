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
	Bytes atomic.Uint64 // passed on, both directions of its connections

	mu      sync.Mutex
	delay   time.Duration
	limiter *rate.Limiter
	cut     bool
	healed  chan struct{} // closed when a cut ends
	conns   map[*conn]struct{}
}

func newLink(delay time.Duration, limiter *rate.Limiter) *Link {
	return &Link{delay: delay, limiter: limiter, conns: map[*conn]struct{}{}}
}

// SetDelay changes the one-way delay.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Cut stops all traffic, as a partition does: open connections and new ones stay without an answer until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		l.cut, l.healed = true, make(chan struct{})
	}
}

// Heal ends a cut. Data held back arrives then, as by TCP retransmission.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		l.cut = false
		close(l.healed)
	}
}

// Silence makes the open connections permanently silent while new ones work, as when a middlebox has lost its state.
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

// state returns the delay and, during a cut, the channel that its end closes.
func (l *Link) state() (time.Duration, <-chan struct{}) {
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
