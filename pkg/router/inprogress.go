package router

import "sync"

// busyReads is the number of reads in progress from one VM from which a member counts as busy. Members have 2 or 3
// slots, so that reads then wait there; at the users' normal load a VM has fewer than one in progress.
const busyReads = 4

// readsInProgress counts the reads that this VM has sent to each member and that have not been answered.
type readsInProgress struct {
	mu     sync.Mutex
	counts map[string]int
}

// add counts a read until the returned function is called.
func (p *readsInProgress) add(member string) func() {
	p.adjust(member, 1)
	return func() { p.adjust(member, -1) }
}

func (p *readsInProgress) adjust(member string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	if p.counts[member] += by; p.counts[member] == 0 {
		delete(p.counts, member)
	}
}

func (p *readsInProgress) busy(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[member] >= busyReads
}
