package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// holdPollInterval is the time between two checks for writes that still run.
const holdPollInterval = 2 * time.Millisecond

// writeHold counts the running writes of a member and refuses new ones while they are held back. A write counts from
// before its last check until its outcome is settled.
type writeHold struct {
	mu      sync.Mutex
	holds   int
	running int
}

// begin counts a write as running, or returns an error while writes are held back.
func (h *writeHold) begin() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.refusalLocked(); err != nil {
		return err
	}
	h.running++
	return nil
}

// end counts a running write as ended.
func (h *writeHold) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// refusal returns the error with which a new write would be refused now, or nil.
func (h *writeHold) refusal() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusalLocked()
}

// refusalLocked is refusal for callers that hold h.mu.
func (h *writeHold) refusalLocked() error {
	if h.holds > 0 {
		return errkind.New(errkind.NoPrimary, "the primary is being moved to another region; try again")
	}
	return nil
}

func (h *writeHold) addHolds(delta int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holds += delta
}

// idle reports whether no write runs.
func (h *writeHold) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running == 0
}

// QuiesceWrites refuses new writes and new write transactions as not run until release is called. It waits until the
// writes in progress have ended, including their acknowledgements, or ctx ends, and reports whether none is left.
func (o *Owner) QuiesceWrites(ctx context.Context) (release func(), ended bool) {
	o.hold.addHolds(1)
	tick := time.NewTicker(holdPollInterval)
	defer tick.Stop()
	for !o.writesEnded() {
		select {
		case <-ctx.Done():
			return func() { o.hold.addHolds(-1) }, false
		case <-tick.C:
		}
	}
	return func() { o.hold.addHolds(-1) }, true
}

// writesEnded reports whether no write runs and no write transaction is open. A unit that opens a transaction counts as
// running until the transaction is recorded.
func (o *Owner) writesEnded() bool {
	if !o.hold.idle() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, tx := range o.openTxs {
		if tx.write {
			return false
		}
	}
	return true
}

// QuiesceWrites calls Owner.QuiesceWrites for a member of this set. It reports false when this VM does not own the
// member by its current view, since another owner may then be running writes.
func (s *Set) QuiesceWrites(ctx context.Context, service, member string) (release func(), ended bool) {
	e, err := s.acquire(&unit.Unit{Service: service, Member: member})
	if err != nil {
		return func() {}, false
	}
	endHold, ended := e.owner.QuiesceWrites(ctx)
	return func() { endHold(); s.release(e) }, ended && s.opts.Owned(e.member)
}
