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
	scheduleDuration     = 11 * time.Second
	registerCount        = 5
	registerSessionCount = 7
	// seedsVariable is the number of seeds that TestRandomSchedules runs instead of the fixed ones.
	seedsVariable = "SYCAMOREHUB_SEEDS"
	fixedSeeds    = 3
)

// injector injects random failures, each for a while. Two run at a time, so that failures meet in pairs.
type injector struct {
	cluster *cluster
	mu      sync.Mutex // guards target
	claimed map[string]bool
	log     []string
}

// claim reserves a target, so that two failures do not undo each other.
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

// waitRandomly waits for the length of a failure.
func waitRandomly(random *rand.Rand, stop <-chan struct{}) {
	select {
	case <-stop:
	case <-time.After(300*time.Millisecond + time.Duration(random.IntN(2700))*time.Millisecond):
	}
}

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
		x.injectFor("slow store", "store", func() { slowStore(x.cluster, member) }, func() { endStoreFault(x.cluster, member) }, random, stop)
	case 11:
		x.injectFor("lost store answers", "store", x.loseStoreAnswers, func() { endStoreFault(x.cluster, member) }, random, stop)
	}
}

// loseStoreAnswers changes the configuration through any VM that works while the store answers no write. The operator
// may be told nothing, since other failures run as well.
func (x *injector) loseStoreAnswers() {
	row, _ := x.cluster.storedConfig()
	x.cluster.setPlatformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll})
	res := x.cluster.ctl(x.cluster.vmsExcept(), "config", "apply", "--if-version", fmt.Sprint(row.Version), x.cluster.writeDocument(addedClassName(row.Version+1)))
	x.logEvent(fmt.Sprintf("change of the configuration: exit %d", res.exitCode))
	x.cluster.setPlatformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll, AnswerLatency: toMs(2500 * time.Millisecond)})
}

// breakLinks resets or silences connections between two data centres.
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

// startKilledDaemon starts a killed daemon. With the store down it may be ready only later.
func (x *injector) startKilledDaemon(vm string) {
	if err := x.cluster.StartDaemon(vm); err != nil {
		x.cluster.t.Errorf("restart of %s: %v", vm, err)
	}
}

// registerSession writes and reads registers with a token and, in a second session without one, on the confirmed
// primary.
type registerSession struct {
	callerSession
	confirmedReader callerSession
	number          int
	history         *history
	vms             []string
	random          *rand.Rand
	ownWrites       map[string]*access // last acknowledged write of each key
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

// checkToken requires that the token never gets weaker.
func (s *registerSession) checkToken(before string) {
	old, oldErr := token.Parse(before)
	current, newErr := token.Parse(s.token)
	name := s.cluster.service().Name
	oldNeed, _ := old.Requirement(name)
	newNeed, ok := current.Requirement(name)
	if oldErr != nil || newErr != nil || !ok || !token.Covers(oldNeed, newNeed.Term, newNeed.Position) {
		s.err = fmt.Errorf("session %d: token %q followed %q", s.number, s.token, before)
	}
}

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

// TestRandomSchedules covers P1, P2, P5 and P6 under F1, F2, F3, F5 to F9, F11 and pairs of them: sessions write and read
// registers and writers insert orders during a random schedule of failures. The history is checked for
// read-your-writes, refused writes that were seen, and linearizability of acknowledged writes; orders by the ledger.
func TestRandomSchedules(t *testing.T) {
	for _, seed := range scheduleSeeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			// Every third seed begins with a primary that is alone in its region; it moves between failures.
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
			t.Logf("moves of the primary: %v done, %v given up", c.countMoves("done"), c.countMoves("given-up"))
			for _, session := range sessions {
				require.NoError(t, session.err)
			}
			recorded.check(t)
			c.checkLedger(stopWriters(writers))
		})
	}
}

// injectRandomFailures runs two injectors for a time and ends all failures.
func (c *cluster) injectRandomFailures(d time.Duration, seed uint64) {
	failureInjector := &injector{cluster: c, claimed: map[string]bool{}}
	c.t.Cleanup(func() { c.t.Logf("failures: %q", failureInjector.log) })
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

// awaitRecovery waits until each register can be written and read on a confirmed primary, ends the sessions and reads
// each register a last time.
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
