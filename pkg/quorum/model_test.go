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
	modelNames = []string{"a", "b", "c"}
	modelTerm  = [4]uint8{2, 2, 3, 3} // term of each attempt
)

// entries is a log: the low four bits hold the length, then two bits per entry hold its term. The position of an
// entry is its index plus one.
type entries uint16

func (l entries) size() int        { return int(l & 15) }
func (l entries) term(i int) uint8 { return uint8(l >> (4 + 2*i) & 3) }
func (l entries) with(t uint8) entries {
	return l + 1 | entries(t)<<(4+2*l.size())
}
func (l entries) cut(n int) entries { return l>>4&(1<<(2*n)-1)<<4 | entries(n) }
func (l entries) last() uint8 {
	if l.size() == 0 {
		return 0
	}
	return l.term(l.size() - 1)
}

// has reports whether l holds the first n entries of o.
func (l entries) has(o entries, n int) bool { return l.size() >= n && l.cut(n) == o.cut(n) }

type modelMember struct {
	fenced  uint8 // terms are kept as bytes to keep states small
	by      uint8 // 1 + index of the attempt whose fence stands, 0 for none
	primary bool
	log     entries
	lost    bool // it restarted without its state
}

type modelState struct {
	members  [modelMembers]modelMember
	logs     [modelTerms + 1]entries         // per term: greatest extent of the primary's log
	owner    [modelTerms + 1]uint8           // per term: 1 + index of the primary, 0 for none
	reported [modelTerms][modelMembers]uint8 // per term but the last: highest position that counted
	attempts [len(modelTerm)]attemptState    // two promoters with one attempt per term
}

// attemptState is what matters of a Promoter: the answers so far or, once set, the chosen member.
type attemptState struct {
	answers [modelMembers]logEnd
	chosen  uint8 // 1 + index of the member
}

// logEnd is the end of a log in an answer; the zero value means no answer.
type logEnd struct {
	last uint8
	size uint8 // 1 + length of the log
	lost bool  // the member has lost its state
}

// model is one walk with given rules.
type model struct {
	rules       rules
	entries     int  // bound of the log length
	sameID      bool // both promoters use one name, as a restarted promoter without unique ids would
	noFence     bool // a faulty platform whose Promote ignores the fence
	avoid       []string
	loss        bool // members may restart without their state
	promoteLost bool // a faulty platform that promotes a member without its state
	single      bool // one attempt per term instead of two, for fewer states
	steps       map[stepKey]attemptState
	problems    []string
}

type stepKey struct {
	attempt int
	state   attemptState
	silent  bool
}

func (m *model) id(attempt int) uint8 {
	if m.sameID {
		return uint8(attempt/2*2) + 1
	}
	return uint8(attempt) + 1
}

func (m *model) status(s *modelState, i int) platform.Status {
	e := &s.members[i]
	n := platform.Position(e.log.size())
	return platform.Status{
		FencedTerm: platform.Term(e.fenced), LastTerm: platform.Term(e.log.last()),
		LastPosition: n, AppliedTerm: platform.Term(e.log.last()), Applied: n, LostState: e.lost,
	}
}

// step runs the real Promoter of an attempt on its answers, with the other members silent or not heard yet.
func (m *model) step(k int, st attemptState, silent bool) attemptState {
	key := stepKey{k, st, silent}
	if next, ok := m.steps[key]; ok {
		return next
	}
	p, _ := newPromoter(Attempt{Term: platform.Term(modelTerm[k]), ID: "id", Members: modelNames, LastResort: m.avoid}, m.rules)
	for i, a := range st.answers {
		in := Input{Kind: FenceAnswered, Member: modelNames[i], Status: platform.Status{
			FencedTerm: platform.Term(modelTerm[k]), FencedBy: "id", LastTerm: platform.Term(a.last), LastPosition: platform.Position(a.size) - 1,
			LostState: a.lost,
		}}
		if a.size == 0 {
			in.Kind = NoAnswer
		}
		if a.size > 0 || silent {
			p.Step(in)
		}
	}
	next := st
	if c := p.Chosen(); c != "" {
		next = attemptState{chosen: uint8(slices.Index(modelNames, c)) + 1}
	}
	m.steps[key] = next
	return next
}

