package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// unwatchedPollInterval is the time between two checks whether this VM watches the service yet.
const unwatchedPollInterval = 200 * time.Millisecond

// runningWrites holds the running writes of a member, so that they can be cancelled when the member is replaced as
// primary. Such writes can never be acknowledged, and if the member is frozen, their callers would wait until the
// deadline.
type runningWrites struct {
	mu      sync.Mutex
	lastID  uint64
	cancels map[uint64]context.CancelCauseFunc
}

// add registers a write. It returns a context that is cancelled when the primary is replaced, and a function that
// removes the write.
func (w *runningWrites) add(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	id := w.lastID
	w.cancels[id] = cancel
	return ctx, func() {
		w.mu.Lock()
		delete(w.cancels, id)
		w.mu.Unlock()
		cancel(nil)
	}
}

// cancelAll cancels the contexts of all running writes with the given cause.
func (w *runningWrites) cancelAll(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancels {
		cancel(cause)
	}
}

// watchPrimary cancels the running writes whenever another member is the primary, until ctx ends.
func (o *Owner) watchPrimary(ctx context.Context) {
	defer close(o.watchDone)
	for {
		changed := o.watcher.ViewChanged(o.member.Service)
		primary, term, ok := o.watcher.Primary(o.member.Service)
		if ok && primary != "" && primary != o.member.Name {
			o.writes.cancelAll(unit.PrimaryReplacedError(o.member.Name, term))
		}
		var poll <-chan time.Time
		if !ok {
			changed, poll = nil, time.After(unwatchedPollInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-poll:
		}
	}
}
