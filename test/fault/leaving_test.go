package fault

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// noNewWorkBound is the time after which a VM or member that is marked as leaving gets no new work.
const noNewWorkBound = 3 * time.Second

// memberReader repeatedly asks which member answers, through one entry VM, and counts the answers.
type memberReader struct {
	reads  int
	errors []error
}

// startMemberReaders starts a reader on each of the entry VMs. Their results may be read once end has returned.
func (c *cluster) startMemberReaders(vms []string) (readers []*memberReader, end func()) {
	run, end := c.startBackground()
	for _, vm := range vms {
		reader, conn := &memberReader{}, c.mustConnect(vm, "lookup", nil)
		readers = append(readers, reader)
		run(func(stop <-chan struct{}) {
			repeatUntil(requestPause, stop, func() {
				ctx, cancel := callContext(livenessTimeout)
				defer cancel()
				if err := conn.QueryRow(ctx, "SELECT member_name()").Scan(new(string)); err != nil {
					reader.errors = append(reader.errors, fmt.Errorf("%s: %w", vm, err))
				} else {
					reader.reads++
				}
			})
		})
	}
	return readers, end
}

// leavingCase is a way to mark an endpoint as leaving, and a failure that occurs meanwhile.
type leavingCase struct {
	name           string
	setUp          func(c *cluster, m platform.Member) // called before callers start
	failure        func(c *cluster, m platform.Member) // injects the failure just before the endpoint is marked
	heal           func(c *cluster, m platform.Member) // ends the failure once noNewWorkBound has passed
	markedInStatus bool                                // the endpoint is marked in its own status instead of the list
	killsVM        bool                                // an entry VM without callers is killed just before that
	writeClass     string                              // class of the writes that are checked; "" is order
	allowedStates  []string                            // SQLSTATEs that the failure may cause
}

var leavingCases = []leavingCase{
	{name: "in the list"},
	{name: "in its status while the list lags", markedInStatus: true, failure: func(c *cluster, _ platform.Member) {
		c.setPlatformFaults(eplatform.Faults{ListLag: topology.Ms(time.Minute)})
	}},
	{name: "in its status while the platform is down", markedInStatus: true, failure: func(c *cluster, _ platform.Member) {
		c.setPlatformFaults(eplatform.Faults{StoreOutage: true, ListOutage: true, Silent: true})
	}},
	{name: "in its status while the platform is slow", markedInStatus: true, failure: slowPlatform},
	{name: "in the list in a flood of batch reads", failure: sequence(startBatchFlood, waitFor(time.Second))},
	// Routine work that would wait too long in a flood of urgent work is refused early.
	{name: "in the list in a flood of urgent work", failure: sequence(startUrgentFlood, waitFor(time.Second)), writeClass: "record",
		allowedStates: []string{codeOverload}},
	{name: "in the list while another replica is far behind", setUp: sequence(pauseOtherReplica, waitFor(lookupMaxAge))},
	{name: "in the list while an entry VM is killed", killsVM: true},
	{name: "in the list while store answers are lost", failure: loseStoreAnswers},
	{name: "in the list while two operators act", failure: raceOperatorsUntilEnd},
	leavingOwnerPaused,
}

// leavingOwnerPaused pauses the owner until the bound has passed. Units that the owner was running then end with an
// unknown outcome for callers of other entry VMs.
var leavingOwnerPaused = leavingCase{name: "in the list while its owner is paused", failure: freezeOwner, heal: resumeOwner,
	allowedStates: []string{codeOutcomeUnknown}}

// waitFor returns a step that waits while a failure goes on.
func waitFor(d time.Duration) func(*cluster, platform.Member) {
	return func(*cluster, platform.Member) { time.Sleep(d) }
}

