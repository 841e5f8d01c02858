package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// holdPollInterval is the time between two looks for writes that still run.
const holdPollInterval = 2 * time.Millisecond

// writeHold counts the writes of a member from before their last check until their outcome is settled, and keeps new
// ones from starting.
type writeHold struct {
	mu      sync.Mutex
	holds   int
	running int
}

// begin admits a write, or refuses it while writes are held back.
func (h *writeHold) begin() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.refusalLocked(); err != nil {
		return err
	}
	h.running++
	return nil
}

func (h *writeHold) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// refusal returns the error with which a new write would be refused now.
func (h *writeHold) refusal() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusalLocked()
}

func (h *writeHold) refusalLocked() error {
	if h.holds > 0 {
		return errkind.New(errkind.NoPrimary, "the primary is being moved to another region")
	}
	return nil
}

func (h *writeHold) addHolds(by int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holds += by
}

func (h *writeHold) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running == 0
}

// HoldWrites refuses new writes and new write transactions as not run until release is called, and waits until those
// in progress have ended, acknowledgements included, or ctx ends. It reports whether none is left.
func (o *Owner) HoldWrites(ctx context.Context) (release func(), ended bool) {
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

// HoldWrites is Owner.HoldWrites for a member of this set. It reports false when this VM does not own the member by
// the present view: another owner may run writes then.
func (s *Set) HoldWrites(ctx context.Context, service, member string) (release func(), ended bool) {
	e, err := s.acquire(&unit.Unit{Service: service, Member: member})
	if err != nil {
		return func() {}, false
	}
	endHold, ended := e.owner.HoldWrites(ctx)
	return func() { endHold(); s.release(e) }, ended && s.opts.Owned(e.member)
}
