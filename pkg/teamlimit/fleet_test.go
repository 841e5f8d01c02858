package teamlimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// fleet is a number of VMs that exchange messages in memory. It runs in virtual time.
type fleet struct {
	t     *testing.T
	start time.Time

	mu       sync.Mutex
	vms      map[string]*fleetVM // guarded by mu; running VMs
	names    []string            // guarded by mu; listed VMs
	groups   map[string]int      // guarded by mu; VMs with different numbers are cut off from each other
	frozen   map[string]bool     // guarded by mu; VMs that neither send nor answer, and still hold what they were granted
	doc      *clusterconfig.Document
	spent    []spending // guarded by mu
	requests int        // guarded by mu
	delay    func() time.Duration
}

type fleetVM struct {
	name    string
	service *Service
	stop    context.CancelFunc
}

type spending struct {
	at   time.Duration
	team string
}

func newFleet(t *testing.T, n int, teams ...clusterconfig.Team) *fleet {
	f := &fleet{t: t, start: time.Now(), vms: map[string]*fleetVM{}, groups: map[string]int{}, frozen: map[string]bool{},
		doc:   &clusterconfig.Document{Version: 1, KeysRequired: true, Teams: teams},
		delay: func() time.Duration { return 5 * time.Millisecond }}
	for i := range n {
		f.names = append(f.names, vmName(i))
	}
	for i := range n {
		f.startVM(vmName(i))
	}
	return f
}

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }

func limited(name string, rate, burst float64) clusterconfig.Team {
	return clusterconfig.Team{Name: name, Limit: &clusterconfig.RateLimit{PerSecond: rate, Burst: burst}}
}

func (f *fleet) clock() time.Duration { return time.Since(f.start) + time.Second }

// startVM starts a VM, in place of a former one of this name.
func (f *fleet) startVM(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(f.t.Context())
	vm := &fleetVM{name: name, stop: stop}
	vm.service = New(Options{Self: name, Log: log, Clock: f.clock,
		Live:     func() []platform.VM { return f.seenBy(name) },
		Listed:   func() ([]platform.VM, bool) { return f.listedBut(name), true },
		Document: func() *clusterconfig.Document { f.mu.Lock(); defer f.mu.Unlock(); return f.doc },
		Request: func(ctx context.Context, to platform.VM, body []byte) ([]byte, error) {
			return f.request(ctx, name, to.Name, body)
		}})
	f.mu.Lock()
	f.vms[name] = vm
	f.mu.Unlock()
	require.NoError(f.t, vm.service.Start(ctx))
}

func (f *fleet) crash(name string) {
	f.mu.Lock()
	vm := f.vms[name]
	delete(f.vms, name)
	f.mu.Unlock()
	if vm != nil {
		vm.stop()
		_ = vm.service.Stop(context.Background())
	}
}

func (f *fleet) stopAll() {
	for _, name := range append([]string(nil), f.names...) {
		f.crash(name)
	}
	f.heal()
	time.Sleep(30 * time.Second) // messages on their way arrive
}

func (f *fleet) listedBut(name string) (vms []platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.names {
		if n != name {
			vms = append(vms, platform.VM{Name: n})
		}
	}
	return vms
}

// seenBy returns the VMs that a VM takes for live: those that run and that it reaches.
func (f *fleet) seenBy(name string) (vms []platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.names {
		if f.vms[n] != nil && f.groups[n] == f.groups[name] && (!f.frozen[n] || n == name) {
			vms = append(vms, platform.VM{Name: n})
		}
	}
	return vms
}

// request delivers a message after a delay. Messages across a cut or to a frozen VM arrive when that is over, late as they are.
func (f *fleet) request(ctx context.Context, from, to string, body []byte) ([]byte, error) {
	type answer struct {
		body []byte
		err  error
	}
	done := make(chan answer, 1)
	f.mu.Lock()
	f.requests++
	there, back := f.delay(), f.delay()
	vm := f.vms[to]
	f.mu.Unlock()
	if vm == nil {
		time.Sleep(there)
		return nil, syscall.ECONNREFUSED
	}
	go func() {
		time.Sleep(there)
		if !f.awaitPath(from, to) {
			return
		}
		reply, err := vm.service.Handle(ctx, platform.VM{Name: from}, body)
		time.Sleep(back)
		if f.awaitPath(from, to) {
			done <- answer{reply, err}
		}
	}()
	select {
	case a := <-done:
		return a.body, a.err
	case <-ctx.Done():
		return nil, errors.New("no answer")
	}
}

