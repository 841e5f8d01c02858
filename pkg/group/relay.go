package group

import (
	"bytes"
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Relays save polls. The lead of a service, the VM that owns the primary, polls all members: it needs their own
// answers for writes anyway. The other watchers ask the lead for its view at idlePollInterval, and poll the members
// themselves while they get no usable answer.
const (
	// directPollDelay is the time without an answer of the lead after which the members are polled directly. With it, the
	// first direct poll ends no later than a second poll would without relays.
	directPollDelay = 150 * time.Millisecond
	// relayTimeout ends a request to the lead, and its connection is then suspected to be broken. It is longer than
	// heartbeats take to find a silent connection, so that relays do not affect when a VM counts as gone. An answer that
	// comes after directPollDelay still counts.
	relayTimeout       = 3 * time.Second
	relayRetryInterval = time.Second // after a request without a usable answer
	// relayedAgeUnit is the unit of ages on the wire. Ages up to 1.27 s take one byte.
	relayedAgeUnit = 10 * time.Millisecond
	// leadCheckInterval is the time between checks who the lead is while this VM is the lead or none is known. A change
	// of the lead wakes the loop earlier.
	leadCheckInterval = 5 * time.Second
)

// RelayFunc asks the lead of a service for its view. seen is the version of the last answer of that lead, or 0.
type RelayFunc func(ctx context.Context, lead platform.VM, service string, seen uint32) (RelayedView, error)

// RelayedView is the lead's view of the members. It holds durations instead of times, so that clocks of different VMs are
// never compared.
type RelayedView struct {
	Leading bool   // false if the sender is not the lead, or if the primary or a majority does not answer it
	Version uint32 // of the members' statuses
	Members []RelayedMember
}

// RelayedMember is the state of one member. RelayedView holds them in the order of the service's list. Ages are in units of
// 10 ms, rounded up; 0 stands for never.
type RelayedMember struct {
	Heard    uint32           // age of the last answer
	Sent     uint32           // age of the request that the status answered
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

// relayState is what a watcher that is not the lead knows about the lead's answers; service.mu guards it.
type relayState struct {
	wake        chan struct{} // capacity 1: find out again who the lead is
	usable      bool          // the last answer was usable and replaces polls
	answeredBy  string        // VM that gave the last answer
	seenVersion uint32        // version of the last answer, or 0
}

// RelayView returns the lead's view of a service for a watcher on another VM. It leaves the statuses out if seen, the
// version that the watcher has, is the present one. Leading is false if this VM is not the lead or relayAllowed
// reports false.
func (w *Watcher) RelayView(name string, seen uint32) RelayedView {
	s, err := w.service(name)
	if err != nil {
		return RelayedView{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.leadVM()
	if !ok || vm.Name != w.opts.Self || !s.relayAllowed() {
		return RelayedView{}
	}
	now := time.Now()
	r := RelayedView{Leading: true, Version: s.statusVersion, Members: make([]RelayedMember, len(s.members))}
	for i, m := range s.members {
		o := &r.Members[i]
		o.Heard, o.Fresh, o.Failures = ageInUnits(now, m.lastHeard), ageInUnits(now, m.freshAt), m.failures
		if !m.known {
			continue
		}
		o.Sent = ageInUnits(now, m.requestedAt)
		if seen != s.statusVersion {
			st := m.status
			o.Status = &st
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

// leadVM returns the lead, which is the VM that owns the primary. It reports false if there is none.
func (s *service) leadVM() (platform.VM, bool) {
	for i, m := range s.members {
		if m == s.primary && i < len(s.owners) {
			return s.owners[i], s.owners[i].Name != ""
		}
	}
	return platform.VM{}, false
}

// relayAllowed reports whether the lead's answers may replace polls: the primary and a majority answer, and no
// promotion is needed. Otherwise all watchers poll the members themselves.
func (s *service) relayAllowed() bool {
	n := 0
	for _, m := range s.members {
		if m.known && m.failures == 0 {
			n++
		}
	}
	return s.healthy() && !s.primary.leaving() && n >= quorum.Majority(len(s.members))
}

// coveredByRelay reports whether m needs no poll because the lead's answers tell its state. The first promoter polls
// the primary all the same, so that it finds a loss as early as without relays.
func (s *service) coveredByRelay(m *member, kind pollKind, now time.Time) bool {
	if !s.relay.usable || kind != regularPoll || now.Sub(s.lastWrite) < activeWindow {
		return false
	}
	return s.healthy() && (m != s.primary || s.promoterRank != 0)
}

// relayLoop asks the lead again and again until the service is dropped.
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
		timer.Reset(s.askLead())
	}
}

// askLead sends one request to the lead, if that is another VM, and returns the time until the next call.
func (s *service) askLead() time.Duration {
	s.mu.Lock()
	vm, ok := s.leadVM()
	if !ok || vm.Name == s.watcher.opts.Self {
		s.fallBackToDirectPolls()
		s.mu.Unlock()
		return leadCheckInterval
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

// fallBackToDirectPolls makes the watcher poll all members itself from now on, until the lead gives a usable answer.
func (s *service) fallBackToDirectPolls() {
	if s.relay.usable {
		s.relay.usable = false
		s.wakeAllPolls()
	}
}

// applyRelayedView merges the lead's view into that of this VM and reports whether it was usable. Ages count from when
// the request was sent, which is earlier than when the lead measured them, so that nothing seems younger than it is.
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
	for i, m := range s.members {
		changed = s.recordRelayedMember(m, &r.Members[i], sent) || changed
	}
	s.relay.seenVersion = r.Version
	s.refreshPrimary()
	for i, m := range s.members {
		if m.requestedAt != before[i] {
			s.updateFreshness(m)
			m.completeAppliedWaits()
		}
	}
	if changed {
		s.notifyStatusChange()
	}
	s.considerPromotion(now)
	for _, m := range s.members {
		s.repairReplica(m, now)
	}
	// The lead may itself be waiting for the primary: its answers then report a primary that was last heard too long ago.
	vm, ok := s.leadVM()
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

// acceptsRelayedView reports whether r comes from the present lead and describes the same members. It rejects all answers
// while this VM's own polls of the primary fail, since the lead's answers must not hide that.
func (s *service) acceptsRelayedView(from string, r RelayedView) bool {
	vm, ok := s.leadVM()
	if !r.Leading || !ok || vm.Name != from || !s.relayAllowed() || len(r.Members) != len(s.members) {
		return false
	}
	for i, m := range s.members {
		o := &r.Members[i]
		complete := o.Sent == 0 || o.Status != nil || r.Version == s.relay.seenVersion
		if !complete || o.Status != nil && o.Status.Member != m.info.Name {
			return false
		}
	}
	return true
}

// recordRelayedMember takes over the lead's state of m and reports whether that changed the status or the
// reachability. It does not count for acknowledgements or majority checks, which need the members' own answers.
func (s *service) recordRelayedMember(m *member, o *RelayedMember, sent time.Time) bool {
	ago := func(units uint32) time.Time { return sent.Add(-time.Duration(units) * relayedAgeUnit) }
	if o.Status != nil {
		m.relayedStatus = *o.Status
	}
	if o.Sent == 0 {
		return false
	}
	wasReachable := m.reachable()
	// The first promoter polls the primary itself, and an answer to the lead must not delay its detection of a loss.
	if heard := ago(o.Heard); heard.After(m.lastHeard) && (m != s.primary || s.promoterRank != 0) {
		m.lastHeard, m.failures = heard, o.Failures
		if m.failures == 0 {
			m.refusedSince, m.refusals = time.Time{}, 0
		}
	}
	m.statusChanged = false
	if at := ago(o.Sent); !m.known || at.After(m.requestedAt) {
		m.statusChanged = !m.known || m.status != m.relayedStatus
		m.status, m.known, m.requestedAt = m.relayedStatus, true, at
	}
	if fresh := ago(o.Fresh); o.Fresh > 0 && fresh.After(m.freshAt) {
		m.freshAt = fresh
	}
	return m.statusChanged || m.reachable() != wasReachable
}
