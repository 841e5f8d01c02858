package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// TestTarget checks that a move goes only to a region with more members than the primary's, and only if the primary's
// region holds no other member.
func TestTarget(t *testing.T) {
	for want, cases := range map[string][][]string{ // the first member is the primary
		"":  {{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "a", "b"}, {"a", "a", "b", "b", "b"}, {"a", "a", "a"}},
		"b": {{"a", "b", "b"}, {"a", "c", "b", "b"}, {"a", "b", "c", "b", "c"}, {"a", "c", "c", "b", "b", "b"}},
	} {
		for _, regions := range cases {
			require.Equal(t, want, TargetRegion(len(regions), 0, func(i int) string { return regions[i] }), regions)
		}
	}
	require.Equal(t, "a", TargetRegion(3, 2, func(i int) string { return []string{"a", "a", "b"}[i] }))
}

// inputAllowingMove meets all conditions of a move.
var inputAllowingMove = Input{Term: 1, Primary: "m0", Target: "b", OwnsPrimary: true, Stable: true}

// secondOfMove steps the rule once per second and returns the first second in which a move is due, or -1 if none is
// due before limit.
func secondOfMove(r *Rule, from, limit int, in func(second int) Input) int {
	for s := from; s < limit; s++ {
		r.Observe(time.Unix(int64(s), 0), in(s))
		if r.MoveDue() {
			return s
		}
	}
	return -1
}

// TestRule checks in which second a move is first due. No move may be due while a condition doesn't hold, on a VM that
// doesn't own the primary, or less than an hour after the term began.
func TestRule(t *testing.T) {
	const hour, minute, limit = 3600, 60, 4 * 3600
	// changedInSecond returns an input to which change is applied in the given second of every period. In the other
	// seconds it meets all conditions of a move.
	changedInSecond := func(second, period int, change func(*Input)) func(int) Input {
		return func(s int) Input {
			in := inputAllowingMove
			if s%period == second {
				change(&in)
			}
			return in
		}
	}
	for name, c := range map[string]struct {
		input      func(int) Input // by second
		wantSecond int             // the second of the first move; -1: no move is due
	}{
		"nothing wrong":           {func(int) Input { return inputAllowingMove }, hour},
		"never settled":           {changedInSecond(0, 1, func(in *Input) { in.Stable = false }), -1},
		"unsettled every minute":  {changedInSecond(0, minute, func(in *Input) { in.Stable = false }), -1},
		"unsettled at the end":    {changedInSecond(hour-10, limit, func(in *Input) { in.Stable = false }), hour - 10 + 1 + minute},
		"another VM leads":        {changedInSecond(0, 1, func(in *Input) { in.OwnsPrimary = false }), -1},
		"began to lead late":      {changedInSecond(hour+99, limit, func(in *Input) { in.OwnsPrimary = false }), hour},
		"region is as good":       {changedInSecond(0, 1, func(in *Input) { in.Target = "" }), -1},
		"no primary for a second": {changedInSecond(500, limit, func(in *Input) { in.Primary = "" }), 501 + hour},
		"a term an hour less 1 s": {func(s int) Input { in := inputAllowingMove; in.Term += platform.Term(s / hour); return in }, -1},
	} {
		r := NewRule(DefaultMinTenure, 0)
		require.Equal(t, c.wantSecond, secondOfMove(&r, 0, limit, c.input), name)
	}
}

// TestNoOscillation checks that there is at most one move per hour, also when the new primary fails after each move, when
// moves are abandoned, and when the deciding VM is replaced and loses its state.
func TestNoOscillation(t *testing.T) {
	const hour, day = 3600, 24 * 3600
	for name, c := range map[string]struct {
		failAfter    int // seconds from a move until the primary is back in its old region; 0: the move is abandoned
		restartEvery int // seconds between restarts of the deciding VM
		wantMoves    int // number of moves in a day
	}{
		"given up":                       {0, day, 23},
		"fails at once":                  {1, day, 23},
		"fails after 50 minutes":         {3000, day, 13},
		"fails, VM replaced each 90 min": {1, 5400, 16},
		"VM replaced each 50 min":        {1, 3000, 0},
	} {
		in, r := inputAllowingMove, NewRule(DefaultMinTenure, 0)
		lastMove, moves := -hour, 0
		for s := range day {
			if s%c.restartEvery == 0 {
				r = NewRule(DefaultMinTenure, 0)
			}
			if c.failAfter > 0 && s == lastMove+c.failAfter {
				in.Term, in.Primary, in.Target = in.Term+1, "m0", "b"
			}
			now := time.Unix(int64(s), 0)
			if r.Observe(now, in); !r.MoveDue() {
				continue
			}
			require.GreaterOrEqual(t, s-lastMove, hour, name)
			r.MoveStarted(now)
			lastMove, moves = s, moves+1
			if c.failAfter > 0 {
				in.Term, in.Primary, in.Target = in.Term+1, "m1", ""
			}
		}
		require.Equal(t, c.wantMoves, moves, name)
	}
}

// TestSpread checks that services don't all move their primaries at the same time, and that with a minimum tenure of zero no
// move is due.
func TestSpread(t *testing.T) {
	r := NewRule(DefaultMinTenure, 0.5)
	require.Equal(t, 3600+180, secondOfMove(&r, 0, 4*3600, func(int) Input { return inputAllowingMove }))
	r = NewRule(0, 0.5)
	require.Equal(t, -1, secondOfMove(&r, 0, 4*3600, func(int) Input { return inputAllowingMove }))
}