// next calls emit with every state that one step leads to.
func (m *model) next(s modelState, emit func(modelState)) {
	for i := range s.members {
		m.lose(s, i, emit)
		m.write(s, i, emit)
		m.replicate(s, i, emit)
		for t := s.members[i].fenced + 1; t <= modelTerms; t++ {
			if s.owner[t] > 0 { // a Follow of this term raises the fence
				n := s
				n.members[i].fenced, n.members[i].by, n.members[i].primary = t, 0, false
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

// lose restarts a member without its state, at most one at a time.
func (m *model) lose(s modelState, i int, emit func(modelState)) {
	if !m.loss || slices.ContainsFunc(s.members[:], func(e modelMember) bool { return e.lost }) {
		return
	}
	s.members[i] = modelMember{lost: true}
	emit(s)
}

func (m *model) write(s modelState, i int, emit func(modelState)) {
	if e := &s.members[i]; e.primary && e.log.size() < m.entries {
		e.log = e.log.with(e.fenced)
		s.logs[e.fenced] = e.log
		emit(s)
	}
}

// replicate lets a follower discard a diverging tail, or append the next entry of its term's primary. The primary
// itself may be gone: its messages may still arrive.
func (m *model) replicate(s modelState, i int, emit func(modelState)) {
	e := &s.members[i]
	if e.primary || s.owner[e.fenced] == 0 {
		return
	}
	log, same := s.logs[e.fenced], 0
	for same < min(log.size(), e.log.size()) && log.term(same) == e.log.term(same) {
		same++
	}
	switch {
	case same < e.log.size():
		e.log = e.log.cut(same)
	case same < log.size():
		e.log = e.log.with(log.term(same))
	default:
		return
	}
	emit(s)
}

// fence delivers the fence of attempt k to member i, with and without its answer.
func (m *model) fence(s modelState, i, k int, emit func(modelState)) {
	e, t, id := &s.members[i], modelTerm[k], m.id(k)
	if m.single && k%2 == 1 {
		return
	}
	if t < e.fenced || t == e.fenced && id != e.by {
		return
	}
	if t > e.fenced {
		e.fenced, e.by, e.primary = t, id, false
		emit(s)
	}
	st := s.attempts[k]
	if st.chosen > 0 || st.answers[i].size > 0 {
		return
	}
	st.answers[i] = logEnd{e.log.last(), uint8(e.log.size()) + 1, e.lost}
	s.attempts[k] = m.step(k, st, false)
	emit(s)
	if s.attempts[k] = m.step(k, st, true); s.attempts[k].chosen > 0 {
		emit(s)
	}
}

// promote delivers the promotion of attempt k. The new primary appends the first entry of its term.
func (m *model) promote(s modelState, k int, emit func(modelState)) {
	st, t := s.attempts[k], modelTerm[k]
	if st.chosen == 0 {
		return
	}
	e := &s.members[st.chosen-1]
	stands := e.fenced == t && e.by == m.id(k)
	if m.noFence && !stands {
		stands, e.fenced = t <= e.fenced, t
	}
	if e.lost && !m.promoteLost {
		return
	}
	if !stands || e.primary || e.log.size() >= m.entries {
		return
	}
	e.primary = true
	e.log = e.log.with(t)
	if s.owner[t] > 0 && s.owner[t] != st.chosen {
		m.problems = append(m.problems, "two primaries in a term")
	}
	s.logs[t], s.owner[t] = e.log, st.chosen
	emit(s)
}

// record notes the reports that members may send in this state.
func (m *model) record(s *modelState) {
	for t := uint8(1); t < modelTerms; t++ {
		for i := range s.members {
			if st := m.status(s, i); m.rules.countsFor(st, platform.Term(t)) {
				s.reported[t][i] = max(s.reported[t][i], uint8(st.LastPosition))
			}
		}
	}
}

// check compares the state with the invariants.
func (m *model) check(s *modelState) {
	for t := uint8(1); t < modelTerms; t++ {
		r := s.reported[t]
		slices.Sort(r[:])
		m.checkTerm(s, t, min(int(r[modelMembers-Majority(modelMembers)]), s.logs[t].size()))
	}
}

// checkTerm checks the writes of term t, acknowledged up to position acked.
func (m *model) checkTerm(s *modelState, t uint8, acked int) {
	confirmed := 0
	for i := range s.members {
		st := m.status(s, i)
		if ConfirmsTerm(st, platform.Term(t)) {
			confirmed++
		}
		r := unit.Requirement{Term: platform.Term(t), Position: platform.Position(acked)}
		if acked > 0 && Covers(st, r) && !s.members[i].log.has(s.logs[t], acked) {
			m.problems = append(m.problems, "a covered read misses an acknowledged write")
		}
	}
	for u := t + 1; u <= modelTerms; u++ {
		if s.owner[u] > 0 && acked > 0 && !s.logs[u].has(s.logs[t], acked) {
			m.problems = append(m.problems, "a later primary lacks an acknowledged write")
		}
		if s.owner[u] > 0 && confirmed >= Majority(modelMembers) {
			m.problems = append(m.problems, "a majority confirms a replaced primary")
		}
	}
}

// walk visits every reachable state breadth-first until a problem shows, and returns the number of states.
func (m *model) walk() int {
	m.steps = map[stepKey]attemptState{}
	var first modelState
	first.owner[1] = 1
	for i := range first.members {
		first.members[i].fenced = 1
	}
	first.members[0].primary = true
	seen := map[modelKey]struct{}{first.key(): {}}
	for level := []modelState{first}; len(level) > 0 && len(m.problems) == 0; {
		var deeper []modelState
		for _, s := range level {
			m.next(s, func(n modelState) {
				m.record(&n)
				if !m.sameID {
					n.canonical()
				}
				k := n.key()
				if _, ok := seen[k]; !ok {
					m.check(&n)
					seen[k] = struct{}{}
					deeper = append(deeper, n)
				}
			})
		}
		level = deeper
	}
	return len(seen)
}
