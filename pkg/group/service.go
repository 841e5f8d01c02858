package group

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/placement"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// service is the state of one watched service.
type service struct {
	watcher    *Watcher
	name       string
	ctx        context.Context
	cancel     context.CancelFunc
	gridOffset time.Duration // of the primary's slow polls
	wg         sync.WaitGroup

	mu            sync.Mutex
	promoterRank  int
	members       []*member // the slice and the names in it never change
	owners        []platform.VM
	term          platform.Term
	primary       *member // nil for none
	viewChanged   chan struct{}
	stopped       bool
	lastTraffic   time.Time // last traffic
	lastWrite     time.Time
	samples       []positionSample
	ackWaiters    []*ackWaiter
	rounds        confirmRounds
	election      election
	placement     placement.Rule
	preparing     bool          // a goroutine prepares for a promotion
	preparedTerm  platform.Term // term for whose end this VM is prepared, 0 for none
	relay         relayState
	statusVersion uint32 // of the members' statuses, never 0; starts at random, since a restarted lead must not repeat one
}

// member is the state of one member; service.mu guards it.
type member struct {
	info             platform.Member
	wake             chan struct{} // capacity 1: plan the next poll anew
	known            bool
	status           platform.Status
	requestedAt      time.Time       // when the request was sent whose answer is status
	lastHeard        time.Time       // when the last answer came, here or at the lead; at first, when the watch began
	lastDirectAnswer time.Time       // when the last answer came here
	relayedStatus    platform.Status // last status from the lead
	pollStarted      time.Time       // start of the last poll
	failures         int             // calls without an answer since the last one
	refusedSince     time.Time       // first of the refused connections since the last answer or other failure, zero for none
	refusals         int             // calls refused since then
	pollEnded        time.Time       // end of the last poll
	checkRequested   bool            // the next poll is due checkPause after the last one
	statusChanged    bool            // the last poll changed the status
	bestReport       platform.Status
	freshAt          time.Time
	appliedWaiters   []*appliedWaiter
	followOrdered    time.Time // last Follow, or when the need for one showed
}

// failuresUntilUnreachable is the number of calls without an answer after which a member counts as unreachable. A single one
// may be due to a silent connection; the second goes over a fresh one, since control clients drop a connection whose
// call timed out.
const failuresUntilUnreachable = 2

// refusalDetectionTime is how long a primary must have refused connections to count as lost. A killed process refuses them at
// once, so that its loss need not wait for the detection time; a process that restarts on a machine takes longer.
const refusalDetectionTime = 150 * time.Millisecond

// refusalsUntilLost is the number of calls in a row that a lost primary has refused. Two may be due to connections that are
// reset on their way: with resets every 30 ms they led to needless changes of primary.
const refusalsUntilLost = 3

func (m *member) reachable() bool { return m.known && m.failures < failuresUntilUnreachable }
func (m *member) leaving() bool   { return m.info.Leaving || m.status.Leaving }

// mayBecomePrimary reports whether the member may be chosen to take over: it stays, and it holds what it once acknowledged.
func (m *member) mayBecomePrimary() bool { return !m.leaving() && !m.status.LostState }

// lost reports whether the member has been silent, or has refused connections, for long enough to be replaced.
func (m *member) lost(now time.Time) bool {
	if m.reachable() {
		return false
	}
	return now.Sub(m.lastHeard) >= detectionTime || m.refusals >= refusalsUntilLost && now.Sub(m.refusedSince) >= refusalDetectionTime
}

// recordFailure counts a call without an answer.
func (m *member) recordFailure(now time.Time, err error) {
	m.failures++
	if !errors.Is(err, platform.ErrRefused) {
		m.refusedSince, m.refusals = time.Time{}, 0
		return
	}
	if m.refusals++; m.refusals == 1 {
		m.refusedSince = now
	}
}

// recordAnswer notes an answer to this VM.
func (m *member) recordAnswer(now time.Time) {
	m.lastHeard, m.lastDirectAnswer, m.failures, m.refusedSince, m.refusals = now, now, 0, time.Time{}, 0
}

// heardWithin reports whether the member answered within d before now, here or at the lead.
func (m *member) heardWithin(now time.Time, d time.Duration) bool {
	return m.known && now.Sub(m.lastHeard) <= d
}

// answeredDirectlyWithin reports whether the member answered this VM within d before now.
func (m *member) answeredDirectlyWithin(now time.Time, d time.Duration) bool {
	return m.known && now.Sub(m.lastDirectAnswer) <= d
}

func newService(w *Watcher, a Assignment) *service {
	s := &service{watcher: w, name: a.Service.Name, promoterRank: a.PromoterRank, owners: a.Owners, viewChanged: make(chan struct{})}
	s.gridOffset = rand.N(idlePollInterval/pollGridStep) * pollGridStep
	s.statusVersion, s.relay.wake = rand.Uint32()|1, make(chan struct{}, 1)
	if w.opts.HoldWrites != nil {
		s.placement = placement.NewRule(w.opts.Stand, rand.Float64())
	}
	s.ctx, s.cancel = context.WithCancel(w.ctx)
	now := time.Now()
	for _, info := range a.Service.Members {
		s.members = append(s.members, &member{info: info, lastHeard: now, wake: make(chan struct{}, 1)})
	}
	for _, m := range s.members {
		s.wg.Go(func() { s.pollLoop(m) })
	}
	if w.opts.Relay != nil {
		s.wg.Go(s.relayLoop)
	}
	return s
}

