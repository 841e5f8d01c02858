package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Intervals and deadlines of polls. A plain poll asks for the present status; a long poll is answered once the member's
// log has grown.
const (
	unhealthyPollInterval = 150 * time.Millisecond // while a promotion may be needed
	// primaryPollInterval is the time between the first promoter's polls of the primary during recent traffic. With it,
	// the second call that fails at a silent primary ends when detectionTime does.
	primaryPollInterval = 300 * time.Millisecond
	// idlePollInterval is the time between plain polls otherwise. A write needs a majority that answered within the last
	// 500 ms; polls at this interval make sure that the first write after a pause finds one and is not refused.
	idlePollInterval = 400 * time.Millisecond
	// catchUpInterval is the time between polls that wait for what a long poll cannot wait for: an applied position, or
	// a log that ends in another term.
	catchUpInterval = 10 * time.Millisecond
	// minPollGap is the shortest time between a long poll that brought nothing new and the next one.
	minPollGap = 5 * time.Millisecond
	// pollGridStep is the step of the time grid that this VM's polls are aligned to, so that the process wakes up once for
	// requests to several members. The origin of the grid differs between VMs.
	pollGridStep    = 100 * time.Millisecond
	activeWindow    = 2 * time.Second        // how long traffic or a write counts as recent
	longPollTimeout = 150 * time.Millisecond // short, since a long poll takes the place of a plain one
	// callTimeout lets at least two calls fail within detectionTime, the second on a new connection.
	callTimeout = 300 * time.Millisecond
)

// pollLoop polls m until the service is dropped.
func (s *service) pollLoop(m *member) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		due, wait := s.nextPoll(m)
		if due.IsZero() {
			select {
			case <-m.wake:
				continue
			case <-s.ctx.Done():
				return
			}
		}
		if d := time.Until(due); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-m.wake:
				continue
			case <-s.ctx.Done():
				return
			}
		}
		if s.ctx.Err() != nil {
			return
		}
		s.poll(m, wait)
	}
}

// poll sends one status request to m. call records the answer.
func (s *service) poll(m *member, wait platform.StatusWait) {
	if wait.Timeout > 0 {
		s.watcher.stats.longPolls.Add(1)
	} else {
		s.watcher.stats.polls.Add(1)
	}
	s.mu.Lock()
	m.pollStarted, m.checkRequested = time.Now(), false
	if m.failures > 0 {
		s.considerPromotion(m.pollStarted) // detectionTime may have passed by now
	}
	s.mu.Unlock()
	_, err := s.call(s.ctx, m, wait.Timeout+callTimeout,
		func(ctx context.Context, info platform.Member) (platform.Status, error) {
			return s.watcher.opts.Control.Status(ctx, info, wait)
		})
	if err != nil {
		s.watcher.stats.pollErrors.Add(1)
	}
	s.mu.Lock()
	m.pollEnded = time.Now()
	s.mu.Unlock()
}

// nextPoll returns when the next poll of m is due and what that poll waits for. A zero time means no poll until
// m.wake. While writes wait for m, or the service had a write recently, m always has a long poll open, and each
// answer covers all writes so far.
func (s *service) nextPoll(m *member) (time.Time, platform.StatusWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none, now := platform.StatusWait{}, time.Now()
	if m.pollEnded.IsZero() {
		return now, none
	}
	if m.checkRequested {
		return m.pollEnded.Add(checkDelay), none
	}
	needed := s.neededPoll(m)
	if s.coveredByRelay(m, needed, now) {
		return time.Time{}, none
	}
	if m.failures > 0 || !m.known {
		return s.retryAt(m), none
	}
	longPoll := platform.StatusWait{After: m.status.LastPosition, Timeout: longPollTimeout}
	earliest := m.pollEnded
	if !m.statusChanged {
		earliest = earliest.Add(minPollGap)
	}
	switch needed {
	case longPollForEntry:
		return earliest, longPoll
	case plainPollForState:
		return m.pollEnded.Add(catchUpInterval), none
	}
	if m != s.primary && now.Sub(s.lastWrite) < activeWindow && m.status.LastTerm == s.term {
		return earliest, longPoll
	}
	if !s.healthy() {
		return m.pollEnded.Add(jitter(unhealthyPollInterval)), none
	}
	return s.alignToGrid(m, s.regularInterval(m, now)), none
}

// alignToGrid returns the last time on the grid that is no later than interval after the last poll. Idle polls of
// replicas come one step after those of the primary, so that they soon show whether its position has been applied.
func (s *service) alignToGrid(m *member, interval time.Duration) time.Time {
	period, phase := pollGridStep, s.gridOffset
	if interval == idlePollInterval {
		period = interval
		if m != s.primary {
			phase += pollGridStep
		}
	}
	origin := s.watcher.pollOrigin.Add(phase)
	return origin.Add(m.pollEnded.Add(interval).Sub(origin).Truncate(period))
}

// regularInterval returns the time between plain polls of m while the service is healthy.
func (s *service) regularInterval(m *member, now time.Time) time.Duration {
	if m == s.primary && s.promoterRank == 0 && !s.idle(now) {
		return primaryPollInterval
	}
	return idlePollInterval
}

// retryAt returns when the next poll of a member that does not answer is due. A call that timed out is repeated at
// once, on a new connection. The primary is also polled when detectionTime ends, and three times in all while it
// refuses connections.
func (s *service) retryAt(m *member) time.Time {
	due := m.pollEnded.Add(jitter(unhealthyPollInterval))
	if at := m.pollStarted.Add(unhealthyPollInterval); m.failures == 1 && at.Before(due) {
		due = at
	}
	for _, at := range [...]time.Time{
		m.lastHeard.Add(detectionTime), m.refusedSince.Add(refusalDetectionTime / 2), m.refusedSince.Add(refusalDetectionTime),
	} {
		if m == s.primary && at.After(m.pollEnded) && at.Before(due) {
			due = at
		}
	}
	return due
}

// idle reports whether the service is healthy and had no recent traffic, so that polls at idlePollInterval suffice.
func (s *service) idle(now time.Time) bool {
	return now.Sub(s.lastTraffic) >= activeWindow && s.healthy()
}

// healthy reports whether the primary answers and no promotion is needed. In a healthy service only the first promoter
// polls faster than idlePollInterval, and only the primary: other promoters leave it longer than that to act first.
func (s *service) healthy() bool {
	return s.primary != nil && s.primary.failures == 0 && s.election.reason == ""
}

// noteTraffic records that the service is in use. The first use after a pause wakes the polls of all members, since
// shorter intervals apply from then on.
func (s *service) noteTraffic(now time.Time) {
	idle := s.idle(now)
	s.lastTraffic = now
	if idle {
		s.wakeAllPolls()
	}
}

// checkDelay is the time between the last poll of the primary and one that PollPrimary requests.
const checkDelay = 50 * time.Millisecond

// PollPrimary polls the primary of a watched service without waiting for the next regular poll. Callers use it when a unit
// could not reach the primary.
func (w *Watcher) PollPrimary(name string) {
	s, err := w.service(name)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.primary; p != nil && p.failures == 0 && !p.checkRequested {
		p.checkRequested = true
		p.wakePolls()
	}
}

func (s *service) wakeAllPolls() {
	for _, m := range s.members {
		m.wakePolls()
	}
}

func (m *member) wakePolls() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// jitter shortens d at random by up to a tenth, so that polls of many services do not coincide.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/10))
}
