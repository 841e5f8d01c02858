package scheduler

import (
	"math"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Limits bounds how many units a Policy runs and queues.
type Limits struct {
	Slots        int // units that run at once; at least 1
	Transactions int // transactions that are open at once; at least 1
	MaxQueue     int // queued units per class; at least 1; statements of open transactions do not count
}

// maxClasses is the number of classes beyond which the state of idle classes is dropped.
const maxClasses = 64

// Policy orders the units of one member. It is not safe for concurrent use. The times passed to its methods must never
// decrease.
type Policy struct {
	limits              Limits
	epoch               time.Time
	nextSequence        uint64
	classes             []*class
	running             []*ScheduledUnit
	teams               map[string]*teamUsage
	openTransactions    [unit.RankCount]int // number of open transactions per rank
	transactionDuration durationEstimate    // how long a transaction stays open
	refusals            []Refusal           // queued units refused by Next or Expire and not yet taken by TakeRefused

	freeTimes []float64 // buffer that timesUntilFree reuses
}

// Refusal is a queued unit that was refused, with the reason.
type Refusal struct {
	Unit *ScheduledUnit
	Err  error
}

// NewPolicy returns a policy that counts time from epoch. Limits below 1 are raised to 1.
func NewPolicy(l Limits, epoch time.Time) *Policy {
	l.Slots, l.Transactions, l.MaxQueue = max(l.Slots, 1), max(l.Transactions, 1), max(l.MaxQueue, 1)
	return &Policy{limits: l, epoch: epoch, teams: map[string]*teamUsage{}}
}

// offset converts a time to an offset from the epoch.
func (p *Policy) offset(t time.Time) time.Duration { return t.Sub(p.epoch) }

// Enqueue admits a unit or refuses it with an error of kind Overload or DeadlineExceeded. Each admitted unit is later
// returned by Next or by TakeRefused, unless it is cancelled.
func (p *Policy) Enqueue(at time.Time, r Request) (*ScheduledUnit, error) {
	now := p.offset(at)
	c := p.classFor(&r, now)
	su := &ScheduledUnit{class: c, kind: r.kind(), sequence: p.nextSequence, deadline: farFuture, due: farFuture}
	p.nextSequence++
	if !r.Deadline.IsZero() {
		su.deadline = p.offset(r.Deadline)
	}
	if r.Target > 0 {
		arrived := now
		if !r.Arrived.IsZero() {
			arrived = p.offset(r.Arrived)
		}
		su.due = arrived + r.Target
	}
	su.due = min(su.due, su.deadline)
	su.team, su.work, su.priority = p.teamOf(r.Team, now), c.serviceTime.mean, r.Team.Priority
	su.beyond = su.kind != kindInTransaction && p.isBeyond(su.team, su.work, now)
	if err := p.admit(now, su, &r); err != nil {
		return nil, err
	}
	c.latestDue = max(c.latestDue, su.due)
	c.queues[su.kind].push(su)
	su.noteQueued()
	return su, nil
}

// admit decides whether a unit may be queued. A statement of an open transaction is refused only for its deadline,
// because any other refusal would leave a transaction without progress while it holds a connection. The number of such
// statements is bounded by Limits.Transactions.
func (p *Policy) admit(now time.Duration, su *ScheduledUnit, r *Request) error {
	c := su.class
	if su.deadline <= now {
		c.refusedDeadline++
		return deadlineError(c)
	}
	if su.kind == kindInTransaction {
		return nil
	}
	if len(c.queues[kindStandalone])+len(c.queues[kindNewTransaction]) >= p.limits.MaxQueue {
		c.refusedFull++
		return errkind.New(errkind.Overload, "queue of class %s is full (%d units)", c.name, p.limits.MaxQueue)
	}
	if p.canStartImmediately(now, su) || r.Target <= 0 {
		su.ignoresTarget = true
		return nil
	}
	wait := p.predictWait(now, su)
	left := (su.due - now).Seconds()
	service := c.serviceTimeFor(su)
	if wait+service <= left {
		return nil
	}
	if wait <= left && c.isIdle() {
		// Only the service time estimate of the class predicts a miss. Admit one unit at a time as a probe, so that
		// the estimate can recover.
		su.ignoresTarget = true
		return nil
	}
	c.refusedPredicted++
	return errkind.New(errkind.Overload, "class %s: predicted wait %.3f s plus service %.3f s exceeds the %.3f s left of its target",
		c.name, wait, service, max(left, 0))
}

// canStartImmediately reports whether a slot is free for the unit and no queued unit could take it.
func (p *Policy) canStartImmediately(now time.Duration, su *ScheduledUnit) bool {
	if len(p.running) >= p.limits.Slots || su.kind == kindNewTransaction && !p.mayBeginTransaction(su.class.rank) {
		return false
	}
	for _, c := range p.classes {
		if p.firstRunnable(c) != nil {
			return false
		}
	}
	return true
}

// Next returns the next unit to run, or nil when no slot is free or no queued unit can run. The caller must call
// Finish for each returned unit. Units that can no longer start in time are refused on the way and reported by
// TakeRefused.
func (p *Policy) Next(at time.Time) *ScheduledUnit {
	if len(p.running) >= p.limits.Slots {
		return nil
	}
	now := p.offset(at)
	for {
		su := p.pickNext(now)
		if su == nil {
			return nil
		}
		su.class.queues[su.kind].remove(su)
		su.noteDequeued()
		if err := p.errIfTooLate(now, su); err != nil {
			p.refuse(su, err)
			continue
		}
		p.start(now, su)
		return su
	}
}

// errIfTooLate returns an error, and counts the refusal, when the deadline of a unit has passed or its target can no
// longer be met. Otherwise it returns nil.
func (p *Policy) errIfTooLate(now time.Duration, su *ScheduledUnit) error {
	c := su.class
	if su.deadline <= now {
		c.refusedDeadline++
		return deadlineError(c)
	}
	if su.kind == kindInTransaction || su.ignoresTarget || now+seconds(c.serviceTimeFor(su)) <= su.due {
		return nil
	}
	c.refusedPredicted++
	return errkind.New(errkind.Overload, "class %s: the unit waited too long to meet its target", c.name)
}

func (p *Policy) refuse(su *ScheduledUnit, err error) {
	su.state = stateDone
	p.refusals = append(p.refusals, Refusal{Unit: su, Err: err})
}

// pickNext returns the queued unit that runs next, without removing it, or nil if none can run.
func (p *Policy) pickNext(now time.Duration) *ScheduledUnit {
	backlog := p.backloggedClasses()
	var first, underserved *ScheduledUnit
	for _, c := range p.classes {
		head := p.firstRunnable(c)
		if head == nil {
			continue
		}
		if first == nil || runsBefore(head, first) {
			first = head
		}
		if p.belowGuarantee(now, c, backlog) && (underserved == nil || runsBefore(head, underserved)) {
			underserved = head
		}
	}
	if underserved != nil {
		return underserved
	}
	return first
}

// runsBefore reports whether a runs before b, where both are the first runnable units of their classes.
func runsBefore(a, b *ScheduledUnit) bool {
	if a.class.rank != b.class.rank {
		return a.class.rank < b.class.rank
	}
	if aOpen, bOpen := a.kind == kindInTransaction, b.kind == kindInTransaction; aOpen != bOpen {
		return aOpen
	}
	return a.dueBefore(b)
}

// backloggedClasses returns the number of classes with runnable units in each rank.
func (p *Policy) backloggedClasses() (n [unit.RankCount]int) {
	for _, c := range p.classes {
		if p.firstRunnable(c) != nil {
			n[c.rank]++
		}
	}
	return n
}

// belowGuarantee reports whether a class with queued units has used less than its guaranteed share and must go first.
// The preference covers no more slots than the share amounts to, rounded up, so that a class that was idle does not
// take every slot at once.
func (p *Policy) belowGuarantee(now time.Duration, c *class, backlog [unit.RankCount]int) bool {
	share := p.guaranteedSlots(c, backlog)
	if float64(c.runningCount) >= math.Ceil(share) {
		return false
	}
	c.updateUsage(now)
	return c.chargedUsage < share*usageTimeConstant.Seconds()
}

// guaranteedSlots returns the guaranteed share of a class as a number of slots. The classes of a rank that have
// runnable units divide the share of the rank equally.
func (p *Policy) guaranteedSlots(c *class, backlog [unit.RankCount]int) float64 {
	return guaranteedShare[c.rank] * float64(p.limits.Slots) / float64(max(backlog[c.rank], 1))
}

// firstRunnable returns the queued unit of the class that would run first, or nil if none can run now.
func (p *Policy) firstRunnable(c *class) *ScheduledUnit {
	if su := c.queues[kindInTransaction].peek(); su != nil {
		return su
	}
	plain, begin := c.queues[kindStandalone].peek(), c.queues[kindNewTransaction].peek()
	if begin == nil || !p.mayBeginTransaction(c.rank) {
		return plain
	}
	if plain == nil || begin.dueBefore(plain) {
		return begin
	}
	return plain
}

// start gives the unit a slot and, if it opens a transaction, a connection.
func (p *Policy) start(now time.Duration, su *ScheduledUnit) {
	c := su.class
	c.updateUsage(now)
	backlog := p.backloggedClasses()
	if p.firstRunnable(c) == nil {
		backlog[c.rank]++ // the started unit was the last runnable one of its class
	}
	c.chargedUsage = min(c.chargedUsage, maxChargeFactor*p.guaranteedSlots(c, backlog)*usageTimeConstant.Seconds())
	c.runningCount++
	c.granted++
	if su.team != nil {
		su.team.update(now)
		su.team.running++
	}
	su.state, su.started, su.index = stateRunning, now, len(p.running)
	p.running = append(p.running, su)
	if su.kind == kindNewTransaction {
		p.openTransactions[c.rank]++
	}
}

// Finish frees the slot of a running unit. keepOpen says that the unit left the transaction that it began open, which
// the caller must then end by passing the result to EndTransaction. If the limit of open transactions is
// reached and the request did not set NewTransaction, the result is nil and the caller must roll the transaction back.
// The result is also nil when keepOpen is false, when the transaction was open before the unit, or when the unit is not
// running.
func (p *Policy) Finish(at time.Time, su *ScheduledUnit, keepOpen bool) *OpenTransaction {
	if su.state != stateRunning {
		return nil
	}
	now := p.offset(at)
	c := su.class
	c.updateUsage(now)
	c.runningCount--
	if su.team != nil {
		su.team.update(now)
		su.team.running--
	}
	c.serviceTime.add(now - su.started)
	su.state = stateDone
	last := len(p.running) - 1
	p.running[su.index] = p.running[last]
	p.running[su.index].index = su.index
	p.running[last] = nil
	p.running = p.running[:last]
	return p.finishTransaction(now, su, keepOpen)
}

func (p *Policy) finishTransaction(now time.Duration, su *ScheduledUnit, keepOpen bool) *OpenTransaction {
	rank := su.class.rank
	switch {
	case su.kind == kindNewTransaction && !keepOpen:
		p.openTransactions[rank]--
		p.transactionDuration.add(now - su.started)
	case su.kind == kindNewTransaction:
		return &OpenTransaction{rank: rank, began: su.started}
	case su.kind == kindStandalone && keepOpen && p.openTransactionCount() < p.limits.Transactions:
		p.openTransactions[rank]++
		return &OpenTransaction{rank: rank, began: su.started}
	}
	return nil
}

// Cancel removes a unit that is still queued. It returns false when the unit is running or done.
func (p *Policy) Cancel(su *ScheduledUnit) bool {
	if su.state != stateQueued {
		return false
	}
	su.class.queues[su.kind].remove(su)
	su.noteDequeued()
	su.class.cancelled++
	su.state = stateDone
	return true
}

// Resize changes the limits. Running units and open transactions that exceed a lowered limit are not interrupted.
func (p *Policy) Resize(slots, transactions int) {
	p.limits.Slots, p.limits.Transactions = max(slots, 1), max(transactions, 1)
}

// classFor returns the state of the request's class and sets its target to that of the request. It creates the state
// if it does not exist.
func (p *Policy) classFor(r *Request, now time.Duration) *class {
	rank := min(r.Rank, unit.RankCount-1)
	for _, c := range p.classes {
		if c.name == r.Class && c.rank == rank {
			c.target = r.Target
			return c
		}
	}
	if len(p.classes) >= maxClasses {
		p.dropIdleClasses()
	}
	c := &class{name: r.Class, rank: rank, target: r.Target, usageUpdated: now}
	p.classes = append(p.classes, c)
	return c
}

func (p *Policy) dropIdleClasses() {
	kept := p.classes[:0]
	for _, c := range p.classes {
		if !c.isIdle() {
			kept = append(kept, c)
		}
	}
	clear(p.classes[len(kept):])
	p.classes = kept
}

func deadlineError(c *class) error {
	return errkind.New(errkind.DeadlineExceeded, "class %s: the deadline passed before the unit started", c.name)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
