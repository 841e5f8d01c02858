package fault

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// firstTerm is the term of the first primary.
const firstTerm platform.Term = 1

// promoters returns the owners of the members in the order in which they try to promote a new primary.
func (c *cluster) promoters() []string {
	var owners []string
	seen := map[string]bool{}
	for _, m := range c.service().Members {
		if vm := c.ownerOf(m); !seen[vm] {
			seen[vm] = true
			owners = append(owners, vm)
		}
	}
	return ownership.RendezvousOrder(c.service().Name, owners)
}

func (c *cluster) freezeVM(vm string) { require.NoError(c.t, c.Daemon(vm).Freeze()) }
func (c *cluster) resumeVM(vm string) { require.NoError(c.t, c.Daemon(vm).Resume()) }

// awaitFence waits until one of the members is fenced above the term, which shows that a promotion is in progress.
func (c *cluster) awaitFence(members []platform.Member, above platform.Term) {
	c.t.Helper()
	eventually(c.t, func() bool {
		for _, m := range members {
			if st, err := c.status(m); err == nil && st.FencedTerm > above {
				return true
			}
		}
		return false
	}, primaryChangeBound, time.Millisecond, "no promotion began")
}

// awaitNewPrimary waits until a member other than the old primary is the primary.
func (c *cluster) awaitNewPrimary(old platform.Member) {
	c.t.Helper()
	eventually(c.t, func() bool { m, _ := c.primary(); return m.Name != "" && m.Name != old.Name },
		primaryChangeBound, 20*time.Millisecond, "no other member became primary")
}

// replacementCase is a failure during which the primary may be replaced.
type replacementCase struct {
	name string
	// inject injects the failure, and heal ends it.
	inject, heal  func(c *cluster, old platform.Member)
	writesOutside bool // writes must go on through a VM outside the old primary's data centre as well
	// withoutMajority says that no majority is reachable until heal, so that no write can be acknowledged before.
	withoutMajority bool
}

// isolateTwo cuts off the data centres of the old primary and of one replica.
func isolateTwo(c *cluster, old platform.Member) {
	c.network.Isolate(old.DataCentre)
	c.network.Isolate(c.replicas(old)[0].DataCentre)
}

// rejoinInOtherOrder first connects the replica's data centre again, so that it forms a majority with the third one.
// The old primary's data centre follows after a promotion there.
func rejoinInOtherOrder(c *cluster, old platform.Member) {
	c.network.Rejoin(c.replicas(old)[0].DataCentre)
	c.network.Isolate(old.DataCentre) // Rejoin has healed its link to the replica's data centre as well
	c.awaitNewPrimary(old)
	c.network.Rejoin(old.DataCentre)
}

// killAndAwaitFence kills the primary's process and waits until a replica is fenced, that is, until a VM has begun to
// promote a new primary.
func killAndAwaitFence(c *cluster, old platform.Member) {
	killMember(c, old)
	c.awaitFence(c.replicas(old), firstTerm)
}

// freezePromoter freezes the VM that is the first to try to promote a new primary.
func freezePromoter(c *cluster, _ platform.Member) { c.freezeVM(c.promoters()[0]) }

// resumePromoter resumes the VM that freezePromoter froze.
func resumePromoter(c *cluster, _ platform.Member) { c.resumeVM(c.promoters()[0]) }

// killPromoter kills the VM that is the first to try to promote a new primary.
func killPromoter(c *cluster, _ platform.Member) { c.Daemon(c.promoters()[0]).Kill() }

// restartPromoter starts the VM that killPromoter killed.
func restartPromoter(c *cluster, _ platform.Member) {
	require.NoError(c.t, c.StartDaemon(c.promoters()[0]))
}

// freezeTwoPromoters lets two promoters wake at the same time with views from before the loss.
func freezeTwoPromoters(c *cluster, old platform.Member) {
	promoters := c.promoters()
	c.freezeVM(promoters[0])
	c.freezeVM(promoters[1])
	killMember(c, old)
	time.Sleep(500 * time.Millisecond) // shorter than the detection of the loss, so that both wake before it ends
	c.resumeVM(promoters[0])
	c.resumeVM(promoters[1])
}

func isolatePrimary(c *cluster, old platform.Member) { c.network.Isolate(old.DataCentre) }
func rejoinPrimary(c *cluster, old platform.Member)  { c.network.Rejoin(old.DataCentre) }

// controlOutage leaves control and replication requests to the old primary without an answer, while callers still reach
// its data address.
func controlOutage(c *cluster, old platform.Member) {
	c.setMemberFaults(old, emember.Faults{ControlOutage: true})
}

func endControlOutage(c *cluster, old platform.Member) {
	c.setMemberFaults(old, emember.Faults{})
}

// isolateWithLaggingReplica cuts the primary off while one replica has not received the last acknowledged writes. The
// replica receives entries again once the other one has been promoted.
func isolateWithLaggingReplica(c *cluster, old platform.Member) {
	lagging := c.replicas(old)[0]
	c.setMemberFaults(lagging, emember.Faults{PauseReplication: true})
	time.Sleep(300 * time.Millisecond) // writes go on meanwhile, so that the replica falls behind
	isolatePrimary(c, old)
	c.awaitNewPrimary(old)
	promoted, _ := c.primary()
	require.NotEqual(c.t, lagging.Name, promoted.Name, "a replica that lacks acknowledged writes was promoted")
	c.setMemberFaults(lagging, emember.Faults{})
}

