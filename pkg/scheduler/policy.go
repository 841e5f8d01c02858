package scheduler

import (
	"math"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Limits bounds what a Policy lets run and wait.
type Limits struct {
	Slots        int // units that run at once, at least 1
	Transactions int // transactions open at once, at least 1
	MaxQueue     int // queued units per class, at least 1; statements of open transactions are not counted
}

// maxClasses bounds the classes whose state is kept; idle ones are dropped beyond it.
const maxClasses = 64

// Policy orders the units of one member. It is not safe for concurrent use. Times passed in must not go back.
type Policy struct {
	limits  Limits
	epoch   time.Time
	seq     uint64
	classes []*class
	running []*Item
	open    [unit.RankCount]int // open transactions per rank
	hold    estimate            // how long a transaction stays open
	refused []Refusal           // refused by Next or Expire, until taken

	residuals []float64 // scratch space of predict
}

// Refusal is a queued unit that will not run.
type Refusal struct {
	Item *Item
	Err  error
}

// NewPolicy returns a policy whose first time is epoch. Limits below 1 are taken as 1.
func NewPolicy(l Limits, epoch time.Time) *Policy {
	l.Slots, l.Transactions, l.MaxQueue = max(l.Slots, 1), max(l.Transactions, 1), max(l.MaxQueue, 1)
	return &Policy{limits: l, epoch: epoch}
}

func (p *Policy) offset(t time.Time) time.Duration { return t.Sub(p.epoch) }

// Enqueue admits a unit, or refuses it with kind Overload or DeadlineExceeded. An admitted unit is later returned by Next
// or by TakeRefused, unless it is cancelled.
func (p *Policy) Enqueue(at time.Time, r Request) (*Item, error) {
	now := p.offset(at)
	c := p.class(&r, now)
	it := &Item{class: c, kind: r.kind(), seq: p.seq, hard: forever, due: forever}
	p.seq++
	if !r.Deadline.IsZero() {
		it.hard = p.offset(r.Deadline)
	}
	if r.Target > 0 {
		arrived := now
		if !r.Arrived.IsZero() {
			arrived = p.offset(r.Arrived)
		}
		it.due = arrived + r.Target
	}
	it.due = min(it.due, it.hard)
	if err := p.admit(now, it, &r); err != nil {
		return nil, err
	}
	c.lastDue = max(c.lastDue, it.due)
	c.queues[it.kind].push(it)
	return it, nil
}

// admit decides whether a unit may be queued. Statements of open transactions are refused for their deadline
// only: a refusal would strand a transaction that holds a connection, and they are bounded by Transactions.
func (p *Policy) admit(now time.Duration, it *Item, r *Request) error {
	c := it.class
	if it.hard <= now {
		c.refusedDeadline++
		return errDeadline(c)
	}
	if it.kind == kindOpen {
		return nil
	}
	if len(c.queues[kindPlain])+len(c.queues[kindBegin]) >= p.limits.MaxQueue {
		c.refusedFull++
		return errkind.New(errkind.Overload, "queue of class %s is full (%d units)", c.name, p.limits.MaxQueue)
	}
	if p.startsAtOnce(now, it) || r.Target <= 0 {
		it.mustRun = true
		return nil
	}
	wait := p.predict(now, it)
	left := (it.due - now).Seconds()
	service := c.serviceFor(it)
	if wait+service <= left {
		return nil
	}
	if wait <= left && c.idle() {
		// Only the class's own estimate speaks against the unit: run one at a time to measure again.
		it.mustRun = true
		return nil
	}
	c.refusedPredicted++
	return errkind.New(errkind.Overload, "class %s: predicted wait %.3f s plus service %.3f s exceeds the %.3f s left of its target",
		c.name, wait, service, max(left, 0))
}

// startsAtOnce reports whether the unit finds a free slot and no runnable backlog.
func (p *Policy) startsAtOnce(now time.Duration, it *Item) bool {
	if len(p.running) >= p.limits.Slots || it.kind == kindBegin && !p.mayBegin(it.class.rank) {
		return false
	}
	for _, c := range p.classes {
		if p.head(c) != nil {
			return false
		}
	}
	return true
}

// Next returns the unit to run now, or nil when no slot is free or nothing can run. The caller must call Finish
// for each unit returned. Units found to be past their time are refused: see TakeRefused.
func (p *Policy) Next(at time.Time) *Item {
	if len(p.running) >= p.limits.Slots {
		return nil
	}
	now := p.offset(at)
	for {
		it := p.pick(now)
		if it == nil {
			return nil
		}
		it.class.queues[it.kind].remove(it)
		if err := p.tooLate(now, it); err != nil {
			p.refuse(it, err)
			continue
		}
		p.start(now, it)
		return it
	}
}

// tooLate returns an error when a unit's deadline has passed or its target can no longer be met.
func (p *Policy) tooLate(now time.Duration, it *Item) error {
	c := it.class
	if it.hard <= now {
		c.refusedDeadline++
		return errDeadline(c)
	}
	if it.kind == kindOpen || it.mustRun || now+seconds(c.serviceFor(it)) <= it.due {
		return nil
	}
	c.refusedPredicted++
	return errkind.New(errkind.Overload, "class %s: the unit waited too long to meet its target", c.name)
}

func (p *Policy) refuse(it *Item, err error) {
	it.state = stateDone
	p.refused = append(p.refused, Refusal{Item: it, Err: err})
}

// pick returns the queued unit that goes first, without removing it.
func (p *Policy) pick(now time.Duration) *Item {
	backlog := p.backlog()
	var first, owed *Item
	for _, c := range p.classes {
		head := p.head(c)
		if head == nil {
			continue
		}
		if first == nil || goesBefore(head, first) {
			first = head
		}
		if p.owed(now, c, backlog) && (owed == nil || goesBefore(head, owed)) {
			owed = head
		}
	}
	if owed != nil {
		return owed
	}
	return first
}

// goesBefore orders the heads of two classes.
func goesBefore(a, b *Item) bool {
	if a.class.rank != b.class.rank {
		return a.class.rank < b.class.rank
	}
	if aOpen, bOpen := a.kind == kindOpen, b.kind == kindOpen; aOpen != bOpen {
		return aOpen
	}
	return a.before(b)
}

// backlog counts the classes with runnable units in each rank.
func (p *Policy) backlog() (n [unit.RankCount]int) {
	for _, c := range p.classes {
		if p.head(c) != nil {
			n[c.rank]++
		}
	}
	return n
}

// owed reports whether a class with backlog is below its guaranteed share. It then goes first, but on no more slots
// than the share amounts to, so that a class that was idle does not take every slot at once.
func (p *Policy) owed(now time.Duration, c *class, backlog [unit.RankCount]int) bool {
	share := p.share(c, backlog)
	if float64(c.running) >= math.Ceil(share) {
		return false
	}
	c.advance(now)
	return c.charge < share*shareWindow.Seconds()
}

// share returns the guaranteed share of a class in slots.
func (p *Policy) share(c *class, backlog [unit.RankCount]int) float64 {
	return guaranteed[c.rank] * float64(p.limits.Slots) / float64(max(backlog[c.rank], 1))
}

// head returns the class's first runnable unit.
func (p *Policy) head(c *class) *Item {
	if it := c.queues[kindOpen].head(); it != nil {
		return it
	}
	plain, begin := c.queues[kindPlain].head(), c.queues[kindBegin].head()
	if begin == nil || !p.mayBegin(c.rank) {
		return plain
	}
	if plain == nil || begin.before(plain) {
		return begin
	}
	return plain
}

// start gives a unit a slot and, if it begins a transaction, a connection.
func (p *Policy) start(now time.Duration, it *Item) {
	c := it.class
	c.advance(now)
	backlog := p.backlog()
	if p.head(c) == nil {
		backlog[c.rank]++ // the unit itself was the class's backlog
	}
	c.charge = min(c.charge, chargeCap*p.share(c, backlog)*shareWindow.Seconds())
	c.running++
	c.granted++
	it.state, it.started, it.index = stateRunning, now, len(p.running)
	p.running = append(p.running, it)
	if it.kind == kindBegin {
		p.open[c.rank]++
	}
}

// Finish takes the slot back. keep says that the unit left a transaction open; the returned transaction must then
// be ended with EndTransaction. It is nil when a unit that did not announce a transaction exceeds the limit: the
// caller must then roll it back.
func (p *Policy) Finish(at time.Time, it *Item, keep bool) *OpenTransaction {
	if it.state != stateRunning {
		return nil
	}
	now := p.offset(at)
	c := it.class
	c.advance(now)
	c.running--
	c.est.add(now - it.started)
	it.state = stateDone
	last := len(p.running) - 1
	p.running[it.index] = p.running[last]
	p.running[it.index].index = it.index
	p.running[last] = nil
	p.running = p.running[:last]
	return p.finishTransaction(now, it, keep)
}

func (p *Policy) finishTransaction(now time.Duration, it *Item, keep bool) *OpenTransaction {
	rank := it.class.rank
	switch {
	case it.kind == kindBegin && !keep:
		p.open[rank]--
		p.hold.add(now - it.started)
	case it.kind == kindBegin:
		return &OpenTransaction{rank: rank, began: it.started}
	case it.kind == kindPlain && keep && p.openTotal() < p.limits.Transactions:
		p.open[rank]++
		return &OpenTransaction{rank: rank, began: it.started}
	}
	return nil
}

// Cancel removes a unit that still waits. It reports false when the unit runs or is done.
func (p *Policy) Cancel(it *Item) bool {
	if it.state != stateQueued {
		return false
	}
	it.class.queues[it.kind].remove(it)
	it.class.cancelled++
	it.state = stateDone
	return true
}

// Resize changes the limits. Units that run and transactions that are open beyond a lower limit go on.
func (p *Policy) Resize(slots, transactions int) {
	p.limits.Slots, p.limits.Transactions = max(slots, 1), max(transactions, 1)
}

// class returns the state of a request's class, creating it when needed.
func (p *Policy) class(r *Request, now time.Duration) *class {
	rank := min(r.Rank, unit.RankCount-1)
	for _, c := range p.classes {
		if c.name == r.Class && c.rank == rank {
			c.target = r.Target
			return c
		}
	}
	if len(p.classes) >= maxClasses {
		p.dropIdle()
	}
	c := &class{name: r.Class, rank: rank, target: r.Target, updated: now}
	p.classes = append(p.classes, c)
	return c
}

func (p *Policy) dropIdle() {
	kept := p.classes[:0]
	for _, c := range p.classes {
		if !c.idle() {
			kept = append(kept, c)
		}
	}
	clear(p.classes[len(kept):])
	p.classes = kept
}

func errDeadline(c *class) error {
	return errkind.New(errkind.DeadlineExceeded, "class %s: deadline passed before the unit could start", c.name)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
