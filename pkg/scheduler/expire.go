package scheduler

import "time"

// expiry returns the time from which the queued unit must be refused.
func (su *ScheduledUnit) expiry() time.Duration {
	if su.kind == kindInTransaction || su.ignoresTarget {
		return su.deadline
	}
	return su.due
}

// Expire refuses the units at the head of each queue whose expiry has passed. It returns the earliest expiry of the
// remaining heads as an offset from the epoch, or farFuture if all queues are empty. Expired units behind the head of
// a queue are refused when they reach the head.
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
				head.noteDequeued()
				p.expireUnit(now, head)
			}
		}
	}
	return next
}

// expireUnit refuses a unit that was removed from its queue after its expiry. The error tells whether the target or
// the deadline was missed.
func (p *Policy) expireUnit(now time.Duration, su *ScheduledUnit) {
	if err := p.errIfTooLate(now, su); err != nil {
		p.refuse(su, err)
		return
	}
	p.refuse(su, deadlineError(su.class))
}

// TakeRefused returns and clears the list of queued units that Next and Expire refused since the last call.
func (p *Policy) TakeRefused() []Refusal {
	r := p.refusals
	p.refusals = nil
	return r
}

// cancelAllQueued cancels and returns all queued units.
func (p *Policy) cancelAllQueued() []*ScheduledUnit {
	var all []*ScheduledUnit
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
