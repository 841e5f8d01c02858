package unit

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A stated limit of 0 must not become "no limit" in a document, and no limit must not become one. Builds that know one
// number only, with 0 for no limit, must take a stated 0 for a very short limit.
func TestAgeLimitInDocuments(t *testing.T) {
	type document struct {
		MaxAge AgeLimit `json:"maxAge,omitzero"`
	}
	type earlierDocument struct {
		MaxAge string `json:"maxAge,omitempty"`
	}
	for text, c := range map[string]struct {
		want        AgeLimit
		atEarlier   time.Duration
		young, aged bool // whether ages of 0 and of a second are admitted
	}{
		`{}`:                  {0, 0, true, true},
		`{"maxAge":"0s"}`:     {NoAge, 1, false, false},
		`{"maxAge":"0"}`:      {NoAge, 1, false, false},
		`{"maxAge":"1ms"}`:    {LimitAge(time.Millisecond), time.Millisecond, true, false},
		`{"maxAge":"1500ms"}`: {LimitAge(1500 * time.Millisecond), 1500 * time.Millisecond, true, true},
	} {
		var d document
		require.NoError(t, json.Unmarshal([]byte(text), &d))
		require.Equal(t, c.want, d.MaxAge, text)
		require.Equal(t, c.young, d.MaxAge.Allows(0), text)
		require.Equal(t, c.aged, d.MaxAge.Allows(time.Second), text)
		encoded, err := json.Marshal(d)
		require.NoError(t, err)
		var again document
		require.NoError(t, json.Unmarshal(encoded, &again))
		require.Equal(t, d, again, text)
		var earlier earlierDocument
		require.NoError(t, json.Unmarshal(encoded, &earlier))
		age, _ := time.ParseDuration(earlier.MaxAge)
		require.Equal(t, c.atEarlier, age, text)
	}
	require.Error(t, json.Unmarshal([]byte(`{"maxAge":"soon"}`), &document{}))
	require.Equal(t, []string{"none", "0s", "1ms"}, []string{AgeLimit(0).String(), NoAge.String(), LimitAge(time.Millisecond).String()})
}
