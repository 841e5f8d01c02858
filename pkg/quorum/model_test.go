package quorum

import (
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// The model has three members, a client that writes through any member that is a primary, and two promoters with one
// attempt each in term 2 and in term 3, so four attempts. All attempts may act from the start and in any order. A run
// is bounded by modelTerms terms and by logs of model.maxEntries entries, including the first entry of each term.
//
// A request of an attempt may be delivered any number of times and at any later point, and its answer may be lost. The
// requests sent so far follow from the state of the attempt, so the model needs no message buffer. An answer that is
// delivered late has the same effect as one delivered at once to a promoter that acts late, because the log of a
// member does not change between a fence and the promotion in its term. A paused or dead promoter is an attempt that
// takes no further step. A status of a member that counted once counts forever (countedPositions), because it may be
// delivered late. A write counts as acknowledged as soon as the statuses allow it, which is the strictest case for all
// invariants.
const (
	modelMembers = 3
	modelTerms   = 3
)

var (
	memberNames  = []string{"a", "b", "c"}
	attemptTerms = [4]uint8{2, 2, 3, 3} // term of each attempt
)

// entryLog is the log of a member. The low four bits hold its length, and two bits per entry hold the entry's term.
// The position of an entry is its index plus one.
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

// hasPrefix reports whether l begins with the first n entries of o.
func (l entryLog) hasPrefix(o entryLog, n int) bool {
	return l.length() >= n && l.prefix(n) == o.prefix(n)
}

type modelMember struct {
	fencedTerm uint8 // terms are bytes to keep states small
	fencedBy   uint8 // promoter ID that came with the fence, 1 + index of an attempt, see promoterID; 0: none
	primary    bool
	log        entryLog
	stateLost  bool // the member restarted without its state
}

type modelState struct {
	members          [modelMembers]modelMember
	primaryLogs      [modelTerms + 1]entryLog        // per term: longest log that the primary had
	primaries        [modelTerms + 1]uint8           // per term: 1 + index of the primary; 0: none
	countedPositions [modelTerms][modelMembers]uint8 // per term but the last, per member: highest counted position
	attempts         [len(attemptTerms)]attemptState // the two attempts of a term are adjacent
}

// attemptState is the relevant state of a Promoter: the answers so far or, once a member is chosen, only that member.
type attemptState struct {
	answers [modelMembers]logEnd
	chosen  uint8 // 1 + index of the chosen member; 0: none
}

// logEnd is the end of a log as an answer reports it. The zero value means that there is no answer.
type logEnd struct {
	lastTerm      uint8
	lengthPlusOne uint8 // 1 + length of the log
	stateLost     bool  // the member has lost its state
}

// model explores all states under the given rules.
type model struct {
	rules             rules
	maxEntries        int  // longest log
	sharedID          bool // both promoters use one ID, as a restarted promoter without unique IDs would
	ignoreFence       bool // the platform is faulty: Promote ignores the fence
	avoid             []string
	stateLoss         bool                     // members may restart without their state
	promoteStateless  bool                     // the platform is faulty: it promotes a member that lost its state
	oneAttemptPerTerm bool                     // one attempt per term instead of two, to reduce the number of states
	stepCache         map[stepKey]attemptState // results of step
	violations        []string                 // invariants that were found violated
}

type stepKey struct {
	attempt int
	state   attemptState
	silent  bool
}

// promoterID returns the promoter ID of an attempt, as modelMember.fencedBy holds it. With sharedID, attempts 2n and
// 2n+1 have one ID.
func (m *model) promoterID(attempt int) uint8 {
	if m.sharedID {
		return uint8(attempt/2*2) + 1
	}
	return uint8(attempt) + 1
}

func (m *model) status(s *modelState, i int) platform.Status {
	member := &s.members[i]
	n := platform.Position(member.log.length())
	return platform.Status{
		FencedTerm: platform.Term(member.fencedTerm), LastTerm: platform.Term(member.log.lastTerm()),
		LastPosition: n, AppliedTerm: platform.Term(member.log.lastTerm()), Applied: n, LostState: member.stateLost,
	}
}

// step feeds the answers of attempt k to a real Promoter and returns the state of the attempt after that. The requests
// to the other members are unanswered if silent is set, and otherwise still in flight.
func (m *model) step(k int, attempt attemptState, silent bool) attemptState {
	key := stepKey{k, attempt, silent}
	if next, ok := m.stepCache[key]; ok {
		return next
	}
	p, _ := newPromoter(Attempt{
		Term: platform.Term(attemptTerms[k]), ID: "id", Members: memberNames, LastResort: m.avoid,
	}, m.rules)
	for i, answer := range attempt.answers {
		in := Input{Kind: FenceAnswered, Member: memberNames[i], Status: platform.Status{
			FencedTerm: platform.Term(attemptTerms[k]), FencedBy: "id", LastTerm: platform.Term(answer.lastTerm),
			LastPosition: platform.Position(answer.lengthPlusOne) - 1, LostState: answer.stateLost,
		}}
		if answer.lengthPlusOne == 0 {
			in.Kind = NoAnswer
		}
		if answer.lengthPlusOne > 0 || silent {
			p.Step(in)
		}
	}
	next := attempt
	if c := p.Chosen(); c != "" {
		next = attemptState{chosen: uint8(slices.Index(memberNames, c)) + 1}
	}
	m.stepCache[key] = next
	return next
}

// successors calls emit with every state that one step from s leads to.
func (m *model) successors(s modelState, emit func(modelState)) {
	for i := range s.members {
		m.loseState(s, i, emit)
		m.write(s, i, emit)
		m.replicate(s, i, emit)
		for t := s.members[i].fencedTerm + 1; t <= modelTerms; t++ {
			if s.primaries[t] > 0 { // a member that starts to follow in this term raises its fence
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

// loseState restarts member i without its state. At most one member is without its state.
func (m *model) loseState(s modelState, i int, emit func(modelState)) {
	if !m.stateLoss || slices.ContainsFunc(s.members[:], func(member modelMember) bool { return member.stateLost }) {
		return
	}
	s.members[i] = modelMember{stateLost: true}
	emit(s)
}

// write appends an entry at member i if it is a primary.
func (m *model) write(s modelState, i int, emit func(modelState)) {
	if member := &s.members[i]; member.primary && member.log.length() < m.maxEntries {
		member.log = member.log.appended(member.fencedTerm)
		s.primaryLogs[member.fencedTerm] = member.log
		emit(s)
	}
}

// replicate lets follower i discard an entry tail that differs from the log of its term's primary, or append the next
// entry of that log. This also happens after the primary is gone, because its messages may still arrive.
func (m *model) replicate(s modelState, i int, emit func(modelState)) {
	member := &s.members[i]
	if member.primary || s.primaries[member.fencedTerm] == 0 {
		return
	}
	primaryLog, common := s.primaryLogs[member.fencedTerm], 0
	for common < min(primaryLog.length(), member.log.length()) && primaryLog.term(common) == member.log.term(common) {
		common++
	}
	switch {
	case common < member.log.length():
		member.log = member.log.prefix(common)
	case common < primaryLog.length():
		member.log = member.log.appended(primaryLog.term(common))
	default:
		return
	}
	emit(s)
}

// fence delivers the fence of attempt k to member i. It emits the states with and without a delivered answer.
func (m *model) fence(s modelState, i, k int, emit func(modelState)) {
	member, t, promoterID := &s.members[i], attemptTerms[k], m.promoterID(k)
	if m.oneAttemptPerTerm && k%2 == 1 {
		return
	}
	if t < member.fencedTerm || t == member.fencedTerm && promoterID != member.fencedBy {
		return
	}
	if t > member.fencedTerm {
		member.fencedTerm, member.fencedBy, member.primary = t, promoterID, false
		emit(s)
	}
	attempt := s.attempts[k]
	if attempt.chosen > 0 || attempt.answers[i].lengthPlusOne > 0 {
		return
	}
	attempt.answers[i] = logEnd{member.log.lastTerm(), uint8(member.log.length()) + 1, member.stateLost}
	s.attempts[k] = m.step(k, attempt, false)
	emit(s)
	if s.attempts[k] = m.step(k, attempt, true); s.attempts[k].chosen > 0 {
		emit(s)
	}
}

// promote delivers the promotion request of attempt k. The new primary appends the first entry of its term.
func (m *model) promote(s modelState, k int, emit func(modelState)) {
	attempt, t := s.attempts[k], attemptTerms[k]
	if attempt.chosen == 0 {
		return
	}
	member := &s.members[attempt.chosen-1]
	holdsFence := member.fencedTerm == t && member.fencedBy == m.promoterID(k)
	if m.ignoreFence && !holdsFence {
		holdsFence, member.fencedTerm = t <= member.fencedTerm, t
	}
	if member.stateLost && !m.promoteStateless {
		return
	}
	if !holdsFence || member.primary || member.log.length() >= m.maxEntries {
		return
	}
	member.primary = true
	member.log = member.log.appended(t)
	if s.primaries[t] > 0 && s.primaries[t] != attempt.chosen {
		m.violations = append(m.violations, "two primaries in a term")
	}
	s.primaryLogs[t], s.primaries[t] = member.log, attempt.chosen
	emit(s)
}

// recordCounted records the statuses that members may send in this state and that count.
func (m *model) recordCounted(s *modelState) {
	for t := uint8(1); t < modelTerms; t++ {
		for i := range s.members {
			if status := m.status(s, i); m.rules.countsFor(status, platform.Term(t)) {
				s.countedPositions[t][i] = max(s.countedPositions[t][i], uint8(status.LastPosition))
			}
		}
	}
}

// checkInvariants records every invariant that the state violates.
func (m *model) checkInvariants(s *modelState) {
	for t := uint8(1); t < modelTerms; t++ {
		counted := s.countedPositions[t]
		slices.Sort(counted[:])
		m.checkTerm(s, t, min(int(counted[modelMembers-Majority(modelMembers)]), s.primaryLogs[t].length()))
	}
}

// checkTerm checks the writes of term t, which are acknowledged up to position acked.
func (m *model) checkTerm(s *modelState, t uint8, acked int) {
	confirmed := 0
	for i := range s.members {
		status := m.status(s, i)
		if ConfirmsTerm(status, platform.Term(t)) {
			confirmed++
		}
		r := unit.Requirement{Term: platform.Term(t), Position: platform.Position(acked)}
		if acked > 0 && MayServeRead(status, r) && !s.members[i].log.hasPrefix(s.primaryLogs[t], acked) {
			m.violations = append(m.violations, "a member that may serve a read lacks an acknowledged write")
		}
	}
	for u := t + 1; u <= modelTerms; u++ {
		if s.primaries[u] > 0 && acked > 0 && !s.primaryLogs[u].hasPrefix(s.primaryLogs[t], acked) {
			m.violations = append(m.violations, "a primary of a later term lacks an acknowledged write")
		}
		if s.primaries[u] > 0 && confirmed >= Majority(modelMembers) {
			m.violations = append(m.violations, "a majority confirms a primary that was replaced")
		}
	}
}

// explore visits every reachable state breadth-first until an invariant is violated, and returns the number of visited
// states.
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
