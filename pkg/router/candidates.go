package router

import (
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/token"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// catchUpAge is the age of a replica's data up to which the replica is expected to reach a session's last write while its
// owner waits for that. Views are usually older than the last write of a busy session: without this expectation, such a
// session would read from the primary nearly always. A replica without lag shows an age of up to half a second, since an
// idle service is polled every 400 ms.
const catchUpAge = time.Second

// candidate is a member that may serve a unit, with the properties that rank it among the others.
type candidate struct {
	member     platform.Member
	covers     bool // the last known status satisfies the unit's bounds
	catchingUp bool // the last known status does not, but the member is expected to when the unit arrives
	distance   int
	primary    bool
	busy       bool // this VM has at least busyReads reads in progress on the member
}

// coversOnArrival reports whether the member satisfies the unit's bounds now, or is expected to when the unit arrives.
func (c candidate) coversOnArrival() bool { return c.covers || c.catchingUp }

// candidates returns the members that may serve u, best first. Only the primary may serve a write, a confirmed read
// or a read that accepts no age. For other reads, members that are expected to satisfy the bounds come first. Among these the order is: replicas in
// this VM's region, nearest first, which leaves the primary's slots to writes; the primary, if it is in the region;
// members in other regions, because traffic between regions is billed by volume. While replicas are busy, the primary's
// slots are used before reads queue at a replica. A read with a maximum age that finds no such replica in the region
// prefers a replica in another region to the primary.
func candidates(u *unit.Unit, svc platform.Service, view group.View, self platform.VM, busy func(member string) bool) []platform.Member {
	var list []candidate
	for _, m := range svc.Members {
		c := assess(u, m, view, self)
		c.busy = busy(m.Name)
		if u.PrimaryOnly() && !c.primary || !u.PrimaryOnly() && isLeaving(m, view) {
			continue
		}
		list = append(list, c)
	}
	replicaInRegion := slices.ContainsFunc(list, func(c candidate) bool { return c.coversOnArrival() && !c.primary && c.distance < otherRegion })
	primaryLast := u.MaxAge.Stated() && !replicaInRegion
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

// sortKey orders members that are equally expected to satisfy the bounds; lower is better. The order is: replicas in
// the region, those known to satisfy the bounds first; the primary, if it is in the region; the busy ones of these, in
// the same order; replicas in other regions; the primary, if it is in another region or primaryLast is set.
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

// compareTrueFirst is a comparison function that sorts true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// assess returns the member as a candidate for u, without its busy state. A member that is unreachable, or a replica
// that is older than the maximum age of u, neither covers the bounds nor is expected to.
func assess(u *unit.Unit, m platform.Member, view group.View, self platform.VM) candidate {
	c := candidate{member: m, distance: distance(m, self), primary: view.Primary == m.Name}
	mv, ok := view.Member(m.Name)
	usable := ok && mv.Reachable && (!u.MaxAge.Stated() || c.primary || mv.Fresh && u.MaxAge.Allows(mv.Age))
	c.covers = usable && token.CoveredBy(u.Require, mv.Status.AppliedTerm, mv.Status.Applied)
	c.catchingUp = usable && !c.covers && mv.Fresh && mv.Age <= catchUpAge
	return c
}

// isLeaving reports whether the member gets no new work, because the service list or the member itself says that it is
// leaving.
func isLeaving(m platform.Member, view group.View) bool {
	mv, ok := view.Member(m.Name)
	return m.Leaving || ok && mv.Leaving
}

// Distances of a member from this VM, nearest first.
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