func (f *fleet) awaitPath(a, b string) bool {
	for range 2000 {
		f.mu.Lock()
		ok := f.groups[a] == f.groups[b] && !f.frozen[a] && !f.frozen[b]
		f.mu.Unlock()
		if ok {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// call asks for one operation of the team at a VM, and reports whether it was admitted.
func (f *fleet) call(vm, team string, patience time.Duration) bool {
	f.mu.Lock()
	v, t, frozen := f.vms[vm], f.doc, f.frozen[vm]
	f.mu.Unlock()
	if v == nil || frozen {
		return false
	}
	entry, _ := t.Team(team)
	if v.service.Admit(f.t.Context(), entry, patience, 500*time.Millisecond) != nil {
		return false
	}
	f.awaitPath(vm, vm) // a VM that froze meanwhile goes on when it wakes
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spent = append(f.spent, spending{time.Since(f.start), team})
	return true
}

// drive calls for a team at a rate for some time, at the VM that choose names.
func (f *fleet) drive(team string, perSecond float64, d time.Duration, choose func() string) {
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(uint64(len(team)), uint64(d)))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		vm := choose()
		wg.Go(func() { f.call(vm, team, 80*time.Millisecond) })
	}
	wg.Wait()
}

// countSpent returns what a team spent from one time after the start to another.
func (f *fleet) countSpent(team string, from, to time.Duration) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spent {
		if s.team == team && s.at >= from && s.at < to {
			n++
		}
	}
	return n
}

// worstWindow returns the most that a team spent within any 5 s.
func (f *fleet) worstWindow(team string) (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var in []time.Duration
	for _, s := range f.spent {
		if s.team != team {
			continue
		}
		in = append(in, s.at)
		for s.at-in[0] > 5*time.Second {
			in = in[1:]
		}
		most = max(most, len(in))
	}
	return most
}

// bound is the stated one: a tenth and 20 operations over the limit in any 5 s.
func bound(rate, burst float64) int { return int((rate*5+burst)*1.1 + 20) }

// A team alone must get what it may use, at one VM as well as spread over the fleet, and soon after its calls move. Beyond
// the limit nothing must run.
func TestTeamGetsItsLimit(t *testing.T) {
	for _, vms := range []int{8, 116} {
		for _, rate := range []float64{20, 250} {
			t.Run(fmt.Sprintf("%d VMs, %v a second", vms, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, vms, limited("team", rate, rate))
					defer f.stopAll()
					time.Sleep(3 * time.Second)
					random := rand.New(rand.NewPCG(7, 7))
					f.drive("team", 3*rate, 10*time.Second, func() string { return vmName(random.IntN(vms)) })
					f.drive("team", 3*rate, 10*time.Second, func() string { return vmName(0) })
					f.drive("team", 3*rate, 10*time.Second, func() string { return vmName(1) })
					for _, c := range []struct{ from, to, part float64 }{{5, 12, 0.95}, {15, 22, 0.95}, {23.1, 24.1, 0.8}, {25, 32, 0.95}} {
						got := f.countSpent("team", time.Duration(c.from*float64(time.Second)), time.Duration(c.to*float64(time.Second)))
						require.GreaterOrEqual(t, float64(got), c.part*rate*(c.to-c.from)-1, "%v to %v s", c.from, c.to)
					}
					require.LessOrEqual(t, f.worstWindow("team"), bound(rate, rate))
					t.Logf("%d requests between VMs in 33 s", f.requests)
				})
			})
		}
	}
}

