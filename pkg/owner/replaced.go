package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// unwatchedPause is the time between looks at a service that this VM does not watch yet.
const unwatchedPause = 200 * time.Millisecond

// writes holds the running writes of a member, so that they end as soon as it is known that the member is no longer
// the primary: they can never be acknowledged, and waiting for a frozen member would hold their callers until the
// deadline.
type writes struct {
	mu      sync.Mutex
	next    uint64
	running map[uint64]context.CancelCauseFunc
}

// add returns a context that ends with the replacement of the primary, and the function that removes the write.
func (w *writes) add(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	id := w.next
	w.running[id] = cancel
	return ctx, func() {
		w.mu.Lock()
		delete(w.running, id)
		w.mu.Unlock()
		cancel(nil)
	}
}

func (w *writes) cancelAll(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.running {
		cancel(cause)
	}
}

// watchPrimary cancels running writes when another member is the primary, until ctx ends.
func (o *Owner) watchPrimary(ctx context.Context) {
	defer close(o.watched)
	for {
		changed := o.watcher.Changed(o.member.Service)
		primary, term, ok := o.watcher.Primary(o.member.Service)
		if ok && primary != "" && primary != o.member.Name {
			o.writes.cancelAll(unit.PrimaryReplaced(o.member.Name, term))
		}
		var pause <-chan time.Time
		if !ok {
			changed, pause = nil, time.After(unwatchedPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-pause:
		}
	}
}
