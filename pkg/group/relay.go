package group

import (
	"bytes"
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Relays save polls. The VM that owns the primary of a service polls all members: it needs their own answers for writes
// anyway. The other watchers ask the primary's owner for its view at idlePollInterval, and poll the members themselves
// while they get no usable answer.
const (
	// directPollDelay is the time without an answer of the primary's owner after which the members are polled directly.
	// With it, the first direct poll ends no later than a second poll would without relays.
	directPollDelay = 150 * time.Millisecond
	// relayTimeout bounds a request to the primary's owner. When it has elapsed, the connection is suspected to be broken.
	// It is longer than heartbeats take to find a silent connection, so that relays do not affect when a VM counts as gone.
	// An answer that comes after directPollDelay still counts.
	relayTimeout       = 3 * time.Second
	relayRetryInterval = time.Second // after a request without a usable answer
	// relayedAgeUnit is the unit of ages on the wire. Ages up to 1.27 s take one byte.
	relayedAgeUnit = 10 * time.Millisecond
	// primaryOwnerCheckInterval is the time between checks which VM owns the primary, while this VM does or none is known.
	// A change of the primary's owner wakes the loop earlier.
	primaryOwnerCheckInterval = 5 * time.Second
)

// RelayFunc asks the owner of a service's primary for its view. seen is the version of that VM's last answer, or 0.
type RelayFunc func(ctx context.Context, primaryOwner platform.VM, service string, seen uint32) (RelayedView, error)

// RelayedView is the view that the primary's owner has of the members. It holds durations instead of times, so that clocks
// of different VMs are never compared.
type RelayedView struct {
	Leading bool   // the sender owns the primary, and the primary and a majority answer it; otherwise the view is empty
	Version uint32 // of the members' statuses
	Members []RelayedMember
}

// RelayedMember is the state of one member. RelayedView holds them in the order of the service's list. Ages are in units of
// 10 ms, rounded up; 0 stands for never.
type RelayedMember struct {
	Heard    uint32           // age of the last answer, the time since it came
	Sent     uint32           // age of the request that the status answered, the time since it was sent
	Fresh    uint32           // age of the member's data, see MemberView.Age
	Failures int              // calls without an answer since the last one
	Status   *platform.Status // nil if there is none, or if the receiver has seen this version
}

// Encode returns the encoded message.
func (r *RelayedView) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(r)
	return b.Bytes(), err
}

// DecodeRelayedView decodes a message of Encode. A daemon of an older version answers with its View instead, which decodes
// with Leading false.
func DecodeRelayedView(body []byte) (r RelayedView, err error) {
	err = wire.Unmarshal(body, &r)
	return r, err
}

// relayState is what a watcher on another VM knows about the answers of the primary's owner; service.mu guards it.
type relayState struct {
	wake        chan struct{} // capacity 1: find out again which VM owns the primary
	usable      bool          // the last answer was usable and replaces polls
	answeredBy  string        // VM that gave the last answer
	seenVersion uint32        // version of the last answer, or 0
}

// RelayView returns this VM's view of a service for a watcher on another VM. It leaves the statuses out if seen, the
// version that the watcher has, is the present one. The view is empty, with Leading false, if this VM does not own the
// primary or relayAllowed reports false.
func (w *Watcher) RelayView(name string, seen uint32) RelayedView {
	s, err := w.service(name)
	if err != nil {
		return RelayedView{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.primaryOwner()
	if !ok || vm.Name != w.opts.Self || !s.relayAllowed() {
		return RelayedView{}
	}
	now := time.Now()
	r := RelayedView{Leading: true, Version: s.statusVersion, Members: make([]RelayedMember, s.listedCount)}
	for i, m := range s.listed() {
		relayed := &r.Members[i]
		relayed.Heard, relayed.Fresh, relayed.Failures = ageInUnits(now, m.lastHeard), ageInUnits(now, m.freshAt), m.failures
		if !m.known {
			continue
		}
		relayed.Sent = ageInUnits(now, m.requestedAt)
		if seen != s.statusVersion {
			st := m.status
			relayed.Status = &st
		}
	}
	return r
}

// ageInUnits returns the time since at in units of relayedAgeUnit, rounded up, or 0 if at is zero.
func ageInUnits(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(now.Sub(at)/relayedAgeUnit) + 1
}

// primaryOwner returns the VM that owns the primary. It reports false if there is none.
func (s *service) primaryOwner() (platform.VM, bool) {
	for i, m := range s.members {
		if m == s.primary && i < len(s.owners) {
			return s.owners[i], s.owners[i].Name != ""
		}
	}
	return platform.VM{}, false
}

// relayAllowed reports whether the answers of the primary's owner may replace polls: the primary and a majority answer, and
// no promotion is needed. Otherwise all watchers poll the members themselves.
func (s *service) relayAllowed() bool {
	n := 0
	for _, m := range s.members {
		if m.known && m.failures == 0 {
			n++
		}
	}
	return s.healthy() && !s.primary.leaving() && n >= s.majority()
}

// coveredByRelay reports whether m needs no poll because the answers of the primary's owner tell its state. The first
// promoter polls the primary all the same, so that it finds a loss as early as without relays.
func (s *service) coveredByRelay(m *member, kind pollKind, now time.Time) bool {
	if !s.relay.usable || kind != regularPoll || now.Sub(s.lastWrite) < activeWindow {
		return false
	}
	return s.healthy() && (m != s.primary || s.promoterRank != 0)
}

// relayLoop asks the primary's owner again and again until the service is dropped.
func (s *service) relayLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.relay.wake:
		case <-s.ctx.Done():
			return
		}
		timer.Reset(s.askPrimaryOwner())
	}
}

