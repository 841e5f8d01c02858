package fault

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

func toMs(d time.Duration) topology.Ms { return topology.Ms(d) }

// TestConfigInForce covers the configuration without a failure: ten versions are each in force on every VM within the
// bound, which counts from the start of the command. It guards against versions that only some daemons adopt.
func TestConfigInForce(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	versions.waitInForce(1, time.Now())
	const changes = 10
	vms := c.Topology.VMs
	var durations []time.Duration
	for i := range uint64(changes) {
		begin := time.Now()
		c.applyNextVersion(vms[int(i)%len(vms)].Name, i+1)
		durations = append(durations, versions.waitInForce(i+2, begin))
	}
	for _, vm := range vms {
		c.requireVersionServed(changes+1, vm.Name)
	}
	longest := time.Duration(0)
	for _, d := range durations {
		longest = max(longest, d)
	}
	t.Logf("time from the command until a version was in force on all VMs: median %v, longest %v", median(durations), longest)
}

// TestConfigSpreadsWithoutStore covers a store outage right after a version was accepted, when only the data centre
// that accepted it ever reached the store. Its daemons pass the version on to their peers, and requests are served
// meanwhile.
func TestConfigSpreadsWithoutStore(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre()
	for _, dc := range []string{"omuta-annex", "yukuhashi-depot"} {
		c.network.Link(dc, "store").Cut()
	}
	acceptedAt := c.applyNextVersion("kurume-yard-1", 1)
	c.setStoreFaults(eplatform.Faults{StoreOutage: true, Silent: true})
	t.Logf("version in force on all VMs after %v", versions.waitInForce(2, acceptedAt))
	c.requireVersionServed(2, "omuta-annex-1", "yukuhashi-depot-2")
	c.requireServed(writers, time.Now(), "while the store was down")
}

// TestConfigStoreSlow covers a slow store: if it answers after 800 ms, a change is accepted. If requests take longer
// than any timeout, the change is accepted once the store recovers. Each operation makes exactly one version.
func TestConfigStoreSlow(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre()
	before, _ := c.storedConfig()

	c.setStoreFaults(eplatform.Faults{Latency: toMs(500 * time.Millisecond), AnswerLatency: toMs(300 * time.Millisecond)})
	slowSince := time.Now()
	versions.waitInForce(2, c.applyNextVersion("omuta-annex-1", 1))
	c.requireServed(writers, slowSince, "while the store was slow")

	c.setStoreFaults(eplatform.Faults{Latency: toMs(10 * time.Second)})
	done := make(chan ctlResult)
	go func() {
		done <- c.ctl([]string{"kurume-yard-1"}, "config", "apply", "--if-version", "2", "--operation-id", "slow", c.writeDocument(addedClassName(3)))
	}()
	select {
	case res := <-done:
		t.Fatalf("the command ended while the store did not answer: exit code %d, %s", res.exitCode, res.stderr)
	case <-time.After(3 * time.Second):
	}
	c.setStoreFaults(eplatform.Faults{})
	res := <-done
	require.Equal(t, 0, res.exitCode, res.stderr)
	versions.waitInForce(3, time.Now())
	after, doc := c.storedConfig()
	require.Equal(t, "slow", doc.OperationID)
	require.Equal(t, before.Version+2, after.Version, "the two operations did not write the row exactly once each")
	c.requireServed(writers, slowSince, "after the store recovered")
}

// TestConfigAnswerLost covers lost answers of the store: the write of the row takes effect and its answer is lost, or
// arrives after the daemon stopped waiting. The daemon finds the outcome by reading the row back: the operator is told
// of success, and the row has exactly one new version.
func TestConfigAnswerLost(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre()
	for i, faults := range []eplatform.Faults{
		{DropAnswers: 1},
		{DropAnswers: eplatform.DropAll},
		{AnswerLatency: toMs(2500 * time.Millisecond)}, // longer than the 2 s that a daemon waits
	} {
		base, operation := uint64(i+1), fmt.Sprintf("lost-%d", i)
		before, _ := c.storedConfig()
		c.setStoreFaults(faults)
		done := make(chan ctlResult)
		go func() {
			done <- c.ctl([]string{"yukuhashi-depot-1"}, "config", "apply", "--if-version", fmt.Sprint(base),
				"--operation-id", operation, c.writeDocument(addedClassName(base+1)))
		}()
		if faults.AnswerLatency > 0 {
			time.Sleep(4 * time.Second) // reads time out as well, so the outcome stays open until the store recovers
			c.setStoreFaults(eplatform.Faults{})
		}
		res := <-done
		require.Equal(t, 0, res.exitCode, res.stderr)
		c.setStoreFaults(eplatform.Faults{})
		versions.waitInForce(base+1, time.Now())
		after, doc := c.storedConfig()
		require.Equal(t, operation, doc.OperationID)
		require.Equal(t, before.Version+1, after.Version, "the operation did not write the row exactly once")
		require.Equal(t, base+1, doc.Version)
	}
	c.requireServed(writers, time.Now(), "after lost answers")
}