// pauseOtherReplica lets a replica other than the member receive and apply no entries.
func pauseOtherReplica(c *cluster, m platform.Member) {
	primary, _ := c.primary()
	for _, r := range c.replicas(primary) {
		if r.Name != m.Name {
			c.setMemberFaults(r, emember.Faults{PauseApply: true, PauseReplication: true})
			return
		}
	}
}

// injectAndMark injects the failure and marks the member as leaving. victim is the entry VM that may be killed.
func (l leavingCase) injectAndMark(c *cluster, m platform.Member, victim string) {
	l.inject(c, m, victim)
	if l.markedInStatus {
		c.setMemberFaults(m, emember.Faults{Leaving: true})
		return
	}
	c.requestJSON(http.MethodPut, "http://"+c.Topology.PlatformAddr+eplatform.PathMember+m.Name, eplatform.MemberChange{Leaving: true}, nil)
}

// inject injects the failure and kills victim if the case says so.
func (l leavingCase) inject(c *cluster, m platform.Member, victim string) {
	if l.killsVM {
		c.Daemon(victim).Kill()
	}
	if l.failure != nil {
		l.failure(c, m)
	}
}

// endFailure ends a failure that must not go on after noNewWorkBound.
func (l leavingCase) endFailure(c *cluster, m platform.Member) {
	if l.heal != nil {
		l.heal(c, m)
	}
}

// requireNoNewWork waits until the count of work stays the same for a while, which must happen eventually. timingChecks
// checks that no work began after noNewWorkBound, when the count was countAtBound.
func (c *cluster) requireNoNewWork(countAtBound uint64, countWork func() uint64, msg string) {
	c.t.Helper()
	const quiet = time.Second
	begin := time.Now()
	lastCount, unchangedSince := countWork(), begin
	for ; time.Since(unchangedSince) < quiet; time.Sleep(pollInterval) {
		if count := countWork(); count != lastCount {
			lastCount, unchangedSince = count, time.Now()
		}
		require.Less(c.t, time.Since(begin), livenessTimeout, msg)
	}
	require.Equal(timingChecks(c.t), countAtBound, lastCount, msg)
}

// vmsWithCallers returns the entry VMs that have callers: all but a victim that is killed.
func (l leavingCase) vmsWithCallers(c *cluster, victim string) []string {
	if l.killsVM {
		return c.vmsExcept(victim)
	}
	return c.vmsExcept()
}

// allows reports whether err is nil or the failure may cause it.
func (l leavingCase) allows(err error) bool {
	return err == nil || slices.Contains(l.allowedStates, sqlState(err))
}

// setUpCluster prepares what must be there before callers start.
func (l leavingCase) setUpCluster(c *cluster, m platform.Member) {
	if l.setUp != nil {
		l.setUp(c, m)
	}
}

// otherListReader returns an entry VM of the data centre that reads the lists of VMs and members often, but not the
// excluded one.
func (c *cluster) otherListReader(dc, excluded string) string {
	for _, vm := range ownership.StoreReaders(dc, c.Topology.PlatformVMs()) {
		if vm.Name != excluded {
			return vm.Name
		}
	}
	c.t.Fatalf("no other VM that reads the lists in %s", dc)
	return ""
}

// TestLeavingMemberGetsNoNewWork covers a replica that is marked as leaving in the list, or by its own status while the
// list lags or the platform is down or slow. It is marked without another failure, in floods, while another replica is
// far behind, while an entry VM is killed, while store answers are lost, and while two operators act. Within 3 s no new
// statement from any entry VM runs on the replica. A statement and a transaction that already run there finish, and no
// read fails.
func TestLeavingMemberGetsNoNewWork(t *testing.T) {
	for _, l := range leavingCases {
		if l.name != leavingOwnerPaused.name {
			t.Run(l.name, func(t *testing.T) { t.Parallel(); l.testMember(t) })
		}
	}
}

