package ring

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = 8 * time.Second

var background = context.Background()

// Guards against a full ring that blocks or grows although its policy is Reject.
func TestReject(t *testing.T) {
	r := New[int]("r", 2, Reject, 0)
	require.NoError(t, r.Put(background, 1))
	require.NoError(t, r.Put(background, 2))
	require.ErrorIs(t, r.Put(background, 3), ErrFull)
	require.Equal(t, Stats{"r", 2, 2, 2, 1, 0}, r.Stats())
	v, err := r.Take(background)
	require.NoError(t, err)
	require.Equal(t, 1, v)
}

// Guards against a ring that discards the newest item instead of the oldest.
func TestDropOldest(t *testing.T) {
	r := New[int]("r", 2, DropOldest, 0)
	for i := range 5 {
		require.NoError(t, r.Put(background, i))
	}
	v, _ := r.TryTake()
	require.Equal(t, 3, v)
	require.EqualValues(t, 3, r.Stats().Discarded)
}

// Guards against a producer that waits longer than the ring's timeout, or not at all.
func TestBlock(t *testing.T) {
	r := New[int]("r", 1, Block, time.Millisecond)
	require.NoError(t, r.Put(background, 1))
	require.ErrorIs(t, r.Put(background, 2), ErrFull)
	blocking := New[int]("p", 1, Block, testTimeout)
	require.NoError(t, blocking.Put(background, 1))
	put := make(chan error, 1)
	go func() { put <- blocking.Put(background, 2) }()
	v, _ := blocking.Take(background)
	require.Equal(t, 1, v)
	require.NoError(t, <-put)
	ctx, cancel := context.WithCancel(background)
	cancel()
	require.ErrorIs(t, blocking.Put(ctx, 3), context.Canceled)
}

// When a ring is closed, no item may be lost and no goroutine may wait without end.
func TestClose(t *testing.T) {
	r := New[int]("r", 1, Block, testTimeout)
	require.NoError(t, r.Put(background, 1))
	blocked := make(chan error, 1)
	go func() { blocked <- r.Put(background, 2) }()
	r.Close()
	require.ErrorIs(t, r.Put(background, 3), ErrClosed)
	require.ErrorIs(t, <-blocked, ErrClosed)
	v, err := r.Take(background)
	require.NoError(t, err)
	require.Equal(t, 1, v)
	_, err = r.Take(background)
	require.ErrorIs(t, err, ErrClosed)
}

// Guards against items that are lost or duplicated while many producers and consumers share a ring and it is closed.
func TestConcurrent(t *testing.T) {
	r := New[int]("r", 8, Block, testTimeout)
	var producers, consumers sync.WaitGroup
	var mu sync.Mutex
	seen, accepted := map[int]int{}, 0
	for p := range 4 {
		producers.Add(1)
		go func() {
			defer producers.Done()
			for i := range 500 {
				if r.Put(background, p*1000+i) == nil {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		}()
		consumers.Add(1)
		go func() {
			defer consumers.Done()
			for {
				v, err := r.Take(background)
				if err != nil {
					return
				}
				mu.Lock()
				seen[v]++
				mu.Unlock()
			}
		}()
	}
	producers.Wait()
	r.Close()
	consumers.Wait()
	require.Len(t, seen, accepted)
	require.Equal(t, 2000, accepted)
}

// Guards against a signal that blocks its sender, is lost, or is delivered more than once.
func TestSignal(t *testing.T) {
	s := NewSignal()
	s.Raise()
	s.Raise()
	<-s
	select {
	case <-s:
		t.Fatal("two signals were not merged")
	default:
	}
}
