package scheduler

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Request describes one unit of work that needs a slot.
type Request struct {
	Class          string        // name of the class of work
	Rank           unit.Rank     // rank of the class
	Target         time.Duration // target latency, counted from Arrived; 0: none, and predictions never refuse the unit
	Deadline       time.Time     // the unit is refused if it has not started by then; zero: no deadline
	NewTransaction bool          // the unit opens a transaction and needs its own connection
	InTransaction  bool          // the unit belongs to an open transaction, which already holds a connection
	Team           Team          // whose unit it is
	Arrived        time.Time     // when the caller's request reached the system; zero: the time of Enqueue
}

// queueKind distinguishes the three queues of a class.
type queueKind uint8

const (
	kindInTransaction  queueKind = iota // statement of an open transaction
	kindStandalone                      // unit outside any transaction
	kindNewTransaction                  // unit that opens a transaction
	kindCount
)

func (r *Request) kind() queueKind {
	switch {
	case r.InTransaction:
		return kindInTransaction
	case r.NewTransaction:
		return kindNewTransaction
	default:
		return kindStandalone
	}
}

type unitState uint8

const (
	stateQueued unitState = iota
	stateRunning
	stateDone
)

// farFuture is later than any time that a policy compares it with. It stands for "never".
const farFuture = time.Duration(1<<63 - 1)

// ScheduledUnit is one unit known to a Policy, from Enqueue until it finishes, is cancelled or is refused. Times are offsets
// from the epoch of the policy.
type ScheduledUnit struct {
	class         *class
	kind          queueKind
	state         unitState
	ignoresTarget bool          // only the deadline refuses it: it has no target, found an idle slot, or is a probe
	index         int           // position in its queue's heap or, once it runs, in Policy.running
	sequence      uint64        // order of arrival at the policy
	due           time.Duration // earlier of target and deadline; farFuture: none
	deadline      time.Duration // farFuture: none
	started       time.Duration
	team          *teamUsage // nil: no team
	work          float64    // expected service time in seconds
	beyond        bool       // its team has used more than its part of the member
	priority      int        // of its team, among units that are beyond

	waiter *waiter // set by Scheduler while its caller waits
}

// Class returns the name of the unit's class.
func (su *ScheduledUnit) Class() string { return su.class.name }

// dueBefore reports whether su precedes o, a unit of the same queue kind and rank: units that are beyond the parts of their
// teams come last, by the priority of their teams. Within these groups units go by due time, then by order of arrival.
func (su *ScheduledUnit) dueBefore(o *ScheduledUnit) bool {
	if su.beyond != o.beyond {
		return o.beyond
	}
	if su.beyond && su.priority != o.priority {
		return su.priority < o.priority
	}
	if su.due != o.due {
		return su.due < o.due
	}
	return su.sequence < o.sequence
}

// dueHeap is a binary min-heap of units ordered by dueBefore.
type dueHeap []*ScheduledUnit

func (h dueHeap) peek() *ScheduledUnit {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

func (h *dueHeap) push(su *ScheduledUnit) {
	su.index = len(*h)
	*h = append(*h, su)
	h.siftUp(su.index)
}

func (h *dueHeap) remove(su *ScheduledUnit) {
	i, last := su.index, len(*h)-1
	if i != last {
		h.swap(i, last)
	}
	(*h)[last] = nil
	*h = (*h)[:last]
	if i != last {
		h.siftDown(i)
		h.siftUp(i)
	}
	su.index = -1
}

func (h dueHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h dueHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].dueBefore(h[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h dueHeap) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].dueBefore(h[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
