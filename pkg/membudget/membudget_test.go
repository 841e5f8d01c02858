package membudget

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// When the room is used up, the connection that has held some for the longest time must make way, and the sum must never exceed
// the limit. Small messages must need no room, and nobody may wait without end.
func TestOldestHolderMakesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10 << 20)
		ended := make([]bool, 3)
		holders := make([]*Holder, 3)
		for i := range holders {
			holders[i] = b.NewHolder(func() {
				ended[i] = true
				go holders[i].Release() // the connection notices that it was ended
			})
			time.Sleep(time.Second)
			require.True(t, holders[i].Resize(4<<20+Free))
		}
		require.Equal(t, []bool{true, false, false}, ended)
		require.EqualValues(t, 8<<20, b.Stats().Used)
		require.True(t, b.NewHolder(func() {}).Resize(Free), "ordinary messages need no room")
		require.False(t, holders[0].Resize(1<<20+Free), "a connection that is being ended gets no more")
		require.False(t, b.NewHolder(func() {}).Resize(11<<20+Free), "more than there is at all")
		require.True(t, holders[2].Resize(1<<20+Free))
		require.EqualValues(t, 5<<20, b.Stats().Used)
		holders[1].Release()
		holders[2].Release()
		require.Zero(t, b.Stats().Used)
		require.True(t, (*Budget)(nil).NewHolder(nil).Resize(1<<40), "no budget, no limit")
	})
}

// A connection that does not end although it was told must not keep others waiting for long.
func TestHolderThatDoesNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1 << 20)
		require.True(t, b.NewHolder(func() {}).Resize(1<<20+Free))
		begin := time.Now()
		require.False(t, b.NewHolder(func() {}).Resize(1<<20+Free))
		require.LessOrEqual(t, time.Since(begin), evictWait)
	})
}

// Whatever connections do at once, the sum of their room must stay within the limit and go back to zero.
func TestBudgetUnderACrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(8 << 20)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), 9))
				ended := make(chan struct{})
				h := b.NewHolder(func() { close(ended) })
				defer h.Release()
				for size := Free; size < 4<<20; size *= 2 {
					if !h.Resize(size) {
						return
					}
					used := b.Stats().Used
					if used > 8<<20 {
						t.Errorf("%d bytes are held", used)
					}
					select {
					case <-ended:
						return
					case <-time.After(time.Duration(random.IntN(100)) * time.Millisecond):
					}
				}
			})
		}
		wg.Wait()
		require.Zero(t, b.Stats().Used)
		require.Positive(t, b.Stats().Evicted)
	})
}
