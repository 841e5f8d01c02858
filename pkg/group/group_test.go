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

// All tests of services run on the virtual clock of testing/synctest. It also fails a test whose goroutines do not end.

// startWriter starts a goroutine that writes every 10 ms until ctx ends, and then sends the times of the
// acknowledgements. The writes go to the primary in the view of w or, if allMembers is set, to every member that
// takes writes, as callers do that still reach an old primary.
func startWriter(ctx context.Context, f *fakeService, w *Watcher, allMembers bool) <-chan []time.Time {
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
				if allMembers || m.Name == v.Primary && !m.Leaving && w.MajorityAnswered("s", majorityWindow) && f.beginWrite() {
					e, pos, ok = f.write(m.Name)
				}
				for i := 0; ok && m.Name != v.Primary && i < 50; i++ {
					f.write(m.Name) // so that the old primary's log becomes the longest
				}
				limit, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				if ok && w.WaitAcknowledged(limit, "s", e.term, pos) == nil {
					f.recordAck(e, pos)
					acks = append(acks, time.Now())
				} else if ok {
					f.update(func() { f.unackedWrites++ })
				}
				cancel()
				f.update(func() { f.openWrites = 0 })
			}
		}
	}()
	return out
}

// waitConverged waits until all running members hold the same log and exactly one of them is primary.
func waitConverged(t require.TestingT, f *fakeService) {
	converged := func() bool {
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
	for end := time.Now().Add(30 * time.Second); !converged(); time.Sleep(10 * time.Millisecond) {
		require.True(t, time.Now().Before(end), "members did not converge")
	}
	require.Empty(t, f.foundViolations())
}

// healAll ends all faults except lost state and unapplied entries, and clears the leaving flags.
func healAll(f *fakeService) {
	clear(f.cutLinks)
	for _, m := range f.members {
		m.down, m.replicationPaused, m.status.Leaving = false, false, false
		if m.frozen != nil {
			close(m.frozen)
			m.frozen = nil
		}
	}
}

// loseState restarts a member without its fence and log, unless a member has lost its state before.
func loseState(f *fakeService, i int) {
	if slices.ContainsFunc(f.members, func(m *fakeMember) bool { return m.status.LostState }) {
		return
	}
	m := f.members[i]
	m.log, m.status = nil, platform.Status{Role: platform.RoleFenced, LostState: true}
}

// primaryFaults are the ways in which tests make the primary m0 fail.
var primaryFaults = map[string]func(f *fakeService){
	"kill":   func(f *fakeService) { f.members[0].down = true },
	"freeze": func(f *fakeService) { f.members[0].frozen = make(chan struct{}) },
	"cut":    func(f *fakeService) { isolate(f, 0) },
}

// isolate cuts a member off from the watchers and the other members, while callers still reach its data connections.
func isolate(f *fakeService, i int) {
	for _, o := range []string{"w0", "w1", "m0", "m1", "m2"} {
		f.cutLinks[fmt.Sprintf("%s>m%d", o, i)], f.cutLinks[fmt.Sprintf("m%d>%s", i, o)] = true, true
	}
}

// When the primary fails, no acknowledged write may be lost and writes must soon be taken again. When the old primary
// returns with log entries that no other member holds, all members must get the same log.
func TestFailover(t *testing.T) {
	for name, lose := range primaryFaults {
		var gaps []time.Duration
		for run := range 10 {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeService(t, 3)
				w0 := f.watcher(t, "w0", 0)
				f.watcher(t, "w1", 1)
				ctx, stop := context.WithCancel(t.Context())
				acks := startWriter(ctx, f, w0, false)
				time.Sleep(3*time.Second + time.Duration(run)*37*time.Millisecond)
				lost := time.Now()
				f.update(func() { lose(f) })
				time.Sleep(6 * time.Second)
				for range 5 {
					f.write("m0") // entries that only the old primary holds, if it still takes writes
				}
				f.update(func() { healAll(f) })
				time.Sleep(time.Second)
				stop()
				for _, at := range <-acks {
					if at.After(lost.Add(50 * time.Millisecond)) {
						gaps = append(gaps, at.Sub(lost))
						break
					}
				}
				waitConverged(t, f)
				require.Len(t, f.history(), 2)
			})
		}
		require.Len(t, gaps, 10)
		slices.Sort(gaps)
		t.Logf("%s: virtual time from loss to first acknowledged write: median %v, worst %v", name, gaps[5], gaps[9])
		require.Less(t, gaps[9], 2*time.Second)
		if name == "kill" {
			require.Less(t, gaps[9], detectionTime, "a primary that refuses connections must be replaced before the detection time ends")
		}
	}
}

