package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// unwatchedPollInterval is the time between looks at a service that this VM does not watch yet.
const unwatchedPollInterval = 200 * time.Millisecond

// runningWrites holds the running runningWrites of a member, so that they end as soon as it is known that the member is no longer
// the primary: they can never be acknowledged, and waiting for a frozen member would hold their callers until the
// deadline.
type runningWrites struct {
	mu      sync.Mutex
	lastID  uint64
	cancels map[uint64]context.CancelCauseFunc
}

// add returns a context that ends with the replacement of the primary, and the function that removes the write.
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

func (w *runningWrites) cancelAll(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancels {
		cancel(cause)
	}
}

// watchPrimary cancels running writes when another member is the primary, until ctx ends.
func (o *Owner) watchPrimary(ctx context.Context) {
	defer close(o.watchDone)
	for {
		changed := o.watcher.Changed(o.member.Service)
		primary, term, ok := o.watcher.Primary(o.member.Service)
		if ok && primary != "" && primary != o.member.Name {
			o.writes.cancelAll(unit.ReplacedError(o.member.Name, term))
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
