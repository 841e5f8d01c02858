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
	gridOffset time.Duration // of the primary's idle polls within the poll grid
	wg         sync.WaitGroup

	mu            sync.Mutex
	promoterRank  int
	members       []*member // first those that the platform lists; the slice and the names in it never change
	listedCount   int       // see listed; never changes
	owners        []platform.VM
	term          platform.Term
	primary       *member // nil if there is none
	viewChanged   chan struct{}
	stopped       bool
	lastTraffic   time.Time // last call that noteTraffic recorded
	lastWrite     time.Time // last call of WaitAcknowledged
	samples       []positionSample
	ackWaiters    []*ackWaiter
	rounds        confirmRounds
	election      election
	placement     placement.Rule
	claiming      bool          // claimLoop runs
	claimedTerm   platform.Term // term of the primary that this VM has claimed the right to replace, or 0
	settlement    settlement
	relay         relayState
	statusVersion uint32 // of the members' statuses, never 0; starts at random, so that a restarted primary's owner repeats no version
}

// member is the state of one member; service.mu guards it.
type member struct {
	info             platform.Member
	unlisted         bool          // the platform lists the member no more
	unlistedAt       time.Time     // when that was noticed, or zero
	wake             chan struct{} // capacity 1: call nextPoll again
	known            bool          // status has been received
	status           platform.Status
	requestedAt      time.Time       // when the request that status answers was sent
	lastHeard        time.Time       // last answer to this VM or the primary's owner; before the first answer, when the watch began
	lastDirectAnswer time.Time       // last answer to this VM itself
	relayedStatus    platform.Status // last status that the primary's owner relayed
	pollStarted      time.Time       // start of the last poll, from which retryAt counts; zero before the first
	failures         int             // calls without an answer since the last answer
	refusedSince     time.Time       // first refused connection since the last answer or other failure, or zero
	refusals         int             // calls refused since refusedSince
	pollEnded        time.Time       // end of the last poll, from which nextPoll counts; zero before the first
	checkRequested   bool            // PollPrimary asked for a poll, due checkDelay after the last one
	statusChanged    bool            // the last answer changed status
	bestReport       platform.Status // report that counts for the most writes, see keepBestReport
	freshAt          time.Time       // time that MemberView.Age counts from, or zero
	receivedAt       time.Time       // latest time known whose acknowledged writes the member has received, applied or not; zero for none
	leavingSince     time.Time       // when the member was first seen leaving, or zero
	appliedWaiters   []*appliedWaiter
	followRequested  time.Time // last request to follow; before the first, a time that makes it due after the rank's delay
}

// failuresUntilUnreachable is the number of calls without an answer after which a member counts as unreachable. A
// single failure may be due to a broken connection that stays silent. The second call uses a new one, since control
// clients drop a connection whose call timed out.
const failuresUntilUnreachable = 2

// refusalDetectionTime is how long a primary must have refused connections to count as lost. Connections to a killed
// process are refused at once, so that its loss need not wait for detectionTime. A process that is restarted on its
// machine takes longer than this.
const refusalDetectionTime = 150 * time.Millisecond

// refusalsUntilLost is the number of calls in a row that a primary must have refused to count as lost. Two refusals
// may be due to connections that the network resets: resets every 30 ms led to needless changes of primary with a
// limit of two.
const refusalsUntilLost = 3

func (m *member) reachable() bool { return m.known && m.failures < failuresUntilUnreachable }
func (m *member) leaving() bool   { return m.info.Leaving || m.status.Leaving }

// maxLeavingPromotable is how long a leaving member may be promoted where no other one can be. A member that leaves must get no
// new work after some seconds, and as the primary it would get all writes.
const maxLeavingPromotable = 3 * time.Second

// leavingLong reports whether the member has been leaving for too long to be promoted.
func (m *member) leavingLong(now time.Time) bool {
	return m.leaving() && !m.leavingSince.IsZero() && now.Sub(m.leavingSince) >= maxLeavingPromotable
}

// mayBecomePrimary reports whether the member may be promoted: it is not leaving, and it still holds what it has
// acknowledged.
func (m *member) mayBecomePrimary() bool { return !m.leaving() && !m.status.LostState }

