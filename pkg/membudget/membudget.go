// Package membudget bounds the memory that a process gives to messages which callers have sent in part or in whole and which
// have not been answered. It does no I/O.
//
// Load pattern: many connections send large messages at once, or stop within one. Each connection may hold Free bytes without
// asking, so that ordinary callers never meet the budget. When it is used up, the connections that have held room for the
// longest time without completing their message are ended until there is room; a message that completes in calm is served.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Free is the number of bytes that each holder may hold without taking room from the budget.
const Free = 64 << 10

// Budget is the room for the messages of one process. It is safe for concurrent use.
type Budget struct {
	limit   int64
	evicted atomic.Uint64
	refused atomic.Uint64

	mu      sync.Mutex
	used    int64                // guarded by mu
	holders map[*Holder]struct{} // guarded by mu; those that hold room
	freed   chan struct{}        // guarded by mu; closed and replaced when room becomes free
}

// New returns a budget of limit bytes. A nil Budget has room for everything.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}, freed: make(chan struct{})}
}

// Holder is the room that one connection holds. Its methods are called by one goroutine at a time.
type Holder struct {
	budget *Budget
	end    func() // ends the connection

	bytes  int64     // guarded by budget.mu
	since  time.Time // guarded by budget.mu; when it began to hold room
	ending bool      // guarded by budget.mu; end has been called
}

// NewHolder returns a holder of no room. end must make the connection fail soon and must not call the budget.
func (b *Budget) NewHolder(end func()) *Holder {
	if b == nil {
		return nil
	}
	return &Holder{budget: b, end: end}
}

// evictWait is how long a holder waits for the room of connections that are ended for it.
const evictWait = 500 * time.Millisecond

// Resize makes the holder hold n bytes. It returns false if there is no room: the connection must then be ended.
func (h *Holder) Resize(n int) bool {
	if h == nil {
		return true
	}
	b := h.budget
	want := int64(max(n-Free, 0))
	timer := time.NewTimer(evictWait)
	defer timer.Stop()
	for {
		b.mu.Lock()
		if want <= h.bytes || b.used+want-h.bytes <= b.limit && !h.ending {
			b.set(h, want)
			b.mu.Unlock()
			return true
		}
		victim := b.oldest()
		if want > b.limit || h.ending || victim == h {
			b.mu.Unlock()
			b.refused.Add(1)
			return false
		}
		end := victim != nil && !victim.ending
		if end {
			victim.ending = true
			b.evicted.Add(1)
		}
		freed := b.freed
		b.mu.Unlock()
		if end {
			victim.end()
		}
		select {
		case <-freed:
		case <-timer.C:
			b.refused.Add(1)
			return false
		}
	}
}

// Release gives up all room.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	h.budget.set(h, 0)
	h.budget.mu.Unlock()
}

// set changes what a holder holds. mu must be held.
func (b *Budget) set(h *Holder, bytes int64) {
	switch {
	case bytes == 0:
		delete(b.holders, h)
	case h.bytes == 0:
		h.since = time.Now()
		b.holders[h] = struct{}{}
	}
	if bytes < h.bytes {
		close(b.freed)
		b.freed = make(chan struct{})
	}
	b.used += bytes - h.bytes
	h.bytes = bytes
}

// oldest returns the holder that has held room for the longest time, those that are ending already last. mu must be held.
func (b *Budget) oldest() (oldest *Holder) {
	for h := range b.holders {
		if oldest == nil || oldest.ending && !h.ending || oldest.ending == h.ending && h.since.Before(oldest.since) {
			oldest = h
		}
	}
	return oldest
}

// Stats is the state of a budget and what it has done since the start.
type Stats struct {
	Limit, Used      int64
	Evicted, Refused uint64 // connections ended to make room, and requests for room that were refused
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Limit: b.limit, Used: b.used, Evicted: b.evicted.Load(), Refused: b.refused.Load()}
}
