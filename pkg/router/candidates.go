package router

import (
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/token"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// catchUpAge is the age up to which a replica is expected to reach a session's last write within the wait that its
// owner allows. An idle service is polled every 400 ms, so that replicas without any lag show up to half a second.
// Views are older than the last write of a busy session: without this expectation such sessions would nearly always
// read from the primary.
const catchUpAge = time.Second

// candidate is a member that may serve a unit, with what makes it a better or worse choice. Lower is better.
type candidate struct {
	member     platform.Member
	covers     bool // the last known status satisfies the unit's bounds
	catchingUp bool // it does not yet, but is expected to by the time the unit arrives
	distance   int
	primary    bool
	busy       bool // this VM has many reads in progress there
}

func (c candidate) coversOnArrival() bool { return c.covers || c.catchingUp }

// candidates orders the members that may serve u. A write or a confirmed read has the primary only. Reads prefer
// members expected to satisfy their bounds, then replicas of the region, nearest first, which leaves the primary's
// slots to writes, then the primary of the region, and then members elsewhere, since bytes between regions are paid by
// volume. In a flood the slots of the primary are used before reads queue long at a replica. A read that accepts an age
// and finds no replica in the region prefers one elsewhere to the primary.
func candidates(u *unit.Unit, svc platform.Service, view group.View, self platform.VM, busy func(member string) bool) []platform.Member {
	var list []candidate
	for _, m := range svc.Members {
		c := assess(u, m, view, self)
		c.busy = busy(m.Name)
		primaryOnly := u.Write || u.ConfirmPrimary
		if primaryOnly && !c.primary || !primaryOnly && isLeaving(m, view) {
			continue
		}
		list = append(list, c)
	}
	replicaInRegion := slices.ContainsFunc(list, func(c candidate) bool { return c.coversOnArrival() && !c.primary && c.distance < otherRegion })
	primaryLast := u.MaxAge > 0 && !replicaInRegion
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.coversOnArrival() != b.coversOnArrival() {
			return compareTrueFirst(a.coversOnArrival(), b.coversOnArrival())
		}
		return a.sortKey(primaryLast) - b.sortKey(primaryLast)
	})
	members := make([]platform.Member, len(list))
	for i, c := range list {
		members[i] = c.member
	}
	return members
}

// sortKey is a member's sortKey among those equally expected to satisfy the bounds: replicas of the region, those known
// to satisfy them first, the primary of the region, busy ones in the same order, replicas elsewhere, and a primary
// elsewhere or one that is to be last.
func (c candidate) sortKey(primaryLast bool) int {
	const keysPerGroup = 2 * (otherRegion + 1)
	key := c.distance
	if !c.covers {
		key += otherRegion + 1
	}
	switch {
	case c.primary && (primaryLast || c.distance == otherRegion):
		return key + 5*keysPerGroup
	case c.distance == otherRegion:
		return key + 4*keysPerGroup
	}
	if c.primary {
		key += keysPerGroup
	}
	if c.busy {
		key += 2 * keysPerGroup
	}
	return key
}

// compareTrueFirst sorts true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func assess(u *unit.Unit, m platform.Member, view group.View, self platform.VM) candidate {
	c := candidate{member: m, distance: distance(m, self), primary: view.Primary == m.Name}
	mv, ok := view.Member(m.Name)
	usable := ok && mv.Reachable && (u.MaxAge == 0 || c.primary || mv.Fresh && mv.Age <= u.MaxAge)
	c.covers = usable && token.Covers(u.Require, mv.Status.AppliedTerm, mv.Status.Applied)
	c.catchingUp = usable && !c.covers && mv.Fresh && mv.Age <= catchUpAge
	return c
}

// isLeaving reports members that get no new work: leaving by the list or by their own report.
func isLeaving(m platform.Member, view group.View) bool {
	mv, ok := view.Member(m.Name)
	return m.Leaving || ok && mv.Leaving
}

// Distances of a member from this VM.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
)

func distance(m platform.Member, self platform.VM) int {
	switch {
	case m.DataCentre == self.DataCentre:
		return sameDataCentre
	case m.Region == self.Region:
		return sameRegion
	}
	return otherRegion
}