// Whatever happens to VMs, links and the keepers, a team must not run more than its limit allows in any window of 5 s.
func TestLimitHoldsUnderFailures(t *testing.T) {
	const vms = 24
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, vms, limited("large", 120, 120), limited("small", 3, 3))
				defer f.stopAll()
				random := rand.New(rand.NewPCG(seed, 1))
				delays := rand.New(rand.NewPCG(seed, 99)) // guarded by f.mu
				f.mu.Lock()
				f.delay = func() time.Duration { return time.Duration(delays.ExpFloat64() * float64(6*time.Millisecond)) }
				f.mu.Unlock()
				var wg sync.WaitGroup
				for i, team := range []string{"large", "small"} {
					choose := rand.New(rand.NewPCG(seed, uint64(i)+2))
					wg.Go(func() {
						f.drive(team, map[string]float64{"large": 500, "small": 20}[team], 40*time.Second, func() string { return vmName(choose.IntN(vms)) })
					})
				}
				for range 30 {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second)))
					f.disturb(random, vms)
				}
				f.heal()
				wg.Wait()
				require.LessOrEqual(t, f.worstWindow("large"), bound(120, 120))
				require.LessOrEqual(t, f.worstWindow("small"), bound(3, 3))
				total := f.countSpent("large", 0, time.Hour)
				t.Logf("%d of %d allowed operations ran", total, 120*40)
				require.Greater(t, total, 120*40/3, "a limit that holds because nothing runs shows nothing")
			})
		})
	}
}

// disturb brings about one failure: a crashed or restarted VM, mostly a keeper, a cut, a third of the VMs frozen, or their end.
func (f *fleet) disturb(random *rand.Rand, vms int) {
	name := vmName(random.IntN(vms))
	if live := f.seenBy(name); len(live) > 0 && random.IntN(2) == 0 {
		service := New(Options{Self: name, Clock: f.clock, Live: func() []platform.VM { return live },
			Listed: func() ([]platform.VM, bool) { return nil, true }})
		if keeper, ok := service.keeperOf(random.IntN(Shards)); ok {
			name = keeper.Name
		}
	}
	switch random.IntN(6) {
	case 0, 1:
		f.crash(name)
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
		f.startVM(name)
	case 2:
		f.mu.Lock()
		for i := range vms {
			f.groups[vmName(i)] = random.IntN(2)
		}
		f.mu.Unlock()
	case 3:
		f.mu.Lock()
		f.frozen[name] = true
		for i := range vms {
			if random.IntN(3) == 0 {
				f.frozen[vmName(i)] = true
			}
		}
		f.mu.Unlock()
	default:
		f.heal()
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.groups)
	clear(f.frozen)
}

// When a limit is lowered, it must hold from a window later on. When 75% more VMs join, the sum must not grow with them.
func TestLimitIsLoweredAndFleetGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 16
		f := newFleet(t, vms, limited("team", 200, 200))
		defer f.stopAll()
		random := rand.New(rand.NewPCG(3, 3))
		var wg sync.WaitGroup
		wg.Go(func() {
			f.drive("team", 600, 30*time.Second, func() string {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.names[random.IntN(len(f.names))]
			})
		})
		time.Sleep(8 * time.Second)
		f.mu.Lock()
		for i := range vms * 3 / 4 {
			f.names = append(f.names, vmName(vms+i))
		}
		f.mu.Unlock()
		for i := range vms * 3 / 4 {
			f.startVM(vmName(vms + i))
		}
		time.Sleep(8 * time.Second)
		require.LessOrEqual(t, f.worstWindow("team"), bound(200, 200))
		f.mu.Lock()
		f.doc = &clusterconfig.Document{Version: 2, KeysRequired: true, Teams: []clusterconfig.Team{limited("team", 20, 20)}}
		f.spent = nil
		f.mu.Unlock()
		time.Sleep(time.Second)
		f.mu.Lock()
		f.spent = nil
		f.mu.Unlock()
		wg.Wait()
		require.LessOrEqual(t, f.worstWindow("team"), bound(20, 20))
		require.Greater(t, f.worstWindow("team"), 80)
	})
}
