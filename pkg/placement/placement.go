// Package placement decides when the primary of a service moves to the region that holds most of its members. It does
// no I/O: package group passes in what it observes and carries out the move.
package placement

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// DefaultMinTenure is the default minimum tenure: how long the deciding VM must have seen a primary in its term
	// before it moves the primary. Each move starts a new term, so a service moves at most once per minimum tenure, one
	// hour, without any stored state: no VM can have seen a term for longer than the term has existed.
	DefaultMinTenure = time.Hour
	// settledDivisor sets the time for which all conditions must have held without interruption, as the minimum tenure
	// divided by it: one minute for the default of one hour. That is longer than the 30 s in which a former owner of
	// the primary finishes its units, and longer than a recovered region needs to catch up.
	settledDivisor = 60
	// spreadDivisor bounds the random delay added to the minimum tenure, as the minimum tenure divided by it: six
	// minutes for one hour. The delay keeps services that started together from moving their primaries at the same
	// time.
	spreadDivisor = 10
)

// Input is what the deciding VM observes of a service.
type Input struct {
	Term        platform.Term
	Primary     string // name of the primary; "": none
	Target      string // region to move the primary to; "": none
	OwnsPrimary bool   // this VM owns the primary and is therefore the only one that decides
	// Stable says that all members answer and have caught up, no member is leaving, each member is owned by a VM of
	// its region, and no member holds a fence above the term.
	Stable bool
}

// Rule decides for one service when its primary moves. The zero value never moves it. All times come from one clock.
// Nothing is stored, so a restarted VM waits for the whole minimum tenure again.
type Rule struct {
	minTenure    time.Duration
	term         platform.Term
	primary      string
	tenureStart  time.Time // when the primary was first seen in its term or a move was last tried, whichever is later
	settledSince time.Time // since when all conditions have held; zero if one doesn't hold
	moveDue      bool
}

// NewRule returns a rule with the given minimum tenure; 0 disables moves. random, in [0, 1), is the part of the largest
// random delay that is added, so that different services move at different times.
func NewRule(minTenure time.Duration, random float64) Rule {
	return Rule{minTenure: minTenure + time.Duration(random*float64(minTenure)/spreadDivisor)}
}

// Observe updates the rule with the current observation.
func (r *Rule) Observe(now time.Time, in Input) {
	if in.Primary == "" || in.Primary != r.primary || in.Term != r.term {
		r.term, r.primary, r.tenureStart = in.Term, in.Primary, now
	}
	switch {
	case in.Primary == "" || in.Target == "" || !in.OwnsPrimary || !in.Stable:
		r.settledSince = time.Time{}
	case r.settledSince.IsZero():
		r.settledSince = now
	}
	r.moveDue = r.minTenure > 0 && !r.settledSince.IsZero() &&
		now.Sub(r.settledSince) >= r.minTenure/settledDivisor && now.Sub(r.tenureStart) >= r.minTenure
}

// MoveDue reports whether the primary should be moved according to the last call of Observe.
func (r *Rule) MoveDue() bool { return r.moveDue }

// MoveStarted records that a move starts now. The next move waits for the whole minimum tenure again, even if this one is
// abandoned.
func (r *Rule) MoveStarted(now time.Time) { r.tenureStart, r.moveDue = now, false }

// TargetRegion returns the region that the primary should move to, or "" if it should stay. The primary moves only if it is
// the only member of its region, to the region with most members, which must have more than one. If several regions
// are equal, the first in the list is chosen. There are n members, region returns the region of a member by index, and
// primary is the index of the primary.
func TargetRegion(n, primary int, region func(int) string) string {
	count := func(name string) int {
		members := 0
		for i := range n {
			if region(i) == name {
				members++
			}
		}
		return members
	}
	if count(region(primary)) > 1 {
		return ""
	}
	target, largest := "", 1
	for i := range n {
		if members := count(region(i)); members > largest {
			target, largest = region(i), members
		}
	}
	return target
}
