package token

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

func genToken(t *rapid.T) Token {
	var tok Token
	for range rapid.IntRange(0, MaxServices).Draw(t, "services") {
		tok = tok.With(rapid.StringMatching(`[a-z]{1,8}\.[0-9]`).Draw(t, "service"),
			platform.Term(rapid.Uint64().Draw(t, "term")), platform.Position(rapid.Uint64().Draw(t, "position")))
	}
	return tok
}

// Guards against a session that loses a requirement when a caller hands its token back.
func TestTextFormRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tok := genToken(t)
		back, err := Parse(tok.String())
		require.NoError(t, err)
		require.Equal(t, tok.String(), back.String())
	})
}

// A merge must not weaken a requirement. Otherwise a session that moves to another VM would not read its own writes.
func TestMergeNeverWeakens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := genToken(t), genToken(t)
		merged := a.Merge(b)
		for _, source := range []Token{a, b} {
			for _, e := range source.entries {
				r, ok := merged.Requirement(e.Service)
				require.True(t, ok)
				require.GreaterOrEqual(t, r.Term, e.Term)
				require.GreaterOrEqual(t, r.Position, e.Position)
			}
		}
		require.Equal(t, merged.String(), b.Merge(a).String())
	})
}

// Guards against session reads on a member that is in an older term or lags behind the required position.
func TestCovers(t *testing.T) {
	r := unit.Requirement{Term: 3, Position: 10}
	require.True(t, CoveredBy(r, 3, 10))
	require.True(t, CoveredBy(r, 4, 11))
	require.False(t, CoveredBy(r, 2, 50), "the end of the log of an older term may have diverged")
	require.False(t, CoveredBy(r, 3, 9))
}

// Guards against damaged tokens and tokens of another version that are accepted.
func TestParseRefusesDamage(t *testing.T) {
	good := Token{}.With("plate-registry.1", 3, 99).String()
	for _, s := range []string{"x", "v1:", "v1:!!", good[:len(good)-2], good + "A", "v2:" + good[3:]} {
		_, err := Parse(s)
		require.True(t, errkind.Is(err, errkind.BadToken), "%q: %v", s, err)
	}
}

// FuzzParse guards against a panic or an unbounded allocation on a hostile token.
func FuzzParse(f *testing.F) {
	f.Add("")
	f.Add(Token{}.With("orders-db.1", 1, 2).String())
	f.Add("v1:3v____8AAAAA")
	f.Fuzz(func(t *testing.T, s string) {
		tok, err := Parse(s)
		if err == nil && !tok.Empty() {
			_, err = Parse(tok.String())
			require.NoError(t, err)
		}
	})
}
