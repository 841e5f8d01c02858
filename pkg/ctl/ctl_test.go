package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/burn"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
)

const validDocument = `{"default": "order", "classes": [{"name": "order", "rank": "urgent", "access": "write",
  "target": {"latency": "250ms", "reliability": 0.99}}]}`

// cluster is a set of daemons that share one stored configuration.
type cluster struct {
	mu         sync.Mutex
	history    []*clusterconfig.Document // newest first
	vms        []admin.VM
	drained    []string
	lostAnswer string // "before" loses the change, "after" applies it and loses the answer, "" loses nothing
}

// daemon is the daemon of one VM of the cluster.
type daemon struct {
	teams   []admin.TeamStatus
	ignored []string
	refused string
	*cluster
	name    string
	version uint64 // installed version; 0 means the stored one
	burn    *burn.Recorder
	failed  *requestlog.Log
}

func (d *daemon) Installed() *clusterconfig.Document {
	doc, _ := d.Stored(context.Background())
	return doc
}

func (d *daemon) Stored(context.Context) (*clusterconfig.Document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.history) == 0 {
		return nil, nil
	}
	return d.history[0], nil
}

func (d *daemon) History(context.Context, int) ([]*clusterconfig.Document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history, nil
}

func (d *daemon) Apply(_ context.Context, c admin.Change) (*clusterconfig.Document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostAnswer == "before" {
		return nil, errkind.New(errkind.StoreOutcomeUnknown, "no answer")
	}
	version := uint64(0)
	if len(d.history) > 0 {
		version = d.history[0].Version
	}
	if c.IfVersion != version {
		return nil, errkind.New(errkind.ConfigConflict, "the store is at version %d", version)
	}
	doc := *c.Document
	doc.Version, doc.OperationID, doc.Author = version+1, c.OperationID, c.Author
	d.history = append([]*clusterconfig.Document{&doc}, d.history...)
	if d.lostAnswer == "after" {
		panic(http.ErrAbortHandler)
	}
	return &doc, nil
}

func (d *daemon) Status() admin.Status {
	s := admin.Status{VM: d.name, ConfigVersion: d.version, ConfigIgnored: d.ignored, ConfigRefused: d.refused}
	if doc := d.Installed(); doc != nil && d.version == 0 {
		s.ConfigVersion = doc.Version
	}
	return s
}
func (d *daemon) Classes() []admin.ClassStatus      { return nil }
func (d *daemon) Teams() []admin.TeamStatus         { return d.teams }
func (d *daemon) Groups() []admin.Group             { return nil }
func (d *daemon) VMs() []admin.VM                   { return d.vms }
func (d *daemon) Drain()                            { d.drained = append(d.drained, d.name) }
func (d *daemon) Snapshot() (*burn.Snapshot, error) { return d.burn.Snapshot() }
func (c *cluster) addVersion(d *clusterconfig.Document) {
	c.history = append([]*clusterconfig.Document{d}, c.history...)
}
func (c *cluster) latest() *clusterconfig.Document { return c.history[0] }

// unreachableAddr is an address that refuses connections.
const unreachableAddr = "127.0.0.1:1"

func newCluster(t *testing.T, names ...string) (*cluster, []*daemon) {
	c := &cluster{}
	var daemons []*daemon
	for _, name := range names {
		log := logrus.New()
		log.SetOutput(io.Discard)
		d := &daemon{cluster: c, name: name, burn: burn.NewRecorder(name, nil), failed: requestlog.New(log)}
		s := httptest.NewServer(admin.New(admin.Options{Config: d, Cluster: d, Drainer: d, Burn: d, Requests: d.failed, Token: "secret"}).Handler())
		t.Cleanup(s.Close)
		c.vms = append(c.vms, admin.VM{Name: name, AdminAddr: strings.TrimPrefix(s.URL, "http://")})
		daemons = append(daemons, d)
	}
	return c, daemons
}

// run runs the tool against the cluster. The first server in its arguments is unreachable, so each command must try the
// next one.
func (c *cluster) run(t *testing.T, args ...string) (code int, out string) {
	token := writeTempFile(t, "secret\n")
	all := append([]string{"sycamorehubctl", "--server", unreachableAddr, "--server", c.vms[0].AdminAddr, "--token-file", token}, args...)
	var buf bytes.Buffer
	code = Run(context.Background(), all, &buf, &buf)
	return code, buf.String()
}

func writeTempFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func parseDocument(t *testing.T, text string, version uint64, author string) *clusterconfig.Document {
	d, err := clusterconfig.Parse([]byte(text))
	require.NoError(t, err)
	d.Version, d.Author, d.OperationID = version, author, "op-"+author
	return d
}

