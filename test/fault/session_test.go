package fault

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// roundsPerVM is the number of rounds after which a session moves to another entry VM with its token.
const roundsPerVM = 4

// sessionLoop is a session that inserts rows, and reads the acknowledged ones back through read classes.
type sessionLoop struct {
	callerSession
	vms            []string // entry VMs that the session uses
	random         *rand.Rand
	keyPrefix      string
	inTransactions bool // rows are inserted in transactions
	// routingKeys select the services of the rows in turn. Without any, all rows belong to one service.
	routingKeys  []string
	routingKeyOf map[string]string // routing key by key of the row

	orders       []insertedOrder
	ackedKeys    []string       // keys of acknowledged rows
	servedReads  atomic.Int64   // number of reads that were served
	violations   []string       // reads that failed or missed a write of the session
	refusedReads map[string]int // by SQLSTATE, or "connection lost"
}

func (s *sessionLoop) run(stop <-chan struct{}) {
	defer s.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if n%roundsPerVM == 0 {
			s.roam(s.vms[s.random.IntN(len(s.vms))])
		}
		s.insertOrder(n)
		if len(s.ackedKeys) == 0 {
			continue
		}
		s.checkReadBack("confirm", s.ackedKeys[len(s.ackedKeys)-1])
		s.checkReadBack("lookup", s.ackedKeys[len(s.ackedKeys)-1])
		s.checkReadBack("lookup", s.ackedKeys[s.random.IntN(len(s.ackedKeys))])
	}
}

// insertOrder inserts the n-th row and notes what the session was told.
func (s *sessionLoop) insertOrder(n int) {
	key := fmt.Sprintf("%s-%d", s.keyPrefix, n)
	if len(s.routingKeys) > 0 {
		s.key = s.routingKeys[n%len(s.routingKeys)]
		s.routingKeyOf[key] = s.key
	}
	err := s.insertRow(key)
	if err != nil {
		s.reconnectElsewhere()
	}
	s.orders = append(s.orders, insertedOrder{key, err, time.Now()})
	if err == nil {
		s.ackedKeys = append(s.ackedKeys, key)
	}
}

// insertRow inserts a row, in a transaction of three units if inTransactions is set.
func (s *sessionLoop) insertRow(key string) error {
	if !s.inTransactions {
		return s.insert(key)
	}
	if _, err := s.callerSession.run("order", "BEGIN", callTimeout); err != nil {
		return err
	}
	if err := s.insert(key); err != nil {
		return err // the session then moves to another entry VM, which rolls the transaction back
	}
	_, err := s.callerSession.run("order", "COMMIT", callTimeout)
	return err
}

// checkReadBack reads a row that was acknowledged to the session through the class, and notes a violation if it is
// missing.
func (s *sessionLoop) checkReadBack(class, key string) {
	s.key = s.routingKeyOf[key]
	value, member, err := s.read(class, key)
	switch {
	case err == nil && value == "":
		s.violations = append(s.violations, fmt.Sprintf("%s read of %s on %s through %s misses the session's write", class, key, member, s.vm))
	case err == nil:
		s.servedReads.Add(1)
	case readRefused(err), code(err) == codeOverload: // verifySessions decides which refusals are allowed
		s.refusedReads[code(err)]++
		s.reconnectElsewhere()
	case code(err) != "":
		s.violations = append(s.violations, fmt.Sprintf("%s read of %s through %s failed: %v", class, key, s.vm, err))
	default:
		s.refusedReads["connection lost"]++
		s.reconnectElsewhere()
	}
}

// reconnectElsewhere moves to a random entry VM after a failure.
func (s *sessionLoop) reconnectElsewhere() {
	time.Sleep(reconnectDelay)
	s.roam(s.vms[s.random.IntN(len(s.vms))])
}

// sessionLoops are running sessions, one for each data centre.
type sessionLoops struct {
	loops []*sessionLoop
	end   func()
}

