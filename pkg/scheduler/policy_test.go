package scheduler

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// rapidSeed is the default seed of the random tests, so that they repeat. The flag -rapid.seed sets another one.
const rapidSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

// model tracks the units and transactions of a policy in a simpler way than the policy does, and checks the
// invariants.
type model struct {
	t       *rapid.T
	limits  Limits
	policy  *Policy
	now     time.Time
	queued  map[*ScheduledUnit]Request
	running map[*ScheduledUnit]Request
	open    map[*OpenTransaction]unit.Rank
}

func (m *model) enqueue() {
	r := Request{
		Class: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "class"),
		Rank:  unit.Rank(rapid.IntRange(0, 2).Draw(m.t, "rank")),
	}
	r.Target = time.Duration(rapid.IntRange(0, 200).Draw(m.t, "target")) * time.Millisecond
	r.Team = rapid.SampledFrom([]Team{{}, {Name: "t", Weight: 3}, {Name: "u", Weight: 1, Priority: 1}, {Name: "v"}}).Draw(m.t, "team")
	if d := rapid.IntRange(0, 300).Draw(m.t, "deadline"); d > 0 {
		r.Deadline = m.now.Add(time.Duration(d) * time.Millisecond)
	}
	switch rapid.IntRange(0, 3).Draw(m.t, "kind") {
	case 0:
		r.NewTransaction = true
	case 1:
		r.InTransaction = len(m.open) > 0
	}
	if su, err := m.policy.Enqueue(m.now, r); err == nil {
		m.queued[su] = r
	}
}

func (m *model) finish() {
	su := m.pickUnit(m.running)
	if su == nil {
		return
	}
	r := m.running[su]
	delete(m.running, su)
	if open := m.policy.Finish(m.now, su, rapid.Bool().Draw(m.t, "keep")); open != nil {
		m.open[open] = r.Rank
	}
}

// pickUnit returns the unit whose sequence number modulo a random value is lowest, or nil if set is empty. The choice
// doesn't depend on the order of the map. The seed therefore determines the run.
func (m *model) pickUnit(set map[*ScheduledUnit]Request) *ScheduledUnit {
	if len(set) == 0 {
		return nil
	}
	k := uint64(rapid.IntRange(1, 7).Draw(m.t, "pick"))
	var best *ScheduledUnit
	for su := range set {
		if best == nil || su.sequence%k < best.sequence%k ||
			su.sequence%k == best.sequence%k && su.sequence < best.sequence {
			best = su
		}
	}
	return best
}

func (m *model) endTransaction() {
	var first *OpenTransaction
	for t := range m.open {
		if first == nil || t.began < first.began {
			first = t
		}
	}
	if first != nil {
		delete(m.open, first)
		m.policy.EndTransaction(m.now, first)
	}
}

func (m *model) cancel() {
	if su := m.pickUnit(m.queued); su != nil {
		require.True(m.t, m.policy.Cancel(su))
		delete(m.queued, su)
	}
}

// dispatch starts all units that can run. It checks that each granted or refused unit leaves the queue exactly once.
func (m *model) dispatch() {
	for su := m.policy.Next(m.now); su != nil; su = m.policy.Next(m.now) {
		r, ok := m.queued[su]
		require.True(m.t, ok, "a unit was granted twice or was never queued")
		require.True(m.t, r.Deadline.IsZero() || m.now.Before(r.Deadline), "a unit was granted after its deadline")
		delete(m.queued, su)
		m.running[su] = r
	}
	for _, r := range m.policy.TakeRefused() {
		_, ok := m.queued[r.Unit]
		require.True(m.t, ok, "a unit was refused twice or was never queued")
		require.Equal(m.t, errkind.OutcomeNotRun, errkind.Of(r.Err).Outcome)
		delete(m.queued, r.Unit)
	}
}

// heldTransactions counts the transactions that the rank and all lower ranks hold.
func (m *model) heldTransactions(rank unit.Rank) int {
	n := 0
	for _, r := range m.open {
		if r >= rank {
			n++
		}
	}
	for _, r := range m.running {
		if r.NewTransaction && r.Rank >= rank {
			n++
		}
	}
	return n
}

func (m *model) mayBeginTransaction(rank unit.Rank) bool {
	for r := unit.RankUrgent; r <= rank; r++ {
		if m.heldTransactions(r) >= max(1, int(transactionShare[r]*float64(m.limits.Transactions))) {
			return false
		}
	}
	return true
}

func (m *model) check() {
	st := m.policy.Stats(m.now)
	require.LessOrEqual(m.t, len(m.running), m.limits.Slots)
	require.LessOrEqual(m.t, m.heldTransactions(unit.RankUrgent), m.limits.Transactions)
	require.Equal(m.t, len(m.running), st.Running)
	require.Equal(m.t, len(m.queued), st.Queued)
	require.Equal(m.t, m.heldTransactions(unit.RankUrgent), st.OpenTransactions)
	if len(m.running) == m.limits.Slots {
		return
	}
	for _, r := range m.queued {
		require.True(m.t, r.NewTransaction && !m.mayBeginTransaction(r.Rank), "a slot is free while %+v waits", r)
	}
}

