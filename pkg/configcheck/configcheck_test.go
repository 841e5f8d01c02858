package configcheck

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

const clean = `{"default": "a", "keysRequired": true,
 "classes": [
  {"name": "a", "rank": "urgent", "access": "statement", "consistency": "session", "target": {"latency": "400ms", "reliability": 0.99}, "maxAge": "2s"}],
 "routes": [
  {"database": "orders", "service": "svc", "class": "a", "timeout": "800ms"}],
 "teams": [
  {"name": "crew", "keys": ["h1"], "limit": {"perSecond": 10, "burst": 10}}]}`

// Each entry that can never match and each contradiction must be found where it stands, and nothing in clean documents.
func TestFindings(t *testing.T) {
	for change, want := range map[[2]string]struct {
		path string
		line int
	}{
		{`"maxAge": "2s"}`, `"maxAge": "2s"}, {"name": "b", "rank": "batch", "access": "read", "target": {"latency": "1s", "reliability": 0.9}}`}: {"classes[1]", 3},
		{`"maxAge": "2s"`, `"maxAge": "5ms"`}:                                                    {"classes[0].maxAge", 3},
		{`"consistency": "session"`, `"consistency": "primary"`}:                                 {"classes[0].maxAge", 3},
		{`"timeout": "800ms"`, `"timeout": "200ms"`}:                                             {"routes[0].timeout", 5},
		{`"timeout": "800ms"`, `"timeout": "800ms", "public": true`}:                             {"", 0},
		{`"keys": ["h1"]`, `"keys": []`}:                                                         {"routes[0]", 5},
		{`"perSecond": 10`, `"perSecond": 0`}:                                                    {"teams[0].limit.perSecond", 7},
		{`"burst": 10`, `"burst": 0.5`}:                                                          {"teams[0].limit.burst", 7},
		{`"maxAge": "2s"`, `"maxAge": "0s"`}:                                                     {"", 0},
		{`[{"name": "crew"`, `[{"name": "idle"}, {"name": "crew"`}:                               {"", 0},
		{`{"name": "crew", "keys": ["h1"]`, `{"name": "idle"}, {"name": "crew", "keys": ["h1"]`}: {"teams[0].keys", 7},
	} {
		text := strings.Replace(clean, change[0], change[1], 1)
		_, findings, err := Check([]byte(text))
		require.NoError(t, err, change[1])
		if want.path == "" {
			require.Empty(t, findings, change[1])
			continue
		}
		require.NotEmpty(t, findings, change[1])
		require.Equal(t, want.path, findings[0].Path, change[1])
		require.Equal(t, want.line, findings[0].Line, change[1])
	}
	for _, name := range []string{"kitakata", "kasica"} {
		data, err := os.ReadFile("../../examples/" + name + ".json")
		require.NoError(t, err)
		_, findings, err := Check(data)
		require.NoError(t, err)
		require.Empty(t, findings, name)
	}
	_, _, err := Check([]byte(strings.Replace(clean, `"class": "a"`, `"class": "none"`, 1)))
	require.Error(t, err, "what no daemon applies")
}

// FuzzCheck guards against a check that passes, with or without findings, a document that daemons refuse when they read it back.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(clean))
	f.Add([]byte(`{"default": "a", "classes": [{"name": "a", "rank": "batch", "access": "statement", "target": {"latency": "30s", "reliability": 0.9}}],
 "routes": [{"database": "d", "service": "s", "class": "a", "timeout": "1ns", "target": "10ms", "reads": {"consistency": "bounded", "maxAge": "0s"}}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, _, err := Check(data)
		if err != nil {
			return
		}
		stored, err := doc.Marshal()
		if err != nil {
			t.Fatalf("%q cannot be stored: %v", data, err)
		}
		if _, err := clusterconfig.Parse(stored); err != nil {
			t.Fatalf("%q is refused when it is read back as %q: %v", data, stored, err)
		}
	})
}