// TestLeavingWhileOwnerIsPaused covers a leaving member and a leaving entry VM while the owner is paused. When the
// owner wakes after the bound, it must not run the requests that wait in its connections: neither on a leaving member
// nor, as a leaving VM, by itself.
func TestLeavingWhileOwnerIsPaused(t *testing.T) {
	t.Run("member", func(t *testing.T) { t.Parallel(); leavingOwnerPaused.testMember(t) })
	t.Run("entry VM", func(t *testing.T) { t.Parallel(); leavingOwnerPaused.testEntryVM(t) })
}

func (l leavingCase) testMember(t *testing.T) {
	c := start(t, nil)
	primary, _ := c.primary()
	replica := c.replicas(primary)[0]
	l.setUpCluster(c, replica)
	vm, victim := c.vmIn(replica.DataCentre), c.otherListReader(replica.DataCentre, c.ownerOf(replica))
	if l.killsVM || l.heal != nil {
		vm = c.ownerOf(replica) // other VMs lose what they have forwarded to a paused owner
	}
	readers, end := c.startMemberReaders(l.vmsWithCallers(c, victim))
	servedByReplica := func() uint64 {
		n := c.memberCounters(replica).ByKind
		return n[emember.KindName] + n[emember.KindSleep]
	}
	eventually(t, func() bool { return servedByReplica() > 20 }, 10*time.Second, 10*time.Millisecond)

	ctx, cancel := callContext(etchDoneDeadline)
	defer cancel()
	inTx := c.mustConnect(vm, "etch-jobs", nil)
	require.NoError(t, execAll(ctx, inTx, "BEGIN", "SELECT 1"))
	statement := c.mustConnect(vm, "etch-jobs", nil)
	statementResult := make(chan error, 1)
	go func() {
		_, err := statement.Exec(ctx, "SELECT sleep_ms(5000)")
		statementResult <- err
	}()
	eventually(t, func() bool { return c.memberCounters(replica).ByKind[emember.KindSleep] == 1 }, 5*time.Second, 10*time.Millisecond,
		"the long statement does not run on the replica")

	l.injectAndMark(c, replica, victim)
	time.Sleep(noNewWorkBound)
	servedAtBound := servedByReplica()
	l.endFailure(c, replica)
	c.requireNoNewWork(servedAtBound, servedByReplica, "new statements ran on the leaving member")
	require.NoError(t, <-statementResult, "the statement that was running on the leaving member failed")
	var name string
	require.NoError(t, inTx.QueryRow(ctx, "SELECT member_name()").Scan(&name), "the transaction that was open on the leaving member failed")
	require.Equal(t, replica.Name, name)
	require.NoError(t, execAll(ctx, inTx, "COMMIT"))
	end()
	for _, r := range readers {
		for _, err := range r.errors {
			requireSucceeded(t, err, l.allowedStates)
		}
		require.Positive(t, r.reads)
	}
}

