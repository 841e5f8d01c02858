package timing

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a failed check that fails its test although the checks are not binding, or that is not logged.
func TestFailedCheckIsReported(t *testing.T) {
	logFile := filepath.Join(t.TempDir(), "log")
	t.Setenv(BindingVariable, "")
	t.Setenv(LogFileVariable, logFile)
	require.Less(Checks(t), 2, 1, "the first")
	require.Less(Checks(t), 1, 2, "holds")
	require.True(Checks(t), false, "the second")
	text, err := os.ReadFile(logFile)
	require.NoError(t, err)
	require.Regexp(t, `^TestFailedCheckIsReported: .*the first\nTestFailedCheckIsReported: .*the second\n$`, string(text))
}

// Guards against checks that do not fail their test although they are binding.
func TestChecksBind(t *testing.T) {
	t.Setenv(BindingVariable, "1")
	require.Equal(t, require.TestingT(t), Checks(t))
}
