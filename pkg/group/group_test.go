package group

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// All tests run on the virtual clock of testing/synctest, which also fails a test whose goroutines do not end.

// client writes every 10 ms until ctx ends, and returns the times of acknowledgements. It writes to the primary of the
// view of w or, if all is set, to each member that takes writes, as callers do that still reach an old primary.
func client(ctx context.Context, f *fake, w *Watcher, all bool) <-chan []time.Time {
	out := make(chan []time.Time, 1)
	go func() {
		var acks []time.Time
		for {
			select {
			case <-ctx.Done():
				out <- acks
				return
			case <-time.After(10 * time.Millisecond):
			}
			v, _ := w.View("s")
			for _, m := range v.Members {
				e, pos, ok := fakeEntry{}, platform.Position(0), false
				if all || m.Name == v.Primary && !m.Leaving && w.MajorityAnswered("s", majorityWithin) && f.admit() {
					e, pos, ok = f.write(m.Name)
				}
				for i := 0; ok && m.Name != v.Primary && i < 50; i++ {
					f.write(m.Name) // so that the tail of an old primary becomes the longest log
				}
				limit, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				if ok && w.WaitAcknowledged(limit, "s", e.term, pos) == nil {
					f.ack(e, pos)
					acks = append(acks, time.Now())
				} else if ok {
					f.set(func() { f.lost++ })
				}
				cancel()
				f.set(func() { f.writing = 0 })
			}
		}
	}()
	return out
}

// settle waits until all members that are up hold the same log under one primary.
func settle(t require.TestingT, f *fake) {
	same := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		primaries, logs := 0, [][]fakeEntry{}
		for _, m := range f.members {
			if m.down || m.frozen != nil {
				continue
			}
			if m.status.Role == platform.RolePrimary {
				primaries++
			}
			logs = append(logs, m.log)
		}
		return primaries == 1 && !slices.ContainsFunc(logs, func(l []fakeEntry) bool { return !slices.Equal(l, logs[0]) })
	}
	for end := time.Now().Add(30 * time.Second); !same(); time.Sleep(10 * time.Millisecond) {
		require.True(t, time.Now().Before(end), "members did not converge")
	}
	require.Empty(t, f.found())
}

func heal(f *fake) {
	clear(f.cut)
	for _, m := range f.members {
		m.down, m.behind, m.status.Leaving = false, false, false
		if m.frozen != nil {
			close(m.frozen)
			m.frozen = nil
		}
	}
}

// loseState restarts a member without its fence and log, unless another one has lost its own before.
func loseState(f *fake, i int) {
	if slices.ContainsFunc(f.members, func(m *fakeMember) bool { return m.status.LostState }) {
		return
	}
	m := f.members[i]
	m.log, m.status = nil, platform.Status{Role: platform.RoleFenced, LostState: true}
}

var losses = map[string]func(f *fake){
	"kill":   func(f *fake) { f.members[0].down = true },
	"freeze": func(f *fake) { f.members[0].frozen = make(chan struct{}) },
	"cut":    func(f *fake) { isolate(f, 0) },
}

// isolate cuts a member off from the watchers and the other members, while callers still reach its data connections.
func isolate(f *fake, i int) {
	for _, o := range []string{"w0", "w1", "m0", "m1", "m2"} {
		f.cut[fmt.Sprintf("%s>m%d", o, i)], f.cut[fmt.Sprintf("m%d>%s", i, o)] = true, true
	}
}

