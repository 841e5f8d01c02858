// Package quorum holds the rules that keep acknowledged writes safe: the size of a majority, when a write is
// acknowledged, which member may be promoted, which reads a member may serve, and the state machine of one promotion
// attempt. It uses no I/O, no clock and no goroutines, so that a model check can explore all its states.
package quorum

import (
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Majority returns the smallest group size such that any two groups of that many members have a member in common.
func Majority(members int) int { return members/2 + 1 }

// EffectiveTerm returns the current term of a member. That is the term of its fence or, on a platform that does not raise the
// fence when a member starts to follow, the term of its last entry.
func EffectiveTerm(s platform.Status) platform.Term { return max(s.FencedTerm, s.LastTerm) }

// CountsFor reports whether a status may count towards the acknowledgement of writes of term. Three conditions must
// hold.
//
// The last entry has exactly this term, because entries at the end of the log that come from an older term may still
// be replaced.
//
// The fence is not above the term. A member with a higher fence may have received the entry from a later primary, and
// a primary of a term in between may lack the entry, so that the write could still be lost.
//
// The member has kept its state. A member that lost its state may have promised a later promoter to accept no more
// entries of the term, and has forgotten that promise.
func CountsFor(s platform.Status, term platform.Term) bool {
	return s.LastTerm == term && s.FencedTerm <= term && !s.LostState
}

// Acknowledged reports whether the write at term and position is acknowledged. members is the number of members of the
// service, and statuses holds at most one status per member. Statuses may be outdated: one that counted once counts
// forever.
func Acknowledged(statuses []platform.Status, members int, term platform.Term, position platform.Position) bool {
	n := 0
	for _, s := range statuses {
		if CountsFor(s, term) && s.LastPosition >= position {
			n++
		}
	}
	return n >= Majority(members)
}

// MayServeRead reports whether a member with status s may serve a read with requirement r. A log that holds an entry of a
// later term also holds every acknowledged write of earlier terms.
func MayServeRead(s platform.Status, r unit.Requirement) bool {
	return s.AppliedTerm >= r.Term && s.Applied >= r.Position
}

// ConfirmsTerm reports whether a status shows that its member has accepted no fence above term. A majority of such
// statuses, all requested after some point in time, proves that the primary of term had not been replaced at that
// point. A member that lost its state does not count, because it has forgotten the fences that it accepted.
func ConfirmsTerm(s platform.Status, term platform.Term) bool {
	return s.FencedTerm <= term && !s.LostState
}

// RejectsTerm reports whether a status shows that its member accepts no more entries of term, because it holds a higher
// fence. A majority of such statuses proves that the primary of term has been replaced or is about to be.
func RejectsTerm(s platform.Status, term platform.Term) bool {
	return s.FencedTerm > term && !s.LostState
}

// LogAtLeastAsNew reports whether the log of a is at least as new as that of b. The term of the last entry is compared
// first, then its position. The term of the fence is not considered.
func LogAtLeastAsNew(a, b platform.Status) bool {
	if a.LastTerm != b.LastTerm {
		return a.LastTerm > b.LastTerm
	}
	return a.LastPosition >= b.LastPosition
}

// rules are decisions that the model check replaces by faulty ones, to show that it detects the faults.
type rules struct {
	countsFor       func(s platform.Status, term platform.Term) bool
	logAtLeastAsNew func(a, b platform.Status) bool
	isMajority      func(answers, members int) bool
	keepsState      func(s platform.Status) bool
}

var standardRules = rules{
	countsFor:       CountsFor,
	logAtLeastAsNew: LogAtLeastAsNew,
	isMajority:      func(answers, members int) bool { return answers >= Majority(members) },
	keepsState:      func(s platform.Status) bool { return !s.LostState },
}
