package fault

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/burn"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

// repositoryRoot is the top of the repository relative to the directory of this package.
const repositoryRoot = "../.."

// tourCommands returns the commands of the README's tour that run sycamorehubctl.
func tourCommands(t *testing.T) []string {
	readme, err := os.ReadFile(filepath.Join(repositoryRoot, "README.md"))
	require.NoError(t, err)
	var out []string
	for line := range strings.Lines(string(readme)) {
		if strings.HasPrefix(line, "bin/sycamorehubctl") {
			command, _, _ := strings.Cut(line, " #")
			out = append(out, strings.TrimSpace(command))
		}
	}
	require.NotEmpty(t, out)
	return out
}

// TestReadmeTour guards against a README whose commands don't run as written. The test makes the edit of a target that
// the README asks for between `config show` and `config apply`.
func TestReadmeTour(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	vm, err := c.VM("kurume-yard-1")
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, os.Symlink(binDir, filepath.Join(dir, "bin")))
	for _, command := range tourCommands(t) {
		if strings.Contains(command, "config apply targets.json") {
			path := filepath.Join(dir, "targets.json")
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			edited := strings.Replace(string(text), `"latency": "400ms"`, `"latency": "450ms"`, 1)
			require.NotEqual(t, string(text), edited)
			require.NoError(t, os.WriteFile(path, []byte(edited), 0o600))
		}
		cmd := exec.Command("sh", "-c", command)
		cmd.Dir, cmd.Env = dir, append(os.Environ(), "SYCAMOREHUB_SERVER="+vm.AdminAddr)
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, "%s\n%s", command, out)
	}
	require.EqualValues(t, 2, versions.version("yukuhashi-depot-1"), "`config wait 2` returned before version 2 was in force")
	_, doc := c.storedConfig()
	require.Equal(t, "450ms", time.Duration(doc.Classes[0].Target.Latency).String())
}

// TestDocumentedCommands guards against commands, exit codes and messages of sycamorehubctl that differ from
// docs/OPERATIONS.md: for a bad document, JSON output, shell completion, the history, conflicting changes, wrong usage,
// an unreachable daemon, and the check of settings.
func TestDocumentedCommands(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	vms := []string{"kurume-yard-1"}
	badDocument := filepath.Join(c.Dir, "bad.json")
	require.NoError(t, os.WriteFile(badDocument, []byte("{\n  \"default\": \"a\",\n  \"clases\": []\n}"), 0o600))
	c.applyNextVersion("kurume-yard-1", 1)

	for _, tt := range []struct {
		args     []string
		exitCode int
		want     []string // substrings of the standard output or error output
	}{
		{[]string{"config", "validate", filepath.Join(repositoryRoot, "examples/kitakata.json")}, 0, []string{"valid: 6 classes"}},
		{[]string{"config", "validate", badDocument}, 1, []string{"line 3", `"clases"`, `nearest known key is "classes"`}},
		{[]string{"config", "apply", badDocument}, 1, []string{"line 3", `nearest known key is "classes"`}},
		{[]string{"config", "validate", filepath.Join(c.Dir, "none.json")}, 2, []string{"none.json"}},
		{[]string{"config", "validate"}, 2, []string{"takes 1 arguments"}},
		{[]string{"config", "frobnicate"}, 2, []string{"unknown command"}},
		{[]string{"--output", "yaml", "status"}, 2, []string{"neither table nor json"}},
		{[]string{"config", "apply", "--if-version", "1", badDocument + "x"}, 2, nil},
		{[]string{"config", "apply", "--if-version", "1", c.writeDocument("late")}, 3, []string{"class added-2: added"}},
		{[]string{"config", "history"}, 0, []string{"OPERATION"}},
		{[]string{"config", "wait", "2"}, 0, []string{"in force on all 7 VMs"}},
		{[]string{"config", "wait", "--timeout", "300ms", "99"}, 5, []string{"kurume-yard-1 (version 2)"}},
		{[]string{"drain", "nobody"}, 1, []string{"no VM is named"}},
		{[]string{"--server", "127.0.0.1:1", "status"}, 0, []string{"kurume-yard-1"}}, // the second server answers
		{[]string{"completion", "bash"}, 0, []string{"complete"}},
		{[]string{"completion", "zsh"}, 0, []string{"compdef"}},
		{[]string{"version"}, 0, []string{"sycamorehubctl"}},
	} {
		res := c.ctl(vms, tt.args...)
		require.Equal(t, tt.exitCode, res.exitCode, "%v\n%s%s", tt.args, res.stdout, res.stderr)
		for _, want := range tt.want {
			require.Contains(t, res.stdout+res.stderr, want, "%v", tt.args)
		}
	}
	cmd := exec.Command(filepath.Join(binDir, "sycamorehubctl"), "--server", "127.0.0.1:1", "status")
	require.Error(t, cmd.Run())
	require.Equal(t, 4, cmd.ProcessState.ExitCode())
	checkJSONOutputs(t, c, vms)
	checkSettings(t, c)
}

