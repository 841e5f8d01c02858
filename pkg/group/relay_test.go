package group

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// fakePrimaryOwner answers requests for the view of the primary's owner with the view of watcher, encoded and decoded as
// on the network. Each direction takes a random time up to delay. There is no answer while silent is set or watcher is
// nil.
type fakePrimaryOwner struct {
	watcher atomic.Pointer[Watcher]
	delay   time.Duration
	silent  atomic.Bool
}

func newFakePrimaryOwner(w *Watcher, delay time.Duration) *fakePrimaryOwner {
	owner := &fakePrimaryOwner{delay: delay}
	owner.watcher.Store(w)
	return owner
}

func (owner *fakePrimaryOwner) relay(ctx context.Context, _ platform.VM, service string, seen uint32) (RelayedView, error) {
	time.Sleep(rand.N(owner.delay + 1))
	w := owner.watcher.Load()
	if w == nil || owner.silent.Load() {
		<-ctx.Done()
		return RelayedView{}, ctx.Err()
	}
	r := w.RelayView(service, seen)
	time.Sleep(rand.N(owner.delay + 1))
	body, err := r.Encode()
	if err != nil {
		return r, err
	}
	return DecodeRelayedView(body)
}

// A relayed view must not report a replica's data as younger than it is. A watcher that gets usable answers from the
// lead must not poll the members itself.
func TestRelayedAgeIsNotTooYoung(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 70 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeService(t, 3)
			w0 := f.watcher(t, "w0", 0)
			owner := newFakePrimaryOwner(w0, delay)
			w1 := f.watcherWithRelay(t, "w1", 1, owner.relay)
			ctx, stop := context.WithCancel(t.Context())
			acks := startWriter(ctx, f, w0, false)
			time.Sleep(3 * time.Second)
			polls := w1.Stats().Polls
			m2 := func() MemberView {
				v, _ := w1.View("s")
				return v.Members[2]
			}
			for range 40 {
				time.Sleep(600*time.Millisecond + rand.N(400*time.Millisecond))
				require.True(t, m2().Fresh)
				require.Less(t, m2().Age, 1500*time.Millisecond)
				f.update(func() { f.member("m2").replicationPaused = true })
				f.write("m0")
				behind := time.Now()
				for range 100 {
					time.Sleep(7 * time.Millisecond)
					require.GreaterOrEqual(t, m2().Age, time.Since(behind))
				}
				f.update(func() { f.member("m2").replicationPaused = false })
			}
			require.Equal(t, polls, w1.Stats().Polls)
			stop()
			<-acks
		})
	}
}

// When the primary's owner stops answering, no longer owns the primary, or is a daemon of an older version, the watcher
// must poll the members itself, so its view is still updated.
func TestDirectPollsWithoutLead(t *testing.T) {
	for name, lose := range map[string]func(owner *fakePrimaryOwner){
		"silent":      func(owner *fakePrimaryOwner) { owner.silent.Store(true) },
		"not leading": func(owner *fakePrimaryOwner) { owner.watcher.Store(New(Options{})) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeService(t, 3)
				owner := newFakePrimaryOwner(f.watcher(t, "w0", 0), 0)
				w1 := f.watcherWithRelay(t, "w1", 1, owner.relay)
				time.Sleep(3 * time.Second)
				pollsBefore := w1.Stats().Polls
				time.Sleep(3 * time.Second)
				require.Equal(t, pollsBefore, w1.Stats().Polls)
				require.False(t, w1.MajorityAnswered("s", majorityWindow), "relayed answers must not count for the majority check")
				lose(owner)
				time.Sleep(idlePollInterval + directPollDelay + 2*roundTrip)
				require.True(t, w1.MajorityAnswered("s", majorityWindow))
			})
		})
	}
	r, err := DecodeRelayedView([]byte{0x84, 0xa1, 's', 0xa1, 'x', 0xa1, 't', 1, 0xa1, 'p', 0xa0, 0xa1, 'm', 0x90})
	require.NoError(t, err)
	require.False(t, r.Leading, "a view from a daemon of an older version must decode with Leading false")
}

