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
	w      *Watcher
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	phase  time.Duration // of the primary's slow polls
	wg     sync.WaitGroup

	mu        sync.Mutex
	rank      int
	members   []*member // the slice and the names in it never change
	owners    []platform.VM
	term      platform.Term
	primary   *member // nil for none
	changed   chan struct{}
	stopped   bool
	lastUse   time.Time // last traffic
	lastWrite time.Time
	samples   []sample
	acks      []*ackWaiter
	rounds    rounds
	election  election
	placement placement.Rule
	preparing bool          // a goroutine prepares for a promotion
	prepared  platform.Term // term for whose end this VM is prepared, 0 for none
	relay     relay
	version   uint32 // of the members' statuses, never 0; starts at random, since a restarted lead must not repeat one
}

// member is the state of one member; service.mu guards it.
type member struct {
	info     platform.Member
	wake     chan struct{} // capacity 1: plan the next poll anew
	known    bool
	status   platform.Status
	sent     time.Time       // when the request was sent whose answer is status
	heard    time.Time       // when the last answer came, here or at the lead; at first, when the watch began
	direct   time.Time       // when the last answer came here
	relayed  platform.Status // last status from the lead
	started  time.Time       // start of the last poll
	failures int             // calls without an answer since the last one
	refused  time.Time       // first of the refused connections since the last answer or other failure, zero for none
	refusals int             // calls refused since then
	polled   time.Time       // end of the last poll
	check    bool            // the next poll is due checkPause after the last one
	progress bool            // the last poll changed the status
	counted  platform.Status
	freshAt  time.Time
	applied  []*appliedWaiter
	ordered  time.Time // last Follow, or when the need for one showed
}

// suspectFailures is the number of calls without an answer after which a member counts as unreachable. A single one
// may be due to a silent connection; the second goes over a fresh one, since control clients drop a connection whose
// call timed out.
const suspectFailures = 2

// refusedTime is how long a primary must have refused connections to count as lost. A killed process refuses them at
// once, so that its loss need not wait for the detection time; a process that restarts on a machine takes longer.
const refusedTime = 150 * time.Millisecond

// lostRefusals is the number of calls in a row that a lost primary has refused. Two may be due to connections that are
// reset on their way: with resets every 30 ms they led to needless changes of primary.
const lostRefusals = 3

func (m *member) reachable() bool { return m.known && m.failures < suspectFailures }
func (m *member) leaving() bool   { return m.info.Leaving || m.status.Leaving }

// mayLead reports whether the member may be chosen to take over: it stays, and it holds what it once acknowledged.
func (m *member) mayLead() bool { return !m.leaving() && !m.status.LostState }

// lost reports whether the member has been silent, or has refused connections, for long enough to be replaced.
func (m *member) lost(now time.Time) bool {
	if m.reachable() {
		return false
	}
	return now.Sub(m.heard) >= detectionTime || m.refusals >= lostRefusals && now.Sub(m.refused) >= refusedTime
}

// fail counts a call without an answer.
func (m *member) fail(now time.Time, err error) {
	m.failures++
	if !errors.Is(err, platform.ErrRefused) {
		m.refused, m.refusals = time.Time{}, 0
		return
	}
	if m.refusals++; m.refusals == 1 {
		m.refused = now
	}
}

// answer notes an answer to this VM.
func (m *member) answer(now time.Time) {
	m.heard, m.direct, m.failures, m.refused, m.refusals = now, now, 0, time.Time{}, 0
}

// heardWithin reports whether the member answered within d before now, here or at the lead.
func (m *member) heardWithin(now time.Time, d time.Duration) bool {
	return m.known && now.Sub(m.heard) <= d
}

// answeredWithin reports whether the member answered this VM within d before now.
func (m *member) answeredWithin(now time.Time, d time.Duration) bool {
	return m.known && now.Sub(m.direct) <= d
}

func newService(w *Watcher, a Assignment) *service {
	s := &service{w: w, name: a.Service.Name, rank: a.PromoterRank, owners: a.Owners, changed: make(chan struct{})}
	s.phase = rand.N(idleInterval/pollGrid) * pollGrid
	s.version, s.relay.wake = rand.Uint32()|1, make(chan struct{}, 1)
	if w.opts.QuiesceWrites != nil {
		s.placement = placement.NewRule(w.opts.MinTenure, rand.Float64())
	}
	s.ctx, s.cancel = context.WithCancel(w.ctx)
	now := time.Now()
	for _, info := range a.Service.Members {
		s.members = append(s.members, &member{info: info, heard: now, wake: make(chan struct{}, 1)})
	}
	for _, m := range s.members {
		s.wg.Go(func() { s.pollLoop(m) })
	}
	if w.opts.Relay != nil {
		s.wg.Go(s.relayLoop)
	}
	return s
}