// There must be no more running units than slots and no more open transactions than connections. No unit may be lost or
// granted twice, and no slot may stay free while a queued unit could run.
func TestPolicyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Transactions: rapid.IntRange(1, 6).Draw(t, "transactions"), MaxQueue: 8}
		start := time.Unix(0, 0)
		m := &model{
			t: t, limits: l, policy: NewPolicy(l, start), now: start,
			queued: map[*ScheduledUnit]Request{}, running: map[*ScheduledUnit]Request{},
			open: map[*OpenTransaction]unit.Rank{},
		}
		steps := []func(){m.enqueue, m.enqueue, m.enqueue, m.finish, m.finish, m.endTransaction, m.cancel, func() { m.policy.Expire(m.now) }}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")()
			m.dispatch()
			m.check()
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// Guards against starvation. While all classes have queued units, each one must get at least 80% of its guaranteed
// share.
func TestPolicyNoStarvation(t *testing.T) {
	for slots := 1; slots <= 4; slots++ {
		for perRank := 1; perRank <= 3; perRank++ {
			for _, service := range []time.Duration{5 * time.Millisecond, 17 * time.Millisecond, 40 * time.Millisecond} {
				checkShares(t, slots, perRank, service)
			}
		}
	}
}

// checkShares keeps units queued in perRank classes of each rank and checks the slot time that each class gets.
func checkShares(t *testing.T, slots, perRank int, service time.Duration) {
	const duration = 8 * time.Second
	c := newTimedPolicy(slots, 4, 8)
	end := c.now.Add(duration)
	var running []*ScheduledUnit
	busy := map[*class]time.Duration{}
	for c.now.Before(end) {
		for i := range perRank * int(unit.RankCount) {
			rank, name := unit.Rank(i/perRank), classNames[i%perRank]
			for c.queuedOf(rank, name) < 2 {
				c.mustEnqueue(t, Request{Class: name, Rank: rank})
			}
		}
		for su := c.Next(c.now); su != nil; su = c.Next(c.now) {
			running = append(running, su)
		}
		c.now = c.now.Add(service / time.Duration(slots)) // the slots finish at evenly spaced times
		first := running[0]
		busy[first.class] += c.offset(c.now) - first.started
		c.Finish(c.now, first, false)
		running = running[1:]
	}
	for _, class := range c.classes {
		want := guaranteedShare[class.rank] / float64(perRank) * float64(slots) * duration.Seconds()
		require.GreaterOrEqual(t, busy[class].Seconds(), 0.8*want, "%s %s, %d slots, %d classes, %v", class.rank, class.name, slots, perRank, service)
	}
}

// queuedOf returns the number of queued units of a class.
func (p *Policy) queuedOf(rank unit.Rank, name string) int {
	for _, c := range p.classes {
		if c.rank == rank && c.name == name {
			return c.queuedCount()
		}
	}
	return 0
}

// timedPolicy is a policy together with the time that the test gives it. The test sets now.
type timedPolicy struct {
	*Policy
	now time.Time
}

func newTimedPolicy(slots, transactions, maxQueue int) *timedPolicy {
	start := time.Unix(0, 0)
	return &timedPolicy{NewPolicy(Limits{Slots: slots, Transactions: transactions, MaxQueue: maxQueue}, start), start}
}

// runOne runs the next unit for the duration d, by which it advances the time, and returns the class of the unit.
func (c *timedPolicy) runOne(t *testing.T, d time.Duration) string {
	su := c.Next(c.now)
	require.NotNil(t, su)
	c.now = c.now.Add(d)
	c.Finish(c.now, su, false)
	return su.Class()
}

// mustEnqueue enqueues a unit at the current time of the test and fails the test if the policy refuses it.
func (c *timedPolicy) mustEnqueue(t *testing.T, r Request) {
	_, err := c.Enqueue(c.now, r)
	require.NoError(t, err)
}

// Guards against a wrong order of units. Rank comes first, then statements of open transactions, then the due time.
func TestPolicyOrder(t *testing.T) {
	c := newTimedPolicy(1, 4, 8)
	c.mustEnqueue(t, Request{Class: "batch", Rank: unit.RankBatch})
	c.mustEnqueue(t, Request{Class: "late", Rank: unit.RankRoutine, Target: 2 * time.Second})
	c.mustEnqueue(t, Request{Class: "early", Rank: unit.RankRoutine, Target: time.Second})
	c.mustEnqueue(t, Request{Class: "open", Rank: unit.RankRoutine, Target: 3 * time.Second, InTransaction: true})
	c.mustEnqueue(t, Request{Class: "urgent", Rank: unit.RankUrgent, Target: 3 * time.Second})
	for _, want := range []string{"urgent", "open", "early", "late", "batch"} {
		require.Equal(t, want, c.runOne(t, time.Millisecond))
	}
}

