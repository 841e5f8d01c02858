package loglimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A lasting fault must not fill the log, and lines that are left out must be counted. One key must not suppress the
// lines of another.
func TestAllow(t *testing.T) {
	var limiter Limiter
	start := time.Now()
	for i, step := range []struct {
		key        string
		at         time.Duration
		suppressed uint64
		allowed    bool
	}{
		{"a", 0, 0, true}, {"a", time.Second, 0, false}, {"a", Interval - 1, 0, false}, {"b", time.Second, 0, true},
		{"a", Interval, 2, true}, {"a", Interval + 1, 0, false}, {"a", 2 * Interval, 1, true},
	} {
		suppressed, allowed := limiter.allow(step.key, start.Add(step.at))
		require.Equal(t, step.allowed, allowed, "step %d", i)
		require.Equal(t, step.suppressed, suppressed, "step %d", i)
	}
}

// Guards against memory that grows with the number of keys that peers choose.
func TestKeysAreBounded(t *testing.T) {
	var limiter Limiter
	start := time.Now()
	for i := range 2 * maxKeys {
		limiter.allow(fmt.Sprint(i), start)
	}
	require.LessOrEqual(t, len(limiter.keys), maxKeys+1)
	limiter.allow("late", start.Add(Interval))
	require.Len(t, limiter.keys, 2, "only the late key and the overflow key, which had lines left out, must remain")
}
