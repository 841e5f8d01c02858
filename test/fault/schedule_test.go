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
	scheduleTime     = 11 * time.Second
	registers        = 5
	registerSessions = 7
	// seedsVariable is the number of seeds that TestRandomSchedules runs instead of the fixed ones.
	seedsVariable = "SYCAMOREHUB_SEEDS"
	fixedSeeds    = 3
)

// injector injects random failures, each for a while. Two run at a time, so that failures meet in pairs.
type injector struct {
	c      *cluster
	mu     sync.Mutex // guards target
	target map[string]bool
	log    []string
}

// claim reserves a target, so that two failures do not undo each other.
func (x *injector) claim(name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.target[name] {
		return false
	}
	x.target[name] = true
	return true
}

func (x *injector) release(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.target, name)
}

func (x *injector) run(rng *rand.Rand, stop <-chan struct{}) {
	for {
		x.one(rng, stop)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(500)) * time.Millisecond):
		}
	}
}

// hold waits for the length of a failure.
func hold(rng *rand.Rand, stop <-chan struct{}) {
	select {
	case <-stop:
	case <-time.After(300*time.Millisecond + time.Duration(rng.IntN(2700))*time.Millisecond):
	}
}

func (x *injector) one(rng *rand.Rand, stop <-chan struct{}) {
	members := x.c.service().Members
	m := members[rng.IntN(len(members))]
	vms := x.c.others()
	vm := vms[rng.IntN(len(vms))]
	switch rng.IntN(12) {
	case 0:
		x.during("cut "+m.DataCentre, "net", func() { x.c.net.Isolate(m.DataCentre) }, func() { x.c.net.Rejoin(m.DataCentre) }, rng, stop)
	case 1:
		x.during("freeze "+m.Name, m.Name, func() { freeze(x.c, m) }, func() { resume(x.c, m) }, rng, stop)
	case 2:
		x.memberFault("control outage", m, emember.Faults{ControlOutage: true}, rng, stop)
	case 3:
		x.memberFault("lag", m, emember.Faults{Lag: topology.Ms(time.Duration(rng.IntN(1000)) * time.Millisecond)}, rng, stop)
	case 4:
		x.memberFault("pause", m, emember.Faults{PauseApply: rng.IntN(2) == 0, PauseReplication: true}, rng, stop)
	case 5:
		x.during("freeze "+vm, vm, func() { x.c.freezeVM(vm) }, func() { x.c.resumeVM(vm) }, rng, stop)
	case 6:
		x.during("kill "+vm, vm, func() { x.c.Daemon(vm).Kill() }, func() { x.restart(vm) }, rng, stop)
	case 7:
		x.links(rng)
	case 8:
		f := eplatform.Faults{StoreOutage: true, ListOutage: true, Silent: rng.IntN(2) == 0}
		x.during("store outage", "store", func() { x.c.platformFaults(f) }, func() { x.c.platformFaults(eplatform.Faults{}) }, rng, stop)
	case 9:
		x.during("flood of urgent work", "flood", func() { urgentFlood(x.c, m) }, func() { endFlood(x.c, m) }, rng, stop)
	case 10:
		x.during("slow store", "store", func() { storeSlow(x.c, m) }, func() { storeUp(x.c, m) }, rng, stop)
	case 11:
		x.during("lost store answers", "store", x.loseStoreAnswers, func() { storeUp(x.c, m) }, rng, stop)
	}
}

// loseStoreAnswers changes the configuration through any VM that works while the store answers no write. The operator
// may be told nothing, since other failures run as well.
func (x *injector) loseStoreAnswers() {
	row, _ := x.c.stored()
	x.c.platformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll})
	r := x.c.ctl(x.c.others(), "config", "apply", "--if-version", fmt.Sprint(row.Version), x.c.document(className(row.Version+1)))
	x.note(fmt.Sprintf("change of the configuration: exit %d", r.exit))
	x.c.platformFaults(eplatform.Faults{DropAnswers: eplatform.DropAll, AnswerLatency: ms(2500 * time.Millisecond)})
}

// links resets or silences connections between two data centres.
func (x *injector) links(rng *rand.Rand) {
	f, what := (*netfault.Link).Reset, "reset"
	if rng.IntN(2) == 0 {
		f, what = (*netfault.Link).Silence, "silence"
	}
	x.note(what + " connections")
	x.c.eachLink(rng, f)
}

func (x *injector) memberFault(what string, m platform.Member, f emember.Faults, rng *rand.Rand, stop <-chan struct{}) {
	x.during(what+" "+m.Name, m.Name, func() { x.c.memberFaults(m, f) }, func() { x.c.memberFaults(m, emember.Faults{}) }, rng, stop)
}

func (x *injector) during(what, target string, begin, end func(), rng *rand.Rand, stop <-chan struct{}) {
	if !x.claim(target) {
		return
	}
	defer x.release(target)
	x.note(what)
	begin()
	hold(rng, stop)
	end()
	x.note("end of " + what)
}

func (x *injector) note(what string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.log = append(x.log, fmt.Sprintf("%s %s", time.Now().Format("05.000"), what))
}

// restart starts a killed daemon. With the store down it may be ready only later.
func (x *injector) restart(vm string) {
	if err := x.c.StartDaemon(vm); err != nil {
		x.c.t.Errorf("restart of %s: %v", vm, err)
	}
}

// registerSession writes and reads registers with a token and, in a second session without one, on the confirmed
// primary.
type registerSession struct {
	caller
	strong caller
	n      int
	h      *history
	vms    []string
	rng    *rand.Rand
	own    map[string]*access // last acknowledged write of each key
	err    error
}