// After one slow unit, the estimate of a class's service time must not stay too high. Probes must lower it again, and
// an idle member must never refuse a unit because of an estimate.
func TestPolicyRecoversFromHighEstimate(t *testing.T) {
	c := newTimedPolicy(1, 4, 8)
	slow := Request{Class: "a", Rank: unit.RankUrgent, Target: 50 * time.Millisecond}
	c.mustEnqueue(t, slow)
	c.runOne(t, 10*time.Second) // one unit takes 10 s because the member hangs
	c.mustEnqueue(t, slow)      // an idle member admits the unit whatever the estimate
	c.runOne(t, 5*time.Millisecond)

	other := Request{Class: "b", Rank: unit.RankBatch}
	refused := 0
	for probes := 0; ; probes++ {
		require.Less(t, probes, 60, "the estimate did not recover")
		c.mustEnqueue(t, other) // keeps the member busy
		running := c.Next(c.now)
		c.mustEnqueue(t, slow)
		_, err := c.Enqueue(c.now, slow)
		c.now = c.now.Add(5 * time.Millisecond)
		c.Finish(c.now, running, false)
		if err == nil {
			break
		}
		require.True(t, errkind.Is(err, errkind.Overload))
		refused++
		require.Equal(t, "a", c.runOne(t, 5*time.Millisecond))
	}
	require.Positive(t, refused, "a high estimate must refuse all but the probe")
}

// A class that used idle slots before must not lose its guaranteed share for that. Once urgent work has used its own
// share, 0.51 s after it starts, the class must get its share again.
func TestPolicyEarlierUseOfIdleSlotsCountsLittle(t *testing.T) {
	const service = 10 * time.Millisecond
	c := newTimedPolicy(1, 4, 8)
	routine, urgent := Request{Class: "r", Rank: unit.RankRoutine}, Request{Class: "u", Rank: unit.RankUrgent}
	for range 300 {
		c.mustEnqueue(t, routine)
		c.runOne(t, service)
	}
	start := c.now
	c.mustEnqueue(t, routine)
	for c.mustEnqueue(t, urgent); c.runOne(t, service) == "u"; c.mustEnqueue(t, urgent) {
		require.Less(t, c.now.Sub(start), 700*time.Millisecond)
	}
}

// Queues must be bounded, and the full queue of one class must not cause the units of another class to be refused.
func TestPolicyQueuesAreBoundedPerClass(t *testing.T) {
	c := newTimedPolicy(1, 4, 3)
	for range 3 {
		c.mustEnqueue(t, Request{Class: "a", Rank: unit.RankBatch})
	}
	_, err := c.Enqueue(c.now, Request{Class: "a", Rank: unit.RankBatch})
	require.True(t, errkind.Is(err, errkind.Overload))
	c.mustEnqueue(t, Request{Class: "b", Rank: unit.RankBatch})
	// A statement of an open transaction is not refused.
	c.mustEnqueue(t, Request{Class: "a", Rank: unit.RankBatch, InTransaction: true})
}

// Guards against batch transactions that take the connections that urgent work needs.
func TestPolicyTransactionsLeaveRoomForHigherRanks(t *testing.T) {
	c := newTimedPolicy(1, 10, 100)
	batch := Request{Class: "b", Rank: unit.RankBatch, NewTransaction: true}
	for range 20 {
		c.mustEnqueue(t, batch)
	}
	for range 6 {
		require.NotNil(t, c.Finish(c.now, c.Next(c.now), true))
	}
	require.Nil(t, c.Next(c.now), "batch may hold 60% of the transactions")
	c.mustEnqueue(t, Request{Class: "u", Rank: unit.RankUrgent, NewTransaction: true})
	require.Equal(t, "u", c.runOne(t, time.Millisecond))
}

// BenchmarkAcquireRelease measures one grant and its release on a member with no queued units.
func BenchmarkAcquireRelease(b *testing.B) {
	s := New(Options{Slots: 2, Transactions: 14})
	r := Request{Class: "u", Rank: unit.RankUrgent, Target: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		g, err := s.Acquire(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		g.Release()
	}
}

// BenchmarkQueued measures the cost of one unit in the policy, from Enqueue to Finish, while the number of queued
// units stays constant.
func BenchmarkQueued(b *testing.B) {
	for _, queued := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			p := NewPolicy(Limits{Slots: 2, Transactions: 14, MaxQueue: queued}, time.Now())
			add := func(i int) {
				r := Request{Class: classNames[i%len(classNames)], Rank: unit.Rank(i % 3), Target: time.Hour}
				r.Arrived = time.Now().Add(time.Duration(random.Int64N(int64(time.Minute))))
				if _, err := p.Enqueue(time.Now(), r); err != nil {
					b.Fatal(err)
				}
			}
			for i := range queued {
				add(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				add(i)
				p.Finish(time.Now(), p.Next(time.Now()), false)
			}
		})
	}
}

var classNames = [...]string{"a", "b", "c", "d", "e", "f"}
