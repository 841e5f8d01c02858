package scheduler

import (
	"math"
	"time"
)

// Teams share a member that is short of slots. The load pattern: one team sends many times its usual, through one entry VM or
// through many, and its units would take the places of the others in each queue. A unit counts as beyond when its team has used,
// and has queued within it, the team's part of the member; it then waits behind the units of its class and rank that are not.
// Nothing is kept free: such units run when no others wait.

// Team says whose unit a Request is.
type Team struct {
	Name   string  // empty: no team, and the unit never counts as beyond
	Weight float64 // what the team may use, in proportion to other teams; 0: as much as any other
	// Priority orders units that are beyond their teams' parts; 0 goes first.
	Priority int
}

// teamUsage is the use that one team makes of the member.
type teamUsage struct {
	weight     float64
	running    int
	queuedWork float64       // estimated slot seconds of the queued units that are not beyond
	usage      float64       // decaying busy slot seconds, as in class
	updated    time.Duration // time up to which usage is integrated
	queued     int           // queued units
}

// update integrates the busy slot time up to now.
func (t *teamUsage) update(now time.Duration) {
	if elapsed := now - t.updated; elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(teamTimeConstant))
		t.usage = t.usage*decay + float64(t.running)*teamTimeConstant.Seconds()*(1-decay)
		t.updated = now
	}
}

// teamTimeConstant is the time constant of the decay of a team's usage. It is longer than that of classes, since a team sends
// less and so less evenly: chance must not take a team beyond its part.
const teamTimeConstant = 3 * time.Second

// minTeamUsage is the usage in slot seconds below which an idle team is forgotten and takes no part of the member.
const minTeamUsage = 0.01

// teamOf returns the state of a team, and forgets teams that have been idle.
func (p *Policy) teamOf(team Team, now time.Duration) *teamUsage {
	if team.Name == "" {
		return nil
	}
	t := p.teams[team.Name]
	if t == nil {
		for name, other := range p.teams {
			if other.update(now); other.running == 0 && other.queued == 0 && other.usage < minTeamUsage {
				delete(p.teams, name)
			}
		}
		t = &teamUsage{updated: now}
		p.teams[team.Name] = t
	}
	t.weight = team.Weight
	return t
}

// isBeyond reports whether a further unit with the given service time takes the team beyond its part of the member, which the
// teams in use divide by their weights.
func (p *Policy) isBeyond(t *teamUsage, service float64, now time.Duration) bool {
	if t == nil || len(p.teams) < 2 {
		return false
	}
	most := 0.0
	for _, other := range p.teams {
		most = max(most, other.weight)
	}
	sum := 0.0
	for _, other := range p.teams {
		other.update(now)
		if other.running > 0 || other.queued > 0 || other.usage >= minTeamUsage {
			sum += weightOr(other.weight, most)
		}
	}
	weight := weightOr(t.weight, most)
	part := weight / max(sum, weight) * float64(p.limits.Slots) * teamTimeConstant.Seconds()
	return t.usage+t.queuedWork+service > max(part, service)
}

// weightOr returns the weight, or that of the team that may use most if none is stated.
func weightOr(weight, most float64) float64 {
	if weight <= 0 {
		return max(most, 1)
	}
	return weight
}

// noteQueued counts a unit that enters its queue, and noteDequeued one that leaves it.
func (su *ScheduledUnit) noteQueued() {
	if su.beyond {
		su.class.beyondQueued[su.kind]++
	}
	if su.team != nil {
		su.team.queued++
		if !su.beyond {
			su.team.queuedWork += su.work
		}
	}
}

func (su *ScheduledUnit) noteDequeued() {
	if su.beyond {
		su.class.beyondQueued[su.kind]--
	}
	if su.team != nil {
		su.team.queued--
		if !su.beyond {
			su.team.queuedWork = max(su.team.queuedWork-su.work, 0)
		}
	}
}
