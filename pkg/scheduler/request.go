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

type itemState uint8

const (
	stateQueued itemState = iota
	stateRunning
	stateDone
)

// farFuture is later than any time that a policy compares it with. It stands for "never".
const farFuture = time.Duration(1<<63 - 1)

// Item is one unit known to a Policy, from Enqueue until it finishes, is cancelled or is refused. Times are offsets
// from the epoch of the policy.
type Item struct {
	class         *class
	kind          queueKind
	state         itemState
	ignoresTarget bool          // only the deadline refuses it: it has no target, found an idle slot, or is a probe
	index         int           // position in its queue's heap or, once it runs, in Policy.running
	sequence      uint64        // order of arrival at the policy
	due           time.Duration // earlier of target and deadline; farFuture: none
	deadline      time.Duration // farFuture: none
	started       time.Duration

	waiter *waiter // set by Scheduler while its caller waits
}

// Class returns the name of the unit's class.
func (it *Item) Class() string { return it.class.name }

// dueBefore reports whether it precedes o, an item of the same queue kind and rank: by due time, then by order of
// arrival.
func (it *Item) dueBefore(o *Item) bool {
	if it.due != o.due {
		return it.due < o.due
	}
	return it.sequence < o.sequence
}

// dueHeap is a binary min-heap of items ordered by dueBefore.
type dueHeap []*Item

func (h dueHeap) peek() *Item {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

func (h *dueHeap) push(it *Item) {
	it.index = len(*h)
	*h = append(*h, it)
	h.siftUp(it.index)
}

func (h *dueHeap) remove(it *Item) {
	i, last := it.index, len(*h)-1
	if i != last {
		h.swap(i, last)
	}
	(*h)[last] = nil
	*h = (*h)[:last]
	if i != last {
		h.siftDown(i)
		h.siftUp(i)
	}
	it.index = -1
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
