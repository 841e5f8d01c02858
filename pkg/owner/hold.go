package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// holdInterval is the time between two looks for writes that still run.
const holdInterval = 2 * time.Millisecond

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
	if err := h.check(); err != nil {
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

// refuses returns the error with which a new write would be refused now.
func (h *writeHold) refuses() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.check()
}

func (h *writeHold) check() error {
	if h.holds > 0 {
		return errkind.New(errkind.NoPrimary, "the primary is being moved to another region")
	}
	return nil
}

func (h *writeHold) change(by int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holds += by
}

func (h *writeHold) idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running == 0
}

// QuiesceWrites refuses new writes and new write transactions as not run until release is called, and waits until those
// in progress have ended, acknowledgements included, or ctx ends. It reports whether none is left.
func (o *Owner) QuiesceWrites(ctx context.Context) (release func(), quiet bool) {
	o.hold.change(1)
	tick := time.NewTicker(holdInterval)
	defer tick.Stop()
	for !o.quiet() {
		select {
		case <-ctx.Done():
			return func() { o.hold.change(-1) }, false
		case <-tick.C:
		}
	}
	return func() { o.hold.change(-1) }, true
}

// quiet reports whether no write runs and no write transaction is open. A unit that opens a transaction counts as
// running until the transaction is recorded.
func (o *Owner) quiet() bool {
	if !o.hold.idle() {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, tx := range o.open {
		if tx.write {
			return false
		}
	}
	return true
}

// QuiesceWrites is Owner.QuiesceWrites for a member of this set. It reports false when this VM does not own the member by
// the present view: another owner may run writes then.
func (s *Set) QuiesceWrites(ctx context.Context, service, member string) (release func(), quiet bool) {
	e, err := s.acquire(&unit.Unit{Service: service, Member: member})
	if err != nil {
		return func() {}, false
	}
	end, quiet := e.owner.QuiesceWrites(ctx)
	return func() { end(); s.release(e) }, quiet && s.o.Owned(e.member)
}
