package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/token"
)

const (
	// scheduleDuration is how long failures are injected.
	scheduleDuration     = 11 * time.Second
	registerCount        = 5
	registerSessionCount = 7
	// seedsVariable holds the number of seeds that TestRandomSchedules runs instead of fixedSeeds.
	seedsVariable = "SYCAMOREHUB_SEEDS"
	fixedSeeds    = 3
)

// injector injects random failures, each for a while. Two calls of run are active at a time, so that failures meet in
// pairs.
type injector struct {
	cluster *cluster
	mu      sync.Mutex      // guards claimed and log
	claimed map[string]bool // names of what a failure affects at the moment
	log     []string
}

// claim reserves a target for a failure and reports whether it was free, so that no two failures undo each other.
func (x *injector) claim(name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.claimed[name] {
		return false
	}
	x.claimed[name] = true
	return true
}

func (x *injector) release(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.claimed, name)
}

// run injects one failure after another until stop is closed.
func (x *injector) run(random *rand.Rand, stop <-chan struct{}) {
	for {
		x.injectRandom(random, stop)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(500)) * time.Millisecond):
		}
	}
}

// waitRandomly waits for the duration of a failure, or until stop is closed.
func waitRandomly(random *rand.Rand, stop <-chan struct{}) {
	select {
	case <-stop:
	case <-time.After(300*time.Millisecond + time.Duration(random.IntN(2700))*time.Millisecond):
	}
}

// injectRandom injects one random failure and ends it after a while.
func (x *injector) injectRandom(random *rand.Rand, stop <-chan struct{}) {
	members := x.cluster.service().Members
	member := members[random.IntN(len(members))]
	vms := x.cluster.vmsExcept()
	vm := vms[random.IntN(len(vms))]
	switch random.IntN(12) {
	case 0:
		x.injectFor("cut "+member.DataCentre, "net", func() { x.cluster.network.Isolate(member.DataCentre) },
			func() { x.cluster.network.Rejoin(member.DataCentre) }, random, stop)
	case 1:
		x.injectFor("freeze "+member.Name, member.Name, func() { freezeMember(x.cluster, member) }, func() { resumeMember(x.cluster, member) }, random, stop)
	case 2:
		x.injectMemberFault("control outage", member, emember.Faults{ControlOutage: true}, random, stop)
	case 3:
		x.injectMemberFault("lag", member, emember.Faults{Lag: topology.Ms(time.Duration(random.IntN(1000)) * time.Millisecond)}, random, stop)
	case 4:
		x.injectMemberFault("pause", member, emember.Faults{PauseApply: random.IntN(2) == 0, PauseReplication: true}, random, stop)
	case 5:
		x.injectFor("freeze "+vm, vm, func() { x.cluster.freezeVM(vm) }, func() { x.cluster.resumeVM(vm) }, random, stop)
	case 6:
		x.injectFor("kill "+vm, vm, func() { x.cluster.Daemon(vm).Kill() }, func() { x.startKilledDaemon(vm) }, random, stop)
	case 7:
		x.breakLinks(random)
	case 8:
		f := eplatform.Faults{StoreOutage: true, ListOutage: true, Silent: random.IntN(2) == 0}
		x.injectFor("store outage", "store", func() { x.cluster.setPlatformFaults(f) }, func() { x.cluster.setPlatformFaults(eplatform.Faults{}) }, random, stop)
	case 9:
		x.injectFor("flood of urgent work", "flood", func() { startUrgentFlood(x.cluster, member) }, func() { endFlood(x.cluster, member) }, random, stop)
	case 10:
		x.injectFor("slow store", "store", func() { slowPlatform(x.cluster, member) }, func() { endPlatformFaults(x.cluster, member) }, random, stop)
	case 11:
		x.injectFor("lost store answers", "store", x.loseStoreAnswers, func() { endPlatformFaults(x.cluster, member) }, random, stop)
	}
}

// loseStoreAnswers changes the configuration through any VM that works while the store answers no write. The operator
// may get no answer, since other failures occur as well.
func (x *injector) loseStoreAnswers() {
	row, _ := x.cluster.storedConfig()
	x.cluster.setPlatformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll})
	res := x.cluster.ctl(x.cluster.vmsExcept(), "config", "apply", "--if-version", fmt.Sprint(row.Version), x.cluster.writeDocument(addedClassName(row.Version+1)))
	x.logEvent(fmt.Sprintf("change of the configuration: exit %d", res.exitCode))
	x.cluster.setPlatformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll, AnswerLatency: toMs(2500 * time.Millisecond)})
}

