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
	tick = 100 * time.Millisecond
	// limit is how late a tick may be. A VM that is silent for 600 ms counts as gone to its peers, and a pause of less
	// than the 3 s of P7 that is overlooked would add to the age of the lists.
	limit = 500 * time.Millisecond
	// patience bounds the time without new work when nothing can be read: a VM that is cut off from the platform goes
	// on with what it knows.
	patience = time.Second
)

// Guard tells whether the process may take new work.
type Guard struct {
	refresh func(ctx context.Context)
	start   time.Time
	last    atomic.Int64 // last tick, in nanoseconds since start
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a guard. refresh reads anew what new work depends on, and returns when that is done or ctx has ended.
func New(refresh func(ctx context.Context)) *Guard {
	return &Guard{refresh: refresh, start: time.Now(), done: make(chan struct{})}
}

// UpToDate reports whether the process has run without a pause, or has read anew since the last one.
func (g *Guard) UpToDate() bool {
	return time.Since(g.start)-time.Duration(g.last.Load()) < limit
}

// Start begins to look for pauses.
func (g *Guard) Start(context.Context) error {
	g.last.Store(int64(time.Since(g.start)))
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.run(ctx)
	return nil
}

// Stop ends the look-out. It keeps the process settled for as long as a pause may last.
func (g *Guard) Stop(context.Context) error {
	g.cancel()
	<-g.done
	return nil
}

func (g *Guard) run(ctx context.Context) {
	defer close(g.done)
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.last.Store(int64(time.Since(g.start) + time.Hour)) // a stopping daemon still ends its work
			return
		case <-t.C:
		}
		if !g.UpToDate() {
			read, cancel := context.WithTimeout(ctx, patience)
			g.refresh(read)
			cancel()
		}
		g.last.Store(int64(time.Since(g.start)))
	}
}
