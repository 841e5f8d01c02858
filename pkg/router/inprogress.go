package router

import "sync"

// busyReads is the number of reads in progress from this VM at which a member counts as busy. Members have 2 or 3
// slots, so further reads would wait there. At normal load a VM has fewer than one read in progress on a member.
const busyReads = 4

// readsInProgress counts, for each member, the reads that this VM has sent and that have not been answered.
type readsInProgress struct {
	mu     sync.Mutex
	counts map[string]int
}

// add counts a read on the member until the returned function is called.
func (p *readsInProgress) add(member string) func() {
	p.adjust(member, 1)
	return func() { p.adjust(member, -1) }
}

// adjust adds delta to the member's count. Members without reads in progress are not kept.
func (p *readsInProgress) adjust(member string, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	if p.counts[member] += delta; p.counts[member] == 0 {
		delete(p.counts, member)
	}
}

// busy reports whether the member has at least busyReads reads in progress from this VM.
func (p *readsInProgress) busy(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[member] >= busyReads
}
