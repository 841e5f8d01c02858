package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Options configures a Scheduler.
type Options struct {
	Slots        int              // number of units that run on the member at once
	Transactions int              // number of transactions open at once, without the reserved connections
	MaxQueue     int              // limit of queued units per class; 0: DefaultMaxQueue
	Now          func() time.Time // clock; nil: time.Now
}

// DefaultMaxQueue is the limit of queued units per class if Options sets none.
const DefaultMaxQueue = 4096

// Scheduler makes a Policy usable by concurrent callers. It starts no goroutine of its own. One timer refuses units
// whose expiry passes while no slot becomes free.
type Scheduler struct {
	now func() time.Time

	mu      sync.Mutex
	policy  *Policy
	closed  bool
	timer   *time.Timer
	timerAt time.Duration // when the timer fires, as an offset from the policy's epoch; farFuture: not armed
}

// waiter is a blocked Acquire call. err is set before done is closed.
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
	return &Scheduler{now: o.Now, policy: NewPolicy(l, o.Now()), timerAt: farFuture}
}

// Grant is the permission to run one unit. The holder must release it once; further releases have no effect.
type Grant struct {
	scheduler *Scheduler
	unit      *ScheduledUnit
}

// Transaction is the handle by which the caller ends an open transaction, which holds one connection until End is called.
type Transaction struct {
	scheduler       *Scheduler
	openTransaction *OpenTransaction
}

// Acquire blocks until the unit may run. It returns an error of kind Overload (the target or the queue limit cannot be
// met), DeadlineExceeded (the deadline of the request or of ctx passed), Draining (the scheduler is closed) or Cancelled
// (ctx was cancelled). After an error the unit holds no slot and must not run.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, cancelledError(err)
	}
	su, err := s.enqueue(r)
	switch {
	case err != nil:
		return nil, err
	case su.waiter != nil:
		return s.awaitGrant(ctx, su, su.waiter)
	}
	return &Grant{scheduler: s, unit: su}, nil
}

// enqueue adds a unit. The unit has a waiter unless it runs already.
func (s *Scheduler) enqueue(r Request) (*ScheduledUnit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, closedError()
	}
	now := s.now()
	su, err := s.policy.Enqueue(now, r)
	if err != nil {
		return nil, err
	}
	s.dispatch(now)
	if su.state != stateRunning {
		su.waiter = &waiter{done: make(chan struct{})}
		s.armTimer(now, su.expiry())
	}
	return su, nil
}

func (s *Scheduler) awaitGrant(ctx context.Context, su *ScheduledUnit, w *waiter) (*Grant, error) {
	select {
	case <-w.done:
	case <-ctx.Done():
		if s.cancel(su) {
			return nil, cancelledError(ctx.Err())
		}
		<-w.done // granted or refused concurrently; the caller still receives a grant that it must release
	}
	if w.err != nil {
		return nil, w.err
	}
	return &Grant{scheduler: s, unit: su}, nil
}

// cancel removes a unit that still waits and reports whether it did.
func (s *Scheduler) cancel(su *ScheduledUnit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Cancel(su)
}

// dispatch starts all units that can run and wakes the callers of the units that were granted or refused. s.mu must be
// held.
func (s *Scheduler) dispatch(now time.Time) {
	for su := s.policy.Next(now); su != nil; su = s.policy.Next(now) {
		su.wakeWaiter(nil)
	}
	for _, r := range s.policy.TakeRefused() {
		r.Unit.wakeWaiter(r.Err)
	}
}

func (su *ScheduledUnit) wakeWaiter(err error) {
	if su.waiter != nil {
		su.waiter.err = err
		close(su.waiter.done)
	}
}

// armTimer ensures that the timer fires no later than at. s.mu must be held.
func (s *Scheduler) armTimer(now time.Time, at time.Duration) {
	if at >= s.timerAt || s.closed {
		return
	}
	s.timerAt = at
	delay := max(at-s.policy.offset(now), 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, s.refuseExpired)
		return
	}
	s.timer.Reset(delay)
}

// refuseExpired is called by the timer. It refuses the units whose expiry has passed and arms the timer for the next
// one.
func (s *Scheduler) refuseExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.timerAt = farFuture
	next := s.policy.Expire(now)
	s.dispatch(now)
	if next != farFuture {
		s.armTimer(now, max(next, s.policy.offset(now)+minExpireInterval))
	}
}

// minExpireInterval is the shortest time between two runs of the timer.
const minExpireInterval = time.Millisecond

// Release frees the slot. If the unit opened a transaction, the transaction counts as ended.
func (g *Grant) Release() { g.finish(false) }

// ReleaseKeepingTransaction frees the slot while the transaction that the unit opened stays open. It returns nil, and the
// caller must roll the transaction back, if the limit of open transactions is reached and the request did not set
// NewTransaction.
func (g *Grant) ReleaseKeepingTransaction() *Transaction {
	open := g.finish(true)
	if open == nil {
		return nil
	}
	return &Transaction{scheduler: g.scheduler, openTransaction: open}
}

func (g *Grant) finish(keepOpen bool) *OpenTransaction {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	now := g.scheduler.now()
	open := g.scheduler.policy.Finish(now, g.unit, keepOpen)
	g.scheduler.dispatch(now)
	return open
}

// End releases the connection of the transaction. Further calls have no effect.
func (t *Transaction) End() {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	now := t.scheduler.now()
	t.scheduler.policy.EndTransaction(now, t.openTransaction)
	t.scheduler.dispatch(now)
}

// Resize changes the number of slots and of open transactions, for when the platform reports new limits of the member.
func (s *Scheduler) Resize(slots, transactions int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Resize(slots, transactions)
	s.dispatch(s.now())
}

// Close refuses all queued and future units with kind Draining. Callers still release running units and end open
// transactions as usual.
func (s *Scheduler) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	for _, su := range s.policy.cancelAllQueued() {
		su.wakeWaiter(closedError())
	}
}

// Stats returns the current state and the counts since the scheduler was created.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Stats(s.now())
}

func closedError() error {
	return errkind.New(errkind.Draining, "this entry VM is stopping or no longer owns the member, so the unit was not run")
}

func cancelledError(cause error) error {
	if cause == context.DeadlineExceeded {
		return errkind.Wrap(errkind.DeadlineExceeded, cause, "the deadline passed before the unit started")
	}
	return errkind.Wrap(errkind.Cancelled, cause, "the caller cancelled the request before it started")
}