// checkJSONOutputs parses the output of all commands with --output json.
func checkJSONOutputs(t *testing.T, c *cluster, vms []string) {
	var status []admin.Status
	var classes []admin.ClassStatus
	var groups []admin.Group
	var list []admin.VM
	var report burn.Report
	var doc clusterconfig.Document
	var history []clusterconfig.Document
	var version map[string]string
	for name, out := range map[string]any{
		"status": &status, "classes": &classes, "groups": &groups, "vms": &list, "burn": &report, "config show": &doc,
		"config history": &history, "version": &version, "config validate " + c.writeDocument("valid"): &doc,
	} {
		res := c.ctl(vms, append([]string{"--output", "json"}, strings.Fields(name)...)...)
		require.Equal(t, 0, res.exitCode, "%s: %s", name, res.stderr)
		require.NoError(t, json.Unmarshal([]byte(res.stdout), out), "%s: %s", name, res.stdout)
	}
	require.Len(t, status, 7)
	require.Len(t, classes, 7)
	require.Len(t, groups, 1)
	require.Len(t, list, 7)
	require.Len(t, report.Answered, 7)
	require.NotEmpty(t, history)
}

// checkSettings runs sycamorehubd --check on valid settings and on settings with a misspelt key.
func checkSettings(t *testing.T, c *cluster) {
	file := filepath.Join(c.Dir, "kurume-yard-1.json")
	out, err := exec.Command(filepath.Join(binDir, "sycamorehubd"), "--settings", file, "--check").CombinedOutput()
	require.NoError(t, err, "%s", out)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	file += ".bad"
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(text), `"region"`, `"regoin"`, 1)), 0o600))
	out, err = exec.Command(filepath.Join(binDir, "sycamorehubd"), "--settings", file, "--check").CombinedOutput()
	require.Error(t, err)
	require.Regexp(t, `line \d+: unknown key "regoin"; the nearest known key is "region"`, string(out))
}

// TestDrainCommand covers the planned stop of a daemon by an operator: `drain` stops one daemon, its members move to
// other VMs, requests go on without a failure, and `burn` and `status` name the VM that does not answer.
func TestDrainCommand(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	ownersSeenBy := func(via string) map[string]string {
		res := c.ctl([]string{via}, "-o", "json", "groups")
		require.Equal(t, 0, res.exitCode, res.stderr)
		var groups []admin.Group
		require.NoError(t, json.Unmarshal([]byte(res.stdout), &groups))
		out := map[string]string{}
		for _, m := range groups[0].Members {
			out[m.Name] = m.Owner
		}
		return out
	}
	primary, _ := c.primary()
	drained := ownersSeenBy("yukuhashi-depot-1")[primary.Name]
	others := c.vmsExcept(drained)
	orderWriter := c.startWriter(others[0], "stays")
	c.requireServed([]*writer{orderWriter}, time.Now(), "before the drain")

	res := c.ctl(others[:1], "drain", drained)
	require.Equal(t, 0, res.exitCode, res.stderr)
	require.Contains(t, res.stderr, drained+" is draining")
	daemon := c.Daemon(drained)
	eventually(t, func() bool { return !daemon.Alive() }, drainStopBound, pollInterval)
	eventually(t, func() bool {
		for _, owner := range ownersSeenBy(others[1]) {
			if owner == drained || owner == "" {
				return false
			}
		}
		return true
	}, configInForceBound, pollInterval, "the members of the drained VM did not move to other VMs")
	c.requireServed([]*writer{orderWriter}, time.Now(), "after the drain")
	for _, o := range orderWriter.stop() {
		requireSucceeded(t, o.err, nil, "the drain cut a request off")
	}

	res = c.ctl(others[:1], "status")
	require.True(t, res.exitCode == 0 && anyLineContains(res.stdout, drained, "no answer"), res.stdout)
	page := filepath.Join(c.Dir, "burn.html")
	res = c.ctl(others[:1], "burn", "--html", page)
	require.Equal(t, 0, res.exitCode, res.stderr)
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), drained)
	res = c.ctl(others[:1], "burn")
	require.Contains(t, res.stdout, "No answer from "+drained+":")
	require.Contains(t, res.stdout, "order")
}