// TestFailover guards against lost writes and long gaps when the primary fails, and against an old primary that
// returns with a tail of its own.
func TestFailover(t *testing.T) {
	for name, lose := range losses {
		var gaps []time.Duration
		for run := range 10 {
			synctest.Test(t, func(t *testing.T) {
				f := newFake(t, 3)
				w0 := f.watcher(t, "w0", 0)
				f.watcher(t, "w1", 1)
				ctx, stop := context.WithCancel(t.Context())
				acks := client(ctx, f, w0, false)
				time.Sleep(3*time.Second + time.Duration(run)*37*time.Millisecond)
				lost := time.Now()
				f.set(func() { lose(f) })
				time.Sleep(6 * time.Second)
				for range 5 {
					f.write("m0") // a tail that only the old primary holds, where it still takes writes
				}
				f.set(func() { heal(f) })
				time.Sleep(time.Second)
				stop()
				for _, at := range <-acks {
					if at.After(lost.Add(50 * time.Millisecond)) {
						gaps = append(gaps, at.Sub(lost))
						break
					}
				}
				settle(t, f)
				require.Len(t, f.history(), 2)
			})
		}
		require.Len(t, gaps, 10)
		slices.Sort(gaps)
		t.Logf("%s: loss to first acknowledged write, virtual time: median %v, worst %v", name, gaps[5], gaps[9])
		require.Less(t, gaps[9], 2*time.Second)
		if name == "kill" {
			require.Less(t, gaps[9], detectionTime, "a primary that refuses connections waits for no detection time")
		}
	}
}

// TestCheckFindsKilledPrimary guards against a wait for the next regular poll when units have found that the primary
// refuses connections.
func TestCheckFindsKilledPrimary(t *testing.T) {
	for run := range 8 {
		synctest.Test(t, func(t *testing.T) {
			f := newFake(t, 3)
			w := f.watcher(t, "w0", 0)
			time.Sleep(3*time.Second + time.Duration(run)*53*time.Millisecond)
			f.set(func() { f.members[0].down = true })
			w.PollPrimary("s")
			time.Sleep(checkPause + refusedTime + 2*fenceGrace)
			v, _ := w.View("s")
			require.NotEqual(t, "m0", v.Primary)
			require.NotEmpty(t, v.Primary)
		})
	}
}

// TestHealthyServiceLeftAlone guards against fences and orders where nothing is wrong, and against goroutines that
// outlive a dropped service.
func TestHealthyServiceLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(10 * time.Second)
		st := w.Stats()
		require.Zero(t, st.Fences+st.Follows)
		require.True(t, w.MajorityAnswered("s", majorityWithin), "an idle service must be ready for a write")
		v, ok := w.View("s")
		require.True(t, ok)
		require.Equal(t, "m0", v.Primary)
		w.SetServices(nil)
		synctest.Wait()
		// Each forwarded statement asks for the view of a service that its VM does not watch.
		require.Zero(t, testing.AllocsPerRun(10, func() { _, ok = w.View("s") }))
		require.False(t, ok)
		require.Error(t, w.WaitAcknowledged(t.Context(), "s", 1, 1))
	})
}

// TestRace guards against two primaries when two promoters act at the same moment.
func TestRace(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := newFake(t, 3)
			f.watcher(t, "w0", 0)
			f.watcher(t, "w1", 0)
			time.Sleep(time.Second)
			f.set(func() { f.members[0].down = true })
			time.Sleep(5 * time.Second)
			settle(t, f)
			f.set(func() { heal(f) })
			settle(t, f)
		})
	}
}

// TestPromoterDies guards against a service that stays fenced when a promoter dies between fence and promotion.
func TestPromoterDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		f.onPromote = func(vm string) {
			if vm == "w0" {
				f.set(func() { f.cut["w0>m0"], f.cut["w0>m1"], f.cut["w0>m2"] = true, true, true })
			}
		}
		f.watcher(t, "w0", 0)
		f.watcher(t, "w1", 1)
		time.Sleep(time.Second)
		f.set(func() { f.members[0].down = true })
		time.Sleep(5 * time.Second)
		settle(t, f)
		require.Contains(t, f.history(), platform.Term(3))
	})
}

// TestLongerTailLoses guards against promoting an old primary whose log is longer, but of an older term.
func TestLongerTailLoses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.set(func() { isolate(f, 0) })
		for range 100 {
			f.write("m0")
		}
		time.Sleep(3 * time.Second)
		e, pos, ok := f.write(f.history()[2])
		require.True(t, ok)
		require.NoError(t, w.WaitAcknowledged(t.Context(), "s", e.term, pos))
		f.ack(e, pos)
		f.set(func() {
			heal(f)
			f.member(f.primaries[2]).down = true
		})
		time.Sleep(3 * time.Second)
		require.NotContains(t, []string{"", "m0"}, f.history()[3])
		settle(t, f)
	})
}

