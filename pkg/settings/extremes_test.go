package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Each number and duration of the settings must be taken at both ends of its range and refused beyond them, and an absent or null
// one must leave the default in place, not 0.
func TestExtremesOfEverySetting(t *testing.T) {
	const day = 24 * 3600
	for key, c := range map[string]struct {
		section    string
		min, max   float64 // durations in seconds
		unbounded  bool    // there is no upper limit
		zero       bool    // 0 is taken although it lies below min
		isDuration bool
	}{
		"timeout":           {section: "platform", min: 0.01, max: 60, isDuration: true},
		"connectTimeout":    {section: "endpoints", min: 0.01, max: 60, isDuration: true},
		"reserve":           {section: "endpoints", min: 0, max: 1000},
		"callerConnections": {section: "limits", min: 1, max: 1_000_000},
		"memoryMB":          {section: "limits", min: 0, max: 16 << 20},
		"drainGrace":        {section: "limits", min: 0, max: 60, isDuration: true},
		"drain":             {section: "limits", min: 1, max: 600, isDuration: true},
		"close":             {section: "limits", min: 0.1, max: 60, isDuration: true},
		"bitsPerSecond":     {section: "link", min: 1000, unbounded: true},
		"stand":             {section: "placement", min: 1, max: day, zero: true, isDuration: true},
	} {
		t.Run(key, func(t *testing.T) {
			field := func(s *Settings) reflect.Value { return settingOf(t, s, c.section, key) }
			load := func(value string) (*Settings, error) { return loadText(t, withSetting(c.section, key, value)) }
			encode := func(v float64) string {
				if c.isDuration {
					return fmt.Sprintf(`"%gs"`, v)
				}
				return fmt.Sprintf("%.0f", v)
			}
			step := 1.0
			if c.isDuration {
				step = 0.001
			}
			accepted, refused := []string{encode(c.min)}, []string{encode(-1), `"x"`, `[]`, `1e400`, `-1e400`}
			if c.min > 0 {
				refused = append(refused, encode(c.min-step))
			}
			if c.min > 0 && !c.zero {
				refused = append(refused, encode(0))
			} else {
				accepted = append(accepted, encode(0))
			}
			if !c.unbounded {
				accepted, refused = append(accepted, encode(c.max)), append(refused, encode(c.max+step))
			}
			for _, v := range accepted {
				_, err := load(v)
				require.NoError(t, err, v)
			}
			for _, v := range refused {
				_, err := load(v)
				require.True(t, errkind.Is(err, errkind.SettingsInvalid), "%s: %v", v, err)
			}
			s, err := load("null")
			if err == nil {
				require.Equal(t, field(Default()).Interface(), field(s).Interface(), "null")
			}
			s, err = loadText(t, validSettings)
			require.NoError(t, err)
			require.Equal(t, field(Default()).Interface(), field(s).Interface(), "absent")
		})
	}
}

// withSetting returns valid settings with one more setting.
func withSetting(section, key, value string) string {
	if section == "platform" {
		return strings.Replace(validSettings, `"platform": {`, fmt.Sprintf(`"platform": {"%s": %s, `, key, value), 1)
	}
	return strings.Replace(validSettings, `"region"`, fmt.Sprintf(`"%s": {"%s": %s}, "region"`, section, key, value), 1)
}

// settingOf returns the field with the given JSON names.
func settingOf(t *testing.T, s *Settings, section, key string) reflect.Value {
	byName := func(v reflect.Value, name string) reflect.Value {
		for i := range v.NumField() {
			if tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ","); tag == name {
				return v.Field(i)
			}
		}
		require.Fail(t, "no field", name)
		return reflect.Value{}
	}
	return byName(byName(reflect.ValueOf(s).Elem(), section), key)
}

// Every number and duration of the settings must be in the table of TestExtremesOfEverySetting.
func TestEverySettingHasARange(t *testing.T) {
	numbers := 0
	var count func(reflect.Type)
	count = func(typ reflect.Type) {
		for i := range typ.NumField() {
			switch f := typ.Field(i); {
			case f.Type == reflect.TypeFor[clusterconfig.Duration](), f.Type.Kind() == reflect.Int, f.Type.Kind() == reflect.Int64:
				numbers++
				require.NotEmpty(t, f.Tag.Get("validate"), f.Name)
			case f.Type.Kind() == reflect.Struct:
				count(f.Type)
			}
		}
	}
	count(reflect.TypeFor[Settings]())
	require.Equal(t, 10, numbers)
}
