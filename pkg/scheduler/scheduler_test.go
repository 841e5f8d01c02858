package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const farTarget = time.Minute // too long to cause a refusal in these tests

func request(class string, rank unit.Rank) Request {
	return Request{Class: class, Rank: rank, Target: farTarget}
}

// When many callers compete, there must not be more grants than slots, and each waiting caller must be woken.
func TestSchedulerConcurrentCallers(t *testing.T) {
	const slots, callers, rounds = 3, 64, 50
	s := New(Options{Slots: slots, Transactions: 4})
	var running, most, done atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for range rounds {
				g, err := s.Acquire(context.Background(), request("c", unit.Rank(i%3)))
				if err != nil {
					continue
				}
				if n := running.Add(1); n > most.Load() {
					most.Store(n)
				}
				done.Add(1)
				running.Add(-1)
				g.Release()
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, most.Load(), int64(slots))
	require.EqualValues(t, callers*rounds, done.Load())
	require.Zero(t, s.Stats().Running)
}

// Guards against a cancelled caller that stays in the queue or leaks a slot.
func TestSchedulerCancelledCallerLeavesQueue(t *testing.T) {
	s := New(Options{Slots: 1, Transactions: 1})
	g, err := s.Acquire(context.Background(), request("a", unit.RankUrgent))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := s.Acquire(ctx, request("a", unit.RankUrgent))
		failed <- err
	}()
	require.Eventually(t, func() bool { return s.Stats().Queued == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.True(t, errkind.Is(<-failed, errkind.Cancelled))
	g.Release()
	g.Release() // a second release must not free another unit's slot
	next, err := s.Acquire(context.Background(), request("a", unit.RankUrgent))
	require.NoError(t, err)
	require.Equal(t, 1, s.Stats().Running)
	next.Release()
}

// Guards against units that wait forever while the member hangs and no slot becomes free.
func TestSchedulerRefusesExpiredUnitWhileMemberHangs(t *testing.T) {
	s := New(Options{Slots: 1, Transactions: 1})
	g, err := s.Acquire(context.Background(), request("a", unit.RankBatch))
	require.NoError(t, err)
	defer g.Release()
	_, err = s.Acquire(context.Background(), Request{Class: "b", Target: 20 * time.Millisecond})
	require.True(t, errkind.Is(err, errkind.Overload), "%v", err)
	r := Request{Class: "b", Deadline: time.Now().Add(20 * time.Millisecond)}
	_, err = s.Acquire(context.Background(), r)
	require.True(t, errkind.Is(err, errkind.DeadlineExceeded), "%v", err)
}

// The connection of a transaction must be released exactly once, when the transaction ends.
func TestSchedulerTransactionHoldsConnection(t *testing.T) {
	s := New(Options{Slots: 2, Transactions: 1})
	begin := request("a", unit.RankUrgent)
	begin.NewTransaction = true
	g, err := s.Acquire(context.Background(), begin)
	require.NoError(t, err)
	tx := g.ReleaseKeepingTransaction()
	require.NotNil(t, tx)
	granted := make(chan *Grant)
	go func() {
		next, err := s.Acquire(context.Background(), begin)
		require.NoError(t, err)
		granted <- next
	}()
	require.Eventually(t, func() bool { return s.Stats().Queued == 1 }, 5*time.Second, time.Millisecond)
	plain, err := s.Acquire(context.Background(), request("a", unit.RankUrgent))
	require.NoError(t, err, "a unit outside transactions must not wait for a connection")
	require.Nil(t, plain.ReleaseKeepingTransaction(), "a transaction whose request did not set NewTransaction must not exceed the limit")
	tx.End()
	tx.End()
	next := <-granted
	require.Equal(t, 1, s.Stats().OpenTransactions)
	next.Release()
	require.Zero(t, s.Stats().OpenTransactions)
}

// Guards against callers that keep waiting when the owner closes the scheduler to hand the member over.
func TestSchedulerCloseRefusesQueued(t *testing.T) {
	s := New(Options{Slots: 1, Transactions: 1})
	g, err := s.Acquire(context.Background(), request("a", unit.RankUrgent))
	require.NoError(t, err)
	failed := make(chan error)
	go func() {
		_, err := s.Acquire(context.Background(), request("a", unit.RankUrgent))
		failed <- err
	}()
	require.Eventually(t, func() bool { return s.Stats().Queued == 1 }, 5*time.Second, time.Millisecond)
	s.Close()
	require.True(t, errkind.Is(<-failed, errkind.Draining))
	_, err = s.Acquire(context.Background(), request("a", unit.RankUrgent))
	require.True(t, errkind.Is(err, errkind.Draining))
	g.Release()
}