// pauseReplication lets both replicas receive no entries for longer than a write waits for its majority. The writes
// stay on the primary, so it would be wrong to tell a caller that its write did not run.
func pauseReplication(c *cluster, old platform.Member) {
	faultReplicas(emember.Faults{PauseReplication: true}, 2)(c, old)
	time.Sleep(unitTimeout + time.Second)
}

// unitTimeout is how long a daemon allows a unit of the classes used here.
const unitTimeout = 5 * time.Second

var replacementCases = []replacementCase{
	{name: "control outage", inject: controlOutage, heal: endControlOutage},
	{name: "killed", inject: killMember, heal: noFailure, writesOutside: true},
	{name: "cut off", inject: isolatePrimary, heal: rejoinPrimary, writesOutside: true},
	{name: "frozen primary resumes", inject: freezeMember, heal: resumeMember, writesOutside: true},
	{name: "two data centres cut at once", inject: isolateTwo, heal: rejoinInOtherOrder, withoutMajority: true},
	{name: "promoter frozen during promotion", inject: sequence(killAndAwaitFence, freezePromoter), heal: resumePromoter},
	{name: "promoter killed during promotion", inject: sequence(killAndAwaitFence, killPromoter), heal: restartPromoter},
	{name: "two promoters wake", inject: freezeTwoPromoters, heal: noFailure},
	{name: "cut off, store down", inject: sequence(stopPlatform, isolatePrimary), heal: sequence(rejoinPrimary, endPlatformFaults)},
	{name: "killed, store down", inject: sequence(stopPlatform, killMember), heal: endPlatformFaults},
	{name: "primary and owner frozen", inject: sequence(freezeMember, freezeOwner), heal: sequence(resumeOwner, resumeMember)},
	{name: "cut off, one replica far behind", inject: isolateWithLaggingReplica, heal: rejoinPrimary},
	{name: "no replica receives entries", inject: pauseReplication, heal: healReplicas, withoutMajority: true},
	{name: "killed in a flood of batch reads", inject: sequence(startBatchFlood, killMember), heal: noFailure},
	{name: "killed in a flood of urgent work", inject: sequence(startUrgentFlood, killMember), heal: endFlood},
	{name: "killed, store slow", inject: sequence(slowPlatform, killMember), heal: endPlatformFaults},
	{name: "cut off, store answers lost", inject: sequence(loseStoreAnswers, isolatePrimary), heal: sequence(rejoinPrimary, endPlatformFaults)},
	{name: "cut off while two operators act", inject: sequence(raceOperatorsUntilEnd, isolatePrimary), heal: rejoinPrimary},
}

// TestNoWriteOfReplacedPrimaryIsAcknowledged covers orders, which the system may not repeat, while the primary is lost
// or replaced, also in floods, while the store is down, slow or loses answers, while promoters or the owner are paused,
// and while two operators act. Writers in all data centres insert orders throughout, also where they still reach the
// old primary. Every acknowledged order must be on the last primary and no refused one may be. Writes go on within the
// bound after the failure or its end.
func TestNoWriteOfReplacedPrimaryIsAcknowledged(t *testing.T) {
	for _, replacement := range replacementCases {
		t.Run(replacement.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, nil)
			old, _ := c.primary()
			writers := c.startWritersOf("order", c.vmsExcept())
			var outside *writer
			for _, w := range writers {
				if v, _ := c.VM(w.vm); v.DataCentre != old.DataCentre {
					outside = w
				}
			}
			enoughAcknowledged := func(since time.Time) func() bool {
				return func() bool {
					n := 0
					for _, w := range writers {
						n += w.countAcknowledgedSince(since)
					}
					return n > 10 && (!replacement.writesOutside || outside.countAcknowledgedSince(since) > 10)
				}
			}
			eventually(t, enoughAcknowledged(time.Time{}), primaryChangeBound, 10*time.Millisecond)
			replacement.inject(c, old)
			begin := time.Now()
			if replacement.withoutMajority {
				time.Sleep(2 * time.Second) // callers go on writing in all three data centres
			} else {
				eventually(t, func() bool {
					m, _ := c.primary()
					return m.Name != old.Name && enoughAcknowledged(begin.Add(time.Second))()
				}, primaryChangeBound, 20*time.Millisecond, "no write was acknowledged after the failure")
			}
			replacement.heal(c, old)
			healedAt := time.Now()
			eventually(t, enoughAcknowledged(healedAt.Add(time.Second)), primaryChangeBound, 20*time.Millisecond,
				"no write was acknowledged after the end of the failure")
			c.checkLedger(stopWriters(writers))
		})
	}
}

// stopWriters stops all writers at the same time and returns their orders.
func stopWriters(writers []*writer) []insertedOrder {
	var all []insertedOrder
	for _, w := range writers {
		w.cancel()
	}
	for _, w := range writers {
		all = append(all, w.stop()...)
	}
	return all
}

// startFlood sends statements of the classes through all entry VMs, several times as many as the members can run at
// once. The flood ends with the test, or when end is called.
func (c *cluster) startFlood(classes ...string) (end func()) {
	run, end := c.startBackground()
	for i := range 40 {
		vms := c.vmsExcept()
		run(func(stop <-chan struct{}) {
			session := &callerSession{cluster: c, vm: vms[i%len(vms)]}
			defer session.close()
			repeatUntil(requestPause, stop, func() { _, _ = session.run(classes[i%len(classes)], "SELECT sleep_ms(50)", callTimeout) })
		})
	}
	return end
}
