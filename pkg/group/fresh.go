package group

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxSamples bounds the history of primary positions. When full, every other sample of the older half is dropped, so
// that replicas far behind still find an old one.
const maxSamples = 64

// sample is a position that a primary had at or after a moment.
type sample struct {
	at        time.Time // when the request was sent
	term      platform.Term
	log       unit.Requirement // end of the primary's log
	confirmed bool             // a majority, asked at or after that moment, held no fence above the term
}

// sample takes the new status of m into account for the freshness of all members.
func (s *service) sample(m *member) {
	if m == s.primary {
		s.samples = append(s.samples, sample{
			at: m.sent, term: s.term,
			log: unit.Requirement{Term: m.status.LastTerm, Position: m.status.LastPosition},
		})
	}
	s.confirmSamples()
	if len(s.samples) > maxSamples {
		s.thinSamples()
	}
	for _, o := range s.members {
		o.refreshAge(s.samples)
	}
}

func (s *service) confirmSamples() {
	kept := s.samples[:0]
	for _, p := range s.samples {
		p.confirmed = p.confirmed || s.confirmedSince(p.at, p.term)
		if n := len(kept) - 1; n >= 0 && p.confirmed && kept[n].log == p.log {
			kept[n] = p // the same position, confirmed later
			continue
		}
		kept = append(kept, p)
	}
	s.samples = kept
}

func (s *service) confirmedSince(at time.Time, term platform.Term) bool {
	n := 0
	for _, m := range s.members {
		if m.known && !m.sent.Before(at) && quorum.ConfirmsTerm(m.status, term) {
			n++
		}
	}
	return n >= quorum.Majority(len(s.members))
}

func (s *service) thinSamples() {
	kept := s.samples[:0]
	for i, p := range s.samples {
		if i >= maxSamples/2 || i%2 == 0 {
			kept = append(kept, p)
		}
	}
	s.samples = kept
}

// refreshAge moves freshAt to the latest confirmed sample that the member has applied.
func (m *member) refreshAge(samples []sample) {
	for i := len(samples) - 1; i >= 0 && samples[i].at.After(m.freshAt); i-- {
		if samples[i].confirmed && m.known && quorum.Covers(m.status, samples[i].log) {
			m.freshAt = samples[i].at
			return
		}
	}
}
