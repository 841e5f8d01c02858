package scheduler

import "time"

// Stats is the state of one member's scheduler.
type Stats struct {
	Slots            int          `json:"slots"`
	Running          int          `json:"running"`
	Transactions     int          `json:"transactions"`
	OpenTransactions int          `json:"openTransactions"`
	Queued           int          `json:"queued"`
	Classes          []ClassStats `json:"classes"`
}

// ClassStats is the state of one class on the member. Counts cover the time since the class was first used; they
// restart at zero if the state of the idle class was dropped.
type ClassStats struct {
	Class            string        `json:"class"`
	Rank             string        `json:"rank"`
	Queued           int           `json:"queued"`
	Running          int           `json:"running"`
	Share            float64       `json:"share"`   // part of the slot time used recently, with exponential decay
	Service          time.Duration `json:"service"` // estimated mean service time
	Granted          uint64        `json:"granted"`
	RefusedPredicted uint64        `json:"refusedPredicted"` // the target could not be met
	RefusedDeadline  uint64        `json:"refusedDeadline"`  // the deadline passed before the start
	RefusedFull      uint64        `json:"refusedFull"`      // the queue of the class was full
	Cancelled        uint64        `json:"cancelled"`        // the caller gave up while the unit was queued
}

// Stats returns the state at the given time.
func (p *Policy) Stats(at time.Time) Stats {
	now := p.offset(at)
	s := Stats{
		Slots: p.limits.Slots, Running: len(p.running),
		Transactions: p.limits.Transactions, OpenTransactions: p.openTransactionCount(),
	}
	for _, c := range p.classes {
		c.updateUsage(now)
		s.Queued += c.queuedCount()
		s.Classes = append(s.Classes, ClassStats{
			Class: c.name, Rank: c.rank.String(), Queued: c.queuedCount(), Running: c.runningCount,
			Share:   c.usage / usageTimeConstant.Seconds() / float64(p.limits.Slots),
			Service: seconds(c.serviceTime.mean),
			Granted: c.granted, RefusedPredicted: c.refusedPredicted, RefusedDeadline: c.refusedDeadline,
			RefusedFull: c.refusedFull, Cancelled: c.cancelled,
		})
	}
	return s
}
