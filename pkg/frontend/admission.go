package frontend

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Limits of callers that connect at once, as after the loss of a data centre. Together they let 3,200 callers a second
// in; without them a burst of 1,177 takes all cores for its time, and the statements of other callers wait.
const (
	maxConcurrentStartups = 16
	// minStartupHold is the least time that a startup keeps its place, so that the first statements of new callers are
	// spread as well. It is not waited for by the caller that has the place.
	minStartupHold = 5 * time.Millisecond
	// maxStartupHold is the longest time that a startup keeps its place: a caller that is silent in its TLS handshake does
	// not hold up others.
	maxStartupHold = 100 * time.Millisecond
	// maxWaitingStartups bounds the callers that wait; it takes 1.3 s to let as many in.
	maxWaitingStartups = 4096
)

// StartupStats describe the admission of new callers.
type StartupStats struct {
	Waiting int    // callers that wait for their startup
	Delayed uint64 // callers that had to wait since the start
	Refused uint64 // callers refused since the queue was full or their time was up
}

// admission bounds the startups in progress. Others wait in order of arrival; when the queue is full, new ones are
// refused.
type admission struct {
	minHold, maxHold time.Duration
	maxWaiting       int // largest number that wait

	mu        sync.Mutex
	freeSlots int             // guarded by mu
	waiting   []chan struct{} // guarded by mu; each is closed when its turn comes
	stats     StartupStats    // guarded by mu, but for Waiting
}

func newAdmission(slots, maxWaiting int, minHold, maxHold time.Duration) *admission {
	return &admission{freeSlots: slots, maxWaiting: maxWaiting, minHold: minHold, maxHold: maxHold}
}

// acquire waits for a place and returns the function that ends the startup. An error is of kind TooManyConnections.
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
		return nil, errkind.New(errkind.TooManyConnections, "entry VM %s has %d callers waiting to connect", vm, a.maxWaiting)
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
		return nil, errkind.Wrap(errkind.TooManyConnections, ctx.Err(), "entry VM %s did not come to this caller in time", vm)
	}
}

// stopWaiting gives up waiting. A turn that came meanwhile goes to the next.
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

// startHold starts the time of a place. The place is given on when the startup has ended and the turn is over, at the
// latest after maxHold.
func (a *admission) startHold() (done func()) {
	start := time.Now()
	limit := time.AfterFunc(a.maxHold, a.release)
	return func() {
		if !limit.Stop() {
			return // released already
		}
		if rest := a.minHold - time.Since(start); rest > 0 {
			time.AfterFunc(rest, a.release)
			return
		}
		a.release()
	}
}

// release gives a place to the caller that has waited longest.
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
