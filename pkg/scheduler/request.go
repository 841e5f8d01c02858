package scheduler

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Request describes one unit of work that asks for a slot.
type Request struct {
	Class          string        // name of the class of work
	Rank           unit.Rank     // rank of the class
	Target         time.Duration // target latency, counted from Arrived; 0: none, never refused for an estimate
	Deadline       time.Time     // the unit is refused when it has not started by then; zero: none
	NewTransaction bool          // the unit opens a transaction and needs a connection of its own
	InTransaction  bool          // the unit belongs to an open transaction, which already holds a connection
	Arrived        time.Time     // when the system received the unit; zero: now
}

// queueKind tells the three queues of a class apart.
type queueKind uint8

const (
	kindInTransaction  queueKind = iota // statement of an open transaction
	kindStandalone                      // unit outside transactions
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

// farFuture is later than any time that the policy compares with.
const farFuture = time.Duration(1<<63 - 1)

// Item is one unit known to a Policy, from Enqueue until Finish, Cancel or refusal. Times are offsets from the
// policy's epoch.
type Item struct {
	class         *class
	kind          queueKind
	state         itemState
	ignoresTarget bool // admitted on an idle member or as a probe: only the deadline refuses it
	index         int  // place in its heap
	sequence      uint64
	due           time.Duration // earlier of target and deadline
	deadline      time.Duration // deadline
	started       time.Duration

	waiter *waiter // set by Scheduler only
}

// Class returns the name of the unit's class.
func (it *Item) Class() string { return it.class.name }

// dueBefore orders two items of one kind and rank by due time, then by arrival.
func (it *Item) dueBefore(o *Item) bool {
	if it.due != o.due {
		return it.due < o.due
	}
	return it.sequence < o.sequence
}

// dueHeap is a binary heap of items with the earliest due time on top.
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