// Exit codes must be correct, since scripts rely on them, and each error must name a remedy.
func TestExitCodes(t *testing.T) {
	c, _ := newCluster(t, "a")
	for _, args := range [][]string{{"none"}, {"config", "none"}, {"status", "extra"}, {"--output", "xml", "status"}, {"config", "wait", "x"}, {"config", "apply"}, {"help", "none"}} {
		code, out := c.run(t, args...)
		require.Equal(t, ExitUsage, code, "%v %s", args, out)
		require.NotEmpty(t, out, args)
	}
	code, out := c.run(t, "config", "validate", writeTempFile(t, `{"default": "x", "classes": []}`))
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "remedy: correct the configuration")
	code, out = c.run(t, "config", "validate", writeTempFile(t, validDocument))
	require.Equal(t, ExitOK, code, out)
	var buf bytes.Buffer
	code = Run(context.Background(), []string{"sycamorehubctl", "--server", unreachableAddr, "vms"}, &buf, &buf)
	require.Equal(t, ExitNotReachable, code)
	require.Contains(t, buf.String(), "remedy:")
	code = Run(context.Background(), []string{"sycamorehubctl", "--server", c.vms[0].AdminAddr, "vms"}, &buf, &buf)
	require.Equal(t, ExitFailure, code, "a request without a token must be refused")
	for _, args := range [][]string{{"status"}, {"classes"}, {"groups"}, {"vms"}, {"config", "history"}, {"version"}, {"completion", "bash"}} {
		code, out := c.run(t, append([]string{"--output", "json"}, args...)...)
		require.Equal(t, ExitOK, code, "%v: %s", args, out)
		require.NotEmpty(t, out)
	}
}

// A change must not overwrite another operator's change. The conflict must be reported together with that change.
func TestApplyConflictShowsOtherChange(t *testing.T) {
	c, _ := newCluster(t, "a")
	code, out := c.run(t, "config", "apply", writeTempFile(t, validDocument))
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "version 1 accepted")
	other := strings.Replace(validDocument, "250ms", "300ms", 1)
	c.addVersion(parseDocument(t, other, 2, "other"))
	code, out = c.run(t, "config", "apply", "--if-version", "1", writeTempFile(t, validDocument))
	require.Equal(t, ExitConflict, code, out)
	require.Contains(t, out, `class order: target.latency: "250ms" -> "300ms"`)
	require.Contains(t, out, "other changed it")
	require.EqualValues(t, 2, c.latest().Version, "a change that conflicts must not be retried")
}

// After a lost answer, the tool must read the configuration back before it reports success or failure.
func TestApplyLostAnswer(t *testing.T) {
	c, _ := newCluster(t, "a")
	c.lostAnswer = "after"
	code, out := c.run(t, "config", "apply", writeTempFile(t, validDocument))
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "version 1 accepted")
	require.Len(t, c.history, 1, "the change must not be sent twice")

	c.lostAnswer = "before"
	// The version is taken by another change, so ours was certainly not accepted.
	c.addVersion(parseDocument(t, validDocument, 2, "other"))
	code, out = c.run(t, "config", "apply", "--if-version", "1", writeTempFile(t, validDocument))
	require.Equal(t, ExitConflict, code, out)
	code, out = c.run(t, "config", "apply", "--if-version", "2", writeTempFile(t, validDocument))
	require.Equal(t, ExitOutcomeUnknown, code, out)
	require.Contains(t, out, "operation")
}

// The wait must not succeed while a VM has an older version, and a time-out must name that VM.
func TestConfigWait(t *testing.T) {
	c, daemons := newCluster(t, "a", "b")
	c.addVersion(parseDocument(t, validDocument, 3, "me"))
	code, out := c.run(t, "config", "wait", "3")
	require.Equal(t, ExitOK, code, out)
	daemons[1].version = 2
	c.vms = append(c.vms, admin.VM{Name: "c", AdminAddr: unreachableAddr})
	code, out = c.run(t, "config", "wait", "3", "--timeout", "300ms")
	require.Equal(t, ExitTimeout, code, out)
	require.Contains(t, out, "b (version 2), c (no answer)")
}

// A burn report must say which daemons it leaves out, and a drain must reach the VM that was named.
func TestBurnAndDrain(t *testing.T) {
	c, daemons := newCluster(t, "a", "b")
	c.vms = append(c.vms, admin.VM{Name: "c", AdminAddr: unreachableAddr})
	for _, d := range daemons {
		d.burn.Configure([]burn.Class{{Name: "order", Rank: "urgent", Latency: time.Second, Reliability: 0.99}})
		d.burn.Record("order", 0, time.Millisecond, true, burn.CauseOther)
	}
	code, out := c.run(t, "burn")
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "No answer from c")
	require.Regexp(t, `order +urgent +99% in 1s +2 +100%`, out)
	page := writeTempFile(t, "")
	code, out = c.run(t, "burn", "--html", page)
	require.Equal(t, ExitOK, code, out)
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), "<svg")

	code, out = c.run(t, "drain", "b")
	require.Equal(t, ExitOK, code, out)
	require.Equal(t, []string{"b"}, c.drained)
	code, _ = c.run(t, "drain", "none")
	require.Equal(t, ExitFailure, code)
	code, _ = c.run(t, "drain", "c")
	require.Equal(t, ExitNotReachable, code)
}

