package owner

import (
	"sync"
	"time"
)

const (
	ackGain            = 0.125 // weight of a new sample in the mean
	ackDeviationGain   = 0.25  // weight of a new sample in the mean deviation
	ackDeviationFactor = 2     // number of mean deviations above the mean that are reserved
	// ackMaxDivisor limits the time reserved for the acknowledgement to target/ackMaxDivisor, so that a slow majority
	// does not cause all writes to be refused.
	ackMaxDivisor = 2
)

// ackTime estimates how long a write waits for the acknowledgement of a majority after the member has answered. The
// slot is free by then, so the scheduler does not measure this time, but the caller's target latency includes it.
type ackTime struct {
	mu              sync.Mutex
	known           bool
	mean, deviation float64 // seconds
}

// add records one measured wait.
func (a *ackTime) add(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seconds := d.Seconds()
	if !a.known {
		a.known, a.mean, a.deviation = true, seconds, seconds/2
		return
	}
	diff := seconds - a.mean
	a.mean += ackGain * diff
	a.deviation += ackDeviationGain * (max(diff, -diff) - a.deviation)
}

// remainingTarget returns the part of a target latency that is left for queueing and running on the member.
func (a *ackTime) remainingTarget(target time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	reserved := time.Duration((a.mean + ackDeviationFactor*a.deviation) * float64(time.Second))
	return max(target-reserved, target/ackMaxDivisor)
}