func (s *registerSession) run(stop <-chan struct{}) {
	defer s.close()
	defer s.strong.close()
	for i := 0; s.err == nil; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(s.rng.IntN(10)) * time.Millisecond):
		}
		if s.rng.IntN(10) == 0 {
			s.move()
		}
		key := fmt.Sprintf("r%d", s.rng.IntN(registers))
		switch s.rng.IntN(4) {
		case 0, 1:
			s.write(key, fmt.Sprintf("%s=%d.%d", key, s.n, i))
		case 2:
			s.readRegister(&s.caller, key, []string{"confirm", "lookup"}[s.rng.IntN(2)], false)
		case 3:
			s.readRegister(&s.strong, key, "confirm", true)
		}
	}
}

func (s *registerSession) move() {
	s.roam(s.vms[s.rng.IntN(len(s.vms))])
	s.strong.roam(s.vm)
}

func (s *registerSession) write(key, value string) {
	before := s.token
	a := &access{key: key, value: value, write: true, begin: s.h.now(), session: s.n, vm: s.vm}
	_, err := s.caller.run("order", fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('%s', '%s') "+
		"ON CONFLICT (key) DO UPDATE SET value = excluded.value", key, value), callTimeout)
	a.end = s.h.now()
	switch o := (order{err: err}); {
	case o.acknowledged():
		a.outcome, s.own[key] = acknowledged, a
		s.checkToken(before)
	case o.refused():
		a.outcome = refused
	}
	s.h.add(a)
	if err != nil {
		s.move()
	}
}

// checkToken requires that the token never gets weaker.
func (s *registerSession) checkToken(before string) {
	old, err1 := token.Parse(before)
	now, err2 := token.Parse(s.token)
	name := s.c.service().Name
	a, _ := old.Requirement(name)
	b, ok := now.Requirement(name)
	if err1 != nil || err2 != nil || !ok || !token.CoveredBy(a, b.Term, b.Position) {
		s.err = fmt.Errorf("session %d: token %q followed %q", s.n, s.token, before)
	}
}

func (s *registerSession) readRegister(c *caller, key, class string, confirmed bool) {
	a := &access{key: key, confirmed: confirmed, begin: s.h.now(), session: s.n, vm: c.vm}
	if !confirmed {
		a.atLeast = s.own[key]
	}
	var err error
	a.value, a.servedBy, err = c.read(class, key)
	a.end = s.h.now()
	switch {
	case err == nil:
		a.outcome = acknowledged
	case code(err) == "" || readRefused(err), code(err) == codeOverload, code(err) == codeDraining:
		s.move()
	default:
		s.err = fmt.Errorf("session %d: %s read of %s through %s: %w", s.n, class, key, c.vm, err)
	}
	s.h.add(a)
}

func seeds() []uint64 {
	if _, ok := os.LookupEnv(seedVariable); ok {
		return []uint64{seed(0)}
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
	for _, sd := range seeds() {
		t.Run(fmt.Sprint("seed ", sd), func(t *testing.T) {
			t.Parallel()
			// Every third seed begins with a primary that is alone in its region; it moves between failures.
			c := startService(t, int(sd%3), shortStand)
			t.Logf("seed %d", sd)
			h := &history{start: time.Now()}
			stop := make(chan struct{})
			var wg sync.WaitGroup
			end := sync.OnceFunc(func() { close(stop); wg.Wait() })
			t.Cleanup(end)
			var sessions []*registerSession
			for i, vm := range c.others()[:registerSessions] {
				s := &registerSession{caller: caller{c: c, vm: vm}, strong: caller{c: c, vm: vm, id: "check"}, n: i, h: h,
					vms: c.others(), rng: stream(sd, i), own: map[string]*access{}}
				sessions = append(sessions, s)
				wg.Go(func() { s.run(stop) })
			}
			writers := []*writer{c.startWriter(c.others()[0], "w0"), c.startWriter(c.others()[4], "w1")}
			c.injectFor(scheduleTime, sd)
			c.awaitRecovery(h, sessions[0], end)
			t.Logf("moves of the primary: %v done, %v given up", c.moves("done"), c.moves("given-up"))
			for _, s := range sessions {
				require.NoError(t, s.err)
			}
			h.check(t)
			c.checkLedger(stopAll(writers))
		})
	}
}

// injectFor runs two injectors for a time and ends all failures.
func (c *cluster) injectFor(d time.Duration, sd uint64) {
	x := &injector{c: c, target: map[string]bool{}}
	c.t.Cleanup(func() { c.t.Logf("failures: %q", x.log) })
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { x.run(stream(sd, -1-i), stop) })
	}
	time.Sleep(d)
	close(stop)
	wg.Wait()
	for _, vm := range c.others() {
		require.NoError(c.t, c.WaitReady(context.Background(), vm))
	}
}

// awaitRecovery waits until each register can be written and read on a confirmed primary, ends the sessions and reads
// each register a last time.
func (c *cluster) awaitRecovery(h *history, s *registerSession, end func()) {
	c.t.Helper()
	end()
	vm := c.others()[0]
	final := &registerSession{caller: caller{c: c, vm: vm}, strong: caller{c: c, vm: vm, id: "final"}, n: -1, h: h,
		vms: s.vms, rng: s.rng, own: map[string]*access{}}
	defer final.close()
	defer final.strong.close()
	for i := range registers {
		key := fmt.Sprintf("r%d", i)
		eventually(c.t, func() bool {
			n := len(h.all)
			final.readRegister(&final.strong, key, "confirm", true)
			return h.all[n].outcome == acknowledged
		}, failoverBound, 10*time.Millisecond, "register %s cannot be read after all failures ended", key)
	}
	require.NoError(c.t, final.err)
}
