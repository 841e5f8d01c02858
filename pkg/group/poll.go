package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Intervals and deadlines of polls.
const (
	activeInterval = 150 * time.Millisecond // while something is wrong
	// primaryInterval is that of the first promoter with recent traffic. The second call that fails on a silent primary
	// then ends with the detection time.
	primaryInterval = 300 * time.Millisecond
	// idleInterval keeps a majority heard within the 500 ms that a write needs, so that the first write after a pause
	// is not refused.
	idleInterval = 400 * time.Millisecond
	// catchupInterval paces polls for a state that a long poll cannot wait for: applied positions, and logs that end
	// in another term.
	catchupInterval = 10 * time.Millisecond
	// quickInterval is the least time between a long poll that brought nothing new and the next one.
	quickInterval = 5 * time.Millisecond
	// pollGrid is the step of the times at which this VM polls, so that requests of several members share a wake-up of
	// the process. The origin of the grid differs between VMs.
	pollGrid        = 100 * time.Millisecond
	activeFor       = 2 * time.Second        // after the last traffic or write
	longPollTimeout = 150 * time.Millisecond // a long poll doubles as a status poll
	// callTimeout lets at least two calls fail within the detection time, the second on a fresh connection.
	callTimeout = 300 * time.Millisecond
)

func (s *service) pollLoop(m *member) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		due, wait := s.plan(m)
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
		s.w.stats.longPolls.Add(1)
	} else {
		s.w.stats.polls.Add(1)
	}
	s.mu.Lock()
	m.started, m.check = time.Now(), false
	if m.failures > 0 {
		s.supervise(m.started) // the detection time may have ended
	}
	s.mu.Unlock()
	_, err := s.call(s.ctx, m, wait.Timeout+callTimeout,
		func(ctx context.Context, info platform.Member) (platform.Status, error) {
			return s.w.opts.Control.Status(ctx, info, wait)
		})
	if err != nil {
		s.w.stats.pollErrors.Add(1)
	}
	s.mu.Lock()
	m.polled = time.Now()
	s.mu.Unlock()
}

// plan returns when the next poll of m is due, zero for none until a wake-up, and what it waits for. While writes wait
// for m, or the service had a write lately, m has a long poll open: each answer covers all writes so far.
func (s *service) plan(m *member) (time.Time, platform.StatusWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none, now := platform.StatusWait{}, time.Now()
	if m.polled.IsZero() {
		return now, none
	}
	if m.check {
		return m.polled.Add(checkPause), none
	}
	want := s.demand(m)
	if s.rests(m, want, now) {
		return time.Time{}, none
	}
	if m.failures > 0 || !m.known {
		return s.retryAt(m), none
	}
	long := platform.StatusWait{After: m.status.LastPosition, Timeout: longPollTimeout}
	soon := m.polled
	if !m.progress {
		soon = soon.Add(quickInterval)
	}
	switch want {
	case demandEntries:
		return soon, long
	case demandState:
		return m.polled.Add(catchupInterval), none
	}
	if m != s.primary && now.Sub(s.lastWrite) < activeFor && m.status.LastTerm == s.term {
		return soon, long
	}
	if !s.healthy() {
		return m.polled.Add(jitter(activeInterval)), none
	}
	return s.onGrid(m, s.interval(m, now)), none
}

// onGrid returns the last time on the grid that is no later than interval after the last poll. Slow polls of the
// replicas follow those of the primary by one step, so that they show soon whether its position has been applied.
func (s *service) onGrid(m *member, interval time.Duration) time.Time {
	period, phase := pollGrid, s.phase
	if interval == idleInterval {
		period = interval
		if m != s.primary {
			phase += pollGrid
		}
	}
	origin := s.w.origin.Add(phase)
	return origin.Add(m.polled.Add(interval).Sub(origin).Truncate(period))
}

// interval returns the time between plain polls of m in a healthy service.
func (s *service) interval(m *member, now time.Time) time.Duration {
	if m == s.primary && s.rank == 0 && !s.idle(now) {
		return primaryInterval
	}
	return idleInterval
}

// retryAt returns when the next poll of a member is due that does not answer. A call that timed out is repeated at
// once, on a fresh connection; the primary is asked once more when the detection time ends, and three times in all
// while it refuses connections.
func (s *service) retryAt(m *member) time.Time {
	due := m.polled.Add(jitter(activeInterval))
	if at := m.started.Add(activeInterval); m.failures == 1 && at.Before(due) {
		due = at
	}
	for _, at := range [...]time.Time{m.heard.Add(detectionTime), m.refused.Add(refusedTime / 2), m.refused.Add(refusedTime)} {
		if m == s.primary && at.After(m.polled) && at.Before(due) {
			due = at
		}
	}
	return due
}

// idle reports whether slow polls suffice: no recent traffic and a healthy primary.
func (s *service) idle(now time.Time) bool { return now.Sub(s.lastUse) >= activeFor && s.healthy() }

// healthy reports whether the primary answers and none is sought. Then only the first promoter polls fast, and only the
// primary: the others wait for it longer than the slow interval.
func (s *service) healthy() bool {
	return s.primary != nil && s.primary.failures == 0 && s.election.reason == ""
}

// use notes traffic. The first after a pause wakes the polls.
func (s *service) use(now time.Time) {
	idle := s.idle(now)
	s.lastUse = now
	if idle {
		s.wakeAll()
	}
}

// checkPause is the time between a poll of the primary and one that PollPrimary asks for.
const checkPause = 50 * time.Millisecond

// PollPrimary polls the primary of a watched service without waiting for the next regular poll. It is called when a unit could not reach
// it.
func (w *Watcher) PollPrimary(name string) {
	s, err := w.service(name)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.primary; p != nil && p.failures == 0 && !p.check {
		p.check = true
		p.wakeUp()
	}
}

func (s *service) wakeAll() {
	for _, m := range s.members {
		m.wakeUp()
	}
}

func (m *member) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// jitter spreads d by up to a tenth, so that polls of many services do not fall together.
func jitter(d time.Duration) time.Duration {
	return d - time.Duration(rand.Int64N(int64(d)/10))
}