// When a unit finds that the primary refuses connections, the watcher must detect the loss without waiting for its next
// regular poll.
func TestCheckFindsKilledPrimary(t *testing.T) {
	for run := range 8 {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeService(t, 3)
			w := f.watcher(t, "w0", 0)
			time.Sleep(3*time.Second + time.Duration(run)*53*time.Millisecond)
			f.update(func() { f.members[0].down = true })
			w.PollPrimary("s")
			time.Sleep(checkDelay + refusalDetectionTime + 2*fenceGrace)
			v, _ := w.View("s")
			require.NotEqual(t, "m0", v.Primary)
			require.NotEmpty(t, v.Primary)
		})
	}
}

// In a healthy service a watcher must send no fences and no requests to follow. After a service is dropped, its
// goroutines must end.
func TestHealthyServiceLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(10 * time.Second)
		st := w.Stats()
		require.Zero(t, st.Fences+st.Follows)
		require.True(t, w.MajorityAnswered("s", majorityWindow), "a write to an idle service needs a majority that answered recently")
		v, ok := w.View("s")
		require.True(t, ok)
		require.Equal(t, "m0", v.Primary)
		w.SetServices(nil)
		synctest.Wait()
		// View must not allocate here: a VM calls it for each statement that it forwards to a service it does not watch.
		require.Zero(t, testing.AllocsPerRun(10, func() { _, ok = w.View("s") }))
		require.False(t, ok)
		require.Error(t, w.WaitAcknowledged(t.Context(), "s", 1, 1))
	})
}

// TestRace guards against two primaries when two promoters act at the same time.
func TestRace(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeService(t, 3)
			f.watcher(t, "w0", 0)
			f.watcher(t, "w1", 0)
			time.Sleep(time.Second)
			f.update(func() { f.members[0].down = true })
			time.Sleep(5 * time.Second)
			waitConverged(t, f)
			f.update(func() { healAll(f) })
			waitConverged(t, f)
		})
	}
}

// TestPromoterDies guards against a service that stays fenced because a promoter was lost between fence and promotion.
func TestPromoterDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		f.onPromote = func(vm string) {
			if vm == "w0" {
				f.update(func() { f.cutLinks["w0>m0"], f.cutLinks["w0>m1"], f.cutLinks["w0>m2"] = true, true, true })
			}
		}
		f.watcher(t, "w0", 0)
		f.watcher(t, "w1", 1)
		time.Sleep(time.Second)
		f.update(func() { f.members[0].down = true })
		time.Sleep(5 * time.Second)
		waitConverged(t, f)
		require.Contains(t, f.history(), platform.Term(3))
	})
}

// TestLongerTailLoses guards against promoting an old primary whose log is longer but ends in an older term.
func TestLongerTailLoses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.update(func() { isolate(f, 0) })
		for range 100 {
			f.write("m0")
		}
		time.Sleep(3 * time.Second)
		e, pos, ok := f.write(f.history()[2])
		require.True(t, ok)
		require.NoError(t, w.WaitAcknowledged(t.Context(), "s", e.term, pos))
		f.recordAck(e, pos)
		f.update(func() {
			healAll(f)
			f.member(f.primaryOfTerm[2]).down = true
		})
		time.Sleep(3 * time.Second)
		require.NotContains(t, []string{"", "m0"}, f.history()[3])
		waitConverged(t, f)
	})
}

