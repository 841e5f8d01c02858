package frontend

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Limits of startups. They keep a burst of new callers, such as after the loss of a data centre, from occupying all cores
// and delaying the statements of other callers, as a burst of 1,177 callers does without them. Together they admit 3,200
// callers per second.
const (
	// maxConcurrentStartups is the number of slots; each startup holds one.
	maxConcurrentStartups = 16
	// minStartupHold is the least time that a startup holds its slot, so that the first statements of new callers are
	// spread out as well. The caller that holds the slot does not wait for this time to pass.
	minStartupHold = 5 * time.Millisecond
	// maxStartupHold is the longest time that a startup holds its slot, so that a caller that is silent in its TLS
	// handshake does not hold up others.
	maxStartupHold = 100 * time.Millisecond
	// maxWaitingStartups bounds the callers that wait for a slot. Admitting as many takes 1.3 s.
	maxWaitingStartups = 4096
)

// StartupStats describes the admission of new callers.
type StartupStats struct {
	Waiting int    // callers that wait for a slot
	Delayed uint64 // callers that have had to wait since the server was started
	Refused uint64 // callers refused because too many waited or their time was up
}

// admission bounds the startups in progress. Further callers wait for a slot in order of arrival; when too many wait,
// new ones are refused.
type admission struct {
	minHold, maxHold time.Duration
	maxWaiting       int // callers that may wait at once

	mu        sync.Mutex
	freeSlots int             // guarded by mu
	waiting   []chan struct{} // guarded by mu; in order of arrival; a channel is closed when its caller gets a slot
	stats     StartupStats    // guarded by mu; snapshot fills in Waiting
}

func newAdmission(slots, maxWaiting int, minHold, maxHold time.Duration) *admission {
	return &admission{freeSlots: slots, maxWaiting: maxWaiting, minHold: minHold, maxHold: maxHold}
}

// acquire waits for a slot until ctx ends. done is to be called at the end of the startup. An error is of kind
// TooManyConnections.
func (a *admission) acquire(ctx context.Context, vm string) (done func(), err error) {
	a.mu.Lock()
	if a.freeSlots > 0 {
		a.freeSlots--
		a.mu.Unlock()
		return a.startHold(), nil
	}
	if len(a.waiting) >= a.maxWaiting {
		a.stats.Refused++
		a.mu.Unlock()
		return nil, errkind.New(errkind.TooManyConnections, "entry VM %s already has %d callers waiting to connect, which is its limit", vm, a.maxWaiting)
	}
	granted := make(chan struct{})
	a.waiting = append(a.waiting, granted)
	a.stats.Delayed++
	a.mu.Unlock()
	select {
	case <-granted:
		return a.startHold(), nil
	case <-ctx.Done():
		a.stopWaiting(granted)
		return nil, errkind.Wrap(errkind.TooManyConnections, ctx.Err(), "entry VM %s had no startup slot for this caller in time", vm)
	}
}

// stopWaiting removes a caller that no longer waits. A slot that it was given meanwhile goes to the next caller.
func (a *admission) stopWaiting(granted chan struct{}) {
	a.mu.Lock()
	a.stats.Refused++
	for i, w := range a.waiting {
		if w == granted {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			a.mu.Unlock()
			return
		}
	}
	a.mu.Unlock()
	a.release()
}

// startHold starts the time for which a startup holds its slot. The slot is released once the startup has ended and
// minHold has passed, and at the latest after maxHold.
func (a *admission) startHold() (done func()) {
	start := time.Now()
	limit := time.AfterFunc(a.maxHold, a.release)
	return func() {
		if !limit.Stop() {
			return // released after maxHold
		}
		if rest := a.minHold - time.Since(start); rest > 0 {
			time.AfterFunc(rest, a.release)
			return
		}
		a.release()
	}
}

// release gives a slot to the caller that has waited longest, or frees it if none waits.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		a.freeSlots++
		return
	}
	close(a.waiting[0])
	a.waiting = a.waiting[1:]
}

func (a *admission) snapshot() StartupStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Waiting = len(a.waiting)
	return s
}

// Startups returns the state of the admission of new callers.
func (s *Server) Startups() StartupStats { return s.startups.snapshot() }
