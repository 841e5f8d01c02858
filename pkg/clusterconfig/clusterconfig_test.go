package clusterconfig

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const validDocument = `{
  // callers that name no class
  "default": "lookup",
  "classes": [
    {"name": "order", "rank": "urgent", "access": "write", "target": {"latency": "250ms", "reliability": 0.999}},
    {"name": "lookup", "rank": "routine", "access": "read", "target": {"latency": "1s", "reliability": 0.99}, "maxAge": "5s", "repeatable": true},
  ],
}`

func TestParse(t *testing.T) {
	d, err := Parse([]byte(validDocument))
	require.NoError(t, err)
	c, ok := d.Class("")
	require.True(t, ok)
	require.Equal(t, unit.RankRoutine, c.RankValue())
	stored, err := d.Marshal()
	require.NoError(t, err)
	reparsed, err := Parse(stored)
	require.NoError(t, err)
	require.Equal(t, d, reparsed)
}

// An error must tell the operator where the fault is: the line and the nearest known key for an unknown key, and the
// name and value of a field that is not valid.
func TestParseNamesThePlace(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown key":  {`"maxAge"`, `"maxage_"`, `line 6: unknown key "maxage_"; the nearest known key is "maxAge"`},
		"rank":         {`"urgent"`, `"highest"`, `rank "highest" must be`},
		"latency":      {`"250ms"`, `"2ms"`, `target.latency 2ms must be`},
		"reliability":  {`0.999`, `1`, `target.reliability 1 must be`},
		"default":      {`"default": "lookup"`, `"default": "look"`, `"look" is not the name of a class`},
		"duplicate":    {`"order"`, `"lookup"`, `used twice`},
		"age on write": {`"access": "read"`, `"access": "write"`, `read classes only`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validDocument, c.from, c.to, 1)))
			require.ErrorContains(t, err, c.want)
			require.True(t, errkind.Is(err, errkind.ConfigInvalid))
		})
	}
}

// Guards against a daemon going back to an older configuration.
func TestNewer(t *testing.T) {
	require.True(t, (&Document{Version: 1}).NewerThan(nil))
	require.False(t, (&Document{Version: 2}).NewerThan(&Document{Version: 2}))
	require.False(t, (&Document{Version: 1}).NewerThan(&Document{Version: 2}))
}

// FuzzParse guards against a panic on a damaged or hostile document.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"classes":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := Parse(data); err == nil {
			require.NoError(t, d.Validate())
		}
	})
}