// startSessions starts three sessions that use the entry VMs.
func (c *cluster) startSessions(seed uint64, vms []string, inTransactions bool, routingKeys ...string) *sessionLoops {
	run, end := c.startBackground()
	sessions := &sessionLoops{end: end}
	for i := range 3 {
		loop := &sessionLoop{callerSession: callerSession{cluster: c}, vms: vms, random: randomStream(seed, i), keyPrefix: fmt.Sprintf("s%d", i),
			inTransactions: inTransactions, refusedReads: map[string]int{}, routingKeys: routingKeys, routingKeyOf: map[string]string{}}
		sessions.loops = append(sessions.loops, loop)
		run(loop.run)
	}
	return sessions
}

// servedReads returns the number of reads that were served to each session.
func (l *sessionLoops) servedReads() []int64 {
	var out []int64
	for _, s := range l.loops {
		out = append(out, s.servedReads.Load())
	}
	return out
}

// servedMore reports whether each session was served at least count more reads than before.
func (l *sessionLoops) servedMore(before []int64, count int64) bool {
	for i, s := range l.loops {
		if s.servedReads.Load() < before[i]+count {
			return false
		}
	}
	return true
}

// sessionFailure is a failure during which sessions read their own writes.
type sessionFailure struct {
	name string
	// servesAllReads says that the primary stays healthy, so that every read must be served.
	servesAllReads  bool
	inject          func(c *cluster, primary platform.Member)
	heal            func(c *cluster, primary platform.Member)
	replacesPrimary bool // the failure leads to another primary
	// allowsOverload says that reads may be refused early with 53400 as well: in a flood, or because a frozen member
	// holds its slots until it is detected.
	allowsOverload bool
}

// faultReplicas returns a step that sets the faults of the first count replicas.
func faultReplicas(faults emember.Faults, count int) func(c *cluster, primary platform.Member) {
	return func(c *cluster, primary platform.Member) {
		for _, replica := range c.replicas(primary)[:count] {
			c.setMemberFaults(replica, faults)
		}
	}
}

func freezeMember(c *cluster, member platform.Member) {
	require.NoError(c.t, c.Members[member.Name].Freeze())
}
func resumeMember(c *cluster, member platform.Member) {
	require.NoError(c.t, c.Members[member.Name].Resume())
}
func killMember(c *cluster, member platform.Member) { c.Members[member.Name].Kill() }
func noFailure(*cluster, platform.Member)           {}

// sequence returns a step that takes the given steps one after another.
func sequence(steps ...func(*cluster, platform.Member)) func(*cluster, platform.Member) {
	return func(c *cluster, member platform.Member) {
		for _, step := range steps {
			step(c, member)
		}
	}
}

func healReplicas(c *cluster, primary platform.Member) {
	faultReplicas(emember.Faults{}, 2)(c, primary)
}

// stopPlatform makes all parts of the platform unavailable: the store and the lists of VMs and members.
func stopPlatform(c *cluster, _ platform.Member) {
	c.setPlatformFaults(eplatform.Faults{StoreOutage: true, ListOutage: true})
}

// endPlatformFaults ends the faults of stopPlatform, slowPlatform and loseStoreAnswers.
func endPlatformFaults(c *cluster, _ platform.Member) { c.setPlatformFaults(eplatform.Faults{}) }

// slowPlatform delays every request to the platform, including those for the lists, by most of the 2 s that a
// daemon waits.
func slowPlatform(c *cluster, _ platform.Member) {
	c.setPlatformFaults(eplatform.Faults{Latency: topology.Ms(1500 * time.Millisecond)})
}

// loseStoreAnswers changes the configuration while the store answers no write. From then on answers to reads come later
// than the 2 s that a daemon waits as well.
func loseStoreAnswers(c *cluster, _ platform.Member) {
	c.setPlatformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll})
	c.applyNextVersion(c.vmsExcept()[0], 1)
	c.setPlatformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll, AnswerLatency: topology.Ms(2500 * time.Millisecond)})
}

