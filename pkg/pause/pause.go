// Package pause notices that the process was paused, and keeps it from new work until what it knows has been read anew.
// A paused process does not see time pass: what it finds in its connections when it wakes was sent long ago, and the
// lists that it would check this work against are as old. It knows nothing of what is read.
package pause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	checkInterval = 100 * time.Millisecond
	// pauseThreshold is how late a tick may be. A VM that is silent for 600 ms counts as gone to its peers, and a pause of less
	// than the 3 s of P7 that is overlooked would add to the age of the lists.
	pauseThreshold = 500 * time.Millisecond
	// refreshTimeout bounds the time without new work when nothing can be read: a VM that is cut off from the platform goes
	// on with what it knows.
	refreshTimeout = time.Second
)

// Guard tells whether the process may take new work.
type Guard struct {
	refresh   func(ctx context.Context)
	started   time.Time
	lastCheck atomic.Int64 // last tick, in nanoseconds since start
	cancel    context.CancelFunc
	done      chan struct{}
}

// New returns a guard. refresh reads anew what new work depends on, and returns when that is done or ctx has ended.
func New(refresh func(ctx context.Context)) *Guard {
	return &Guard{refresh: refresh, started: time.Now(), done: make(chan struct{})}
}

// Settled reports whether the process has run without a pause, or has read anew since the last one.
func (g *Guard) Settled() bool {
	return time.Since(g.started)-time.Duration(g.lastCheck.Load()) < pauseThreshold
}

// Start begins to look for pauses.
func (g *Guard) Start(context.Context) error {
	g.lastCheck.Store(int64(time.Since(g.started)))
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.watch(ctx)
	return nil
}

// Stop ends the look-out. It keeps the process settled for as long as a pause may last.
func (g *Guard) Stop(context.Context) error {
	g.cancel()
	<-g.done
	return nil
}

func (g *Guard) watch(ctx context.Context) {
	defer close(g.done)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			g.lastCheck.Store(int64(time.Since(g.started) + time.Hour)) // a stopping daemon still ends its work
			return
		case <-ticker.C:
		}
		if !g.Settled() {
			refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
			g.refresh(refreshCtx)
			cancel()
		}
		g.lastCheck.Store(int64(time.Since(g.started)))
	}
}
