package teamlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// fixedTeams are the teams of a test.
type fixedTeams map[string]*clusterconfig.RateLimit

func (f fixedTeams) Limit(team string) (*clusterconfig.RateLimit, bool) {
	l, ok := f[team]
	return l, ok
}

func (f fixedTeams) Limited(call func(team string)) {
	for team, l := range f {
		if l != nil {
			call(team)
		}
	}
}

// keeperTest is a keeper with a clock that the test sets.
type keeperTest struct {
	*Keeper
	now    time.Duration
	listed map[string]bool
}

func newKeeperTest(incarnation uint64, listed ...string) *keeperTest {
	k := &keeperTest{now: time.Second, listed: map[string]bool{}}
	for _, vm := range listed {
		k.listed[vm] = true
	}
	k.Keeper = NewKeeper(func() time.Duration { return k.now }, incarnation,
		fixedTeams{"team": {PerSecond: 100, Burst: 50}, "free": nil, "closed": {}}, func() map[string]bool { return k.listed })
	return k
}

// attach attaches a VM and asks for tokens.
func (k *keeperTest) attach(vm, team string, tokens int) Grant {
	r := k.Handle(vm, Request{})
	reply := k.Handle(vm, Request{Incarnation: r.Incarnation, Confirmed: r.Stamp, Wants: []Want{{Team: team, Tokens: tokens}}})
	return reply.Grants[0]
}

// A keeper knows nothing of what its predecessor granted, so that it must begin without tokens. It must grant what its part of
// the fleet may use, and no team more than its burst at once.
func TestKeeperGrants(t *testing.T) {
	k := newKeeperTest(1, "a", "b")
	require.Zero(t, k.attach("a", "team", 50).Tokens, "at its start")
	k.now += 200 * time.Millisecond
	require.Equal(t, 10, k.attach("a", "team", 50).Tokens, "half of the fleet for 200 ms")
	for range 20 {
		k.now += 100 * time.Millisecond
		k.attach("a", "free", 1)
		k.attach("b", "free", 1)
	}
	g := k.attach("a", "team", 60)
	require.Equal(t, 50, g.Tokens, "the whole fleet, after a pause")
	require.Positive(t, g.Wait)
	require.Equal(t, 7, k.attach("a", "free", 7).Tokens)
	require.Zero(t, k.attach("a", "closed", 1).Tokens)
	require.Zero(t, k.attach("a", "unheard", 1).Tokens, "this VM may have an older configuration")
	k.now += 10 * time.Second
	require.Zero(t, k.attach("b", "team", 50).Tokens, "nobody was attached, so that another keeper may have granted")
	require.Zero(t, k.attach("stranger", "team", 1).Tokens)
}

// A team whose burst is below one operation, stated so or by the share of the VMs that are attached, must still get its rate: the
// smallest burst is not a closed team.
func TestSmallBurstsGetTheirRate(t *testing.T) {
	for _, c := range []struct {
		rate, burst float64
		attached    []string
		want        int // operations in 20 s
	}{
		{10, 0, []string{"a", "b"}, 200}, {10, 0.5, []string{"a", "b"}, 200}, {257, 0, []string{"a", "b"}, 5140}, {10, 1, []string{"a"}, 100}, {0.5, 0.5, []string{"a", "b"}, 10},
		{0, 5, []string{"a", "b"}, 0}, {0, 0, []string{"a"}, 0},
	} {
		k := newKeeperTest(1, "a", "b")
		k.teams = fixedTeams{"team": {PerSecond: c.rate, Burst: c.burst}}
		got := 0
		for range 400 {
			k.now += 50 * time.Millisecond
			for _, vm := range c.attached {
				got += k.attach(vm, "team", 20).Tokens
			}
		}
		require.InDelta(t, c.want, got, 0.02*float64(c.want)+1, "%v", c)
		require.LessOrEqual(t, float64(got), c.rate*20+max(c.burst, 1, c.rate*minFill.Seconds()), "%v", c)
	}
}

// Refused callers must be told different times, in the order of their refusal, so that they do not return at once.
func TestRefusedCallersReturnSpread(t *testing.T) {
	k := newKeeperTest(1, "a")
	k.attach("a", "team", 0)
	before := -90 * time.Millisecond
	for range 5 {
		g := k.attach("a", "team", 10)
		require.GreaterOrEqual(t, g.Return, before+90*time.Millisecond)
		require.LessOrEqual(t, g.Wait, 20*time.Millisecond)
		before = g.Return
	}
}

