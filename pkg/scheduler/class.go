package scheduler

import (
	"math"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// usageTimeConstant is the time constant of the exponential decay of a class's slot usage.
	usageTimeConstant = time.Second
	// maxChargeFactor limits chargedUsage to this multiple of the guaranteed share whenever a unit of the class
	// starts. Without the limit, a class that had used idle slots would get no slot for about a second after a flood
	// of a higher rank starts. With it, the class pauses for at most usageTimeConstant*ln(1.25) = 0.22 s.
	maxChargeFactor = 1.25
	// increaseWeight and decreaseWeight are the weights of a new sample that is above or below the moving mean.
	// Estimates fall faster than they rise, so that a short slowdown of the member does not cause refusals for long.
	increaseWeight, decreaseWeight = 0.125, 0.25
	// deviationFactor is the number of mean deviations added to the mean service time when the end of a unit is
	// predicted. In the simulated urgent flood 0.2% of the units are late with this margin, against 3.7% with the mean
	// alone.
	deviationFactor = 2
)

// guaranteedShare is the part of the slot time that the classes of a rank get together while they have queued units.
// The remaining slot time is assigned in order of rank.
var guaranteedShare = [unit.RankCount]float64{unit.RankUrgent: 0.4, unit.RankRoutine: 0.3, unit.RankBatch: 0.1}

// durationEstimate is an exponentially weighted moving mean of durations, in seconds, with its mean deviation.
type durationEstimate struct {
	mean, deviation float64
	samples         uint64
}

func (e *durationEstimate) add(duration time.Duration) {
	v := duration.Seconds()
	e.samples++
	if e.samples == 1 {
		e.mean, e.deviation = v, v/4
		return
	}
	weight := increaseWeight
	if v < e.mean {
		weight = decreaseWeight
	}
	// The deviation uses the same weight in both directions, because different weights would bias it.
	e.deviation += increaseWeight * (math.Abs(v-e.mean) - e.deviation)
	e.mean += weight * (v - e.mean)
}

// upperEstimate returns a duration that most samples stay below. The margin above the mean is at most the mean itself,
// so that a class with rare long units is not refused because of them.
func (e *durationEstimate) upperEstimate() float64 {
	return e.mean + min(deviationFactor*e.deviation, e.mean)
}

// class is the state of one class of work on one member.
type class struct {
	name         string
	rank         unit.Rank
	target       time.Duration
	queues       [kindCount]dueHeap
	beyondQueued [kindCount]int // queued units that are beyond the parts of their teams
	latestDue    time.Duration  // latest due time of all units queued so far
	runningCount int
	serviceTime  durationEstimate

	usageUpdated time.Duration // time up to which chargedUsage and usage are integrated
	chargedUsage float64       // decaying busy slot seconds, limited by maxChargeFactor at each start
	usage        float64       // decaying busy slot seconds without that limit

	granted, refusedPredicted, refusedDeadline, refusedFull, cancelled uint64
}

// serviceTimeFor returns the service time to assume when deciding whether to refuse a unit that is not in a queue. If
// other units of its class and kind are queued, it is the upper estimate: refusing a unit that may be late helps the
// others to be in time. Otherwise it is the mean, because a refusal would help no other unit.
func (c *class) serviceTimeFor(su *ScheduledUnit) float64 {
	if len(c.queues[su.kind]) == 0 {
		return c.serviceTime.mean
	}
	return c.serviceTime.upperEstimate()
}

func (c *class) queuedCount() int {
	return len(c.queues[kindInTransaction]) + len(c.queues[kindStandalone]) + len(c.queues[kindNewTransaction])
}

// updateUsage integrates the busy slot time up to now. While the class keeps n slots busy, both values tend to n *
// usageTimeConstant.
func (c *class) updateUsage(now time.Duration) {
	elapsed := now - c.usageUpdated
	if elapsed <= 0 {
		return
	}
	c.usageUpdated = now
	decay := math.Exp(-float64(elapsed) / float64(usageTimeConstant))
	added := float64(c.runningCount) * usageTimeConstant.Seconds() * (1 - decay)
	c.chargedUsage = c.chargedUsage*decay + added
	c.usage = c.usage*decay + added
}

// isIdle reports whether the class has neither running nor queued units, so that its state may be dropped.
func (c *class) isIdle() bool { return c.runningCount == 0 && c.queuedCount() == 0 }

// estimateQueuedBefore estimates how many queued units of the class go before su. It assumes that due times are spread evenly
// between the first and the latest one, so that no ordered index is needed. Statements of open transactions all count,
// because they go first within the rank. Units beyond the parts of their teams go before others of these only, and all of
// them count.
func (c *class) estimateQueuedBefore(su *ScheduledUnit) float64 {
	n := float64(len(c.queues[kindInTransaction]))
	for k := kindStandalone; k <= kindNewTransaction; k++ {
		if su.beyond {
			n += float64(len(c.queues[k]))
			continue
		}
		head, queued := c.queues[k].peek(), float64(len(c.queues[k])-c.beyondQueued[k])
		switch {
		case head == nil || head.beyond || head.due > su.due:
		case c.latestDue <= su.due || c.latestDue <= head.due:
			n += queued
		default:
			n += queued * float64(su.due-head.due) / float64(c.latestDue-head.due)
		}
	}
	return n
}