// Relays must not delay a failover: the detection time must start at the last answer to the primary's owner, and direct
// polls must start in time when the primary's owner is lost together with the primary.
func TestRelaysDelayNoFailover(t *testing.T) {
	// The bounds are those without relays. The first promoter finds the loss after the detection time. The second one
	// polls at the idle interval, needs two calls to time out, and leaves the first promoter its delay. The attempt itself
	// adds the wait for members beyond a majority.
	const attempt = fenceGrace + 10*roundTrip
	for rank, bound := range []time.Duration{
		detectionTime + attempt, idlePollInterval + 2*callTimeout + unhealthyPollInterval + rankDelay + attempt,
	} {
		for name, lose := range primaryFaults {
			gaps := map[bool][]time.Duration{}
			for run := range 40 {
				synctest.Test(t, func(t *testing.T) {
					relays := run%2 == 0
					f := newFakeService(t, 3)
					owner := newFakePrimaryOwner(f.watcher(t, "w0", 2), 0)
					w1 := f.watcherWithRelay(t, "w1", rank, nil)
					if relays {
						w1.Close()
						w1 = f.watcherWithRelay(t, "w1", rank, owner.relay)
					}
					end := time.Now().Add(3*time.Second + time.Duration(run/2)*23*time.Millisecond)
					for time.Now().Before(end) {
						w1.MajorityAnswered("s", majorityWindow)
						time.Sleep(time.Until(end) % (500 * time.Millisecond))
						time.Sleep(time.Millisecond)
					}
					lost := time.Now()
					owner.silent.Store(true)
					owner.watcher.Load().Close()
					f.update(func() { lose(f) })
					for len(f.history()) == 1 {
						time.Sleep(time.Millisecond)
						require.Less(t, time.Since(lost), 5*time.Second)
					}
					gaps[relays] = append(gaps[relays], time.Since(lost))
				})
			}
			for _, g := range gaps {
				slices.Sort(g)
			}
			n := len(gaps[true])
			t.Logf("rank %d %s: relayed median %v, worst %v; direct median %v, worst %v", rank, name,
				gaps[true][n/2], gaps[true][n-1], gaps[false][n/2], gaps[false][n-1])
			require.LessOrEqual(t, gaps[true][n-1], bound)
		}
	}
}

// Ages and counts of a relayed view may hold anything. None may make a member seem younger than the request, count for what only the
// members' own answers count for, or outlast the next sound view.
func TestExtremesOfARelayedView(t *testing.T) {
	const largest = math.MaxUint32
	for name, change := range map[string]func(*RelayedMember){
		"never heard":           func(m *RelayedMember) { m.Heard = 0 },
		"heard long ago":        func(m *RelayedMember) { m.Heard = largest },
		"never asked":           func(m *RelayedMember) { m.Sent = 0 },
		"asked long ago":        func(m *RelayedMember) { m.Sent = largest },
		"of unknown age":        func(m *RelayedMember) { m.Fresh = 0 },
		"very old":              func(m *RelayedMember) { m.Fresh = largest },
		"no age at all":         func(m *RelayedMember) { m.Heard, m.Sent, m.Fresh = 0, 0, 0 },
		"fails most often":      func(m *RelayedMember) { m.Failures = math.MaxInt },
		"fails less than never": func(m *RelayedMember) { m.Failures = math.MinInt },
		"has no status":         func(m *RelayedMember) { m.Status = nil },
		"is another member":     func(m *RelayedMember) { m.Status = &platform.Status{Member: "odd", Role: platform.RolePrimary} },
		"is of an odd role": func(m *RelayedMember) {
			m.Status = &platform.Status{Member: "m2", Role: "odd", AppliedTerm: 1, LastTerm: 1}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeService(t, 3)
				owner := newFakePrimaryOwner(f.watcher(t, "w0", 0), 0)
				var odd atomic.Bool
				w1 := f.watcherWithRelay(t, "w1", 1, func(ctx context.Context, vm platform.VM, service string, _ uint32) (RelayedView, error) {
					r, err := owner.relay(ctx, vm, service, 0)
					if odd.Load() && len(r.Members) == 3 {
						change(&r.Members[2])
					}
					return r, err
				})
				time.Sleep(2 * time.Second)
				odd.Store(true)
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					v, _ := w1.View("s")
					for _, m := range v.Members {
						require.GreaterOrEqual(t, m.Age, time.Duration(0))
					}
				}
				odd.Store(false)
				time.Sleep(2 * time.Second)
				v, _ := w1.View("s")
				require.True(t, v.Members[2].Reachable)
				require.True(t, v.Members[2].Fresh)
				require.Equal(t, platform.RoleReplica, v.Members[2].Status.Role)
				require.Len(t, f.history(), 1)
			})
		})
	}
}
