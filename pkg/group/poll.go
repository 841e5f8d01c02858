package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Intervals and deadlines of polls.
const (
	unhealthyPollInterval = 150 * time.Millisecond // while something is wrong
	// primaryPollInterval is that of the first promoter with recent traffic. The second call that fails on a silent primary
	// then ends with the detection time.
	primaryPollInterval = 300 * time.Millisecond
	// idlePollInterval keeps a majority heard within the 500 ms that a write needs, so that the first write after a pause
	// is not refused.
	idlePollInterval = 400 * time.Millisecond
	// catchUpInterval paces polls for a state that a long poll cannot wait for: applied positions, and logs that end
	// in another term.
	catchUpInterval = 10 * time.Millisecond
	// minPollGap is the least time between a long poll that brought nothing new and the next one.
	minPollGap = 5 * time.Millisecond
	// pollGridStep is the step of the times at which this VM polls, so that requests of several members share a wake-up of
	// the process. The origin of the grid differs between VMs.
	pollGridStep    = 100 * time.Millisecond
	activeWindow    = 2 * time.Second        // after the last traffic or write
	longPollTimeout = 150 * time.Millisecond // a long poll doubles as a status poll
	// callTimeout lets at least two calls fail within the detection time, the second on a fresh connection.
	callTimeout = 300 * time.Millisecond
)

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

func (s *service) poll(m *member, wait platform.StatusWait) {
	if wait.Timeout > 0 {
		s.watcher.stats.longPolls.Add(1)
	} else {
		s.watcher.stats.polls.Add(1)
	}
	s.mu.Lock()
	m.pollStarted, m.checkRequested = time.Now(), false
	if m.failures > 0 {
		s.considerPromotion(m.pollStarted) // the detection time may have ended
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

// nextPoll returns when the next poll of m is due, zero for none until a wake-up, and what it waits for. While writes wait
// for m, or the service had a write lately, m has a long poll open: each answer covers all writes so far.
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

// alignToGrid returns the last time on the grid that is no later than interval after the last poll. Slow polls of the
// replicas follow those of the primary by one step, so that they show soon whether its position has been applied.
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

// regularInterval returns the time between plain polls of m in a healthy service.
func (s *service) regularInterval(m *member, now time.Time) time.Duration {
	if m == s.primary && s.promoterRank == 0 && !s.idle(now) {
		return primaryPollInterval
	}
	return idlePollInterval
}

// retryAt returns when the next poll of a member is due that does not answer. A call that timed out is repeated at
// once, on a fresh connection; the primary is asked once more when the detection time ends, and three times in all
// while it refuses connections.
func (s *service) retryAt(m *member) time.Time {
	due := m.pollEnded.Add(jitter(unhealthyPollInterval))
	if at := m.pollStarted.Add(unhealthyPollInterval); m.failures == 1 && at.Before(due) {
		due = at
	}
	for _, at := range [...]time.Time{m.lastHeard.Add(detectionTime), m.refusedSince.Add(refusalDetectionTime / 2), m.refusedSince.Add(refusalDetectionTime)} {
		if m == s.primary && at.After(m.pollEnded) && at.Before(due) {
			due = at
		}
	}
	return due
}

// idle reports whether slow polls suffice: no recent traffic and a healthy primary.
func (s *service) idle(now time.Time) bool {
	return now.Sub(s.lastTraffic) >= activeWindow && s.healthy()
}

// healthy reports whether the primary answers and none is sought. Then only the first promoter polls fast, and only the
// primary: the others wait for it longer than the slow interval.
func (s *service) healthy() bool {
	return s.primary != nil && s.primary.failures == 0 && s.election.reason == ""
}

// noteTraffic notes traffic. The first after a pause wakes the polls.
func (s *service) noteTraffic(now time.Time) {
	idle := s.idle(now)
	s.lastTraffic = now
	if idle {
		s.wakeAllPolls()
	}
}

// checkDelay is the time between a poll of the primary and one that Check asks for.
const checkDelay = 50 * time.Millisecond

// Check polls the primary of a watched service without waiting for the next regular poll. It is called when a unit could not reach
// it.
func (w *Watcher) Check(name string) {
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

// jitter spreads d by up to a tenth, so that polls of many services do not fall together.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/10))
}
