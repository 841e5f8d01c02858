package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// lead relays the view of a watcher through the encoding, with a random delay each way. While silent it gives no answer.
type lead struct {
	w      atomic.Pointer[Watcher]
	delay  time.Duration
	silent atomic.Bool
}

func newLead(w *Watcher, delay time.Duration) *lead {
	l := &lead{delay: delay}
	l.w.Store(w)
	return l
}

func (l *lead) relay(ctx context.Context, _ platform.VM, service string, seen uint32) (Relayed, error) {
	time.Sleep(rand.N(l.delay + 1))
	w := l.w.Load()
	if w == nil || l.silent.Load() {
		<-ctx.Done()
		return Relayed{}, ctx.Err()
	}
	r := w.RelayView(service, seen)
	time.Sleep(rand.N(l.delay + 1))
	body, err := r.Encode()
	if err != nil {
		return r, err
	}
	return DecodeRelayed(body)
}

// TestRelayedAgeIsNotTooYoung guards against a relayed view that states a replica's data as younger than it is, and
// against a lead whose answers spare no polls.
func TestRelayedAgeIsNotTooYoung(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 70 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFake(t, 3)
			w0 := f.watcher(t, "w0", 0)
			l := newLead(w0, delay)
			w1 := f.relayed(t, "w1", 1, l.relay)
			ctx, stop := context.WithCancel(t.Context())
			acks := client(ctx, f, w0, false)
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
				f.set(func() { f.member("m2").behind = true })
				f.write("m0")
				behind := time.Now()
				for range 100 {
					time.Sleep(7 * time.Millisecond)
					require.GreaterOrEqual(t, m2().Age, time.Since(behind))
				}
				f.set(func() { f.member("m2").behind = false })
			}
			require.Equal(t, polls, w1.Stats().Polls)
			stop()
			<-acks
		})
	}
}

// TestDirectPollsWithoutLead guards against a view that stands still when the lead stops answering, has stopped
// leading, or is of an older version.
func TestDirectPollsWithoutLead(t *testing.T) {
	for name, lose := range map[string]func(l *lead){
		"silent":      func(l *lead) { l.silent.Store(true) },
		"not leading": func(l *lead) { l.w.Store(New(Options{})) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake(t, 3)
				l := newLead(f.watcher(t, "w0", 0), 0)
				w1 := f.relayed(t, "w1", 1, l.relay)
				time.Sleep(3 * time.Second)
				rested := w1.Stats().Polls
				time.Sleep(3 * time.Second)
				require.Equal(t, rested, w1.Stats().Polls)
				require.False(t, w1.MajorityAnswered("s", majorityWithin), "relayed answers count for the majority check")
				lose(l)
				time.Sleep(idleInterval + relayPatience + 2*roundTrip)
				require.True(t, w1.MajorityAnswered("s", majorityWithin))
			})
		})
	}
	r, err := DecodeRelayed([]byte{0x84, 0xa1, 's', 0xa1, 'x', 0xa1, 't', 1, 0xa1, 'p', 0xa0, 0xa1, 'm', 0x90})
	require.NoError(t, err)
	require.False(t, r.Leading, "the view of an older version")
}

// TestRelaysDelayNoFailover guards against a suspicion that counts from later than the last answer that the lead had,
// and against polls that start late when the lead is lost with its primary.
func TestRelaysDelayNoFailover(t *testing.T) {
	// Without relays the first promoter suspects after the detection time; the second polls at the slow interval, gives
	// two calls their time, and waits for the first. An attempt adds the wait for members beyond a majority.
	const attempt = fenceGrace + 10*roundTrip
	for rank, bound := range []time.Duration{
		detectionTime + attempt, idleInterval + 2*callTimeout + activeInterval + rankDelay + attempt,
	} {
		for name, lose := range losses {
			gaps := map[bool][]time.Duration{}
			for run := range 40 {
				synctest.Test(t, func(t *testing.T) {
					relays := run%2 == 0
					f := newFake(t, 3)
					l := newLead(f.watcher(t, "w0", 2), 0)
					w1 := f.relayed(t, "w1", rank, nil)
					if relays {
						w1.Close()
						w1 = f.relayed(t, "w1", rank, l.relay)
					}
					end := time.Now().Add(3*time.Second + time.Duration(run/2)*23*time.Millisecond)
					for time.Now().Before(end) {
						w1.MajorityAnswered("s", majorityWithin)
						time.Sleep(time.Until(end) % (500 * time.Millisecond))
						time.Sleep(time.Millisecond)
					}
					lost := time.Now()
					l.silent.Store(true)
					l.w.Load().Close()
					f.set(func() { lose(f) })
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
