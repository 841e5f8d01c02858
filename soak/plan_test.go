package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var testWorld = world{vms: []string{"a-1", "a-2", "a-3", "b-1", "b-2", "c-1", "c-2"}, dataCentres: []string{"a", "b", "c"}}

// TestPlan guards against plans that differ between two runs of a seed, whose steps undo each other, that lose the state of
// more members than a service survives, and that leave a kind of step out altogether.
func TestPlan(t *testing.T) {
	seen := map[kind]bool{}
	overlapping := 0
	for seed := range uint64(200) {
		steps := plan(seed, testWorld)
		require.Equal(t, steps, plan(seed, testWorld))
		stops, kills := 0, 0
		for i, s := range steps {
			seen[s.kind] = true
			require.Less(t, s.at, faultPeriod)
			if s.kind == killPrimary {
				kills++
			}
			if s.kind == stopVM || s.kind == stopVMTwice || s.kind == stopVMAgain {
				stops++
			}
			for _, other := range steps[i+1:] {
				if other.at >= s.at+s.length {
					continue
				}
				overlapping++
				for _, name := range s.resources() {
					require.NotContains(t, other.resources(), name, "seed %d: %v and %v", seed, s, other)
				}
			}
		}
		require.LessOrEqual(t, kills, 1)
		require.Positive(t, stops)
	}
	require.Greater(t, overlapping, 200)
	for _, kinds := range weightedKinds {
		for _, k := range kinds {
			require.True(t, seen[k], "no seed has %q", k)
		}
	}
}