// breakLinks resets or silences the connections between two random data centres.
func (x *injector) breakLinks(random *rand.Rand) {
	breakLink, what := (*netfault.Link).Reset, "reset"
	if random.IntN(2) == 0 {
		breakLink, what = (*netfault.Link).Silence, "silence"
	}
	x.logEvent(what + " connections")
	x.cluster.applyToRandomLinks(random, breakLink)
}

func (x *injector) injectMemberFault(what string, member platform.Member, faults emember.Faults, random *rand.Rand, stop <-chan struct{}) {
	x.injectFor(what+" "+member.Name, member.Name, func() { x.cluster.setMemberFaults(member, faults) },
		func() { x.cluster.setMemberFaults(member, emember.Faults{}) }, random, stop)
}

// injectFor begins a failure, waits and ends it, unless another failure affects the target.
func (x *injector) injectFor(what, target string, begin, end func(), random *rand.Rand, stop <-chan struct{}) {
	if !x.claim(target) {
		return
	}
	defer x.release(target)
	x.logEvent(what)
	begin()
	waitRandomly(random, stop)
	end()
	x.logEvent("end of " + what)
}

func (x *injector) logEvent(what string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.log = append(x.log, fmt.Sprintf("%s %s", time.Now().Format("05.000"), what))
}

// startKilledDaemon starts a killed daemon. While the store is down the daemon may not become ready.
func (x *injector) startKilledDaemon(vm string) {
	if err := x.cluster.StartDaemon(vm); err != nil {
		x.cluster.t.Errorf("restart of %s: %v", vm, err)
	}
}

// registerSession writes and reads registers with a token. It also reads them through confirmedReader, a session that
// names itself and brings no token, so that a confirmed primary serves it.
type registerSession struct {
	callerSession
	confirmedReader callerSession
	number          int
	history         *history
	vms             []string
	random          *rand.Rand
	ownWrites       map[string]*access // last acknowledged write by key
	err             error
}

func (s *registerSession) run(stop <-chan struct{}) {
	defer s.close()
	defer s.confirmedReader.close()
	for i := 0; s.err == nil; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(s.random.IntN(10)) * time.Millisecond):
		}
		if s.random.IntN(10) == 0 {
			s.roamRandomly()
		}
		key := fmt.Sprintf("r%d", s.random.IntN(registerCount))
		switch s.random.IntN(4) {
		case 0, 1:
			s.write(key, fmt.Sprintf("%s=%d.%d", key, s.number, i))
		case 2:
			s.readRegister(&s.callerSession, key, []string{"confirm", "lookup"}[s.random.IntN(2)], false)
		case 3:
			s.readRegister(&s.confirmedReader, key, "confirm", true)
		}
	}
}

// roamRandomly moves both sessions to a random entry VM.
func (s *registerSession) roamRandomly() {
	s.roam(s.vms[s.random.IntN(len(s.vms))])
	s.confirmedReader.roam(s.vm)
}

func (s *registerSession) write(key, value string) {
	before := s.token
	write := &access{key: key, value: value, write: true, begin: s.history.elapsed(), session: s.number, throughVM: s.vm}
	_, err := s.callerSession.run("order", fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('%s', '%s') "+
		"ON CONFLICT (key) DO UPDATE SET value = excluded.value", key, value), callTimeout)
	write.end = s.history.elapsed()
	switch inserted := (insertedOrder{err: err}); {
	case inserted.acknowledged():
		write.outcome, s.ownWrites[key] = outcomeAcknowledged, write
		s.checkToken(before)
	case inserted.refused():
		write.outcome = outcomeRefused
	}
	s.history.add(write)
	if err != nil {
		s.roamRandomly()
	}
}

// checkToken requires that the token after a write covers everything that it required before.
func (s *registerSession) checkToken(before string) {
	old, oldErr := token.Parse(before)
	current, newErr := token.Parse(s.token)
	name := s.cluster.service().Name
	oldNeed, _ := old.Requirement(name)
	newNeed, ok := current.Requirement(name)
	if oldErr != nil || newErr != nil || !ok || !token.CoveredBy(oldNeed, newNeed.Term, newNeed.Position) {
		s.err = fmt.Errorf("session %d: token %q followed %q", s.number, s.token, before)
	}
}

// readRegister reads a register through the session and records the access.
func (s *registerSession) readRegister(session *callerSession, key, class string, confirmed bool) {
	read := &access{key: key, confirmed: confirmed, begin: s.history.elapsed(), session: s.number, throughVM: session.vm}
	if !confirmed {
		read.ownWrite = s.ownWrites[key]
	}
	var err error
	read.value, read.servedBy, err = session.read(class, key)
	read.end = s.history.elapsed()
	switch {
	case err == nil:
		read.outcome = outcomeAcknowledged
	case code(err) == "" || readRefused(err), code(err) == codeOverload, code(err) == codeDraining:
		s.roamRandomly()
	default:
		s.err = fmt.Errorf("session %d: %s read of %s through %s: %w", s.number, class, key, session.vm, err)
	}
	s.history.add(read)
}

