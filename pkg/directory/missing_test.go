package directory

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const testGrace = 2500 * time.Millisecond

// changingLister returns a list that the test changes, with a version that grows with each read.
type changingLister struct {
	mu    sync.Mutex
	list  []platform.Service
	down  bool
	reads uint64
}

func (l *changingLister) Services(context.Context) ([]platform.Service, error) {
	panic("not versioned")
}

func (l *changingLister) ServicesAt(context.Context) ([]platform.Service, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, 0, platform.ErrUnavailable
	}
	l.reads++
	return l.list, 1000 * l.reads, nil
}

func (l *changingLister) set(down bool, services ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.list = down, listOf(services...)
}

// startReader returns a directory that reads the list often.
func startReader(t *testing.T, l *changingLister) *Directory {
	d := New(Options{Lister: l, Log: quietLog(), MissingGrace: testGrace, IsReader: func() bool { return true }})
	require.NoError(t, d.Start(t.Context()))
	return d
}

// A member must stay in use if its entry expired while the platform was unavailable, must not stay after its grace, and must make
// room for its successor at once. What peers are told is the list itself.
func TestMissingMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &changingLister{}
		l.set(false, "ab", "c")
		d := startReader(t, l)
		time.Sleep(10 * time.Second)
		read := func(services ...string) {
			l.set(false, services...)
			d.ReadNow(t.Context())
		}
		read("b")
		require.Equal(t, []string{"s0a", "s0b", "s1c"}, names(d))
		require.Equal(t, listOf("b"), d.DeltaSince(0).Changed)
		require.False(t, d.ListComplete())
		time.Sleep(2 * time.Second)
		read("b", "c")
		require.Equal(t, []string{"s0a", "s0b", "s1c"}, names(d))
		read("b")
		time.Sleep(testGrace - 2*time.Second + time.Second) // until the read that the end of the grace requests
		require.Equal(t, []string{"s0b", "s1c"}, names(d), "the grace of s1c began again")
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"s0b"}, names(d))
		require.True(t, d.ListComplete())

		successor := listOf("b")
		successor[0].Members[0].Name = "s0x"
		d.Adopt(successor, 1_000_000)
		require.Equal(t, []string{"s0x"}, names(d))
		require.NoError(t, d.Stop(t.Context()))
	})
}

// Guards against members that are dropped at the end of their grace by what a VM read before it was frozen or cut off from the
// platform, or before the platform was down once more. Their entries may be back.
func TestMembersStayWhileTheListCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &changingLister{}
		l.set(false, "abc")
		d := startReader(t, l)
		time.Sleep(10 * time.Second)
		l.set(false, "b")
		d.ReadNow(t.Context())
		l.set(true)
		time.Sleep(20 * time.Second)
		require.Equal(t, []string{"s0a", "s0b", "s0c"}, names(d))
		l.set(false, "b")
		d.ReadNow(t.Context())
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"s0a", "s0b", "s0c"}, names(d), "the grace runs from the platform's return")
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"s0b"}, names(d))
		require.NoError(t, d.Stop(t.Context()))
	})
}

// Guards against a VM that starts while the members' entries come back after an outage, and takes the members that it finds for
// all members of their service.
func TestFirstListIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &changingLister{}
		l.set(false, "b")
		began := time.Now()
		d := startReader(t, l)
		d.ReadNow(t.Context())
		for !d.Complete() {
			if time.Since(began) >= 2*time.Second {
				l.set(false, "abc")
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, []string{"s0a", "s0b", "s0c"}, names(d))
		require.GreaterOrEqual(t, time.Since(began), testGrace)
		require.Less(t, time.Since(began), testGrace+time.Second)
		require.NoError(t, d.Stop(t.Context()))
	})
	synctest.Test(t, func(t *testing.T) {
		l := &changingLister{}
		l.set(true)
		d := startReader(t, l)
		d.Adopt(listOf("b"), 1)
		time.Sleep(time.Minute)
		require.False(t, d.Complete(), "the list came from a peer and has not been read since")
		require.NoError(t, d.Stop(t.Context()))
	})
	require.False(t, New(Options{Log: quietLog()}).Complete())
	exact := New(Options{Log: quietLog()})
	exact.Adopt(listOf("b"), 1)
	require.True(t, exact.Complete(), "members do not vanish from this platform's list")
}

// A peer whose list is complete must spare this VM the wait, if the lists are the same; a peer that holds another list must not. A VM
// that no peer tells must read by itself.
func TestPeersTellThatAListIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &changingLister{}
		l.set(false, "b")
		d := New(Options{Lister: l, Log: quietLog(), MissingGrace: testGrace, IsReader: func() bool { return false }})
		d.Adopt(listOf("abc"), 1)
		d.ConfirmComplete(d.ListHash()+1, 9)
		require.False(t, d.Complete())
		d.ConfirmComplete(d.ListHash(), 2)
		require.True(t, d.Complete())
		d.Adopt(listOf("b"), 3)
		d.Confirm(d.ListHash(), 4)
		require.Equal(t, []string{"s0a", "s0b", "s0c"}, names(d))
		d.ConfirmComplete(d.ListHash(), 5)
		require.Equal(t, []string{"s0b"}, names(d))

		d.Adopt(listOf("bd"), 6)
		d.Adopt(listOf("b"), 7)
		require.NoError(t, d.Start(t.Context()))
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			d.Confirm(d.ListHash(), d.Version()+1)
		}
		require.Equal(t, []string{"s0b"}, names(d), "no peer has told whether s0d is gone")
		require.NoError(t, d.Stop(t.Context()))
	})
}
