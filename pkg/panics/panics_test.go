package panics

import (
	"bytes"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// A panic must end only the function that defers Confine, must be counted, and must be logged with the place that caused it.
func TestConfine(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	before, ended := Confined(), 0
	run := func(f func()) {
		defer Confine(log, "test", func() { ended++ })
		f()
	}
	run(func() {})
	require.Equal(t, before, Confined())
	run(func() { panic("broken") })
	require.Equal(t, before+1, Confined())
	require.Equal(t, 1, ended)
	require.Contains(t, out.String(), "broken")
	require.Contains(t, out.String(), "panics_test.go")
	size := out.Len()
	run(func() { panic("broken") })
	require.Equal(t, size, out.Len(), "lines of one kind of work are limited")
}
