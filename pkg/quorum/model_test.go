package quorum

import (
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// The model: three members, a client that writes through whichever member is a primary, and four promotion attempts,
// two in term 2 and two in term 3 (two promoters, each with one attempt per term). All attempts may act from the
// start, in any order. The bounds are modelTerms terms and logs of modelEntries entries, first entries included.
//
// A request of an attempt may be delivered at any later point, any number of times, and its answer may be lost: the
// set of requests ever sent follows from the state of the attempt, so no message buffer is needed. An answer that is
// delivered late is equal to one delivered at once to a promoter that acts late, because a member's log does not
// change between a fence and the promotion in its term. Pause and death of a promoter are attempts that take no
// further step. A report of a member that counted once counts for good (reported), since its delivery may be late;
// an acknowledgement happens as soon as reports allow it, which is the strictest case for all invariants.
const (
	modelMembers = 3
	modelTerms   = 3
)

var (
	memberNames  = []string{"a", "b", "c"}
	attemptTerms = [4]uint8{2, 2, 3, 3} // term of each attempt
)

// entryLog is a log: the low four bits hold the length, then two bits per entry hold its term. The position of an
// entry is its index plus one.
type entryLog uint16

func (l entryLog) length() int      { return int(l & 15) }
func (l entryLog) term(i int) uint8 { return uint8(l >> (4 + 2*i) & 3) }
func (l entryLog) appended(t uint8) entryLog {
	return l + 1 | entryLog(t)<<(4+2*l.length())
}
func (l entryLog) prefix(n int) entryLog { return l>>4&(1<<(2*n)-1)<<4 | entryLog(n) }
func (l entryLog) lastTerm() uint8 {
	if l.length() == 0 {
		return 0
	}
	return l.term(l.length() - 1)
}

// hasPrefix reports whether l holds the first n entries of o.
func (l entryLog) hasPrefix(o entryLog, n int) bool {
	return l.length() >= n && l.prefix(n) == o.prefix(n)
}

type modelMember struct {
	fencedTerm uint8 // terms are kept as bytes to keep states small
	fencedBy   uint8 // 1 + index of the attempt whose fence stands, 0 for none
	primary    bool
	log        entryLog
	stateLost  bool // it restarted without its state
}

type modelState struct {
	members          [modelMembers]modelMember
	primaryLogs      [modelTerms + 1]entryLog        // per term: greatest extent of the primary's log
	primaries        [modelTerms + 1]uint8           // per term: 1 + index of the primary, 0 for none
	countedPositions [modelTerms][modelMembers]uint8 // per term but the last: highest position that counted
	attempts         [len(attemptTerms)]attemptState // two promoters with one attempt per term
}

// attemptState is what matters of a Promoter: the answers so far or, once set, the chosen member.
type attemptState struct {
	answers [modelMembers]logEnd
	chosen  uint8 // 1 + index of the member
}

// logEnd is the end of a log in an answer; the zero value means no answer.
type logEnd struct {
	lastTerm      uint8
	lengthPlusOne uint8 // 1 + length of the log
	stateLost     bool  // the member has lost its state
}

// model is one walk with given rules.
type model struct {
	rules             rules
	maxEntries        int  // bound of the log length
	sharedID          bool // both promoters use one name, as a restarted promoter without unique ids would
	ignoreFence       bool // a faulty platform whose Promote ignores the fence
	avoid             []string
	stateLoss         bool // members may restart without their state
	promoteStateless  bool // a faulty platform that promotes a member without its state
	oneAttemptPerTerm bool // one attempt per term instead of two, for fewer states
	stepCache         map[stepKey]attemptState
	violations        []string
}

type stepKey struct {
	attempt int
	state   attemptState
	silent  bool
}

func (m *model) fenceID(attempt int) uint8 {
	if m.sharedID {
		return uint8(attempt/2*2) + 1
	}
	return uint8(attempt) + 1
}

func (m *model) status(s *modelState, i int) platform.Status {
	e := &s.members[i]
	n := platform.Position(e.log.length())
	return platform.Status{
		FencedTerm: platform.Term(e.fencedTerm), LastTerm: platform.Term(e.log.lastTerm()),
		LastPosition: n, AppliedTerm: platform.Term(e.log.lastTerm()), Applied: n, LostState: e.stateLost,
	}
}

// step runs the real Promoter of an attempt on its answers, with the other members silent or not heard yet.
func (m *model) step(k int, st attemptState, silent bool) attemptState {
	key := stepKey{k, st, silent}
	if next, ok := m.stepCache[key]; ok {
		return next
	}
	p, _ := newPromoter(Attempt{Term: platform.Term(attemptTerms[k]), ID: "id", Members: memberNames, Avoid: m.avoid}, m.rules)
	for i, a := range st.answers {
		in := Input{Kind: FenceAnswered, Member: memberNames[i], Status: platform.Status{
			FencedTerm: platform.Term(attemptTerms[k]), FencedBy: "id", LastTerm: platform.Term(a.lastTerm), LastPosition: platform.Position(a.lengthPlusOne) - 1,
			LostState: a.stateLost,
		}}
		if a.lengthPlusOne == 0 {
			in.Kind = NoAnswer
		}
		if a.lengthPlusOne > 0 || silent {
			p.Step(in)
		}
	}
	next := st
	if c := p.Chosen(); c != "" {
		next = attemptState{chosen: uint8(slices.Index(memberNames, c)) + 1}
	}
	m.stepCache[key] = next
	return next
}

// successors calls emit with every state that one step leads to.
func (m *model) successors(s modelState, emit func(modelState)) {
	for i := range s.members {
		m.loseState(s, i, emit)
		m.write(s, i, emit)
		m.replicate(s, i, emit)
		for t := s.members[i].fencedTerm + 1; t <= modelTerms; t++ {
			if s.primaries[t] > 0 { // a Follow of this term raises the fence
				n := s
				n.members[i].fencedTerm, n.members[i].fencedBy, n.members[i].primary = t, 0, false
				emit(n)
			}
		}
		for k := range s.attempts {
			m.fence(s, i, k, emit)
		}
	}
	for k := range s.attempts {
		m.promote(s, k, emit)
	}
}

// loseState restarts a member without its state, at most one at a time.
func (m *model) loseState(s modelState, i int, emit func(modelState)) {
	if !m.stateLoss || slices.ContainsFunc(s.members[:], func(e modelMember) bool { return e.stateLost }) {
		return
	}
	s.members[i] = modelMember{stateLost: true}
	emit(s)
}

func (m *model) write(s modelState, i int, emit func(modelState)) {
	if e := &s.members[i]; e.primary && e.log.length() < m.maxEntries {
		e.log = e.log.appended(e.fencedTerm)
		s.primaryLogs[e.fencedTerm] = e.log
		emit(s)
	}
}

// replicate lets a follower discard a diverging tail, or append the next entry of its term's primary. The primary
// itself may be gone: its messages may still arrive.
func (m *model) replicate(s modelState, i int, emit func(modelState)) {
	e := &s.members[i]
	if e.primary || s.primaries[e.fencedTerm] == 0 {
		return
	}
	log, same := s.primaryLogs[e.fencedTerm], 0
	for same < min(log.length(), e.log.length()) && log.term(same) == e.log.term(same) {
		same++
	}
	switch {
	case same < e.log.length():
		e.log = e.log.prefix(same)
	case same < log.length():
		e.log = e.log.appended(log.term(same))
	default:
		return
	}
	emit(s)
}

// fence delivers the fence of attempt k to member i, with and without its answer.
func (m *model) fence(s modelState, i, k int, emit func(modelState)) {
	e, t, id := &s.members[i], attemptTerms[k], m.fenceID(k)
	if m.oneAttemptPerTerm && k%2 == 1 {
		return
	}
	if t < e.fencedTerm || t == e.fencedTerm && id != e.fencedBy {
		return
	}
	if t > e.fencedTerm {
		e.fencedTerm, e.fencedBy, e.primary = t, id, false
		emit(s)
	}
	st := s.attempts[k]
	if st.chosen > 0 || st.answers[i].lengthPlusOne > 0 {
		return
	}
	st.answers[i] = logEnd{e.log.lastTerm(), uint8(e.log.length()) + 1, e.stateLost}
	s.attempts[k] = m.step(k, st, false)
	emit(s)
	if s.attempts[k] = m.step(k, st, true); s.attempts[k].chosen > 0 {
		emit(s)
	}
}

// promote delivers the promotion of attempt k. The new primary appends the first entry of its term.
func (m *model) promote(s modelState, k int, emit func(modelState)) {
	st, t := s.attempts[k], attemptTerms[k]
	if st.chosen == 0 {
		return
	}
	e := &s.members[st.chosen-1]
	holdsFence := e.fencedTerm == t && e.fencedBy == m.fenceID(k)
	if m.ignoreFence && !holdsFence {
		holdsFence, e.fencedTerm = t <= e.fencedTerm, t
	}
	if e.stateLost && !m.promoteStateless {
		return
	}
	if !holdsFence || e.primary || e.log.length() >= m.maxEntries {
		return
	}
	e.primary = true
	e.log = e.log.appended(t)
	if s.primaries[t] > 0 && s.primaries[t] != st.chosen {
		m.violations = append(m.violations, "two primaries in a term")
	}
	s.primaryLogs[t], s.primaries[t] = e.log, st.chosen
	emit(s)
}

// recordCounted notes the reports that members may send in this state.
func (m *model) recordCounted(s *modelState) {
	for t := uint8(1); t < modelTerms; t++ {
		for i := range s.members {
			if st := m.status(s, i); m.rules.countsFor(st, platform.Term(t)) {
				s.countedPositions[t][i] = max(s.countedPositions[t][i], uint8(st.LastPosition))
			}
		}
	}
}

// checkInvariants compares the state with the invariants.
func (m *model) checkInvariants(s *modelState) {
	for t := uint8(1); t < modelTerms; t++ {
		r := s.countedPositions[t]
		slices.Sort(r[:])
		m.checkTerm(s, t, min(int(r[modelMembers-Majority(modelMembers)]), s.primaryLogs[t].length()))
	}
}

// checkTerm checks the writes of term t, acknowledged up to position acked.
func (m *model) checkTerm(s *modelState, t uint8, acked int) {
	confirmed := 0
	for i := range s.members {
		st := m.status(s, i)
		if Confirms(st, platform.Term(t)) {
			confirmed++
		}
		r := unit.Requirement{Term: platform.Term(t), Position: platform.Position(acked)}
		if acked > 0 && Covers(st, r) && !s.members[i].log.hasPrefix(s.primaryLogs[t], acked) {
			m.violations = append(m.violations, "a covered read misses an acknowledged write")
		}
	}
	for u := t + 1; u <= modelTerms; u++ {
		if s.primaries[u] > 0 && acked > 0 && !s.primaryLogs[u].hasPrefix(s.primaryLogs[t], acked) {
			m.violations = append(m.violations, "a later primary lacks an acknowledged write")
		}
		if s.primaries[u] > 0 && confirmed >= Majority(modelMembers) {
			m.violations = append(m.violations, "a majority confirms a replaced primary")
		}
	}
}

// explore visits every reachable state breadth-first until a problem shows, and returns the number of states.
func (m *model) explore() int {
	m.stepCache = map[stepKey]attemptState{}
	var first modelState
	first.primaries[1] = 1
	for i := range first.members {
		first.members[i].fencedTerm = 1
	}
	first.members[0].primary = true
	seen := map[modelKey]struct{}{first.key(): {}}
	for level := []modelState{first}; len(level) > 0 && len(m.violations) == 0; {
		var deeper []modelState
		for _, s := range level {
			m.successors(s, func(n modelState) {
				m.recordCounted(&n)
				if !m.sharedID {
					n.canonicalize()
				}
				k := n.key()
				if _, ok := seen[k]; !ok {
					m.checkInvariants(&n)
					seen[k] = struct{}{}
					deeper = append(deeper, n)
				}
			})
		}
		level = deeper
	}
	return len(seen)
}
