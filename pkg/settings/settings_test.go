package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const validSettings = `{
  // one entry VM
  "vm": "entry-1", "dataCentre": "kurume-yard", "region": "chikugo", "cluster": "kitakata",
  "listen": {"callers": "127.0.0.1:6432", "peers": "127.0.0.1:6433", "admin": "127.0.0.1:6434"},
  "platform": {"url": "http://127.0.0.1:7000"},
}`

func loadText(t *testing.T, text string) (*Settings, error) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

func TestLoadFillsDefaults(t *testing.T) {
	s, err := loadText(t, validSettings)
	require.NoError(t, err)
	require.Equal(t, Default().Limits, s.Limits)
	for text, want := range map[string]time.Duration{"0s": 0, "2s": 2 * time.Second, "24h": 24 * time.Hour} {
		s, err = loadText(t, strings.Replace(validSettings, `"region"`, `"placement": {"stand": "`+text+`"}, "region"`, 1))
		require.NoError(t, err)
		require.EqualValues(t, want, s.Placement.Stand)
	}
}

// A wrong setting must be refused, and the error must name its line or field.
func TestLoadNamesThePlace(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown key": {`"region"`, `"regon"`, `line 3: unknown key "regon"; the nearest known key is "region"`},
		"missing":     {`"vm": "entry-1", `, ``, `Settings.VM`},
		"address":     {`127.0.0.1:6432`, `6432`, `Settings.Listen.Callers`},
		"too short":   {`"region"`, `"placement": {"stand": "999ms"}, "region"`, `Settings.Placement.Stand`},
		"too long":    {`"region"`, `"placement": {"stand": "25h"}, "region"`, `Settings.Placement.Stand`},
		"syntax":      {`"cluster": "kitakata",`, `"cluster" "kitakata",`, `line 3`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := loadText(t, strings.Replace(validSettings, c.from, c.to, 1))
			require.ErrorContains(t, err, c.want)
			require.True(t, errkind.Is(err, errkind.SettingsInvalid))
		})
	}
}