// When a primary announces that it is leaving, the writes in progress must still be acknowledged.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		w := f.watcher(t, "w0", 0)
		ctx, stop := context.WithCancel(t.Context())
		acks := startWriter(ctx, f, w, false)
		time.Sleep(3 * time.Second)
		f.update(func() { f.members[0].status.Leaving = true })
		time.Sleep(time.Second)
		stop()
		times, gap := <-acks, time.Duration(0)
		for i := 1; i < len(times); i++ {
			gap = max(gap, times[i].Sub(times[i-1]))
		}
		t.Logf("longest time between acknowledged writes: %v", gap)
		require.Less(t, gap, 500*time.Millisecond)
		require.Zero(t, f.unackedWrites, "writes in progress must be acknowledged")
		v, _ := w.View("s")
		require.Equal(t, "m1", v.Primary)
		waitConverged(t, f)
		require.Len(t, f.history(), 2)
	})
}

// A replica that is behind must not serve a read that requires a position which it has not applied, and must not be
// promoted.
func TestFarBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.update(func() { f.members[1].replicationPaused, f.members[2].unapplied = true, 1 })
		e, pos, _ := f.write("m0")
		require.NoError(t, w.WaitAcknowledged(t.Context(), "s", e.term, pos))
		f.recordAck(e, pos)
		time.Sleep(2 * time.Second)
		v, _ := w.View("s")
		require.Less(t, v.Members[0].Age, time.Second)
		require.GreaterOrEqual(t, v.Members[1].Age, 2*time.Second)
		require.GreaterOrEqual(t, v.Members[2].Age, 2*time.Second, "entries that are received but not applied must not count as fresh")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		r := unit.Requirement{Term: e.term, Position: pos}
		require.True(t, errkind.Is(w.WaitApplied(ctx, "s", "m2", r), errkind.ReadNotCovered))
		time.AfterFunc(time.Second, func() { f.update(func() { f.members[2].unapplied = 0 }) })
		start := time.Now()
		require.NoError(t, w.WaitApplied(t.Context(), "s", "m2", r))
		require.Less(t, time.Since(start), 1100*time.Millisecond)
		f.update(func() { f.members[0].down = true })
		time.Sleep(3 * time.Second)
		require.Equal(t, "m2", f.history()[2])
		require.Empty(t, f.foundViolations())
	})
}

// TestOneMemberLeft guards against promotions and acknowledgements without a majority.
func TestOneMemberLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.update(func() { f.members[1].down, f.members[2].down = true, true })
		e, pos, _ := f.write("m0")
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		require.True(t, errkind.Is(w.WaitAcknowledged(ctx, "s", e.term, pos), errkind.RequestOutcomeUnknown))
		require.False(t, w.MajorityAnswered("s", majorityWindow))
		_, err := w.ConfirmPrimary(t.Context(), "s")
		require.True(t, errkind.Is(err, errkind.NoPrimary))
		require.Len(t, f.history(), 1)
		f.update(func() { healAll(f) })
		waitConverged(t, f)
	})
}

// While another member has lost its state, no VM may attempt to replace the primary. Such an attempt cannot succeed,
// and its fence at the remaining member would stop the primary's writes. Once the primary answers again, the service
// recovers with it, and the member that lost its state follows it.
func TestLostStateIsNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.update(func() {
			f.members[0].frozen = make(chan struct{})
			loseState(f, 1)
		})
		time.Sleep(10 * time.Second)
		require.Equal(t, platform.Term(1), f.members[2].status.FencedTerm)
		require.Zero(t, w.Stats().Attempts)
		f.update(func() { healAll(f) })
		requireWrite(t, f, w)
		waitConverged(t, f)
		require.Len(t, f.history(), 1)
	})
}

// TestLeavingWithLostState guards against replacing a leaving primary by a member that lost its state.
func TestLeavingWithLostState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		w := f.watcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.update(func() {
			loseState(f, 1)
			f.members[0].status.Leaving = true
		})
		time.Sleep(10 * time.Second)
		require.Equal(t, "m2", f.history()[2])
		requireWrite(t, f, w)
		waitConverged(t, f)
	})
}

