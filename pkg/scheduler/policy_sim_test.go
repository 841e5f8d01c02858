package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const simSeeds = 3

// slotsByPlatform holds the slots per member of each user's platform.
var slotsByPlatform = map[string]int{"Kitakata": 2, "Kašica": 3}

func jobsByArrival(set map[*job]bool) []*job {
	var all []*job
	for j := range set {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return int(a.arrived - b.arrived) })
	return all
}

// usualLoad returns the load without a flood, which uses 65% of the fleet's capacity.
func usualLoad() []stream {
	return []stream{
		{"order", unit.RankUrgent, 100 * time.Millisecond, 0.15, 1},
		{"alarm", unit.RankUrgent, 100 * time.Millisecond, 0.05, 1},
		{"lookup", unit.RankRoutine, 500 * time.Millisecond, 0.15, 1},
		{"report", unit.RankRoutine, time.Second, 0.10, 1},
		{"etch", unit.RankBatch, 5 * time.Second, 0.20, 1},
	}
}

// loadWithFlood returns the usual load with ten times the arrivals of one class.
func loadWithFlood(class string) []stream {
	all := usualLoad()
	for i := range all {
		if all[i].class == class {
			all[i].floodFactor = 10
		}
	}
	return all
}

// simulate runs the simulation for each seed and returns the sums of the tallies per class. It checks that every unit
// is counted once.
func simulate(t *testing.T, name string, members, slots int, memberLoss, useFIFO bool, streams []stream) map[string]*tally {
	sum := map[string]*tally{}
	for seed := range uint64(simSeeds) {
		s := newSimulation(seed, members, slots, useFIFO, slices.Clone(streams))
		s.memberLoss = memberLoss
		for class, counts := range s.run() {
			if sum[class] == nil {
				sum[class] = &tally{}
			}
			total := sum[class]
			total.arrived += counts.arrived
			total.inTarget += counts.inTarget
			total.late += counts.late
			total.refused += counts.refused
			total.lost += counts.lost
			total.usefulWork += counts.usefulWork
			require.Equal(t, counts.arrived, counts.inTarget+counts.late+counts.refused+counts.lost,
				"a unit of %s was lost or counted twice", class)
		}
	}
	policy := "ours"
	if useFIFO {
		policy = "FIFO"
	}
	for _, arrivals := range streams {
		total := sum[arrivals.class]
		capacity := float64(members*slots) * (simEnd - floodStart).Seconds() * simSeeds
		t.Logf("%-24s %s %-7s %-6s arrived %6d in target %5.1f%% late %4.1f%% refused %4.1f%% lost %2d; useful slot time %4.1f%%",
			name, policy, arrivals.rank, arrivals.class, total.arrived, percent(total.inTarget, total.arrived),
			percent(total.late, total.arrived), percent(total.refused, total.arrived), total.lost, 100*total.usefulWork.Seconds()/capacity)
	}
	return sum
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func forEachPlatform(t *testing.T, run func(t *testing.T, slots int)) {
	for platform, slots := range slotsByPlatform {
		t.Run(platform, func(t *testing.T) {
			t.Parallel()
			run(t, slots)
		})
	}
}

// Guards against refusals and missed targets under the usual load.
func TestSimUsualLoad(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, slots int) {
		simulate(t, "usual load", 1, slots, false, true, usualLoad())
		got := simulate(t, "usual load", 1, slots, false, false, usualLoad())
		for class, v := range got {
			require.GreaterOrEqual(t, percent(v.inTarget, v.arrived), 99.0, class)
		}
	})
}

// During a flood of batch work, urgent work must meet its targets, both with all members and after half of them are
// lost.
func TestSimBatchFlood(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, slots int) {
		for _, memberLoss := range []bool{false, true} {
			name := fmt.Sprintf("batch flood, loss %v", memberLoss)
			simulate(t, name, 2, slots, memberLoss, true, loadWithFlood("etch"))
			got := simulate(t, name, 2, slots, memberLoss, false, loadWithFlood("etch"))
			for _, class := range []string{"order", "alarm"} {
				require.GreaterOrEqual(t, percent(got[class].inTarget, got[class].arrived), 99.0, class)
			}
		}
	})
}

// A flood of urgent work must not starve the other classes. Each of them must keep 80% of the slot time that it used
// without the flood, up to its guaranteed share of the remaining slots.
func TestSimUrgentFlood(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, slots int) {
		for _, memberLoss := range []bool{false, true} {
			const members = 2
			name := fmt.Sprintf("urgent flood, loss %v", memberLoss)
			withoutFlood := simulate(t, "before", members, slots, false, false, usualLoad())
			simulate(t, name, members, slots, memberLoss, true, loadWithFlood("order"))
			got := simulate(t, name, members, slots, memberLoss, false, loadWithFlood("order"))
			capacity := float64(members*slots) * (simEnd - floodStart).Seconds() * simSeeds
			for class, share := range map[string]float64{"alarm": 0.2, "lookup": 0.15, "report": 0.15, "etch": 0.1} {
				before := withoutFlood[class].usefulWork.Seconds()
				want := min(before, share*capacity)
				if memberLoss { // half of the slots are lost for half of the flood
					want = (want + min(before, share*capacity/2)) / 2
				}
				kept := got[class].usefulWork.Seconds() / want
				t.Logf("%s: %s keeps %.1f%% of min(slot time without the flood, guaranteed share)", name, class, 100*kept)
				require.GreaterOrEqual(t, kept, 0.8, class)
			}
		}
	})
}
