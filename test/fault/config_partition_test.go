package fault

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
)

// startLookupReader reads through a VM in the class lookup until the end of the test, and returns the counter of reads
// that were served.
func (c *cluster) startLookupReader(vm string) *atomic.Int64 {
	servedReads := &atomic.Int64{}
	stop, done := make(chan struct{}), make(chan struct{})
	c.t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		var conn *pgx.Conn
		for {
			select {
			case <-stop:
				if conn != nil {
					_ = conn.Close(c.t.Context())
				}
				return
			case <-time.After(requestPause):
			}
			if conn == nil || conn.IsClosed() {
				var err error
				if conn, err = c.connect(c.t.Context(), vm, "lookup", nil); err != nil {
					conn = nil
					continue
				}
			}
			if conn.QueryRow(c.t.Context(), "SELECT member_name()").Scan(new(string)) == nil {
				servedReads.Add(1)
			}
		}
	}()
	return servedReads
}

// isReady reports whether the VM's daemon answers that it is ready to serve.
func (c *cluster) isReady(vm string) bool {
	vmEntry, err := c.VM(vm)
	require.NoError(c.t, err)
	resp, err := statusClient.Get("http://" + vmEntry.AdminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// killAndStart kills the daemon of a VM and starts it again. It does not wait until the daemon is ready.
func (c *cluster) killAndStart(vm string) {
	c.t.Helper()
	c.Daemon(vm).Kill()
	require.NoError(c.t, c.StartDaemon(vm))
}

// TestConfigCutOffDataCentre covers a partition: versions are accepted while a data centre is cut off from the others
// and from the store. The data centre keeps its version and serves reads, and `config wait` names its VMs. After the
// data centre is connected again, the newest version is in force there within the bound.
func TestConfigCutOffDataCentre(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre()
	const dc = "omuta-annex"
	connected := []string{"kurume-yard-1", "kurume-yard-2", "kurume-yard-3", "yukuhashi-depot-1", "yukuhashi-depot-2"}
	servedReads := c.startLookupReader(c.vmIn(dc))
	eventually(t, func() bool { return servedReads.Load() > 3 }, primaryChangeBound, pollInterval)

	c.network.Isolate(dc)
	isolatedAt := time.Now()
	servedBefore := servedReads.Load()
	for v := range uint64(2) {
		versions.waitInForce(v+2, c.applyNextVersion("kurume-yard-1", v+1), connected...)
	}
	eventually(t, func() bool { return servedReads.Load() > servedBefore+10 }, configInForceBound, pollInterval, "no read was served in the cut-off data centre")
	res := c.ctl([]string{"kurume-yard-1"}, "config", "wait", "--timeout", "1s", "3")
	require.Equal(t, 5, res.exitCode, res.stderr)
	for _, vm := range c.vmsIn(dc) {
		require.Contains(t, res.stderr, vm+" (version 1)")
		require.EqualValues(t, 1, versions.version(vm), "the data centre is not cut off")
	}
	require.NotContains(timingChecks(t), res.stderr, "kurume-yard") // a VM that answers late is named as well
	c.requireServed([]*writer{writers[0], writers[2]}, isolatedAt, "outside the cut-off data centre")

	rejoinedAt := time.Now()
	c.network.Rejoin(dc)
	t.Logf("version in force in %s %v after it was connected again", dc, versions.waitInForce(3, rejoinedAt, c.vmsIn(dc)...))
	c.requireVersionServed(3, c.vmsIn(dc)...)
	c.requireServed(writers, time.Now(), "after the data centre was connected again")
}

// TestConfigOldPeersAround covers restarts while the store is down and some peers have an older version. A data centre
// that was cut off still has the old version; a daemon that starts there becomes ready with it. When the data centre is
// connected again, with the store still down, the newest version is in force there within the bound, and daemons that
// have the newest version keep it over a restart.
func TestConfigOldPeersAround(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	const dc = "yukuhashi-depot"
	connected := []string{"kurume-yard-1", "kurume-yard-2", "kurume-yard-3", "omuta-annex-1", "omuta-annex-2"}
	c.network.Isolate(dc)
	versions.waitInForce(2, c.applyNextVersion("kurume-yard-1", 1), connected...)
	c.setStoreFaults(eplatform.Faults{StoreOutage: true})
	c.network.Link(dc, "store").Heal() // the lists can be read there, but not the table with the configuration
	c.network.Link("store", dc).Heal()

	c.killAndStart("yukuhashi-depot-1")
	eventually(t, func() bool { return c.isReady("yukuhashi-depot-1") }, primaryChangeBound, pollInterval)
	require.EqualValues(t, 1, versions.version("yukuhashi-depot-1"), "the data centre is not cut off")

	rejoinedAt := time.Now()
	c.network.Rejoin(dc)
	c.killAndStart("kurume-yard-1") // while peers with the old version return
	t.Logf("version in force in %s %v after it was connected again", dc, versions.waitInForce(2, rejoinedAt, c.vmsIn(dc)...))
	require.NoError(t, c.WaitReady(t.Context(), "kurume-yard-1"))
	for _, vm := range []string{"yukuhashi-depot-2", "omuta-annex-1"} {
		c.killAndStart(vm)
		require.NoError(t, c.WaitReady(t.Context(), vm))
	}
	c.requireVersionServed(2, append(c.vmsIn(dc), "kurume-yard-1", "omuta-annex-1")...)
}

// TestConfigFrozenDaemon covers a paused daemon: it is frozen while newer versions are accepted, then resumed. It
// adopts the newest version within the bound and shows no older one than before. With the store down, a daemon of its
// data centre that restarts meanwhile takes the newest version, not that of the frozen daemon.
func TestConfigFrozenDaemon(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre()
	const frozen = "kurume-yard-2"
	require.NoError(t, c.Daemon(frozen).Freeze())
	for v := range uint64(2) {
		versions.waitInForce(v+2, c.applyNextVersion("omuta-annex-1", v+1), c.vmsExcept(frozen)...)
	}
	res := c.ctl([]string{"kurume-yard-1"}, "config", "wait", "--timeout", "1s", "3")
	require.Equal(t, 5, res.exitCode, res.stderr)
	require.Contains(t, res.stderr, frozen+" (no answer)")
	c.requireServed(writers, time.Now(), "while a daemon was frozen")

	c.setStoreFaults(eplatform.Faults{StoreOutage: true})
	c.killAndStart("kurume-yard-1")
	resumedAt := time.Now()
	require.NoError(t, c.Daemon(frozen).Resume())
	versions.waitInForce(3, resumedAt, frozen)
	require.NoError(t, c.WaitReady(t.Context(), "kurume-yard-1"))
	c.requireVersionServed(3, frozen, "kurume-yard-1")
	c.requireServed(writers, time.Now(), "after the daemon was resumed")
}

// TestStartWithStoreDown covers a daemon that starts while the store is down. It becomes ready if a majority of the
// other VMs of its data centre answers. Without them it is not ready and serves no callers, until the store is back.
func TestStartWithStoreDown(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	versions.waitInForce(2, c.applyNextVersion("kurume-yard-1", 1))
	c.setStoreFaults(eplatform.Faults{StoreOutage: true, Silent: true})

	c.killAndStart("kurume-yard-3")
	require.NoError(t, c.WaitReady(t.Context(), "kurume-yard-3"))
	c.requireVersionServed(2, "kurume-yard-3")

	c.Daemon("omuta-annex-2").Kill()
	c.killAndStart("omuta-annex-1") // the only other VM of its data centre is listed and doesn't answer
	eventually(t, func() bool {
		res := c.ctl([]string{"omuta-annex-1"}, "status")
		return res.exitCode == 0 && anyLineContains(res.stdout, "omuta-annex-1", "not ready: configuration")
	}, primaryChangeBound, pollInterval)
	require.Never(t, func() bool { return c.isReady("omuta-annex-1") }, 2*time.Second, 100*time.Millisecond)
	_, err := c.connect(t.Context(), "omuta-annex-1", "order", nil)
	require.Equal(t, "57P03", sqlState(err), "%v", err) // codeCannotConnectNow

	storeBackAt := time.Now()
	c.setStoreFaults(eplatform.Faults{})
	require.NoError(t, c.WaitReady(t.Context(), "omuta-annex-1"))
	require.LessOrEqual(timingChecks(t), time.Since(storeBackAt), configInForceBound)
	c.requireVersionServed(2, "omuta-annex-1")
}

// TestStartWithPlatformDown covers a daemon that starts while neither the store nor the lists answer. It gets the lists
// from a peer and the configuration from a majority of its data centre, serves callers, and serves the members that it
// owns to the callers of other VMs.
func TestStartWithPlatformDown(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	versions.waitInForce(2, c.applyNextVersion("kurume-yard-1", 1))
	primary, _ := c.primary()
	restarted := c.ownerOf(primary)
	c.setStoreFaults(eplatform.Faults{StoreOutage: true, ListOutage: true, Silent: true})

	c.killAndStart(restarted)
	require.NoError(t, c.WaitReady(t.Context(), restarted))
	c.requireVersionServed(2, restarted)
	c.requireServed(c.startWritersOf("order", c.vmsExcept(restarted)), time.Now(), "by the restarted owner of the primary")
}

// TestConfigDaemonKilledDuringApply covers lost answers to the operator: the daemon that applies a version is killed at
// a random moment. sycamorehubctl finds the outcome by reading back through another daemon, or reports that it is
// unknown; repeating the operation then succeeds. Either way there is exactly one new version.
func TestConfigDaemonKilledDuringApply(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre()
	random := randomStream(seedFromName(t), 0)
	const (
		victim, other = "kurume-yard-1", "omuta-annex-1"
		storeDelay    = 150 * time.Millisecond // reading the row takes 2 such delays, writing it 2 more
	)
	exitCodes := map[int]int{}
	for i, killAfter := range []int64{random.Int64N(3 * int64(storeDelay)), 3*int64(storeDelay) + random.Int64N(int64(storeDelay))} {
		i := uint64(i)
		before, _ := c.storedConfig()
		c.setStoreFaults(eplatform.Faults{Latency: toMs(storeDelay), AnswerLatency: toMs(storeDelay)})
		operation := fmt.Sprintf("killed-%d", i)
		args := []string{"config", "apply", "--if-version", fmt.Sprint(i + 1), "--operation-id", operation, c.writeDocument(addedClassName(i + 2))}
		done := make(chan ctlResult)
		go func() { done <- c.ctl([]string{victim, other}, args...) }()
		time.Sleep(time.Duration(killAfter))
		c.Daemon(victim).Kill()
		res := <-done
		c.setStoreFaults(eplatform.Faults{})
		exitCodes[res.exitCode]++
		if res.exitCode == 6 {
			require.Contains(t, res.stderr, operation)
			res = c.ctl([]string{other}, args...)
		}
		require.Equal(t, 0, res.exitCode, res.stderr)
		versions.waitInForce(i+2, time.Now(), c.vmsExcept(victim)...)
		after, doc := c.storedConfig()
		require.Equal(t, operation, doc.OperationID)
		require.Equal(t, before.Version+1, after.Version, "the operation did not write the row exactly once")
		require.NoError(t, c.StartDaemon(victim))
		require.NoError(t, c.WaitReady(t.Context(), victim))
	}
	c.requireServed(writers, time.Now(), "after the kills")
	t.Logf("exit codes of the first attempts: %v", exitCodes)
}

// TestStoreRateAfterOutage covers the rate of reads from the store around an outage: when the store is back, daemons
// read the row no more often than in steady state. In steady state two readers per data centre leave at least 0.9 s
// between reads. While the store is down a reader retries after at least 0.1, 0.2, 0.4 and 0.8 s, so at most four times
// in a second.
func TestStoreRateAfterOutage(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre()
	const maxReaders, maxReadsPerSecond, maxRetriesPerSecond = 6, 2, 4
	type sampledReads struct {
		at    time.Time // time just before the counter was read
		reads uint64
	}
	// maxReadsInSecond returns the highest number of reads in a window of at most a second. The time that reading the
	// counter takes counts towards the window.
	maxReadsInSecond := func(d time.Duration) (most uint64) {
		var recent []sampledReads
		const interval = 100 * time.Millisecond
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
			at := time.Now()
			total := c.storeCounters().Reads.Total
			now := time.Now()
			recent = slices.DeleteFunc(recent, func(earlier sampledReads) bool { return now.Sub(earlier.at) > time.Second })
			if len(recent) > 0 {
				most = max(most, total-recent[0].reads)
			}
			recent = append(recent, sampledReads{at, total})
		}
		return most
	}
	writesBefore := c.storeCounters().Writes.Total
	steady := maxReadsInSecond(3 * time.Second)
	begin := time.Now()
	c.setStoreFaults(eplatform.Faults{StoreOutage: true})
	during := maxReadsInSecond(4 * time.Second)
	c.requireServed(writers, begin, "while the store was down")
	c.setStoreFaults(eplatform.Faults{})
	after := maxReadsInSecond(4 * time.Second)
	t.Logf("most reads in a second: %d before, %d during the outage, %d after it", steady, during, after)
	require.LessOrEqual(t, steady, uint64(maxReaders*maxReadsPerSecond))
	require.LessOrEqual(t, during, uint64(maxReaders*maxRetriesPerSecond))
	require.LessOrEqual(t, after, uint64(maxReaders*maxReadsPerSecond))
	require.Equal(t, writesBefore, c.storeCounters().Writes.Total, "daemons wrote to the store without a change by an operator")
	versions.waitInForce(2, c.applyNextVersion("kurume-yard-1", 1))
}

// TestConfigKeptThroughCombinedFailures covers a partition, frozen daemons and a store outage together. A data centre
// is cut off from the others, and all its daemons but one are frozen while a version is accepted. Then the store goes
// down, and the one daemon that has the version restarts among the resumed ones. It must not serve the older version.
func TestConfigKeptThroughCombinedFailures(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	const restarted = "kurume-yard-1"
	frozen := []string{"kurume-yard-2", "kurume-yard-3"}
	versions.waitInForce(1, time.Now())
	for _, dc := range []string{"omuta-annex", "yukuhashi-depot"} {
		c.network.Link("kurume-yard", dc).Cut()
		c.network.Link(dc, "kurume-yard").Cut()
	}
	for _, vm := range frozen {
		require.NoError(t, c.Daemon(vm).Freeze())
	}
	versions.waitInForce(2, c.applyNextVersion(restarted, 1), restarted)
	c.setStoreFaults(eplatform.Faults{StoreOutage: true})
	c.Daemon(restarted).Kill()
	for _, vm := range frozen {
		require.NoError(t, c.Daemon(vm).Resume())
	}
	require.NoError(t, c.StartDaemon(restarted))
	time.Sleep(configInForceBound) // watchVersions fails the test if the older version comes into force
}