// askPrimaryOwner sends one request to the primary's owner, if that is another VM, and returns the time until the next call.
func (s *service) askPrimaryOwner() time.Duration {
	s.mu.Lock()
	vm, ok := s.primaryOwner()
	if !ok || vm.Name == s.watcher.opts.Self {
		s.fallBackToDirectPolls()
		s.mu.Unlock()
		return primaryOwnerCheckInterval
	}
	if !s.relayAllowed() {
		s.fallBackToDirectPolls()
		s.mu.Unlock()
		return jitter(idlePollInterval)
	}
	if s.relay.answeredBy != vm.Name {
		s.relay.answeredBy, s.relay.seenVersion = vm.Name, 0
	}
	seen := s.relay.seenVersion
	s.mu.Unlock()

	ctx, cancel := context.WithTimeout(s.ctx, relayTimeout)
	defer cancel()
	sent := time.Now()
	overdue := time.AfterFunc(directPollDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fallBackToDirectPolls()
	})
	s.watcher.stats.relays.Add(1)
	r, err := s.watcher.opts.Relay(ctx, vm, s.name, seen)
	overdue.Stop()
	if !s.applyRelayedView(vm.Name, sent, r, err) {
		return jitter(relayRetryInterval)
	}
	due := s.watcher.pollOrigin.Add(sent.Add(idlePollInterval).Sub(s.watcher.pollOrigin).Truncate(pollGridStep))
	return max(time.Until(due), minPollGap)
}

// fallBackToDirectPolls makes the watcher poll all members itself from now on, until the primary's owner gives a usable
// answer.
func (s *service) fallBackToDirectPolls() {
	if s.relay.usable {
		s.relay.usable = false
		s.wakeAllPolls()
	}
}

// applyRelayedView merges the view of the primary's owner into that of this VM and reports whether it was usable. Ages
// count from when the request was sent, which is earlier than when the other VM measured them, so that nothing seems
// younger than it is.
func (s *service) applyRelayedView(from string, sent time.Time, r RelayedView, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !s.acceptsRelayedView(from, r) {
		s.relay.seenVersion = 0
		s.fallBackToDirectPolls()
		return false
	}
	now := time.Now()
	before := s.requestTimes()
	changed := false
	for i, m := range s.listed() {
		changed = s.recordRelayedMember(m, &r.Members[i], sent) || changed
	}
	s.relay.seenVersion = r.Version
	s.refreshPrimary()
	for i, m := range s.members {
		if m.requestedAt != before[i] {
			s.updateFreshness(m)
			m.completeAppliedWaiters()
		}
	}
	if changed {
		s.notifyStatusChange()
	}
	s.considerPromotion(now)
	s.considerSettlement(now)
	for _, m := range s.members {
		s.repairReplica(m, now)
	}
	// The primary's owner may itself be waiting for the primary: its answers then report a primary that was last heard too
	// long ago.
	vm, ok := s.primaryOwner()
	if !ok || vm.Name != from || !s.relayAllowed() || !s.primary.heardWithin(now, majorityWindow) {
		s.fallBackToDirectPolls()
		return false
	}
	s.relay.usable = true
	return true
}

// requestTimes returns requestedAt of every member, in the order of members.
func (s *service) requestTimes() []time.Time {
	out := make([]time.Time, len(s.members))
	for i, m := range s.members {
		out[i] = m.requestedAt
	}
	return out
}

// acceptsRelayedView reports whether r comes from the primary's present owner and describes the same members. It rejects all
// answers while this VM's own polls of the primary fail, since the owner's answers must not hide that.
func (s *service) acceptsRelayedView(from string, r RelayedView) bool {
	vm, ok := s.primaryOwner()
	if !r.Leading || !ok || vm.Name != from || !s.relayAllowed() || len(r.Members) != s.listedCount {
		return false
	}
	for i, m := range s.listed() {
		relayed := &r.Members[i]
		complete := relayed.Sent == 0 || relayed.Status != nil || r.Version == s.relay.seenVersion
		if !complete || relayed.Status != nil && relayed.Status.Member != m.info.Name {
			return false
		}
	}
	return true
}

// recordRelayedMember takes over the relayed state of m and reports whether that changed the status or the reachability.
// A relayed state does not count for acknowledgements or majority checks, which need the members' own answers.
func (s *service) recordRelayedMember(m *member, relayed *RelayedMember, sent time.Time) bool {
	timeOfAge := func(age uint32) time.Time { return sent.Add(-time.Duration(age) * relayedAgeUnit) }
	if relayed.Status != nil {
		m.relayedStatus = *relayed.Status
	}
	if relayed.Sent == 0 {
		return false
	}
	wasReachable := m.reachable()
	// The first promoter polls the primary itself. A later answer to the primary's owner must not delay the first promoter's
	// detection of a loss.
	if heard := timeOfAge(relayed.Heard); heard.After(m.lastHeard) && (m != s.primary || s.promoterRank != 0) {
		m.lastHeard, m.failures = heard, relayed.Failures
		if m.failures == 0 {
			m.refusedSince, m.refusals = time.Time{}, 0
		}
	}
	m.statusChanged = false
	if at := timeOfAge(relayed.Sent); !m.known || at.After(m.requestedAt) {
		m.statusChanged = !m.known || m.status != m.relayedStatus
		m.setStatus(m.relayedStatus, at)
	}
	// The relayed age is that of the log in the relayed status. This VM may have learnt later that the member has less of it by now.
	relayedLog := unit.Requirement{Term: m.relayedStatus.AppliedTerm, Position: m.relayedStatus.Applied}
	if fresh := timeOfAge(relayed.Fresh); relayed.Fresh > 0 && fresh.After(m.freshAt) && quorum.MayServeRead(m.status, relayedLog) {
		m.freshAt = fresh
	}
	return m.statusChanged || m.reachable() != wasReachable
}
