// Package pause detects that the process was paused and keeps it from taking new work until its data has been refreshed.
// A paused process does not notice that time passes: when it resumes, the work that it finds in its connections was sent
// long ago, and the lists against which it would check that work are as old. The package is independent of the data.
package pause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	checkInterval = 100 * time.Millisecond
	// pauseThreshold is the time since the last check after which the process counts as paused. It is below the 600 ms of
	// silence after which a VM counts as gone to its peers. It is also well below the 3 s after which a VM or member that is
	// leaving must get no new work, since an undetected pause adds to the age of the lists.
	pauseThreshold = 500 * time.Millisecond
	// refreshTimeout limits the time without new work when the data cannot be refreshed: a VM that is cut off from the
	// platform then goes on with its old data.
	refreshTimeout = time.Second
)

// Guard detects pauses of the process and reports whether it may take new work. It is safe for concurrent use.
type Guard struct {
	refresh   func(ctx context.Context)
	started   time.Time
	lastCheck atomic.Int64 // time of the last check, in nanoseconds since started
	cancel    context.CancelFunc
	done      chan struct{}
}

// New returns a guard. refresh reads again the data that new work depends on. It returns when that is done or ctx is done.
func New(refresh func(ctx context.Context)) *Guard {
	return &Guard{refresh: refresh, started: time.Now(), done: make(chan struct{})}
}

// UpToDate reports whether the process has not been paused, or has refreshed its data since the last pause.
func (g *Guard) UpToDate() bool {
	return time.Since(g.started)-time.Duration(g.lastCheck.Load()) < pauseThreshold
}

// Start starts checking for pauses.
func (g *Guard) Start(context.Context) error {
	g.lastCheck.Store(int64(time.Since(g.started)))
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.watch(ctx)
	return nil
}

// Stop ends the checks. UpToDate then stays true for an hour, even if the process is paused meanwhile, so that a stopping
// daemon can finish its work.
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
			g.lastCheck.Store(int64(time.Since(g.started) + time.Hour)) // keeps UpToDate true, see Stop
			return
		case <-ticker.C:
		}
		if !g.UpToDate() {
			refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
			g.refresh(refreshCtx)
			cancel()
		}
		g.lastCheck.Store(int64(time.Since(g.started)))
	}
}
