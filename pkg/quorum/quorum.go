// Package quorum holds the rules that decide which writes and which primaries count: majority size, acknowledgement,
// choice of the member to promote, coverage of reads, and the state machine of one promotion attempt. It has no I/O,
// no clock and no goroutines, so that its rules can be checked exhaustively.
package quorum

import (
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Majority returns the smallest number of members such that any two groups of that size share a member.
func Majority(members int) int { return members/2 + 1 }

// EffectiveTerm returns the term at which a member stands: its fence or, on a platform that does not raise the fence when a
// member starts to follow, the term of its last entry.
func EffectiveTerm(s platform.Status) platform.Term { return max(s.FencedTerm, s.LastTerm) }

// CountsFor reports whether a status may count towards the acknowledgement of writes of term.
//
// Three conditions hold. The last entry carries exactly term: an inherited tail of an older term may still be replaced.
// The fence is not above term: a fenced member may have received the entry from a later primary, and a primary
// between the two terms may lack it, so that the write could still be lost. The member has kept its state: one that
// forgot its fence may have promised a later promoter to accept no more entries of term.
func CountsFor(s platform.Status, term platform.Term) bool {
	return s.LastTerm == term && s.FencedTerm <= term && !s.LostState
}

// Acknowledged reports whether the write at (term, position) is acknowledged, given at most one status per member of
// a service with the given number of members. Statuses may be old: one that counted once counts for good.
func Acknowledged(reports []platform.Status, members int, term platform.Term, position platform.Position) bool {
	n := 0
	for _, s := range reports {
		if CountsFor(s, term) && s.LastPosition >= position {
			n++
		}
	}
	return n >= Majority(members)
}

// Covers reports whether a member that reported s may serve a read that requires r. A log that holds an entry of a
// later term holds every acknowledged write of the earlier ones.
func Covers(s platform.Status, r unit.Requirement) bool {
	return s.AppliedTerm >= r.Term && s.Applied >= r.Position
}

// ConfirmsTerm reports whether a status shows that its member has accepted no fence above term. A majority of such
// statuses, each requested after a moment, proves that the primary of term had not been replaced at that moment. A
// member that lost its state has forgotten the fences that it accepted.
func ConfirmsTerm(s platform.Status, term platform.Term) bool {
	return s.FencedTerm <= term && !s.LostState
}

// RejectsTerm reports whether a status shows that its member accepts nothing of term any more: it holds a fence above it. A
// majority of such statuses proves that the primary of term has been replaced or soon will be.
func RejectsTerm(s platform.Status, term platform.Term) bool {
	return s.FencedTerm > term && !s.LostState
}

// AtLeastAsNew reports whether the log of a is at least as new as that of b: first the term of the last entry, then
// the position decides. The fenced term plays no part.
func AtLeastAsNew(a, b platform.Status) bool {
	if a.LastTerm != b.LastTerm {
		return a.LastTerm > b.LastTerm
	}
	return a.LastPosition >= b.LastPosition
}

// rules are the decisions that the model check replaces by faulty ones to show that it can fail.
type rules struct {
	countsFor    func(s platform.Status, term platform.Term) bool
	atLeastAsNew func(a, b platform.Status) bool
	enough       func(answers, members int) bool
	keepsState   func(s platform.Status) bool
}

var standardRules = rules{
	countsFor:    CountsFor,
	atLeastAsNew: AtLeastAsNew,
	enough:       func(answers, members int) bool { return answers >= Majority(members) },
	keepsState:   func(s platform.Status) bool { return !s.LostState },
}