// lost reports whether the member, as a primary, has been silent or has refused connections long enough to be replaced.
func (m *member) lost(now time.Time) bool {
	if m.reachable() {
		return false
	}
	return now.Sub(m.lastHeard) >= detectionTime || m.refusals >= refusalsUntilLost && now.Sub(m.refusedSince) >= refusalDetectionTime
}

// recordFailure records a call without an answer.
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

// recordAnswer records that the member answered this VM.
func (m *member) recordAnswer(now time.Time) {
	m.lastHeard, m.lastDirectAnswer, m.failures, m.refusedSince, m.refusals = now, now, 0, time.Time{}, 0
}

// heardWithin reports whether the member answered this VM or the primary's owner within d before now.
func (m *member) heardWithin(now time.Time, d time.Duration) bool {
	return m.known && now.Sub(m.lastHeard) <= d
}

// answeredDirectlyWithin reports whether the member answered this VM itself within d before now.
func (m *member) answeredDirectlyWithin(now time.Time, d time.Duration) bool {
	return m.known && now.Sub(m.lastDirectAnswer) <= d
}

// newService returns a service whose polls have started. It continues from before, an earlier watch of the service, unless that is
// nil.
func newService(w *Watcher, a Assignment, before *service) *service {
	s := &service{watcher: w, name: a.Service.Name, promoterRank: a.PromoterRank, owners: a.Owners, viewChanged: make(chan struct{})}
	s.gridOffset = rand.N(idlePollInterval/pollGridStep) * pollGridStep
	s.statusVersion, s.relay.wake = rand.Uint32()|1, make(chan struct{}, 1)
	if w.opts.QuiesceWrites != nil {
		s.placement = placement.NewRule(w.opts.MinTenure, rand.Float64())
	}
	s.ctx, s.cancel = context.WithCancel(w.ctx)
	now := time.Now()
	for _, info := range a.Service.Members {
		s.members = append(s.members, &member{info: info, lastHeard: now, wake: make(chan struct{}, 1)})
	}
	s.listedCount = len(s.members)
	if before != nil {
		s.continueFrom(before, now)
	}
	for _, m := range s.members {
		s.wg.Go(func() { s.pollLoop(m) })
	}
	if w.opts.Relay != nil {
		s.wg.Go(s.relayLoop)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startClaim()
	return s
}

// updateAssignment takes over the rank, the owners and the members' details, such as the leaving flag, from a new
// assignment.
func (s *service) updateAssignment(a Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := s.primaryOwner()
	if s.promoterRank != a.PromoterRank {
		s.wakeAllPolls()
	}
	s.promoterRank, s.owners = a.PromoterRank, a.Owners
	s.startClaim()
	if owner, _ := s.primaryOwner(); owner.Name != before.Name {
		s.primaryOwnerChanged()
	}
	for i, m := range s.listed() {
		m.info = a.Service.Members[i]
	}
}

// stop ends the watch and waits for its goroutines. The context has been cancelled before.
func (s *service) stop() {
	s.mu.Lock()
	s.stopped = true
	for _, waiter := range s.ackWaiters {
		waiter.done <- errkind.New(errkind.RequestOutcomeUnknown, "service %q is no longer watched by this entry VM", s.name)
	}
	s.ackWaiters = nil
	s.notifyViewChange()
	s.mu.Unlock()
	s.wg.Wait()
}

// spawn runs f in a goroutine that stop waits for, or does nothing after stop. The caller holds s.mu, so that no
// goroutine starts after stop.
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
	if s.ctx.Err() == nil && (err == nil || parent.Err() == nil) { // a cancelled call says nothing about the member
		s.recordOutcome(m, sent, st, err)
	}
	return st, err
}