// countingPreparer counts the claims of the right to promote that a Watcher makes. They fail while unavailable is set.
type countingPreparer struct {
	fakeControl
	unavailable atomic.Bool
	claims      atomic.Int32
}

func (p *countingPreparer) PreparePromotion(context.Context, string, platform.Term) error {
	if p.unavailable.Load() {
		return platform.ErrUnavailable
	}
	p.claims.Add(1)
	return nil
}

// A primary must be replaceable while the table service is down, so the right to promote is claimed in advance. It
// must not be claimed for every new assignment.
func TestPreparesPromotions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		log := logrus.New()
		log.SetOutput(io.Discard)
		var watchers []*Watcher
		var controls []*countingPreparer
		assign := func(rank int) Assignment {
			return Assignment{Service: f.service(), PromoterRank: rank, Owners: make([]platform.VM, 3)}
		}
		for rank := range 3 {
			c := &countingPreparer{fakeControl: fakeControl{f, fmt.Sprint("w", rank)}}
			c.unavailable.Store(rank == 1)
			w := New(Options{Self: c.vm, Control: c, Log: log})
			w.SetServices([]Assignment{assign(rank)})
			t.Cleanup(func() { f.update(func() { healAll(f) }); w.Close() })
			watchers, controls = append(watchers, w), append(controls, c)
		}
		claims := func() (out []int32) {
			for _, c := range controls {
				out = append(out, c.claims.Load())
			}
			return out
		}
		time.Sleep(claimSpread)
		require.Equal(t, []int32{1, 0, 0}, claims())
		controls[1].unavailable.Store(false)
		for range 20 {
			time.Sleep(claimRetryInterval)
			for rank, w := range watchers {
				w.SetServices([]Assignment{assign(rank)})
			}
		}
		require.Equal(t, []int32{1, 1, 0}, claims(), "the first two promoters must claim once per term")
		f.update(func() { f.members[0].down = true })
		time.Sleep(2*detectionTime + claimSpread)
		require.Equal(t, []int32{2, 2, 0}, claims(), "the first two promoters must claim again, since another promoter may hold a later claim")
	})
}

// A replaced primary must not be confirmed. Calls at the same time must share rounds of requests instead of starting
// one each.
func TestConfirmPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
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
		require.LessOrEqual(t, w.Stats().Polls-before, uint64(2*3+3), "at most two rounds, and one poll of each member")
		f.update(func() {
			for _, m := range f.members[1:] {
				m.status.FencedTerm, m.status.Role = 2, platform.RoleFenced
			}
		})
		_, err := w.ConfirmPrimary(t.Context(), "s")
		require.True(t, errkind.Is(err, errkind.NoPrimary))
	})
}

// If an abandoned attempt fenced a replica above the primary's term, the replica must still catch up.
func TestStranded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		f.watcher(t, "w0", 0)
		f.update(func() { f.members[2].status.FencedTerm, f.members[2].status.Role = 5, platform.RoleFenced })
		time.Sleep(5 * time.Second)
		waitConverged(t, f)
		require.Equal(t, "m0", f.history()[6], "the present primary must be preferred")
	})
}

// TestFewRefusalsAreNoLoss guards against a change of primary only because the network resets connections.
func TestFewRefusalsAreNoLoss(t *testing.T) {
	now := time.Now()
	m := &member{known: true, lastHeard: now}
	for i := range refusalsUntilLost {
		require.False(t, m.lost(now.Add(refusalDetectionTime)), "after %d refusals", i)
		m.recordFailure(now, platform.ErrRefused)
	}
	require.True(t, m.lost(now.Add(refusalDetectionTime)))
	m.recordFailure(now, platform.ErrUnavailable)
	require.False(t, m.lost(now.Add(refusalDetectionTime)))
	require.True(t, m.lost(now.Add(detectionTime)))
}
