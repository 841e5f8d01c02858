package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Options configures a Scheduler.
type Options struct {
	Slots        int              // units that run at once on the member
	Transactions int              // open transactions; the reserve of connections is already deducted
	MaxQueue     int              // queued units per class; 0: DefaultMaxQueue
	Now          func() time.Time // clock; nil: time.Now
}

// DefaultMaxQueue is the queue bound per class when none is given.
const DefaultMaxQueue = 4096

// Scheduler is a Policy for concurrent callers. It starts no goroutine; one timer refuses units whose time has passed
// while no slot becomes free.
type Scheduler struct {
	now func() time.Time

	mu     sync.Mutex
	policy *Policy
	closed bool
	timer  *time.Timer
	armed  time.Duration // when the timer fires; forever: not armed
}

// waiter is an Acquire call that waits for its turn. Its channel is closed after err is set.
type waiter struct {
	done chan struct{}
	err  error
}

// New returns a scheduler for one member.
func New(o Options) *Scheduler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = DefaultMaxQueue
	}
	l := Limits{Slots: o.Slots, Transactions: o.Transactions, MaxQueue: o.MaxQueue}
	return &Scheduler{now: o.Now, policy: NewPolicy(l, o.Now()), armed: forever}
}

// Grant is the right to run one unit. It must be released exactly once; further releases have no effect.
type Grant struct {
	s    *Scheduler
	item *Item
}

// Transaction is an open transaction that holds one connection until End.
type Transaction struct {
	s    *Scheduler
	open *OpenTransaction
}

// Acquire waits until the unit may run. It returns an error of kind Overload (refused early), DeadlineExceeded, Draining
// (scheduler closed) or Cancelled (ctx ended); in each case the unit holds no slot and must not run.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, cancelled(err)
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, errClosed()
	}
	now := s.now()
	it, err := s.policy.Enqueue(now, r)
	if err != nil {
		s.mu.Unlock()
		return nil, err
	}
	s.dispatch(now)
	if it.state == stateRunning {
		s.mu.Unlock()
		return &Grant{s: s, item: it}, nil
	}
	w := &waiter{done: make(chan struct{})}
	it.waiter = w
	s.arm(now, it.expiry())
	s.mu.Unlock()
	return s.wait(ctx, it, w)
}

func (s *Scheduler) wait(ctx context.Context, it *Item, w *waiter) (*Grant, error) {
	select {
	case <-w.done:
	case <-ctx.Done():
		s.mu.Lock()
		removed := s.policy.Cancel(it)
		s.mu.Unlock()
		if removed {
			return nil, cancelled(ctx.Err())
		}
		<-w.done // granted or refused at the same moment; the caller still gets a grant that it must release
	}
	if w.err != nil {
		return nil, w.err
	}
	return &Grant{s: s, item: it}, nil
}

// dispatch grants what can run and wakes the callers of what was granted or refused. s.mu is held.
func (s *Scheduler) dispatch(now time.Time) {
	for it := s.policy.Next(now); it != nil; it = s.policy.Next(now) {
		it.wake(nil)
	}
	for _, r := range s.policy.TakeRefused() {
		r.Item.wake(r.Err)
	}
}

func (it *Item) wake(err error) {
	if it.waiter != nil {
		it.waiter.err = err
		close(it.waiter.done)
	}
}

// arm makes sure that the timer fires no later than at. s.mu is held.
func (s *Scheduler) arm(now time.Time, at time.Duration) {
	if at >= s.armed || s.closed {
		return
	}
	s.armed = at
	delay := max(at-s.policy.offset(now), 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, s.expire)
		return
	}
	s.timer.Reset(delay)
}

// expire refuses the units whose time has passed.
func (s *Scheduler) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.armed = forever
	next := s.policy.Expire(now)
	s.dispatch(now)
	if next != forever {
		s.arm(now, max(next, s.policy.offset(now)+minExpireInterval))
	}
}

// minExpireInterval bounds how often the timer fires.
const minExpireInterval = time.Millisecond

// Release gives the slot back. A transaction that the unit was to open counts as ended.
func (g *Grant) Release() { g.finish(false) }

// ReleaseKeepingTransaction gives the slot back while the transaction that the unit opened stays open. It returns nil when the
// unit did not announce a transaction and no connection may be held for it: the caller must then roll back.
func (g *Grant) ReleaseKeepingTransaction() *Transaction {
	open := g.finish(true)
	if open == nil {
		return nil
	}
	return &Transaction{s: g.s, open: open}
}

func (g *Grant) finish(keep bool) *OpenTransaction {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	now := g.s.now()
	open := g.s.policy.Finish(now, g.item, keep)
	g.s.dispatch(now)
	return open
}

// End gives the transaction's connection back. Further calls have no effect.
func (t *Transaction) End() {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	now := t.s.now()
	t.s.policy.EndTransaction(now, t.open)
	t.s.dispatch(now)
}

// Resize changes slots and open transactions when the platform states others for the member.
func (s *Scheduler) Resize(slots, transactions int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Resize(slots, transactions)
	s.dispatch(s.now())
}

// Close refuses all queued and future units with kind Draining. Running units and open transactions are released by
// their callers as usual.
func (s *Scheduler) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	for _, it := range s.policy.cancelAll() {
		it.wake(errClosed())
	}
}

// Stats returns the present state and the counts since the start.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Stats(s.now())
}

func errClosed() error {
	return errkind.New(errkind.Draining, "the member's owner is closing its scheduler")
}

func cancelled(cause error) error {
	if cause == context.DeadlineExceeded {
		return errkind.Wrap(errkind.DeadlineExceeded, cause, "the unit did not start in time")
	}
	return errkind.Wrap(errkind.Cancelled, cause, "the caller gave up before the unit started")
}