// recordOutcome updates the state of m with the outcome of a call, and acts on the new state.
func (s *service) recordOutcome(m *member, sent time.Time, st platform.Status, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case errors.Is(err, platform.ErrPromotionRefused): // the member itself has not answered
	case err == nil, errors.Is(err, platform.ErrFenced) && st.Member != "":
		s.recordStatus(m, sent, now, st)
	case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrBusy): // the member answered, but without a status
		m.recordAnswer(now)
	default:
		if m.recordFailure(now, err); m.failures == 1 && m == s.primary {
			s.wakeAllPolls() // also members whose polls the answers of the primary's owner replaced
		}
		if m.failures == failuresUntilUnreachable {
			s.notifyViewChange()
			s.log().WithError(err).WithFields(logrus.Fields{"member": m.name(), "silent": now.Sub(m.lastHeard).String()}).
				Info("member does not answer and counts as unreachable")
		}
	}
	s.considerPromotion(now)
	s.considerSettlement(now)
	s.repairReplica(m, now)
}

func (s *service) recordStatus(m *member, sent, now time.Time, st platform.Status) {
	m.lastHeard, m.lastDirectAnswer = now, now
	s.keepBestReport(m, st)
	if m.known && sent.Before(m.requestedAt) {
		s.completeAckWaiters()
		return // the answer to a later request came earlier
	}
	wasUnreachable := !m.reachable()
	m.statusChanged = !m.known || m.status != st
	lostState := st.LostState && !m.status.LostState
	m.setStatus(st, sent)
	m.recordAnswer(now)
	s.refreshPrimary()
	s.updateFreshness(m)
	s.completeAckWaiters()
	m.completeAppliedWaiters()
	if wasUnreachable && m.pollEnded != (time.Time{}) {
		s.log().WithFields(logrus.Fields{"member": m.name(), "role": st.Role, "term": st.LastTerm, "position": st.LastPosition}).
			Info("member answers and counts as reachable")
	}
	if lostState {
		s.log().WithFields(logrus.Fields{"member": m.name(), "role": st.Role, "term": st.LastTerm, "position": st.LastPosition}).
			Warn("member lost its fence and log and counts towards no majority; have the platform list it as a new member, under another name")
	}
	if m.statusChanged || wasUnreachable {
		s.notifyStatusChange()
	}
}

// refreshPrimary derives the primary and the term from the members' statuses, and acts on a change of the primary.
func (s *service) refreshPrimary() {
	before := s.primary
	s.derivePrimary()
	if s.primary != before {
		s.settlement.primarySince = time.Now()
		s.primaryOwnerChanged()
		s.startClaim()
		s.log().WithFields(logrus.Fields{"primary": s.primary.name(), "before": before.name(), "term": s.term}).
			Info("primary changed in this VM's view")
	}
}

// log returns the logger for this VM's view of the service.
func (s *service) log() logrus.FieldLogger { return s.watcher.opts.Log.WithField("of", s.name) }

// name returns the member's name, or "" for a nil member.
func (m *member) name() string {
	if m == nil {
		return ""
	}
	return m.info.Name
}

// primaryOwnerChanged makes the relay loop ask the primary's new owner, and this VM poll all members until that owner
// answers.
func (s *service) primaryOwnerChanged() {
	s.fallBackToDirectPolls()
	select {
	case s.relay.wake <- struct{}{}:
	default:
	}
}

// derivePrimary sets primary to the member that reports to be primary of the highest term. There is none while a
// majority holds a fence above that term.
func (s *service) derivePrimary() {
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
		if m.known && m.counts() && quorum.RejectsTerm(m.status, s.term) {
			above++
		}
	}
	if s.primary == nil || above >= s.majority() {
		s.primary, s.term = nil, highest
	}
}

// notifyStatusChange records and announces that a member's status or reachability changed.
func (s *service) notifyStatusChange() {
	if s.statusVersion++; s.statusVersion == 0 {
		s.statusVersion = 1
	}
	s.notifyViewChange()
}

// notifyViewChange wakes those who wait for a change of the view, see Watcher.ViewChanged.
func (s *service) notifyViewChange() {
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
}

// highestTerm returns the highest term that any member reported.
func (s *service) highestTerm() platform.Term {
	t := platform.Term(0)
	for _, m := range s.members {
		t = max(t, quorum.EffectiveTerm(m.status))
	}
	return t
}