// explain must show every attempt of a request, whichever VM handled it, in the order of time, and must say so if a VM does not
// answer or no VM knows the request.
func TestExplain(t *testing.T) {
	c, daemons := newCluster(t, "a", "b")
	c.vms = append(c.vms, admin.VM{Name: "c", AdminAddr: unreachableAddr})
	first := time.Now()
	entry := func(request string, at time.Duration, err error) requestlog.Entry {
		return requestlog.Entry{Time: first.Add(at), Request: request, Service: "orders-db.1", Class: "checkout", Took: 7 * time.Millisecond, Err: err}
	}
	daemons[0].failed.Add(entry("5c0e", time.Second, errkind.New(errkind.RequestOutcomeUnknown, "connection was lost")))
	daemons[1].failed.Add(entry("5c0e", 0, errkind.New(errkind.Overload, "predicted wait too long")))
	daemons[1].failed.Add(entry("other", 0, errkind.New(errkind.Overload, "not this one")))
	code, out := c.run(t, "explain", "5c0e")
	require.Equal(t, ExitOK, code, out)
	require.Regexp(t, `(?s)c does not answer.*b +orders-db.1 +checkout +7ms +not run +predicted wait.*a +orders-db.1 +checkout +7ms +unknown +connection was lost`, out)
	require.NotContains(t, out, "not this one")
	code, out = c.run(t, "explain", "none")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, `request "none"`)
}

// The list of teams must add up what all daemons have admitted, and say which daemons are missing. A change of a team must be
// shown without its keys.
func TestTeams(t *testing.T) {
	c, daemons := newCluster(t, "a", "b")
	c.vms = append(c.vms, admin.VM{Name: "c", AdminAddr: unreachableAddr})
	limit := &clusterconfig.RateLimit{PerSecond: 35, Burst: 40}
	daemons[0].teams = []admin.TeamStatus{{Name: "crew", Keys: 2, Limit: limit, Admitted: 3, Refused: 1, Granted: 9}, {Name: "office"}}
	daemons[1].teams = []admin.TeamStatus{{Name: "crew", Keys: 2, Limit: limit, Admitted: 4}}
	code, out := c.run(t, "teams")
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "c does not answer")
	require.Regexp(t, `crew +0 +2 +35 +40 +7 +1 +0 +9 +a`, out)
	require.Regexp(t, `office +0 +0 +- +-`, out)

	from := &clusterconfig.Document{KeysRequired: true, Teams: []clusterconfig.Team{{Name: "crew", Keys: []string{"hash-1", "hash-2"}, Limit: limit}, {Name: "gone"}}}
	to := &clusterconfig.Document{KeysRequired: true, Teams: []clusterconfig.Team{{Name: "crew", Keys: []string{"hash-2", "hash-3"}}, {Name: "new"}}}
	require.Equal(t, []string{"team crew: keys: 1 added, 1 withdrawn", "team crew: limit: 35 a second, burst 40 -> none", "team gone: removed", "team new: added"},
		Diff(from, to))
	require.Equal(t, []string{"keys of teams: required -> not required", "team crew: removed", "team new: removed"}, Diff(to, &clusterconfig.Document{}))
}

// What daemons cannot use of the configuration must be shown, once for all of them.
func TestStatusShowsProblemsOfTheConfiguration(t *testing.T) {
	c, daemons := newCluster(t, "a", "b")
	code, out := c.run(t, "status")
	require.Equal(t, ExitOK, code, out)
	require.NotContains(t, out, "configuration,")
	daemons[0].ignored, daemons[1].ignored = []string{"routes[3]: reason"}, []string{"routes[3]: reason"}
	daemons[1].refused = "routes: no list"
	code, out = c.run(t, "status")
	require.Equal(t, ExitOK, code, out)
	require.Equal(t, 1, strings.Count(out, "configuration, ignored: routes[3]: reason"), out)
	require.Contains(t, out, "configuration, refused by b, which keeps the one before: routes: no list")
}

// A check must send nothing, and its exit status must tell clean documents, findings and unusable documents apart.
func TestConfigCheck(t *testing.T) {
	c, _ := newCluster(t, "a")
	c.addVersion(parseDocument(t, validDocument, 3, "me"))
	code, out := c.run(t, "config", "check", writeTempFile(t, validDocument), "--in-force")
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "nothing found")
	changed := strings.Replace(validDocument, "250ms", "300ms", 1)
	code, out = c.run(t, "config", "check", "--against", writeTempFile(t, validDocument), writeTempFile(t, changed))
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, `class order: target.latency: "250ms" -> "300ms"`)
	odd := strings.Replace(validDocument, `"default"`, `"keysRequired": true, "teams": [{"name": "crew"}], "default"`, 1)
	code, out = c.run(t, "config", "check", writeTempFile(t, odd))
	require.Equal(t, ExitFailure, code, out)
	require.Contains(t, out, "nobody can call as team")
	code, out = c.run(t, "config", "check", writeTempFile(t, `{"defualt": "x"}`))
	require.Equal(t, ExitUsage, code, out)
	require.Contains(t, out, `the nearest known key is "default"`)
	require.Len(t, c.history, 1, "a check must change nothing")
}
