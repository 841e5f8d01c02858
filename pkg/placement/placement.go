// Package placement decides when the primary of a service moves to the region that holds most of its members. It does
// no I/O: package group feeds it what it sees and carries the move out.
package placement

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// DefaultMinTenure is how long a primary must have stood in its term, as seen by the VM that decides, before it is
	// moved. A move begins a term, so this also bounds moves to one per service and hour, without any kept state: no
	// VM can have seen a term for longer than it exists.
	DefaultMinTenure = time.Hour
	// calmPart is the part of the stand time for which all conditions must have held without a break: one minute of an
	// hour. That is longer than the 30 s in which a former owner of the primary ends its units, and than a region that
	// comes back needs to catch up.
	calmPart = 60
	// spreadPart bounds the random delay that is added to the stand time, so that the services of a fleet that started
	// together do not move their primaries together: six minutes of an hour.
	spreadPart = 10
)

// Input is what the deciding VM sees of a service.
type Input struct {
	Term        platform.Term
	Primary     string // member name, "" for none
	Target      string // region to move the primary to, "" for none
	OwnsPrimary bool   // this VM owns the primary: of all watchers it alone decides
	// Stable: all members answer and are level, none is leaving, each is owned by a VM of its region, and no fence
	// stands above the term.
	Stable bool
}

// Rule is the state of the decision for one service. The zero value never moves a primary. All times come from one
// clock, and nothing is kept over a restart: a VM that forgot waits for the whole stand time again.
type Rule struct {
	stand   time.Duration
	term    platform.Term
	primary string
	since   time.Time // the primary was first seen in its term, or a move was last tried
	calm    time.Time // since when all conditions have held, zero while they do not
	due     bool
}

// NewRule returns a rule with the given stand time, 0 for no moves. random is in [0, 1) and spreads the moves of
// different services.
func NewRule(stand time.Duration, random float64) Rule {
	return Rule{stand: stand + time.Duration(random*float64(stand)/spreadPart)}
}

// Step takes what is seen now.
func (r *Rule) Step(now time.Time, in Input) {
	if in.Primary == "" || in.Primary != r.primary || in.Term != r.term {
		r.term, r.primary, r.since = in.Term, in.Primary, now
	}
	switch {
	case in.Primary == "" || in.Target == "" || !in.OwnsPrimary || !in.Stable:
		r.calm = time.Time{}
	case r.calm.IsZero():
		r.calm = now
	}
	r.due = r.stand > 0 && !r.calm.IsZero() && now.Sub(r.calm) >= r.stand/calmPart && now.Sub(r.since) >= r.stand
}

// MoveDue reports whether the primary is to be moved, as of the last step.
func (r *Rule) MoveDue() bool { return r.due }

// MoveStarted notes that a move begins. The next one, also after one that was given up, waits for the whole stand time.
func (r *Rule) MoveStarted(now time.Time) { r.since, r.due = now, false }

// TargetRegion returns the region that a primary should move to: that with most members, if the primary is the only member
// of its own and the other has strictly more. Of equal regions the first in the list wins. "" means that the primary
// stays. There are n members, region returns that of each, and primary is the primary's index.
func TargetRegion(n, primary int, region func(int) string) string {
	count := func(r string) int {
		c := 0
		for i := range n {
			if region(i) == r {
				c++
			}
		}
		return c
	}
	if count(region(primary)) > 1 {
		return ""
	}
	best, most := "", 1
	for i := range n {
		if c := count(region(i)); c > most {
			best, most = region(i), c
		}
	}
	return best
}
