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
	// relayPatience is the time without an answer of the lead after which the members are polled directly. The first
	// direct poll then ends no later than a second poll would without relays.
	relayPatience = 150 * time.Millisecond
	// relayTimeout ends a request and makes its connection suspect. It is longer than heartbeats take to find a silent
	// connection, so that relays do not change when a VM counts as gone. An answer after relayPatience still counts.
	relayTimeout = 3 * time.Second
	relayRetry   = time.Second // after a request without a usable answer
	// relayUnit is the unit of relayed ages: up to 1.27 s they take one byte.
	relayUnit = 10 * time.Millisecond
	// leadInterval is the time between looks for the lead while that is this VM. A change of the lead wakes the loop.
	leadInterval = 5 * time.Second
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

// relay is the state of a watcher that is not the lead; service.mu guards it.
type relay struct {
	wake   chan struct{} // capacity 1: look for the lead anew
	usable bool          // the last answer was; polls rest
	from   string        // VM that gave it
	seen   uint32        // its version
}

// RelayView returns the view for a watcher that has seen the given version.
func (w *Watcher) RelayView(name string, seen uint32) Relayed {
	s, err := w.service(name)
	if err != nil {
		return Relayed{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	vm, ok := s.lead()
	if !ok || vm.Name != w.opts.Self || !s.steady() {
		return Relayed{}
	}
	now := time.Now()
	r := Relayed{Leading: true, Version: s.version, Members: make([]RelayedMember, len(s.members))}
	for i, m := range s.members {
		o := &r.Members[i]
		o.Heard, o.Fresh, o.Failures = age(now, m.heard), age(now, m.freshAt), m.failures
		if !m.known {
			continue
		}
		o.Sent = age(now, m.sent)
		if seen != s.version {
			st := m.status
			o.Status = &st
		}
	}
	return r
}

// age returns the time since at in relay units, rounded up, or 0 for none.
func age(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(now.Sub(at)/relayUnit) + 1
}

// lead returns the owner of the primary.
func (s *service) lead() (platform.VM, bool) {
	for i, m := range s.members {
		if m == s.primary && i < len(s.owners) {
			return s.owners[i], s.owners[i].Name != ""
		}
	}
	return platform.VM{}, false
}

// steady reports whether the primary and a majority answer and no promotion is due. Otherwise all watchers poll.
func (s *service) steady() bool {
	n := 0
	for _, m := range s.members {
		if m.known && m.failures == 0 {
			n++
		}
	}
	return s.healthy() && !s.primary.leaving() && n >= quorum.Majority(len(s.members))
}

// rests reports whether m needs no poll, since the lead's answers tell its state. The first promoter still polls the
// primary, so that it finds a loss as early as without relays.
func (s *service) rests(m *member, d demand, now time.Time) bool {
	if !s.relay.usable || d != demandNone || now.Sub(s.lastWrite) < activeFor {
		return false
	}
	return s.healthy() && (m != s.primary || s.rank != 0)
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
	vm, ok := s.lead()
	if !ok || vm.Name == s.w.opts.Self {
		s.relayLost()
		s.mu.Unlock()
		return leadInterval
	}
	if !s.steady() {
		s.relayLost()
		s.mu.Unlock()
		return jitter(idleInterval)
	}
	if s.relay.from != vm.Name {
		s.relay.from, s.relay.seen = vm.Name, 0
	}
	seen := s.relay.seen
	s.mu.Unlock()

	ctx, cancel := context.WithTimeout(s.ctx, relayTimeout)
	defer cancel()
	sent := time.Now()
	overdue := time.AfterFunc(relayPatience, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.relayLost()
	})
	s.w.stats.relays.Add(1)
	r, err := s.w.opts.Relay(ctx, vm, s.name, seen)
	overdue.Stop()
	if !s.takeRelayed(vm.Name, sent, r, err) {
		return jitter(relayRetry)
	}
	due := s.w.origin.Add(sent.Add(idleInterval).Sub(s.w.origin).Truncate(pollGrid))
	return max(time.Until(due), quickInterval)
}

// relayLost makes the watcher poll all members at once.
func (s *service) relayLost() {
	if s.relay.usable {
		s.relay.usable = false
		s.wakeAll()
	}
}

// takeRelayed takes over the lead's view and reports whether it was usable. Every age grows by the full time since the
// request was sent, which is more than the time since the lead measured it.
func (s *service) takeRelayed(from string, sent time.Time, r Relayed, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !s.accepts(from, r) {
		s.relay.seen = 0
		s.relayLost()
		return false
	}
	now := time.Now()
	before := s.sentTimes()
	changed := false
	for i, m := range s.members {
		changed = s.recordRelayed(m, &r.Members[i], sent) || changed
	}
	s.relay.seen = r.Version
	s.refresh()
	for i, m := range s.members {
		if m.sent != before[i] {
			s.sample(m)
			m.completeApplied()
		}
	}
	if changed {
		s.changedStatus()
	}
	s.supervise(now)
	for _, m := range s.members {
		s.repair(m, now)
	}
	// An answer that is late by itself shows a primary that the lead waits for.
	vm, ok := s.lead()
	if !ok || vm.Name != from || !s.steady() || !s.primary.heardWithin(now, majorityWithin) {
		s.relayLost()
		return false
	}
	s.relay.usable = true
	return true
}

func (s *service) sentTimes() []time.Time {
	out := make([]time.Time, len(s.members))
	for i, m := range s.members {
		out[i] = m.sent
	}
	return out
}

// accepts reports whether r comes from the present lead and describes the same members. While the own polls of the
// primary fail, answers of the lead must not hide that.
func (s *service) accepts(from string, r Relayed) bool {
	vm, ok := s.lead()
	if !r.Leading || !ok || vm.Name != from || !s.steady() || len(r.Members) != len(s.members) {
		return false
	}
	for i, m := range s.members {
		o := &r.Members[i]
		complete := o.Sent == 0 || o.Status != nil || r.Version == s.relay.seen
		if !complete || o.Status != nil && o.Status.Member != m.info.Name {
			return false
		}
	}
	return true
}

// recordRelayed takes the lead's state of m and reports whether it changed the status or the reachability. It counts
// for no acknowledgement and no majority check: those rest on the members' own answers.
func (s *service) recordRelayed(m *member, o *RelayedMember, sent time.Time) bool {
	ago := func(units uint32) time.Time { return sent.Add(-time.Duration(units) * relayUnit) }
	if o.Status != nil {
		m.relayed = *o.Status
	}
	if o.Sent == 0 {
		return false
	}
	reachable := m.reachable()
	// The first promoter polls the primary itself: a later answer to the lead does not put its suspicion off.
	if heard := ago(o.Heard); heard.After(m.heard) && (m != s.primary || s.rank != 0) {
		m.heard, m.failures = heard, o.Failures
		if m.failures == 0 {
			m.refused, m.refusals = time.Time{}, 0
		}
	}
	m.progress = false
	if at := ago(o.Sent); !m.known || at.After(m.sent) {
		m.progress = !m.known || m.status != m.relayed
		m.status, m.known, m.sent = m.relayed, true, at
	}
	if fresh := ago(o.Fresh); o.Fresh > 0 && fresh.After(m.freshAt) {
		m.freshAt = fresh
	}
	return m.progress || m.reachable() != reachable
}
