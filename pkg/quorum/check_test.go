package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// TestModelHolds guards against lost acknowledged writes and second primaries, under every order of events within the
// bounds of the model.
func TestModelHolds(t *testing.T) {
	for name, m := range map[string]*model{
		"lost primary":             {maxEntries: 3},
		"leaving primary":          {maxEntries: 3, avoid: []string{"a"}},
		"member without its state": {maxEntries: 2, stateLoss: true, oneAttemptPerTerm: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			m.rules = standardRules
			n := m.explore()
			t.Logf("%d states in %v", n, time.Since(start))
			require.Empty(t, m.violations)
			require.Greater(t, n, 100_000, "the exploration ended early")
		})
	}
}

// TestModelFindsFaults checks that the model check detects wrong rules and faulty platforms.
func TestModelFindsFaults(t *testing.T) {
	with := func(change func(*rules)) rules { r := standardRules; change(&r); return r }
	faults := map[string]*model{
		"choice by position, ignoring the last term": {rules: with(func(r *rules) {
			r.logAtLeastAsNew = func(a, b platform.Status) bool { return a.LastPosition >= b.LastPosition }
		})},
		"choice by fenced term instead of last term": {rules: with(func(r *rules) {
			r.logAtLeastAsNew = func(a, b platform.Status) bool {
				a.LastTerm, b.LastTerm = a.FencedTerm, b.FencedTerm
				return LogAtLeastAsNew(a, b)
			}
		})},
		"any last term counts": {rules: with(func(r *rules) {
			r.countsFor = func(platform.Status, platform.Term) bool { return true }
		})},
		"a later last term counts": {rules: with(func(r *rules) {
			r.countsFor = func(s platform.Status, t platform.Term) bool { return s.LastTerm >= t }
		})},
		"fenced term instead of last term counts": {rules: with(func(r *rules) {
			r.countsFor = func(s platform.Status, t platform.Term) bool { return s.FencedTerm == t }
		})},
		"a member with a higher fence counts": {rules: with(func(r *rules) {
			r.countsFor = func(s platform.Status, t platform.Term) bool { return s.LastTerm == t }
		})},
		"promotion after a lost fence": {rules: with(func(r *rules) {
			r.isMajority = func(answers, _ int) bool { return answers > 0 }
		})},
		"a fenced member that lost its state counts": {stateLoss: true, rules: with(func(r *rules) {
			r.keepsState = func(platform.Status) bool { return true }
		})},
		"an entry at a member that lost its state counts": {stateLoss: true, rules: with(func(r *rules) {
			r.countsFor = func(s platform.Status, t platform.Term) bool { s.LostState = false; return CountsFor(s, t) }
		})},
		"a platform that promotes a member that lost its state": {rules: standardRules, stateLoss: true, promoteStateless: true},
		"promoters that share a name":                           {rules: standardRules, sharedID: true},
		"a platform that ignores the fence":                     {rules: standardRules, ignoreFence: true},
	}
	for name, m := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m.maxEntries = 3
			n := m.explore()
			require.NotEmpty(t, m.violations, "the fault was not detected in %d states", n)
			t.Logf("%d states: %s", n, m.violations[0])
		})
	}
}

// Under any sequence of inputs, a Promoter must promote at most one member in a term and send no request after the end
// of its attempt.
func TestPromoterPromotesOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		avoid := rapid.SampledFrom([][]string{nil, {"b"}}).Draw(t, "avoid")
		p, actions := NewPromoter(Attempt{Term: 7, ID: "id", Members: memberNames, LastResort: avoid})
		require.Equal(t, []Action{{FenceMember, "a"}, {FenceMember, "b"}, {FenceMember, "c"}}, actions)
		chosen := ""
		for range rapid.IntRange(1, 12).Draw(t, "inputs") {
			before := p.Phase()
			actions := p.Step(Input{
				Kind:   InputKind(rapid.IntRange(0, int(Abandoned)).Draw(t, "kind")),
				Member: rapid.SampledFrom(memberNames).Draw(t, "member"),
				Status: platform.Status{
					FencedTerm: platform.Term(rapid.IntRange(6, 8).Draw(t, "fenced")), FencedBy: "id",
					LastPosition: platform.Position(rapid.IntRange(0, 3).Draw(t, "position")),
				},
			})
			if chosen == "" {
				chosen = p.Chosen()
			}
			require.Equal(t, chosen, p.Chosen())
			for _, a := range actions {
				require.False(t, before == PhaseLost || before == PhasePromoted, "a request was sent after the end of the attempt")
				require.True(t, a.Kind != PromoteMember || a.Member == chosen)
				require.True(t, a.Kind != FollowMember || a.Member != chosen && p.Phase() == PhasePromoted)
			}
		}
	})
}

// A barred member must not be promoted, even if only its log is new enough; it counts in the majority, and another member is
// promoted as soon as one with a log that is new enough is fenced.
func TestBarredMemberIsNotPromoted(t *testing.T) {
	status := func(position platform.Position) platform.Status {
		return platform.Status{FencedTerm: 7, FencedBy: "id", LastTerm: 3, LastPosition: position}
	}
	for name, c := range map[string]struct {
		barred []string
		want   string
	}{"last resort only": {nil, memberNames[0]}, "barred": {memberNames[:1], ""}} {
		p, _ := NewPromoter(Attempt{Term: 7, ID: "id", Members: memberNames, LastResort: memberNames[:1], Barred: c.barred})
		p.Step(Input{Kind: FenceAnswered, Member: memberNames[0], Status: status(9)})
		p.Step(Input{Kind: FenceAnswered, Member: memberNames[1], Status: status(5)})
		p.Step(Input{Kind: NoAnswer, Member: memberNames[2]})
		require.Equal(t, c.want, p.Chosen(), name)
		if c.want == "" {
			p.Step(Input{Kind: FenceAnswered, Member: memberNames[2], Status: status(9)})
			require.Equal(t, memberNames[2], p.Chosen(), name)
		}
	}
}