// While a keeper is new, operations must wait for tokens instead of being refused: a fleet that has restarted would refuse teams
// within their limits. Later they must be refused at once.
func TestOperationsWaitForANewKeeper(t *testing.T) {
	k := newKeeperTest(1, "a")
	require.True(t, k.attach("a", "team", 10).New)
	for k.now < time.Second+newFor {
		k.now += 100 * time.Millisecond
		k.attach("a", "free", 1)
	}
	require.False(t, k.attach("a", "team", 100).New)

	now := time.Second
	p := NewPurse(func() time.Duration { return now }, func(string) {})
	w, _ := p.Take(limited("team", 100, 50), 0, time.Second)
	p.Receive(now, []Want{{Team: "team", Tokens: 1}}, []Grant{{Wait: 300 * time.Millisecond, New: true}})
	require.Empty(t, w.done)
	later, err := p.Take(limited("team", 100, 50), 0, time.Second)
	require.NoError(t, err)
	require.NotNil(t, later)
	now += 400 * time.Millisecond
	p.Receive(now, []Want{{Team: "team", Tokens: 2}}, []Grant{{Tokens: 1, Wait: 300 * time.Millisecond}})
	require.NoError(t, <-w.done)
	require.Error(t, <-later.done)
}

// Tokens that a VM holds must end soon, since a frozen VM spends them later than its keeper takes for granted.
func TestTokensExpire(t *testing.T) {
	now := time.Second
	p := NewPurse(func() time.Duration { return now }, func(string) {})
	w, err := p.Take(limited("team", 100, 50), 0, time.Second)
	require.NoError(t, err)
	p.Receive(now, []Want{{Team: "team", Tokens: 1}}, []Grant{{Tokens: 3}})
	require.NoError(t, <-w.done)
	now += Validity - time.Millisecond
	w, err = p.Take(limited("team", 100, 50), 0, time.Second)
	require.Nil(t, w)
	require.NoError(t, err)
	now += time.Millisecond
	w, _ = p.Take(limited("team", 100, 50), 0, time.Second)
	require.NotNil(t, w, "the last token has expired")
	p.Receive(now, []Want{{Team: "team", Tokens: 1}}, []Grant{{Wait: 300 * time.Millisecond, Return: time.Second}})
	require.True(t, errkind.Is(<-w.done, errkind.RateLimited))
	w, err = p.Take(limited("team", 100, 50), 100*time.Millisecond, time.Second)
	require.Nil(t, w, "it is known that the wait is too long")
	require.ErrorContains(t, err, "retry in 1000 ms")
}

// At no time may two keepers count the same VM, whatever is lost or late on the way and whichever keeper it turns to.
func TestOneKeeperCountsAVM(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 5))
		keepers := map[string]*keeperTest{"a": newKeeperTest(1, "vm"), "b": newKeeperTest(2, "vm")}
		type letter struct {
			to      string
			at      time.Duration
			request Request
		}
		var late []letter
		var l link
		wanted, now := "a", time.Second
		for range 200 {
			now += time.Duration(random.IntN(200)) * time.Millisecond
			for _, k := range keepers {
				k.now = now
			}
			counted := 0
			for _, k := range keepers {
				if k.Handle("observer", Request{}); k.attached["vm"] > now {
					counted++
				}
			}
			require.LessOrEqual(t, counted, 1, "seed %d at %v", seed, now)
			if random.IntN(8) == 0 {
				wanted = map[string]string{"a": "b", "b": "a"}[wanted]
			}
			rest := late[:0]
			for _, m := range late {
				if m.at > now {
					rest = append(rest, m)
					continue
				}
				keepers[m.to].Handle("vm", m.request) // its answer is lost
			}
			late = rest
			if !l.mayTurnTo(wanted, now) {
				if random.IntN(4) == 0 {
					keepers[l.keeper].Handle("vm", Request{Incarnation: l.incarnation, Detach: true})
					l.countedOut()
				}
				continue
			}
			l.turnTo(wanted)
			r := l.request(nil)
			if random.IntN(3) == 0 {
				late = append(late, letter{wanted, now + time.Duration(random.IntN(3000))*time.Millisecond, r})
				continue
			}
			l.receive(keepers[wanted].Handle("vm", r), now)
		}
	}
}
