package group

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxSamples bounds the history of primary positions. When it is full, every other sample of the older half is dropped,
// so that replicas that are far behind still find an old one.
const maxSamples = 64

// positionSample is a log position that a primary reported in answer to a request sent at a known time.
type positionSample struct {
	at        time.Time // when the request was sent; the primary had this position at or after this time
	term      platform.Term
	logEnd    unit.Requirement // end of the primary's log
	confirmed bool             // a majority, asked no earlier than at, held no fence above term
}

// updateFreshness updates the freshness of all members after a new status of m.
func (s *service) updateFreshness(m *member) {
	if m == s.primary {
		s.samples = append(s.samples, positionSample{
			at: m.requestedAt, term: s.term,
			logEnd: unit.Requirement{Term: m.status.LastTerm, Position: m.status.LastPosition},
		})
	}
	s.confirmSamples()
	if len(s.samples) > maxSamples {
		s.thinSamples()
	}
	for _, o := range s.members {
		o.advanceFreshAt(s.samples)
	}
}

// confirmSamples marks the samples that a majority confirms by now. Of neighbouring samples of the same position it
// keeps only the last confirmed one.
func (s *service) confirmSamples() {
	kept := s.samples[:0]
	for _, p := range s.samples {
		p.confirmed = p.confirmed || s.confirmedSince(p.at, p.term)
		if n := len(kept) - 1; n >= 0 && p.confirmed && kept[n].logEnd == p.logEnd {
			kept[n] = p // the same position at a later time
			continue
		}
		kept = append(kept, p)
	}
	s.samples = kept
}

// confirmedSince reports whether a majority, in answer to requests sent no earlier than at, reported no fence above
// term.
func (s *service) confirmedSince(at time.Time, term platform.Term) bool {
	n := 0
	for _, m := range s.members {
		if m.known && !m.requestedAt.Before(at) && quorum.ConfirmsTerm(m.status, term) {
			n++
		}
	}
	return n >= s.majority()
}

// thinSamples drops every other sample of the older half.
func (s *service) thinSamples() {
	kept := s.samples[:0]
	for i, p := range s.samples {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, p)
		}
	}
	s.samples = kept
}

// advanceFreshAt sets freshAt to the time of the latest confirmed sample whose log the member has applied, and receivedAt to
// that of the latest whose log it has received.
func (m *member) advanceFreshAt(samples []positionSample) {
	for i := len(samples) - 1; i >= 0 && samples[i].at.After(m.freshAt); i-- {
		if samples[i].confirmed && m.known && quorum.MayServeRead(m.status, samples[i].logEnd) {
			m.freshAt = samples[i].at
			break
		}
	}
	for i := len(samples) - 1; i >= 0 && samples[i].at.After(m.receivedAt); i-- {
		if samples[i].confirmed && m.known && hasReceived(m.status, samples[i].logEnd) {
			m.receivedAt = samples[i].at
			return
		}
	}
}

// hasReceived reports whether the log of a member reaches an end of a primary's log.
func hasReceived(s platform.Status, logEnd unit.Requirement) bool {
	return quorum.LogAtLeastAsNew(s, platform.Status{LastTerm: logEnd.Term, LastPosition: logEnd.Position})
}

// setStatus takes over a status of the member. If it shows less of the log than the one before, the member has started again
// without its log: what was known of the age of its data holds no more.
func (m *member) setStatus(st platform.Status, requestedAt time.Time) {
	before := unit.Requirement{Term: m.status.AppliedTerm, Position: m.status.Applied}
	if m.known && st.AppliedTerm <= before.Term && !quorum.MayServeRead(st, before) {
		m.freshAt, m.receivedAt = time.Time{}, time.Time{}
	}
	m.status, m.known, m.requestedAt = st, true, requestedAt
	switch {
	case !m.leaving():
		m.leavingSince = time.Time{}
	case m.leavingSince.IsZero():
		m.leavingSince = requestedAt
	}
}