// scheduleSeeds returns the seeds that TestRandomSchedules runs: that in SYCAMOREHUB_SEED if it is set, or else 1, 2
// and so on.
func scheduleSeeds() []uint64 {
	if _, ok := os.LookupEnv(seedVariable); ok {
		return []uint64{seedOr(0)}
	}
	n, err := strconv.Atoi(os.Getenv(seedsVariable))
	if err != nil {
		n = fixedSeeds
	}
	var out []uint64
	for i := range n {
		out = append(out, uint64(i+1))
	}
	return out
}

// TestRandomSchedules covers random schedules of failures, of which two occur at a time: members and data centres are
// cut off, frozen or lag, daemons are killed or paused, connections break or go silent, the store is down, slow or
// loses answers, and urgent work floods the members. Sessions write and read registers and writers insert orders
// meanwhile. The history is checked for sessions that miss their own writes, for refused writes that are seen, and for
// linearizability of acknowledged writes. checkLedger checks the orders.
func TestRandomSchedules(t *testing.T) {
	for _, seed := range scheduleSeeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			// In every third seed the first primary is alone in its region and moves between failures.
			c := startService(t, int(seed%3), shortStandTime)
			t.Logf("seed %d", seed)
			recorded := &history{start: time.Now()}
			stop := make(chan struct{})
			var wg sync.WaitGroup
			end := sync.OnceFunc(func() { close(stop); wg.Wait() })
			t.Cleanup(end)
			var sessions []*registerSession
			for i, vm := range c.vmsExcept()[:registerSessionCount] {
				session := &registerSession{callerSession: callerSession{cluster: c, vm: vm},
					confirmedReader: callerSession{cluster: c, vm: vm, sessionID: "check"}, number: i, history: recorded,
					vms: c.vmsExcept(), random: randomStream(seed, i), ownWrites: map[string]*access{}}
				sessions = append(sessions, session)
				wg.Go(func() { session.run(stop) })
			}
			writers := []*writer{c.startWriter(c.vmsExcept()[0], "w0"), c.startWriter(c.vmsExcept()[4], "w1")}
			c.injectRandomFailures(scheduleDuration, seed)
			c.awaitRecovery(recorded, sessions[0], end)
			t.Logf("moves of the primary: %v completed, %v given up", c.countMoves("done"), c.countMoves("given-up"))
			for _, session := range sessions {
				require.NoError(t, session.err)
			}
			recorded.check(t)
			c.checkLedger(stopWriters(writers))
		})
	}
}

// injectRandomFailures runs an injector twice at a time for the given duration, and then waits until all failures have
// ended and all daemons are ready.
func (c *cluster) injectRandomFailures(d time.Duration, seed uint64) {
	failureInjector := &injector{cluster: c, claimed: map[string]bool{}}
	c.t.Cleanup(func() { c.t.Logf("injected failures: %q", failureInjector.log) })
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { failureInjector.run(randomStream(seed, -1-i), stop) })
	}
	time.Sleep(d)
	close(stop)
	wg.Wait()
	for _, vm := range c.vmsExcept() {
		require.NoError(c.t, c.WaitReady(context.Background(), vm))
	}
}

// awaitRecovery ends the sessions and waits until each register can be read on a confirmed primary. These last reads
// are part of the history.
func (c *cluster) awaitRecovery(recorded *history, session *registerSession, end func()) {
	c.t.Helper()
	end()
	vm := c.vmsExcept()[0]
	final := &registerSession{callerSession: callerSession{cluster: c, vm: vm},
		confirmedReader: callerSession{cluster: c, vm: vm, sessionID: "final"}, number: -1, history: recorded,
		vms: session.vms, random: session.random, ownWrites: map[string]*access{}}
	defer final.close()
	defer final.confirmedReader.close()
	for i := range registerCount {
		key := fmt.Sprintf("r%d", i)
		eventually(c.t, func() bool {
			index := len(recorded.accesses)
			final.readRegister(&final.confirmedReader, key, "confirm", true)
			return recorded.accesses[index].outcome == outcomeAcknowledged
		}, primaryChangeBound, 10*time.Millisecond, "register %s cannot be read after all failures ended", key)
	}
	require.NoError(c.t, final.err)
}
