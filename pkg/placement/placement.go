// Package placement decides when the primary of a service moves to the region that holds most of its members. It does
// no I/O: package group feeds it what it sees and carries the move out.
package placement

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// DefaultStand is how long a primary must have stood in its term, as seen by the VM that decides, before it is
	// moved. A move begins a term, so this also bounds moves to one per service and hour, without any kept state: no
	// VM can have seen a term for longer than it exists.
	DefaultStand = time.Hour
	// settledDivisor is the part of the stand time for which all conditions must have held without a break: one minute of an
	// hour. That is longer than the 30 s in which a former owner of the primary ends its units, and than a region that
	// comes back needs to catch up.
	settledDivisor = 60
	// spreadDivisor bounds the random delay that is added to the stand time, so that the services of a fleet that started
	// together do not move their primaries together: six minutes of an hour.
	spreadDivisor = 10
)

// Input is what the deciding VM sees of a service.
type Input struct {
	Term    platform.Term
	Primary string // member name, "" for none
	Target  string // region to move the primary to, "" for none
	Leads   bool   // this VM owns the primary: of all watchers it alone decides
	// Settled: all members answer and are level, none is leaving, each is owned by a VM of its region, and no fence
	// stands above the term.
	Settled bool
}

// Rule is the state of the decision for one service. The zero value never moves a primary. All times come from one
// clock, and nothing is kept over a restart: a VM that forgot waits for the whole stand time again.
type Rule struct {
	minStand     time.Duration
	term         platform.Term
	primary      string
	standStart   time.Time // the primary was first seen in its term, or a move was last tried
	settledSince time.Time // since when all conditions have held, zero while they do not
	moveDue      bool
}

// NewRule returns a rule with the given stand time, 0 for no moves. random is in [0, 1) and spreads the moves of
// different services.
func NewRule(minStand time.Duration, random float64) Rule {
	return Rule{minStand: minStand + time.Duration(random*float64(minStand)/spreadDivisor)}
}

// Step takes what is seen now.
func (r *Rule) Step(now time.Time, in Input) {
	if in.Primary == "" || in.Primary != r.primary || in.Term != r.term {
		r.term, r.primary, r.standStart = in.Term, in.Primary, now
	}
	switch {
	case in.Primary == "" || in.Target == "" || !in.Leads || !in.Settled:
		r.settledSince = time.Time{}
	case r.settledSince.IsZero():
		r.settledSince = now
	}
	r.moveDue = r.minStand > 0 && !r.settledSince.IsZero() &&
		now.Sub(r.settledSince) >= r.minStand/settledDivisor && now.Sub(r.standStart) >= r.minStand
}

// Due reports whether the primary is to be moved, as of the last step.
func (r *Rule) Due() bool { return r.moveDue }

// Tried notes that a move begins. The next one, also after one that was given up, waits for the whole stand time.
func (r *Rule) Tried(now time.Time) { r.standStart, r.moveDue = now, false }

// Target returns the region that a primary should move to: that with most members, if the primary is the only member
// of its own and the other has strictly more. Of equal regions the first in the list wins. "" means that the primary
// stays. There are n members, region returns that of each, and primary is the primary's index.
func Target(n, primary int, region func(int) string) string {
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