func startBatchFlood(c *cluster, _ platform.Member) { c.endFlood = c.startFlood("etch-jobs") }

// startUrgentFlood sends reads, which replicas serve as well, and writes, which load the primary alone.
func startUrgentFlood(c *cluster, _ platform.Member) { c.endFlood = c.startFlood("confirm", "order") }

func endFlood(c *cluster, _ platform.Member) { c.endFlood() }

func freezeOwner(c *cluster, primary platform.Member) { c.freezeVM(c.ownerOf(primary)) }
func resumeOwner(c *cluster, primary platform.Member) { c.resumeVM(c.ownerOf(primary)) }

var threeSecondLag = emember.Faults{Lag: topology.Ms(3 * time.Second)}

var sessionFailures = []sessionFailure{
	{name: "one replica does not apply", servesAllReads: true, inject: faultReplicas(emember.Faults{PauseApply: true}, 1), heal: healReplicas},
	{name: "both replicas do not apply", servesAllReads: true, inject: faultReplicas(emember.Faults{PauseApply: true}, 2), heal: healReplicas},
	{name: "both replicas lag", servesAllReads: true, inject: faultReplicas(threeSecondLag, 2), heal: healReplicas},
	{name: "one replica receives nothing", servesAllReads: true, inject: faultReplicas(emember.Faults{PauseReplication: true}, 1), heal: healReplicas},
	{name: "primary killed", replacesPrimary: true, inject: killMember, heal: noFailure},
	{name: "primary frozen", replacesPrimary: true, allowsOverload: true, inject: freezeMember, heal: resumeMember},
	{name: "primary cut off", replacesPrimary: true,
		inject: isolatePrimary, heal: rejoinPrimary},
	{name: "control outage of the primary", replacesPrimary: true,
		inject: controlOutage, heal: endControlOutage},
	{name: "primary killed while both replicas lag", replacesPrimary: true,
		inject: sequence(faultReplicas(emember.Faults{Lag: topology.Ms(time.Second)}, 2), killMember), heal: healReplicas},
	{name: "primary cut off while one replica does not apply", replacesPrimary: true,
		inject: sequence(faultReplicas(emember.Faults{PauseApply: true}, 1), isolatePrimary), heal: sequence(rejoinPrimary, healReplicas)},
	{name: "primary killed in a flood of batch reads", replacesPrimary: true, allowsOverload: true,
		inject: sequence(startBatchFlood, killMember), heal: noFailure},
	{name: "store down", servesAllReads: true, inject: stopPlatform, heal: endPlatformFaults},
	{name: "primary killed while the store is down", replacesPrimary: true, inject: sequence(stopPlatform, killMember), heal: endPlatformFaults},
	{name: "owner of the primary frozen", inject: freezeOwner, heal: resumeOwner},
	{name: "owner of the primary killed",
		inject: killOwner, heal: func(c *cluster, primary platform.Member) { require.NoError(c.t, c.StartDaemon(c.ownerOf(primary))) }},
	{name: "primary and its owner frozen", replacesPrimary: true, allowsOverload: true,
		inject: sequence(freezeMember, freezeOwner), heal: sequence(resumeOwner, resumeMember)},
	{name: "store slow", servesAllReads: true, inject: slowPlatform, heal: endPlatformFaults},
	{name: "store answers lost", servesAllReads: true, inject: loseStoreAnswers, heal: endPlatformFaults},
	{name: "primary killed while the store is slow", replacesPrimary: true, inject: sequence(slowPlatform, killMember), heal: endPlatformFaults},
	{name: "primary killed while store answers are lost", replacesPrimary: true, inject: sequence(loseStoreAnswers, killMember), heal: endPlatformFaults},
	{name: "primary killed in a flood of urgent work", replacesPrimary: true, allowsOverload: true, inject: sequence(startUrgentFlood, killMember), heal: endFlood},
	{name: "two operators", servesAllReads: true, inject: raceOperatorsUntilEnd, heal: noFailure},
	{name: "primary killed while two operators act", replacesPrimary: true, inject: sequence(raceOperatorsUntilEnd, killMember), heal: noFailure},
}