// TestLeaving guards against unacknowledged writes when a primary announces that it leaves.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", 0)
		ctx, stop := context.WithCancel(t.Context())
		acks := client(ctx, f, w, false)
		time.Sleep(3 * time.Second)
		f.set(func() { f.members[0].status.Leaving = true })
		time.Sleep(time.Second)
		stop()
		times, gap := <-acks, time.Duration(0)
		for i := 1; i < len(times); i++ {
			gap = max(gap, times[i].Sub(times[i-1]))
		}
		t.Logf("longest time between acknowledged writes: %v", gap)
		require.Less(t, gap, 500*time.Millisecond)
		require.Zero(t, f.lost, "writes in progress must be acknowledged")
		v, _ := w.View("s")
		require.Equal(t, "m1", v.Primary)
		settle(t, f)
		require.Len(t, f.history(), 2)
	})
}

// TestFarBehind guards against reads from, and promotion of, a replica that lags.
func TestFarBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.set(func() { f.members[1].behind, f.members[2].lag = true, 1 })
		e, pos, _ := f.write("m0")
		require.NoError(t, w.WaitAcknowledged(t.Context(), "s", e.term, pos))
		f.ack(e, pos)
		time.Sleep(2 * time.Second)
		v, _ := w.View("s")
		require.Less(t, v.Members[0].Age, time.Second)
		require.GreaterOrEqual(t, v.Members[1].Age, 2*time.Second)
		require.GreaterOrEqual(t, v.Members[2].Age, 2*time.Second, "received but not applied")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		r := unit.Requirement{Term: e.term, Position: pos}
		require.True(t, errkind.Is(w.WaitApplied(ctx, "s", "m2", r), errkind.ReadNotCovered))
		time.AfterFunc(time.Second, func() { f.set(func() { f.members[2].lag = 0 }) })
		start := time.Now()
		require.NoError(t, w.WaitApplied(t.Context(), "s", "m2", r))
		require.Less(t, time.Since(start), 1100*time.Millisecond)
		f.set(func() { f.members[0].down = true })
		time.Sleep(3 * time.Second)
		require.Equal(t, "m2", f.history()[2])
		require.Empty(t, f.found())
	})
}

// TestOneMemberLeft guards against promotions and acknowledgements without a majority.
func TestOneMemberLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.set(func() { f.members[1].down, f.members[2].down = true, true })
		e, pos, _ := f.write("m0")
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		require.True(t, errkind.Is(w.WaitAcknowledged(ctx, "s", e.term, pos), errkind.RequestOutcomeUnknown))
		require.False(t, w.MajorityAnswered("s", majorityWithin))
		_, err := w.ConfirmPrimary(t.Context(), "s")
		require.True(t, errkind.Is(err, errkind.NoPrimary))
		require.Len(t, f.history(), 1)
		f.set(func() { heal(f) })
		settle(t, f)
	})
}

// TestLostStateIsNoSuccessor guards against an attempt to replace the primary that rests on a member without its state: the
// attempt cannot succeed, and its fence at the other member stops the primary's writes. The service recovers with its
// primary, and the member follows it again.
func TestLostStateIsNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.set(func() {
			f.members[0].frozen = make(chan struct{})
			loseState(f, 1)
		})
		time.Sleep(10 * time.Second)
		require.Equal(t, platform.Term(1), f.members[2].status.FencedTerm)
		require.Zero(t, w.Stats().Attempts)
		f.set(func() { heal(f) })
		requireWrite(t, f, w)
		settle(t, f)
		require.Len(t, f.history(), 1)
	})
}

// TestLeavingWithLostState guards against handing a leaving primary's service to a member without its state.
func TestLeavingWithLostState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.set(func() {
			loseState(f, 1)
			f.members[0].status.Leaving = true
		})
		time.Sleep(10 * time.Second)
		require.Equal(t, "m2", f.history()[2])
		requireWrite(t, f, w)
		settle(t, f)
	})
}

