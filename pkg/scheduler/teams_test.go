package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// teamLoad is what a team sends in a simulation: part is the part of the member's capacity that its units take, and
// floodFactor multiplies it in the second half.
type teamLoad struct {
	team        Team
	part        float64
	floodFactor float64
}

// simulateTeams plays a minute of a member with 4 slots, whose units take 10 ms on average and have a target of 300 ms. It returns
// the part of each team's units of the second half that started in time.
func simulateTeams(loads []teamLoad, forget bool) map[string]float64 {
	const slots, service, length = 4, 10 * time.Millisecond, time.Minute
	type arrival struct {
		at      time.Duration
		team    Team
		service time.Duration
	}
	random := rand.New(rand.NewPCG(1, 2))
	var arrivals []arrival
	for _, l := range loads {
		for at := time.Duration(0); at < length; {
			rate := l.part * slots / service.Seconds()
			if at >= length/2 && l.floodFactor > 0 {
				rate *= l.floodFactor
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			arrivals = append(arrivals, arrival{at, l.team, time.Duration((0.5 + random.Float64()) * float64(service))})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	epoch := time.Unix(0, 0)
	p := NewPolicy(Limits{Slots: slots, Transactions: 10, MaxQueue: 4096}, epoch)
	sent, served := map[string]int{}, map[string]int{}
	of := map[*ScheduledUnit]arrival{}
	type run struct {
		end  time.Duration
		unit *ScheduledUnit
	}
	var running []run
	now := time.Duration(0)
	dispatch := func() {
		for su := p.Next(epoch.Add(now)); su != nil; su = p.Next(epoch.Add(now)) {
			a := of[su]
			running = append(running, run{now + a.service, su})
			if a.at >= length/2 {
				served[a.team.Name]++
			}
		}
		p.TakeRefused()
		slices.SortFunc(running, func(a, b run) int { return int(a.end - b.end) })
	}
	for len(arrivals) > 0 {
		if len(running) > 0 && running[0].end <= arrivals[0].at {
			now = running[0].end
			p.Finish(epoch.Add(now), running[0].unit, false)
			running = running[1:]
			dispatch()
			continue
		}
		a := arrivals[0]
		arrivals, now = arrivals[1:], a.at
		if a.at >= length/2 {
			sent[a.team.Name]++
		}
		r := Request{Class: "read", Rank: unit.RankRoutine, Target: 300 * time.Millisecond, Arrived: epoch.Add(now), Team: a.team}
		if forget {
			r.Team = Team{}
		}
		if su, err := p.Enqueue(epoch.Add(now), r); err == nil {
			of[su] = a
			dispatch()
		}
	}
	parts := map[string]float64{}
	for team, n := range sent {
		parts[team] = float64(served[team]) / float64(n)
	}
	return parts
}

func tenTeams() (loads []teamLoad) {
	for i := range 10 {
		loads = append(loads, teamLoad{team: Team{Name: fmt.Sprintf("t%d", i), Weight: 10}, part: 0.07})
	}
	return loads
}

// A team that sends 7.5 times its usual must take nothing from teams within their parts, and must get what they leave. In
// order of arrival it takes from all.
func TestFloodOfOneTeam(t *testing.T) {
	loads := tenTeams()
	loads[0].floodFactor = 7.5
	parts, plain := simulateTeams(loads, false), simulateTeams(loads, true)
	for i := 1; i < 10; i++ {
		require.GreaterOrEqual(t, parts[fmt.Sprintf("t%d", i)], 0.995, "team %d", i)
	}
	left := 1 - 9*0.07
	require.GreaterOrEqual(t, parts["t0"], 0.95*left/(7.5*0.07), "what nobody else wants may be used")
	require.Less(t, plain["t5"], 0.95, "without teams the flood takes from others: %v", plain)
}

// Beyond their parts, teams of a higher priority go first. A team within its part is served whatever its priority, and a
// team that may use more gets more.
func TestPriorityAndWeightOfTeams(t *testing.T) {
	parts := simulateTeams([]teamLoad{
		{Team{Name: "first", Weight: 1}, 0.8, 0}, {Team{Name: "second", Weight: 1, Priority: 1}, 0.8, 0},
		{Team{Name: "small", Weight: 1, Priority: 2}, 0.1, 0},
	}, false)
	require.GreaterOrEqual(t, parts["small"], 0.99)
	require.Greater(t, parts["first"], parts["second"]+0.2, "%v", parts)
	require.GreaterOrEqual(t, parts["second"], 0.9*(1.0/3)/0.8, "its own part")
	parts = simulateTeams([]teamLoad{{Team{Name: "large", Weight: 3}, 0.75, 0}, {Team{Name: "little", Weight: 1}, 0.75, 0}}, false)
	require.GreaterOrEqual(t, parts["large"], 0.97, "%v", parts)
}

// A team alone must use the whole member, and teams without stated limits must share it evenly.
func TestTeamsWithoutLimits(t *testing.T) {
	alone, none := simulateTeams([]teamLoad{{Team{Name: "a"}, 1.5, 0}}, false), simulateTeams([]teamLoad{{Team{}, 1.5, 0}}, false)
	require.InDelta(t, none[""], alone["a"], 0.001)
	parts := simulateTeams([]teamLoad{{Team{Name: "a"}, 2, 0}, {Team{Name: "b"}, 0.4, 0}}, false)
	require.GreaterOrEqual(t, parts["b"], 0.99, "%v", parts)
}
