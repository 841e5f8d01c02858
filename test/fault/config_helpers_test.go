package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	configInForceBound = 3 * time.Second // until an accepted version is in force on every VM
	pollInterval       = 20 * time.Millisecond
	statusTimeout      = time.Second
)

// ctlResult is what one run of sycamorehubctl gave.
type ctlResult struct {
	exitCode       int
	stdout, stderr string
	duration       time.Duration
}

// ctl runs sycamorehubctl against the daemons of the given VMs, which it tries in this order.
func (c *cluster) ctl(vms []string, args ...string) ctlResult {
	var servers []string
	for _, name := range vms {
		vm, err := c.VM(name)
		require.NoError(c.t, err)
		servers = append(servers, "--server", vm.AdminAddr)
	}
	cmd := exec.Command(filepath.Join(binDir, "sycamorehubctl"), append(servers, args...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	begin := time.Now()
	err := cmd.Run()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		c.t.Errorf("sycamorehubctl: %v", err)
	}
	return ctlResult{cmd.ProcessState.ExitCode(), stdout.String(), stderr.String(), time.Since(begin)}
}

// writeDocument writes the example configuration with one more class to a file and returns its path. Each of
// extraLatencies is added to the target of every class.
func (c *cluster) writeDocument(class string, extraLatencies ...time.Duration) string {
	doc, err := clusterconfig.Parse(examples.Kitakata)
	require.NoError(c.t, err)
	addedClass := doc.Classes[0]
	addedClass.Name = class
	doc.Classes = append(doc.Classes, addedClass)
	for _, d := range extraLatencies {
		for i := range doc.Classes {
			doc.Classes[i].Target.Latency += clusterconfig.Duration(d)
		}
	}
	raw, err := json.Marshal(doc)
	require.NoError(c.t, err)
	path := filepath.Join(c.Dir, class+".config.json")
	require.NoError(c.t, os.WriteFile(path, raw, 0o600))
	return path
}

// applyNextVersion applies the version after base through the VM. It returns the time at which sycamorehubctl had
// reported that the version is accepted.
func (c *cluster) applyNextVersion(vm string, base uint64) time.Time {
	c.t.Helper()
	res := c.ctl([]string{vm}, "config", "apply", "--if-version", fmt.Sprint(base), c.writeDocument(addedClassName(base+1)))
	require.Equal(c.t, 0, res.exitCode, res.stderr)
	return time.Now()
}

// addedClassName returns the name of the class that only the given version adds.
func addedClassName(version uint64) string { return fmt.Sprintf("added-%d", version) }

// storedConfig returns the row in the store and the document in it, read past all network faults.
func (c *cluster) storedConfig() (platform.Row, *clusterconfig.Document) {
	c.t.Helper()
	row, err := c.PlatformClient().Get(context.Background(), configsync.RowKey)
	require.NoError(c.t, err)
	doc, err := clusterconfig.Parse(row.Value)
	require.NoError(c.t, err)
	return row, doc
}

func (c *cluster) platformURL(path string) string { return "http://" + c.Topology.PlatformAddr + path }

// setStoreFaults does the same as setPlatformFaults. The configuration tests use it, nearly always for faults of the store
// alone, since the store holds the configuration.
func (c *cluster) setStoreFaults(f eplatform.Faults) {
	c.t.Helper()
	c.requestJSON(http.MethodPut, c.platformURL(eplatform.PathFaults), f, nil)
}

func (c *cluster) storeCounters() eplatform.Counters {
	c.t.Helper()
	var counters eplatform.Counters
	c.requestJSON(http.MethodGet, c.platformURL(eplatform.PathCounters), nil, &counters)
	return counters
}

var statusClient = &http.Client{Timeout: statusTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

func getJSON(url string, out any) error {
	resp, err := statusClient.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// versionWatch records which version of the configuration is in force on every VM.
type versionWatch struct {
	cluster *cluster

	mu        sync.Mutex
	highest   map[string]uint64               // highest version seen on a VM, also before its daemon restarted
	firstSeen map[string]map[uint64]time.Time // time at which a VM first showed this version or a higher one
	decreases []string
	polls     int
}

// watchVersions polls all VMs until the end of the test. It fails the test if a VM ever shows a lower version than
// before, also after a restart. Version 0 is ignored: the daemon is not ready and serves no callers.
func (c *cluster) watchVersions() *versionWatch {
	w := &versionWatch{cluster: c, highest: map[string]uint64{}, firstSeen: map[string]map[uint64]time.Time{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, vm := range c.Topology.VMs {
		w.firstSeen[vm.Name] = map[uint64]time.Time{}
		wg.Go(func() {
			tick := time.NewTicker(pollInterval)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				var status admin.Status
				if getJSON("http://"+vm.AdminAddr+"/v1/status", &status) == nil {
					w.record(vm.Name, status.ConfigVersion)
				}
			}
		})
	}
	c.t.Cleanup(func() {
		close(stop)
		wg.Wait()
		if len(w.decreases) > 0 {
			c.t.Errorf("the configuration went back to older versions: %v", w.decreases)
		}
		c.t.Logf("polled the version in force %d times", w.polls)
	})
	return w
}

// record notes the version that a VM shows.
func (w *versionWatch) record(vm string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if version == 0 {
		return
	}
	if version < w.highest[vm] {
		w.decreases = append(w.decreases, fmt.Sprintf("%s from %d to %d", vm, w.highest[vm], version))
	}
	for v := w.highest[vm] + 1; v <= version; v++ {
		w.firstSeen[vm][v] = time.Now()
	}
	w.highest[vm] = max(w.highest[vm], version)
}

// version returns the highest version seen on a VM.
func (w *versionWatch) version(vm string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest[vm]
}

// waitInForce waits until the version is in force on the given VMs, or on all if none is given, and returns the longest
// time that this took since begin. timingChecks checks that time against the bound.
func (w *versionWatch) waitInForce(version uint64, begin time.Time, vms ...string) time.Duration {
	w.cluster.t.Helper()
	if len(vms) == 0 {
		for _, vm := range w.cluster.Topology.VMs {
			vms = append(vms, vm.Name)
		}
	}
	var longest time.Duration
	for _, vm := range vms {
		// The time that is checked ends when the watch saw the version, not when this wait noticed it.
		require.Eventually(w.cluster.t, func() bool { return w.version(vm) >= version }, livenessTimeout, pollInterval/2,
			"version %d is not in force on %s", version, vm)
		w.mu.Lock()
		took := w.firstSeen[vm][version].Sub(begin)
		w.mu.Unlock()
		require.LessOrEqual(timingChecks(w.cluster.t), took, configInForceBound, "version %d was in force too late on %s", version, vm)
		longest = max(longest, took)
	}
	return longest
}

// vmsIn returns the names of the entry VMs of a data centre.
func (c *cluster) vmsIn(dc string) []string {
	var out []string
	for _, vm := range c.Topology.VMs {
		if vm.DataCentre == dc {
			out = append(out, vm.Name)
		}
	}
	return out
}

// startWriterPerDataCentre starts a writer through the last entry VM of each data centre, and waits until each had
// writes acknowledged.
func (c *cluster) startWriterPerDataCentre() []*writer {
	var out []*writer
	for i, dc := range []string{"kurume-yard", "omuta-annex", "yukuhashi-depot"} {
		vms := c.vmsIn(dc)
		out = append(out, c.startWriter(vms[len(vms)-1], fmt.Sprintf("w%d", i)))
	}
	c.requireServed(out, time.Now(), "before the failure")
	return out
}

// requireServed waits until each writer had several writes acknowledged after begin. when completes the message of a
// failure.
func (c *cluster) requireServed(writers []*writer, begin time.Time, when string) {
	c.t.Helper()
	for _, w := range writers {
		eventually(c.t, func() bool { return w.countAcknowledgedSince(begin) > 3 }, primaryChangeBound, pollInterval,
			"no write through %s was acknowledged %s", w.vm, when)
	}
}

// requireVersionServed connects to each VM in the class that only the given version has, which shows that the VM serves
// callers by this version.
func (c *cluster) requireVersionServed(version uint64, vms ...string) {
	c.t.Helper()
	for _, vm := range vms {
		conn := c.mustConnect(vm, addedClassName(version), nil)
		require.NoError(c.t, conn.QueryRow(context.Background(), "SELECT member_name()").Scan(new(string)))
	}
}

func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}

// anyLineContains reports whether one line of the text contains all of the parts.
func anyLineContains(text string, parts ...string) bool {
	for line := range strings.Lines(text) {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
			return true
		}
	}
	return false
}