// TestLeavingPrimaryHandsOver covers the planned change of a primary that is marked as leaving, without another failure
// and under each failure of leavingCases. Within 3 s no new write runs on it, and writes go on at a new primary. No
// write is lost or runs twice, and none ends with an unknown outcome unless the owner is paused.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	for _, l := range leavingCases {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, nil)
			old, _ := c.primary()
			l.setUpCluster(c, old)
			victim := c.promoters()[0] // the promoter that would hand over first
			if victim == c.ownerOf(old) {
				victim = c.promoters()[1]
			}
			writers := c.startWritersOf(cmp.Or(l.writeClass, "order"), l.vmsWithCallers(c, victim))
			eventually(t, allWrittenSince(writers, time.Now()), 10*time.Second, 10*time.Millisecond)
			l.injectAndMark(c, old, victim)
			markedAt := time.Now()
			inserts := func() uint64 { return c.memberCounters(old).ByKind[emember.KindInsert] }
			time.Sleep(noNewWorkBound)
			insertsAtBound := inserts()
			l.endFailure(c, old)
			eventuallySince(t, markedAt, allWrittenSince(writers, markedAt.Add(noNewWorkBound)), primaryChangeBound, 10*time.Millisecond)
			c.requireNoNewWork(insertsAtBound, inserts, "new writes ran on the leaving primary")
			present, _ := c.primary()
			require.NotEqual(t, old.Name, present.Name)
			var allOrders []insertedOrder
			longestGap := time.Duration(0)
			for _, w := range writers {
				orders := w.stop()
				allOrders = append(allOrders, orders...)
				previous := markedAt
				for _, o := range orders {
					if o.acknowledged() && o.endedAt.After(markedAt) {
						longestGap = max(longestGap, o.endedAt.Sub(previous))
						previous = o.endedAt
					}
				}
			}
			for _, o := range allOrders {
				require.NotEqual(t, "23505", sqlState(o.err), "order %s ran twice", o.id)
				require.True(timingChecks(t), sqlState(o.err) != codeOutcomeUnknown || l.allows(o.err), "order %s ended with an unknown outcome", o.id)
			}
			c.checkLedger(allOrders)
			t.Logf("longest time without an acknowledged write at one entry VM: %v", longestGap)
			require.Less(timingChecks(t), longestGap, primaryChangeBound)
		})
	}
}

// TestLeavingEntryVMGetsNoNewWork covers an entry VM that owns the primary and is marked as leaving in the list,
// without another failure, in floods, while a replica is far behind, while another entry VM is killed, while store
// answers are lost, and while two operators act. Within 3 s no other entry VM sends it work, and it forwards its own
// callers' work instead of running it. No request fails, and the member's connection limit is reached only while
// ownership moves.
func TestLeavingEntryVMGetsNoNewWork(t *testing.T) {
	for _, l := range leavingCases {
		if !l.markedInStatus && l.name != leavingOwnerPaused.name { // only members report a status
			t.Run(l.name, func(t *testing.T) { t.Parallel(); l.testEntryVM(t) })
		}
	}
}

func (l leavingCase) testEntryVM(t *testing.T) {
	c := start(t, nil)
	primary, _ := c.primary()
	owner := c.ownerOf(primary)
	c.awaitOwner(primary, owner)
	l.setUpCluster(c, primary)
	victim := c.otherListReader(primary.DataCentre, owner)
	writers := c.startWritersOf("record", l.vmsWithCallers(c, victim))
	unitsGranted := func() uint64 {
		return uint64(c.metricSum(owner, "sycamorehub_scheduler_granted_total", `member="`+primary.Name+`"`))
	}
	eventually(t, func() bool { return unitsGranted() > 20 }, 10*time.Second, 10*time.Millisecond)
	for _, w := range writers { // a VM that does not know the owner yet may send writes to the victim
		eventually(t, func() bool { return w.countAcknowledgedSince(time.Time{}) > 20 }, 10*time.Second, 10*time.Millisecond)
	}
	l.inject(c, primary, victim)
	c.requestJSON(http.MethodPut, "http://"+c.Topology.PlatformAddr+eplatform.PathVM+owner, platform.VM{State: platform.VMLeaving}, nil)
	time.Sleep(noNewWorkBound)
	l.endFailure(c, primary) // only then does a paused VM report its metrics
	c.requireNoNewWork(unitsGranted(), unitsGranted, "the leaving entry VM ran new units")
	// While two VMs hold connections, the member may refuse one over its limit, which is opened again later. After the
	// move it refuses no more.
	refused := c.memberCounters(primary).Refused
	eventually(t, allWrittenSince(writers, time.Now()), recordDeadline, 10*time.Millisecond)
	allOrders := stopWriters(writers)
	for _, o := range allOrders {
		requireSucceeded(t, o.err, l.allowedStates, o.id)
	}
	c.checkLedger(allOrders)
	require.Equal(t, refused, c.memberCounters(primary).Refused, "the member refused connections over its limit after the move")
}