// update takes a new rank, the owners and the leaving flags of the list.
func (s *service) update(a Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.lead()
	if s.rank != a.PromoterRank {
		s.wakeAll()
	}
	s.rank, s.owners = a.PromoterRank, a.Owners
	s.preparePromotion()
	if lead, _ := s.lead(); lead.Name != before.Name {
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
	for _, a := range s.acks {
		a.done <- errkind.New(errkind.RequestOutcomeUnknown, "service %q is no longer watched", s.name)
	}
	s.acks = nil
	s.notify()
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
	s.w.stats.calls.Add(1)
	st, err := f(ctx, info)
	if s.ctx.Err() == nil && (err == nil || parent.Err() == nil) { // an abandoned call says nothing about the member
		s.record(m, sent, st, err)
	}
	return st, err
}

// record takes the outcome of a call.
func (s *service) record(m *member, sent time.Time, st platform.Status, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil, errors.Is(err, platform.ErrFenced) && st.Member != "":
		s.recordStatus(m, sent, now, st)
	case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrBusy): // an answer without a status
		m.answer(now)
	default:
		if m.fail(now, err); m.failures == 1 && m == s.primary {
			s.wakeAll() // those that rested on the lead's answers
		}
		if m.failures == suspectFailures {
			s.notify()
			s.log().WithError(err).WithFields(logrus.Fields{"member": m.name(), "silent": now.Sub(m.heard).String()}).
				Info("member does not answer")
		}
	}
	s.supervise(now)
	s.repair(m, now)
}

func (s *service) recordStatus(m *member, sent, now time.Time, st platform.Status) {
	m.heard, m.direct = now, now
	s.count(m, st)
	if m.known && sent.Before(m.sent) {
		s.completeAcks()
		return // a later request has been answered before
	}
	unreachable := !m.reachable()
	m.progress = !m.known || m.status != st
	lost := st.LostState && !m.status.LostState
	m.status, m.known, m.sent = st, true, sent
	m.answer(now)
	s.refresh()
	s.sample(m)
	s.completeAcks()
	m.completeApplied()
	if unreachable && m.polled != (time.Time{}) {
		s.log().WithFields(logrus.Fields{"member": m.name(), "role": st.Role, "term": st.LastTerm, "position": st.LastPosition}).
			Info("member answers")
	}
	if lost {
		s.log().WithFields(logrus.Fields{"member": m.name(), "role": st.Role, "term": st.LastTerm, "position": st.LastPosition}).
			Warn("member lost its state and counts towards no majority; have the platform list it under another name")
	}
	if m.progress || unreachable {
		s.changedStatus()
	}
}

// refresh derives the primary and the term from the members' statuses.
func (s *service) refresh() {
	before := s.primary
	s.derive()
	if s.primary != before {
		s.leadChanged()
		s.preparePromotion()
		s.log().WithFields(logrus.Fields{"primary": s.primary.name(), "before": before.name(), "term": s.term}).
			Info("primary changed in this VM's view")
	}
}

// log returns the logger for what this VM believes of the service.
func (s *service) log() logrus.FieldLogger { return s.w.opts.Log.WithField("of", s.name) }

// name returns the member's name, "" for none.
func (m *member) name() string {
	if m == nil {
		return ""
	}
	return m.info.Name
}

// leadChanged makes the relay loop look for the lead, and all members be polled until that answers.
func (s *service) leadChanged() {
	s.relayLost()
	select {
	case s.relay.wake <- struct{}{}:
	default:
	}
}

func (s *service) derive() {
	s.primary, s.term = nil, 0
	highest := platform.Term(0)
	for _, m := range s.members {
		if !m.known {
			continue
		}
		t := quorum.EffectiveTerm(m.status)
		highest = max(highest, t)
		if m.status.Role == platform.RolePrimary && (s.primary == nil || t > s.term) {
			s.primary, s.term = m, t
		}
	}
	above := 0
	for _, m := range s.members {
		if m.known && quorum.RejectsTerm(m.status, s.term) {
			above++
		}
	}
	if s.primary == nil || above >= quorum.Majority(len(s.members)) {
		s.primary, s.term = nil, highest
	}
}

// changedStatus announces a change of statuses.
func (s *service) changedStatus() {
	if s.version++; s.version == 0 {
		s.version = 1
	}
	s.notify()
}

// notify announces a change of the view.
func (s *service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// highestTerm returns the highest term that any member reported.
func (s *service) highestTerm() platform.Term {
	t := platform.Term(0)
	for _, m := range s.members {
		t = max(t, quorum.EffectiveTerm(m.status))
	}
	return t
}