// updateAssignment takes a new rank, the owners and the leaving flags of the list.
func (s *service) updateAssignment(a Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.leadVM()
	if s.promoterRank != a.PromoterRank {
		s.wakeAllPolls()
	}
	s.promoterRank, s.owners = a.PromoterRank, a.Owners
	s.preparePromotion()
	if lead, _ := s.leadVM(); lead.Name != before.Name {
		s.leadChanged()
	}
	for i, m := range s.members {
		m.info = a.Service.Members[i]
	}
}

// stop ends the watch after its context was cancelled.
func (s *service) stop() {
	s.mu.Lock()
	s.stopped = true
	for _, a := range s.ackWaiters {
		a.done <- errkind.New(errkind.Unknown, "service %q is no longer watched", s.name)
	}
	s.ackWaiters = nil
	s.notifyViewChange()
	s.mu.Unlock()
	s.wg.Wait()
}

// spawn runs f in a goroutine that stop waits for. The caller holds s.mu, so that none starts after stop.
func (s *service) spawn(f func()) {
	if !s.stopped {
		s.wg.Go(f)
	}
}

// call sends one control request with a deadline and records the answer.
func (s *service) call(parent context.Context, m *member, limit time.Duration,
	f func(context.Context, platform.Member) (platform.Status, error),
) (platform.Status, error) {
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	s.mu.Lock()
	info := m.info
	s.mu.Unlock()
	sent := time.Now()
	s.watcher.stats.calls.Add(1)
	st, err := f(ctx, info)
	if s.ctx.Err() == nil && (err == nil || parent.Err() == nil) { // an abandoned call says nothing about the member
		s.recordOutcome(m, sent, st, err)
	}
	return st, err
}

// recordOutcome takes the outcome of a call.
func (s *service) recordOutcome(m *member, sent time.Time, st platform.Status, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil, errors.Is(err, platform.ErrFenced) && st.Member != "":
		s.recordStatus(m, sent, now, st)
	case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrBusy): // an answer without a status
		m.recordAnswer(now)
	default:
		if m.recordFailure(now, err); m.failures == 1 && m == s.primary {
			s.wakeAllPolls() // those that rested on the lead's answers
		}
		if m.failures == failuresUntilUnreachable {
			s.notifyViewChange()
			s.log().WithError(err).WithFields(logrus.Fields{"member": m.name(), "silent": now.Sub(m.lastHeard).String()}).
				Info("member does not answer")
		}
	}
	s.considerPromotion(now)
	s.repairReplica(m, now)
}

func (s *service) recordStatus(m *member, sent, now time.Time, st platform.Status) {
	m.lastHeard, m.lastDirectAnswer = now, now
	s.keepBestReport(m, st)
	if m.known && sent.Before(m.requestedAt) {
		s.completeAckWaits()
		return // a later request has been answered before
	}
	wasUnreachable := !m.reachable()
	m.statusChanged = !m.known || m.status != st
	lostState := st.LostState && !m.status.LostState
	m.status, m.known, m.requestedAt = st, true, sent
	m.recordAnswer(now)
	s.refreshPrimary()
	s.updateFreshness(m)
	s.completeAckWaits()
	m.completeAppliedWaits()
	if wasUnreachable && m.pollEnded != (time.Time{}) {
		s.log().WithFields(logrus.Fields{"member": m.name(), "role": st.Role, "term": st.LastTerm, "position": st.LastPosition}).
			Info("member answers")
	}
	if lostState {
		s.log().WithFields(logrus.Fields{"member": m.name(), "role": st.Role, "term": st.LastTerm, "position": st.LastPosition}).
			Warn("member lost its state and counts towards no majority; have the platform list it under another name")
	}
	if m.statusChanged || wasUnreachable {
		s.notifyStatusChange()
	}
}

// refreshPrimary derives the primary and the term from the members' statuses.
func (s *service) refreshPrimary() {
	before := s.primary
	s.derivePrimary()
	if s.primary != before {
		s.leadChanged()
		s.preparePromotion()
		s.log().WithFields(logrus.Fields{"primary": s.primary.name(), "before": before.name(), "term": s.term}).
			Info("primary changed in this VM's view")
	}
}

// log returns the logger for what this VM believes of the service.
func (s *service) log() logrus.FieldLogger { return s.watcher.opts.Log.WithField("of", s.name) }

// name returns the member's name, "" for none.
func (m *member) name() string {
	if m == nil {
		return ""
	}
	return m.info.Name
}

// leadChanged makes the relay loop look for the lead, and all members be polled until that answers.
func (s *service) leadChanged() {
	s.fallBackToDirectPolls()
	select {
	case s.relay.wake <- struct{}{}:
	default:
	}
}

func (s *service) derivePrimary() {
	s.primary, s.term = nil, 0
	highest := platform.Term(0)
	for _, m := range s.members {
		if !m.known {
			continue
		}
		t := quorum.Term(m.status)
		highest = max(highest, t)
		if m.status.Role == platform.RolePrimary && (s.primary == nil || t > s.term) {
			s.primary, s.term = m, t
		}
	}
	above := 0
	for _, m := range s.members {
		if m.known && quorum.Rejects(m.status, s.term) {
			above++
		}
	}
	if s.primary == nil || above >= quorum.Majority(len(s.members)) {
		s.primary, s.term = nil, highest
	}
}

// notifyStatusChange announces a change of statuses.
func (s *service) notifyStatusChange() {
	if s.statusVersion++; s.statusVersion == 0 {
		s.statusVersion = 1
	}
	s.notifyViewChange()
}

// notifyViewChange announces a change of the view.
func (s *service) notifyViewChange() {
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
}

// highestTerm returns the highest term that any member reported.
func (s *service) highestTerm() platform.Term {
	t := platform.Term(0)
	for _, m := range s.members {
		t = max(t, quorum.Term(m.status))
	}
	return t
}
