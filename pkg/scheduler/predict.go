package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// minAvailableShare is the smallest part of the member's slots that a prediction assumes to be available for queued
// work, so that the predicted wait stays finite.
const minAvailableShare = 0.05

// predictWait estimates how many seconds a unit waits for a slot. A unit gets a slot in order of rank, behind all work
// that goes first, or through the guaranteed share of its class, behind units of that class only. The shorter wait
// counts. A unit that opens a transaction also waits for a connection.
func (p *Policy) predictWait(now time.Duration, su *ScheduledUnit) float64 {
	for _, c := range p.classes {
		c.updateUsage(now)
	}
	untilFree := p.timesUntilFree(now)
	backlog := p.backloggedClasses()
	if p.firstRunnable(su.class) == nil {
		backlog[su.class.rank]++
	}
	wait := min(p.waitByRank(su, untilFree, backlog), p.waitByShare(su, untilFree, backlog))
	if su.kind == kindNewTransaction {
		wait = max(wait, p.waitForConnection(su))
	}
	return wait
}

// timesUntilFree returns the expected seconds until each slot is free, in ascending order. A unit that runs longer
// than its estimate is expected to run on for as long as it has exceeded the estimate, so that predictions grow while
// the member hangs.
func (p *Policy) timesUntilFree(now time.Duration) []float64 {
	times := p.freeTimes[:0]
	for _, su := range p.running {
		times = append(times, math.Abs(su.class.serviceTime.mean-(now-su.started).Seconds()))
	}
	for len(times) < p.limits.Slots {
		times = append(times, 0)
	}
	slices.Sort(times)
	p.freeTimes = times
	return times[:p.limits.Slots]
}

// waitByRank returns the wait in seconds behind all queued work that goes first by rank and due time. That work
// progresses at the rate that remains after the recent slot usage of classes that go first, which is expected to
// continue, and the guaranteed shares of backlogged classes of lower ranks.
func (p *Policy) waitByRank(su *ScheduledUnit, untilFree []float64, backlog [unit.RankCount]int) float64 {
	ownClass := su.class
	slots := float64(p.limits.Slots)
	queuedWork, takenSlots := 0.0, 0.0
	for _, c := range p.classes {
		switch {
		case c.rank < ownClass.rank:
			queuedWork += float64(c.queuedCount()) * c.serviceTime.mean
			takenSlots += c.usage / usageTimeConstant.Seconds()
		case c.rank == ownClass.rank:
			queuedWork += c.estimateQueuedBefore(su) * c.serviceTime.mean
			if c != ownClass && c.target < ownClass.target {
				takenSlots += c.usage / usageTimeConstant.Seconds()
			}
		case c.queuedCount() > 0:
			takenSlots += p.guaranteedSlots(c, backlog)
		}
	}
	available := max(1-takenSlots/slots, minAvailableShare)
	return completionTime(untilFree, queuedWork/available)
}

// waitByShare returns the wait in seconds behind the units of the same class when the class gets only its guaranteed
// share. A class that has used more than its share also waits until its usage has decayed to it.
func (p *Policy) waitByShare(su *ScheduledUnit, untilFree []float64, backlog [unit.RankCount]int) float64 {
	c := su.class
	slots := p.guaranteedSlots(c, backlog)
	wait := untilFree[0] + c.estimateQueuedBefore(su)*c.serviceTime.mean/slots
	if overuse := c.chargedUsage / (slots * usageTimeConstant.Seconds()); overuse > 1 {
		wait += usageTimeConstant.Seconds() * math.Log(min(overuse, maxChargeFactor))
	}
	return wait
}

// waitForConnection returns the wait in seconds until a transaction may be opened. One transaction is expected to end
// every transactionDuration/transactionLimit seconds.
func (p *Policy) waitForConnection(su *ScheduledUnit) float64 {
	ahead := 0
	for _, c := range p.classes {
		if c.rank < su.class.rank {
			ahead += len(c.queues[kindNewTransaction])
		}
	}
	ahead += len(su.class.queues[kindNewTransaction])
	if ahead == 0 && p.mayBeginTransaction(su.class.rank) {
		return 0
	}
	return float64(ahead+1) * p.transactionDuration.mean / float64(p.transactionLimit(su.class.rank))
}

// completionTime returns the time at which slots that become free at the times freeAt, in ascending order, have
// together done the given amount of work.
func completionTime(freeAt []float64, work float64) float64 {
	now := freeAt[0]
	for i := 1; i < len(freeAt); i++ {
		capacity := (freeAt[i] - now) * float64(i)
		if work <= capacity {
			return now + work/float64(i)
		}
		work -= capacity
		now = freeAt[i]
	}
	return now + work/float64(len(freeAt))
}