// TestConfigTwoOperators covers two operators who change the same version at once through daemons of different data
// centres. One succeeds; the other gets exit code 3 and sees the first one's operation and change.
func TestConfigTwoOperators(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	random := randomStream(seedFromName(t), 0)
	const (
		raceCount    = 20
		maxHeadStart = 60 // ms; more than the two round trips to the store of the farther operator, 48 ms
	)
	vms := [2]string{"kurume-yard-2", "yukuhashi-depot-1"}
	wins := [2]int{}
	for i := range raceCount {
		headStart := time.Duration(random.IntN(maxHeadStart)) * time.Millisecond
		wins[c.raceOperators(uint64(i+1), headStart, vms)]++
	}
	versions.waitInForce(raceCount+1, time.Now())
	require.NotZero(timingChecks(t), min(wins[0], wins[1]), "one operator won every race, so a win of the other was not tested")
	t.Logf("%d races, wins by operator: %v", raceCount, wins)
}

// raceOperators lets two operators change the version base at once and returns the index of the winner. The second
// operator starts headStart before the first. The loser gets exit code 3 and sees the winner's operation and change.
func (c *cluster) raceOperators(base uint64, headStart time.Duration, vms [2]string) (winner int) {
	t := c.t
	var files, operations [2]string
	for j := range vms {
		operations[j] = fmt.Sprintf("race-%d-%d", base, j)
		files[j] = c.writeDocument(operations[j], time.Duration(j+1)*10*time.Millisecond)
	}
	done := [2]chan ctlResult{make(chan ctlResult, 1), make(chan ctlResult, 1)}
	for j, vm := range vms {
		go func() {
			if j == 0 {
				time.Sleep(headStart) // this operator's daemon is nearer to the store
			}
			done[j] <- c.ctl([]string{vm}, "config", "apply", "--if-version", fmt.Sprint(base), "--operation-id", operations[j], files[j])
		}()
	}
	results := [2]ctlResult{<-done[0], <-done[1]}
	if results[0].exitCode != 0 {
		winner = 1
	}
	loser := 1 - winner
	require.Equal(t, 0, results[winner].exitCode, "both operators failed: %v", results)
	require.Equal(t, 3, results[loser].exitCode, results[loser].stderr)
	require.Contains(t, results[loser].stderr, "operation "+operations[winner])
	require.Contains(t, results[loser].stderr, "class "+operations[winner]+": added")
	_, doc := c.storedConfig()
	require.Equal(t, operations[winner], doc.OperationID)
	require.Equal(t, base+1, doc.Version)
	return winner
}

// raceOperatorsUntilEnd lets two operators outside the primary's data centre change the same version of the
// configuration, including the targets of all classes, again and again until the test ends. It returns after the first
// races.
func raceOperatorsUntilEnd(c *cluster, primary platform.Member) {
	var vms []string
	for _, m := range c.replicas(primary) {
		vms = append(vms, c.vmIn(m.DataCentre))
	}
	const minRaces = 3
	var races atomic.Uint64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		repeatUntil(0, stop, func() {
			c.raceOperators(races.Load()+1, 20*time.Millisecond, [2]string(vms))
			races.Add(1)
		})
	}()
	c.t.Cleanup(func() {
		close(stop)
		<-done
		c.t.Logf("%d races of two operators", races.Load())
		require.Greater(c.t, races.Load(), uint64(minRaces), "no race took place during the checks")
	})
	eventually(c.t, func() bool { return races.Load() >= minRaces }, primaryChangeBound, pollInterval, "the operators did not complete the first races")
}

// TestTransactionsOutliveConfigChange covers open transactions while the configuration changes: callers of all entry
// VMs hold one open through many changes. It guards against a daemon that fetches a version from a peer and thereby
// closes the connection over which it began its callers' transactions there.
func TestTransactionsOutliveConfigChange(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	ctx, cancel := callContext(etchDoneDeadline)
	defer cancel()
	open := map[string]*pgx.Conn{}
	for _, vm := range c.vmsExcept() {
		open[vm] = c.mustConnect(vm, "record", nil) // in a batch class only 6 transactions may be open
		require.NoError(t, execAll(ctx, open[vm], "BEGIN", "INSERT INTO orders (key, value) VALUES ('"+vm+"/1', 'plate')"))
	}
	for i, vm := range c.vmsExcept() {
		versions.waitInForce(uint64(i+2), c.applyNextVersion(vm, uint64(i+1)))
	}
	for vm, conn := range open {
		require.NoError(t, execAll(ctx, conn, "INSERT INTO orders (key, value) VALUES ('"+vm+"/2', 'plate')", "COMMIT"), "transaction through %s did not outlive the changes", vm)
	}
	rows := c.storedKeys()
	for vm := range open {
		require.True(t, rows[vm+"/1"] && rows[vm+"/2"], "transaction through %s was committed in part", vm)
	}
}