// preparer counts the preparations of a watcher's control access; it fails while down is set.
type preparer struct {
	fakeControl
	down atomic.Bool
	n    atomic.Int32
}

func (p *preparer) PreparePromotion(context.Context, string) error {
	if p.down.Load() {
		return platform.ErrUnavailable
	}
	p.n.Add(1)
	return nil
}

// TestPreparesPromotions guards against a primary that cannot be replaced because the table service is down at that moment,
// and against a claim with every assignment.
func TestPreparesPromotions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		log := logrus.New()
		log.SetOutput(io.Discard)
		var watchers []*Watcher
		var controls []*preparer
		assign := func(rank int) Assignment {
			return Assignment{Service: f.service(), PromoterRank: rank, Owners: make([]platform.VM, 3)}
		}
		for rank := range 3 {
			c := &preparer{fakeControl: fakeControl{f, fmt.Sprint("w", rank)}}
			c.down.Store(rank == 1)
			w := New(Options{Self: c.vm, Control: c, Log: log})
			w.SetServices([]Assignment{assign(rank)})
			t.Cleanup(func() { f.set(func() { heal(f) }); w.Close() })
			watchers, controls = append(watchers, w), append(controls, c)
		}
		prepared := func() (out []int32) {
			for _, c := range controls {
				out = append(out, c.n.Load())
			}
			return out
		}
		time.Sleep(prepareSpread)
		require.Equal(t, []int32{1, 0, 0}, prepared())
		controls[1].down.Store(false)
		for range 20 {
			time.Sleep(prepareRetry)
			for rank, w := range watchers {
				w.SetServices([]Assignment{assign(rank)})
			}
		}
		require.Equal(t, []int32{1, 1, 0}, prepared(), "once a term, by the first two promoters")
		f.set(func() { f.members[0].down = true })
		time.Sleep(2*detectionTime + prepareSpread)
		require.Equal(t, []int32{2, 2, 0}, prepared(), "another promoter may hold a later fence now")
	})
}

// TestConfirmPrimary guards against confirming a replaced primary, and against one round per call.
func TestConfirmPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		w := f.watcher(t, "w0", RankWatchOnly)
		time.Sleep(5 * time.Second)
		before := w.Stats().Polls
		done := make(chan error, 100)
		for range cap(done) {
			go func() { _, err := w.ConfirmPrimary(t.Context(), "s"); done <- err }()
		}
		for range cap(done) {
			require.NoError(t, <-done)
		}
		require.LessOrEqual(t, w.Stats().Polls-before, uint64(2*3+3), "two rounds and one status poll each")
		f.set(func() {
			for _, m := range f.members[1:] {
				m.status.FencedTerm, m.status.Role = 2, platform.RoleFenced
			}
		})
		_, err := w.ConfirmPrimary(t.Context(), "s")
		require.True(t, errkind.Is(err, errkind.NoPrimary))
	})
}

// TestStranded guards against a replica that stays behind for good because a lost attempt fenced it.
func TestStranded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, 3)
		f.watcher(t, "w0", 0)
		f.set(func() { f.members[2].status.FencedTerm, f.members[2].status.Role = 5, platform.RoleFenced })
		time.Sleep(5 * time.Second)
		settle(t, f)
		require.Equal(t, "m0", f.history()[6], "the present primary is preferred")
	})
}

// TestFewRefusalsAreNoLoss guards against a change of primary because connections are reset on their way.
func TestFewRefusalsAreNoLoss(t *testing.T) {
	now := time.Now()
	m := &member{known: true, heard: now}
	for i := range lostRefusals {
		require.False(t, m.lost(now.Add(refusedTime)), "after %d refusals", i)
		m.fail(now, platform.ErrRefused)
	}
	require.True(t, m.lost(now.Add(refusedTime)))
	m.fail(now, platform.ErrUnavailable)
	require.False(t, m.lost(now.Add(refusedTime)))
	require.True(t, m.lost(now.Add(detectionTime)))
}
