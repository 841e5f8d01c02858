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

// Relays. Of the watchers of a service the lead, which is the owner of the primary, polls all members: it needs their
// own answers for writes anyway. The others ask the lead at the pace of idle polls and poll for themselves while they
// get no usable answer.
const (
	// directPollDelay is the time without an answer of the lead after which the members are polled directly. The first
	// direct poll then ends no later than a second poll would without relays.
	directPollDelay = 150 * time.Millisecond
	// relayTimeout ends a request and makes its connection suspect. It is longer than heartbeats take to find a silent
	// connection, so that relays do not change when a VM counts as gone. An answer after relayPatience still counts.
	relayTimeout       = 3 * time.Second
	relayRetryInterval = time.Second // after a request without a usable answer
	// relayedAgeUnit is the unit of relayed ages: up to 1.27 s they take one byte.
	relayedAgeUnit = 10 * time.Millisecond
	// leadCheckInterval is the time between looks for the lead while that is this VM. A change of the lead wakes the loop.
	leadCheckInterval = 5 * time.Second
)

// RelayFunc asks the lead of a service for its view. seen is the version of the last answer of that lead, 0 for none.
type RelayFunc func(ctx context.Context, lead platform.VM, service string, seen uint32) (Relayed, error)

// Relayed is the lead's view of the members. It holds durations and no times, so that no clocks are compared.
type Relayed struct {
	Leading bool   // false: the sender does not lead, or its primary or a majority does not answer
	Version uint32 // of the statuses
	Members []RelayedMember
}

// RelayedMember is the state of one member, in the order of the service's list. Ages are in units of 10 ms, rounded
// up, and 0 stands for never.
type RelayedMember struct {
	Heard    uint32 // since the last answer came
	Sent     uint32 // since the request for the status was sent
	Fresh    uint32 // age of the member's data, see MemberView.Age
	Failures int    // calls without an answer since the last one
	Status   *platform.Status
}

// Encode returns the message. Statuses are left out when the receiver has seen this version.
func (r *Relayed) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(r)
	return b.Bytes(), err
}

// DecodeRelayed decodes a message of Encode. The view that an older version answers decodes as not leading.
func DecodeRelayed(body []byte) (r Relayed, err error) {
	err = wire.Unmarshal(body, &r)
	return r, err
}

// relayState is the state of a watcher that is not the lead; service.mu guards it.
type relayState struct {
	wake        chan struct{} // capacity 1: look for the lead anew
	usable      bool          // the last answer was; polls rest
	answeredBy  string        // VM that gave it
	seenVersion uint32        // its version
}

// Lead returns the view for a watcher that has seen the given version.
func (w *Watcher) Lead(name string, seen uint32) Relayed {
	s, err := w.service(name)
	if err != nil {
		return Relayed{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.leadVM()
	if !ok || vm.Name != w.opts.Self || !s.relayAllowed() {
		return Relayed{}
	}
	now := time.Now()
	r := Relayed{Leading: true, Version: s.statusVersion, Members: make([]RelayedMember, len(s.members))}
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

// ageInUnits returns the time since at in relay units, rounded up, or 0 for none.
func ageInUnits(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(now.Sub(at)/relayedAgeUnit) + 1
}

// leadVM returns the owner of the primary.
func (s *service) leadVM() (platform.VM, bool) {
	for i, m := range s.members {
		if m == s.primary && i < len(s.owners) {
			return s.owners[i], s.owners[i].Name != ""
		}
	}
	return platform.VM{}, false
}

// relayAllowed reports whether the primary and a majority answer and no promotion is due. Otherwise all watchers poll.
func (s *service) relayAllowed() bool {
	n := 0
	for _, m := range s.members {
		if m.known && m.failures == 0 {
			n++
		}
	}
	return s.healthy() && !s.primary.leaving() && n >= quorum.Majority(len(s.members))
}

// coveredByRelay reports whether m needs no poll, since the lead's answers tell its state. The first promoter still polls the
// primary, so that it finds a loss as early as without relays.
func (s *service) coveredByRelay(m *member, kind pollKind, now time.Time) bool {
	if !s.relay.usable || kind != regularPoll || now.Sub(s.lastWrite) < activeWindow {
		return false
	}
	return s.healthy() && (m != s.primary || s.promoterRank != 0)
}

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

// askLead sends one request to the lead, if that is another VM, and returns the time until the next.
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
	if !s.applyRelayed(vm.Name, sent, r, err) {
		return jitter(relayRetryInterval)
	}
	due := s.watcher.pollOrigin.Add(sent.Add(idlePollInterval).Sub(s.watcher.pollOrigin).Truncate(pollGridStep))
	return max(time.Until(due), minPollGap)
}

// fallBackToDirectPolls makes the watcher poll all members at once.
func (s *service) fallBackToDirectPolls() {
	if s.relay.usable {
		s.relay.usable = false
		s.wakeAllPolls()
	}
}

// applyRelayed takes over the lead's view and reports whether it was usable. Every age grows by the full time since the
// request was sent, which is more than the time since the lead measured it.
func (s *service) applyRelayed(from string, sent time.Time, r Relayed, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !s.acceptsRelayed(from, r) {
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
	// An answer that is late by itself shows a primary that the lead waits for.
	vm, ok := s.leadVM()
	if !ok || vm.Name != from || !s.relayAllowed() || !s.primary.heardWithin(now, majorityWindow) {
		s.fallBackToDirectPolls()
		return false
	}
	s.relay.usable = true
	return true
}

func (s *service) requestTimes() []time.Time {
	out := make([]time.Time, len(s.members))
	for i, m := range s.members {
		out[i] = m.requestedAt
	}
	return out
}

// acceptsRelayed reports whether r comes from the present lead and describes the same members. While the own polls of the
// primary fail, answers of the lead must not hide that.
func (s *service) acceptsRelayed(from string, r Relayed) bool {
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

// recordRelayedMember takes the lead's state of m and reports whether it changed the status or the reachability. It counts
// for no acknowledgement and no majority check: those rest on the members' own answers.
func (s *service) recordRelayedMember(m *member, o *RelayedMember, sent time.Time) bool {
	ago := func(units uint32) time.Time { return sent.Add(-time.Duration(units) * relayedAgeUnit) }
	if o.Status != nil {
		m.relayedStatus = *o.Status
	}
	if o.Sent == 0 {
		return false
	}
	wasReachable := m.reachable()
	// The first promoter polls the primary itself: a later answer to the lead does not put its suspicion off.
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