// TestSessionsReadTheirWrites covers that sessions read their own writes while the primary is lost, replicas lag, work
// floods the members, the store is down, slow or loses answers, an owner is frozen or killed, two operators act, and
// under pairs of these. The sessions move between entry VMs with their token, insert rows and read them back through
// read classes. A read must not miss an acknowledged write of its session, and may fail only with 40001 or 57P03, or
// with 53400 where overload is allowed.
func TestSessionsReadTheirWrites(t *testing.T) {
	for i, f := range sessionFailures {
		t.Run(f.name, func(t *testing.T) { f.test(t, uint64(i+1), false) })
	}
}

// TestTransactionsReadTheirWrites covers the same as TestSessionsReadTheirWrites for rows that are inserted in
// transactions of several units. The token comes with the answer to COMMIT.
func TestTransactionsReadTheirWrites(t *testing.T) {
	chosen := map[string]bool{"both replicas lag": true, "primary cut off": true, "primary and its owner frozen": true}
	for i, f := range sessionFailures {
		if chosen[f.name] {
			t.Run(f.name, func(t *testing.T) { f.test(t, uint64(i+1), true) })
		}
	}
}

func (f sessionFailure) test(t *testing.T, defaultSeed uint64, inTransactions bool) {
	t.Parallel()
	f.run(start(t, nil), defaultSeed, inTransactions)
}

// run checks that all sessions are served before, during and after the failure, and verifies what they read.
func (f sessionFailure) run(c *cluster, defaultSeed uint64, inTransactions bool, routingKeys ...string) *sessionLoops {
	t := c.t
	primary, _ := c.primary()
	seed := seedOr(defaultSeed)
	t.Logf("seed %d", seed)
	sessions := c.startSessions(seed, c.vmsExcept(), inTransactions, routingKeys...)
	c.awaitSessionsServed(sessions, "before the failure")
	f.inject(c, primary)
	if f.replacesPrimary {
		c.awaitNewPrimary(primary)
	}
	c.awaitSessionsServed(sessions, "during the failure")
	f.heal(c, primary)
	c.awaitSessionsServed(sessions, "after the failure")
	sessions.end()
	c.verifySessions(sessions, f)
	return sessions
}

// awaitSessionsServed waits until each session was served minReads more reads. when completes the message of a failure.
func (c *cluster) awaitSessionsServed(sessions *sessionLoops, when string) {
	c.t.Helper()
	const minReads = 12
	before := sessions.servedReads()
	eventually(c.t, func() bool { return sessions.servedMore(before, minReads) }, primaryChangeBound+callTimeout, 20*time.Millisecond,
		"sessions were not served %s; reads served by session: %v, then %v", when, before, sessions.servedReads())
}

// verifySessions requires that no session saw a violation and that refusals are allowed by the failure, and checks the
// orders.
func (c *cluster) verifySessions(sessions *sessionLoops, f sessionFailure) {
	c.t.Helper()
	var orders []insertedOrder
	for _, loop := range sessions.loops {
		require.Empty(c.t, loop.violations, "%d violations in session %s", len(loop.violations), loop.keyPrefix)
		if !f.allowsOverload {
			require.Zero(timingChecks(c.t), loop.refusedReads[codeOverload], "reads were refused early although nothing overloads the members")
		}
		if f.servesAllReads {
			require.Empty(timingChecks(c.t), loop.refusedReads, "reads were refused although the primary is healthy")
		}
		c.t.Logf("session %s: %d reads served, refused by SQLSTATE: %v", loop.keyPrefix, loop.servedReads.Load(), loop.refusedReads)
		orders = append(orders, loop.orders...)
	}
	c.checkLedger(orders)
}
