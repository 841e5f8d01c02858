package scheduler

import "time"

// expiry is the time from which the unit can no longer start.
func (it *Item) expiry() time.Duration {
	if it.kind == kindInTransaction || it.ignoresTarget {
		return it.deadline
	}
	return it.due
}

// Expire refuses the queued units at the head of each queue whose time has passed and returns the offset from the
// epoch at which the next one may pass. Units further back are refused when they reach the head.
func (p *Policy) Expire(at time.Time) time.Duration {
	now := p.offset(at)
	next := farFuture
	for _, c := range p.classes {
		for k := range c.queues {
			for head := c.queues[k].peek(); head != nil; head = c.queues[k].peek() {
				if head.expiry() > now {
					next = min(next, head.expiry())
					break
				}
				c.queues[k].remove(head)
				p.expireItem(now, head)
			}
		}
	}
	return next
}

func (p *Policy) expireItem(now time.Duration, it *Item) {
	if err := p.errIfTooLate(now, it); err != nil {
		p.refuse(it, err)
		return
	}
	p.refuse(it, deadlineError(it.class))
}

// TakeRefused returns the queued units refused since the last call.
func (p *Policy) TakeRefused() []Refusal {
	r := p.refusals
	p.refusals = nil
	return r
}

// cancelAllQueued removes all queued units.
func (p *Policy) cancelAllQueued() []*Item {
	var all []*Item
	for _, c := range p.classes {
		for k := range c.queues {
			for head := c.queues[k].peek(); head != nil; head = c.queues[k].peek() {
				p.Cancel(head)
				all = append(all, head)
			}
		}
	}
	return all
}
