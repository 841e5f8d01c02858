package directory

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

type staticLister []platform.Service

func (l staticLister) Services(context.Context) ([]platform.Service, error) { return l, nil }

// A peer's list must not replace a newer one read from the platform. If a list is adopted, Changed must signal it.
func TestAdopt(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	old, current := []platform.Service{{Name: "old"}}, staticLister{{Name: "present"}}
	d := New(Options{Lister: current, Log: log})
	d.Adopt(old, 0)
	require.Equal(t, old, d.Services())
	require.Len(t, d.Changed(), 1)
	require.NoError(t, d.readList(t.Context()))
	d.Adopt(old, 0)
	require.Equal(t, []platform.Service(current), d.Services())
}

// A member that cannot be used must be left out, wherever the list comes from, and the other members must stay.
func TestInvalidMembersAreLeftOut(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	good := platform.Member{Name: "a", Service: "s", DataAddr: "10.0.0.1:80", ControlAddr: "10.0.0.1:81", Slots: 2, Connections: 16}
	with := func(change func(*platform.Member)) platform.Member {
		m := good
		m.Name = "odd"
		change(&m)
		return m
	}
	list := []platform.Service{{Name: "s", Members: []platform.Member{
		with(func(m *platform.Member) { m.Slots = 100_000_000 }),
		with(func(m *platform.Member) { m.Slots = -1 }),
		good,
		with(func(m *platform.Member) { m.Connections = 1 << 40 }),
		with(func(m *platform.Member) { m.DataAddr = "10.0.0.1:99999" }),
		with(func(m *platform.Member) { m.ControlAddr = "" }),
		with(func(m *platform.Member) { m.Name = "" }),
	}}}
	want := []platform.Service{{Name: "s", Members: []platform.Member{good}}}

	adopted := New(Options{Lister: staticLister(nil), Log: log})
	adopted.Adopt(list, 0)
	require.Equal(t, want, adopted.Services())

	read := New(Options{Lister: staticLister(list), Log: log})
	require.NoError(t, read.readList(t.Context()))
	require.Equal(t, want, read.Services())
	require.Len(t, list[0].Members, 7, "the lister's list must not be changed")
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// listOf returns a service list with one service for each argument, whose members are the characters of the argument.
func listOf(services ...string) []platform.Service {
	list := []platform.Service{}
	for i, members := range services {
		s := platform.Service{Name: fmt.Sprint("s", i)}
		for _, c := range members {
			addr := fmt.Sprintf("10.0.%d.%d:80", i, c)
			s.Members = append(s.Members, platform.Member{Name: fmt.Sprint(s.Name, string(c)), Service: s.Name, DataAddr: addr, ControlAddr: addr})
		}
		list = append(list, s)
	}
	return list
}

func names(d *Directory) (out []string) {
	for _, s := range d.Services() {
		for _, m := range s.Members {
			out = append(out, m.Name)
		}
	}
	return out
}

// Lists must not go back to an older one, whichever peer or read it comes from, and a list that is confirmed must count as
// newer than others that were read before.
func TestListsDoNotGoBack(t *testing.T) {
	d := New(Options{Log: quietLog()})
	d.Adopt(listOf("ab"), 5)
	d.Adopt(listOf("abc"), 4)
	require.Equal(t, listOf("ab"), d.Services())
	d.apply(listOf("abc"), 4, time.Now())
	require.Equal(t, listOf("ab"), d.Services())
	d.Confirm(d.ListHash()+1, 9)
	require.EqualValues(t, 5, d.Version(), "another list is confirmed, not this one")
	d.Confirm(d.ListHash(), 7)
	d.Adopt(listOf("abc"), 6)
	require.Equal(t, listOf("ab"), d.Services())
	d.Adopt(listOf("abc"), 8)
	require.Equal(t, listOf("abc"), d.Services())
}

// A peer that applies the deltas must hold the same list as the directory that made them, and must refuse a delta that is based
// on another list than its own.
func TestDeltas(t *testing.T) {
	source, peer := New(Options{Log: quietLog()}), New(Options{Log: quietLog()})
	for version, step := range []struct {
		list             []platform.Service
		changed, removed int
	}{{listOf("ab", "c", "de"), 3, 0}, {listOf("ab", "cx", "de"), 1, 0}, {listOf("ab"), 0, 2}, {listOf("ab", "c", "d", "e"), 3, 0}} {
		source.Adopt(step.list, uint64(version+1))
		delta := source.DeltaSince(peer.ListHash())
		require.Equal(t, version > 0, delta.Base != 0)
		require.Len(t, delta.Changed, step.changed)
		require.Len(t, delta.Removed, step.removed)
		require.True(t, peer.ApplyDelta(delta))
		require.Equal(t, source.Services(), peer.Services())
		require.Equal(t, source.ListHash(), peer.ListHash())
		require.Equal(t, source.Version(), peer.Version())
	}
	before := peer.Services()
	stale := source.DeltaSince(peer.ListHash())
	stale.Base, stale.Version = 1, 99
	require.False(t, peer.ApplyDelta(stale))
	require.Equal(t, before, peer.Services())
	require.Equal(t, source.Services(), source.DeltaSince(12345).Changed, "a peer with an unknown list gets the whole one")
}

// An empty list must not count as complete: after an outage the entries come back one by one.
func TestEmptyListIsNotReady(t *testing.T) {
	d := New(Options{Log: quietLog()})
	d.Adopt(listOf(), 1)
	require.False(t, d.Ready())
	d.Adopt(listOf("a"), 2)
	require.True(t, d.Ready())
}

// versionedLister counts the reads of a list whose version grows with each read.
type versionedLister struct{ reads atomic.Int64 }

func (l *versionedLister) Services(context.Context) ([]platform.Service, error) {
	panic("not versioned")
}
func (l *versionedLister) ServicesAt(context.Context) ([]platform.Service, uint64, error) {
	return listOf("a"), uint64(l.reads.Add(1)), nil
}

// A VM that is no reader must not read the list while its peers confirm it, and must read it once they do not.
func TestReadersReadForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &versionedLister{}
		d := New(Options{Lister: lister, Log: quietLog(), IsReader: func() bool { return false }})
		require.NoError(t, d.Start(t.Context()))
		for second := range 120 {
			time.Sleep(time.Second)
			d.Confirm(d.ListHash(), uint64(second+2))
		}
		require.EqualValues(t, 1, lister.reads.Load())
		time.Sleep(2 * 22500 * time.Millisecond) // the longest interval of a VM that is no reader, and one that was left out before
		require.Greater(t, lister.reads.Load(), int64(1))
		require.NoError(t, d.Stop(t.Context()))
	})
}
