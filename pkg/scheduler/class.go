package scheduler

import (
	"math"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// usageTimeConstant is the time constant over which busy slot time decays.
	usageTimeConstant = time.Second
	// maxChargeFactor bounds, in multiples of the guaranteed share, what earlier use counts against a class when it
	// starts a unit. Without it a class that used idle slots would get nothing for about a second once a flood of
	// a higher rank starts; with it the pause is shareWindow*ln(1.25) = 0.22 s.
	maxChargeFactor = 1.25
	// increaseWeight and decreaseWeight are the weights of a new service time. Estimates fall faster than they rise, so that one
	// slow spell of the member does not keep a class refused for long.
	increaseWeight, decreaseWeight = 0.125, 0.25
	// deviationFactor is how many mean deviations are added to the mean service time when a unit's end is predicted. In
	// the simulated urgent flood this leaves 0.2% of the units late, against 3.7% with the mean alone.
	deviationFactor = 2
)

// guaranteedShare is the share of slot time that a rank gets while it has backlog. The rest follows rank order.
var guaranteedShare = [unit.RankCount]float64{unit.RankUrgent: 0.4, unit.RankRoutine: 0.3, unit.RankBatch: 0.1}

// durationEstimate is a moving mean of service times, in seconds, with its mean deviation.
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
	gain := increaseWeight
	if v < e.mean {
		gain = decreaseWeight
	}
	// The deviation uses one gain for both directions: an asymmetric one would bias it.
	e.deviation += increaseWeight * (math.Abs(v-e.mean) - e.deviation)
	e.mean += gain * (v - e.mean)
}

// upperEstimate is a service time that most units stay below. The margin is at most the mean: a class with rare long units
// must not be refused because of them.
func (e *durationEstimate) upperEstimate() float64 {
	return e.mean + min(deviationFactor*e.deviation, e.mean)
}

// class is the state of one class of work on the member.
type class struct {
	name         string
	rank         unit.Rank
	target       time.Duration
	queues       [kindCount]dueHeap
	latestDue    time.Duration // latest due time queued so far
	runningCount int
	serviceTime  durationEstimate

	usageUpdated time.Duration // time up to which chargedUsage and usage are integrated
	chargedUsage float64       // busy slot seconds over the decaying window, capped by maxChargeFactor at each start
	usage        float64       // the same without the cap

	granted, refusedPredicted, refusedDeadline, refusedFull, cancelled uint64
}

// serviceTimeFor is the service time to reckon with when a unit that is not in a queue may be refused. Behind or ahead of
// others of its class it is a high one: refusing a unit that may be late lets the others be in time. Alone it is the
// mean, since a refusal would help nobody.
func (c *class) serviceTimeFor(it *Item) float64 {
	if len(c.queues[it.kind]) == 0 {
		return c.serviceTime.mean
	}
	return c.serviceTime.upperEstimate()
}

func (c *class) queuedCount() int {
	return len(c.queues[kindInTransaction]) + len(c.queues[kindStandalone]) + len(c.queues[kindNewTransaction])
}

// updateUsage integrates the busy slot time up to now. The steady value for n slots always busy is n * usageTimeConstant.
func (c *class) updateUsage(now time.Duration) {
	dt := now - c.usageUpdated
	if dt <= 0 {
		return
	}
	c.usageUpdated = now
	decay := math.Exp(-float64(dt) / float64(usageTimeConstant))
	grown := float64(c.runningCount) * usageTimeConstant.Seconds() * (1 - decay)
	c.chargedUsage = c.chargedUsage*decay + grown
	c.usage = c.usage*decay + grown
}

// isIdle reports whether the class holds nothing that must be kept.
func (c *class) isIdle() bool { return c.runningCount == 0 && c.queuedCount() == 0 }

// estimateQueuedBefore estimates how many queued items of the class are due no later than due. Due times are taken as spread
// evenly between the first and the last, which needs no ordered index.
func (c *class) estimateQueuedBefore(due time.Duration) float64 {
	n := float64(len(c.queues[kindInTransaction]))
	for k := kindStandalone; k <= kindNewTransaction; k++ {
		head := c.queues[k].peek()
		switch {
		case head == nil || head.due > due:
		case c.latestDue <= due || c.latestDue <= head.due:
			n += float64(len(c.queues[k]))
		default:
			n += float64(len(c.queues[k])) * float64(due-head.due) / float64(c.latestDue-head.due)
		}
	}
	return n
}
