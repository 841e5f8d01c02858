package configsync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// When a fleet starts, the readers must read for the others: a large document that every VM reads fills the link between
// regions, so that all reads time out and are repeated.
func TestReadersReadForAStartingFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 32)
		_, err := f.syncs["vm-00"].Apply(background, document("ana"), 0, "op-1")
		require.NoError(t, err)
		f.store.locked(func() { f.store.reads = 0 })
		f.start(t)
		start := time.Now()
		for _, s := range f.syncs {
			waitUntil(t, s, s.Ready)
		}
		require.Less(t, time.Since(start), time.Second)
		f.store.locked(func() { require.LessOrEqual(t, f.store.reads, 8) })
	})
}

// The reads of the configuration at a fleet's start must grow with its data centres, not with its VMs, and must not keep the
// fleet from starting when the table service takes a tenth of its usual rate.
func TestReadsAtStartGrowWithDataCentres(t *testing.T) {
	const perDataCentre = 4 // two readers, each of which may read twice
	for _, size := range []struct{ vms, dataCentres int }{{24, 6}, {96, 6}, {195, 6}, {670, 12}} {
		for _, perSec := range []int{0, 200} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size.vms)
				for i := range f.vms {
					f.vms[i].DataCentre = fmt.Sprint("dc-", i%size.dataCentres)
					fake := fakeVM{f, f.vms[i]}
					s := f.syncs[f.vms[i].Name]
					s.options.Peers, s.options.Membership = fake, fake
				}
				_, err := f.syncs["vm-00"].Apply(background, document("ana"), 0, "op-1")
				require.NoError(t, err)
				f.store.locked(func() { f.store.reads, f.store.perSec = 0, perSec })
				f.start(t)
				start := time.Now()
				for _, s := range f.syncs {
					waitUntil(t, s, s.Ready)
				}
				require.Less(t, time.Since(start), time.Second, "%+v", size)
				f.store.locked(func() {
					require.LessOrEqual(t, f.store.reads, perDataCentre*size.dataCentres, "%+v", size)
				})
			})
		}
	}
}

// A daemon must not take a reader's word for a configuration that the reader has read before the daemon's start: the daemon may
// have served a later one before it was restarted.
func TestReaderVouchesOnlyForLaterReads(t *testing.T) {
	f := newFleet(t, 3)
	var readers, others []*Sync
	var vms []platform.VM
	for _, vm := range f.vms {
		if f.syncs[vm.Name].options.Membership.IsReader() {
			readers, vms = append(readers, f.syncs[vm.Name]), append(vms, vm)
		} else {
			others = append(others, f.syncs[vm.Name])
		}
	}
	_, err := readers[0].Apply(background, document("ana"), 0, "op-1")
	require.NoError(t, err)
	require.NoError(t, readers[0].readAndInstall(background, false))
	restarted := others[0]
	time.Sleep(time.Millisecond)
	restarted.started = time.Now()
	f.store.locked(func() { f.store.down = true })
	time.Sleep(2 * time.Millisecond)
	require.NotEqual(t, readerCurrent, restarted.askReader(vms[0]), "the reader cannot read now")
	require.EqualValues(t, 1, restarted.copy.Version(), "the document itself is taken")

	f.store.locked(func() { f.store.down = false })
	time.Sleep(failedReadPause)
	require.Equal(t, readerCurrent, restarted.askReader(vms[0]))
	var reads int
	f.store.locked(func() { reads = f.store.reads })
	require.Equal(t, readerCurrent, restarted.askReader(vms[0]))
	f.store.locked(func() { require.Equal(t, reads, f.store.reads, "one read serves all that have started before it") })

	restarted.highestAnnounced = 9
	require.NotEqual(t, readerCurrent, restarted.askReader(vms[0]), "a later version is known to exist")
}

// failingStore is the table service as a VM sees it whose reads fail.
type failingStore struct {
	*store
	err error
}

func (s failingStore) Get(context.Context, string) (platform.Row, error) {
	return platform.Row{}, s.err
}

// When the table service turned the readers of a data centre away, its other VMs waited for them although they could read. They
// must go on waiting where the readers' reads time out or are too many: more reads would make that worse.
func TestOthersReadAtOnceWhenReadersAreTurnedAway(t *testing.T) {
	unavailable := fmt.Errorf("%w: HTTP status 503", platform.ErrUnavailable)
	for name, c := range map[string]struct {
		err       error
		firstOnly bool // only one of the two readers fails
		min, max  time.Duration
	}{
		"refused":            {err: unavailable, max: 500 * time.Millisecond},
		"connection reset":   {err: fmt.Errorf("%w: reset", platform.ErrOutcomeUnknown), max: 500 * time.Millisecond},
		"too many requests":  {err: fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrRateLimited), min: otherStartInterval / 2, max: otherStartInterval},
		"timed out":          {err: fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, context.DeadlineExceeded), min: otherStartInterval / 2, max: otherStartInterval},
		"one reader refused": {err: unavailable, firstOnly: true, max: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				_, err := f.syncs["vm-00"].Apply(background, document("ana"), 0, "op-1")
				require.NoError(t, err)
				f.store.locked(func() { f.store.reads = 0 })
				var others []*Sync
				failing := 0
				for _, vm := range f.vms {
					s := f.restart(vm.Name)
					switch {
					case !s.options.Membership.IsReader():
						others = append(others, s)
					case failing == 0 || !c.firstOnly:
						failing++
						s.options.Store = failingStore{f.store, c.err}
					}
				}
				f.start(t)
				start := time.Now()
				for _, s := range others {
					waitUntil(t, s, s.Ready)
					require.GreaterOrEqual(t, time.Since(start), c.min)
				}
				require.LessOrEqual(t, time.Since(start), c.max)
				if c.firstOnly {
					f.store.locked(func() { require.LessOrEqual(t, f.store.reads, 2, "the other reader reads for all") })
				}
			})
		})
	}
}

// A table service that is down refuses the readers, too. Each other VM may then read once before its time, not again and again.
func TestReadsWhileTableServiceTurnsAllAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 60
		f := newFleet(t, vms)
		f.store.locked(func() { f.store.down = true })
		f.start(t)
		time.Sleep(otherStartInterval / 2)
		f.store.locked(func() {
			// The readers read at intervals of at least half of readerStartInterval, and on demand every failedReadPause.
			require.LessOrEqual(t, f.store.reads, vms-2+2*int(otherStartInterval/readerStartInterval+otherStartInterval/2/failedReadPause+1))
		})
	})
}

// A copy of a peer of an earlier build must not be used if it leaves open whether a class accepts any age or none. Other
// copies of such peers must be used, so that a rolling update does not depend on the table service.
func TestCopiesOfEarlierBuilds(t *testing.T) {
	const class = `{"version":1,"default":"c","classes":[{"name":"c","rank":"routine","access":"%s","target":{"latency":"1s","reliability":0.9}%s}]}`
	for fields, refused := range map[[2]string]bool{
		{"statement", `,"consistency":"bounded"`}:                true,
		{"statement", ``}:                                        true,
		{"statement", `,"consistency":"bounded","maxAge":"2s"`}:  false,
		{"statement", `,"consistency":"session","maxAge":"1ns"`}: false,
		{"statement", `,"consistency":"primary"`}:                false,
		{"read", ``}: false,
	} {
		document := fmt.Appendf(nil, class, fields[0], fields[1])
		require.Equal(t, refused, checkCopy(wire.ConfigReply{Document: document}) != nil, "%v", fields)
		require.NoError(t, checkCopy(wire.ConfigReply{Document: document, AgesStated: true}))
	}
	for classes, refused := range map[int]bool{1: false, clusterconfig.MaxClasses - 1: false, clusterconfig.MaxClasses: true} {
		doc := clusterconfig.Document{Version: 1, Default: "c0", Routes: []clusterconfig.Route{{Database: "d", Service: "s", Class: "c0", Timeout: 1}}}
		for i := range classes {
			doc.Classes = append(doc.Classes, clusterconfig.Class{Name: fmt.Sprintf("c%d", i), Rank: "batch", Access: clusterconfig.AccessStatement,
				Consistency: clusterconfig.ConsistencyPrimary, Target: clusterconfig.Target{Latency: clusterconfig.Duration(time.Second), Reliability: 0.9}})
		}
		raw, err := doc.Marshal()
		require.NoError(t, err)
		require.Equal(t, refused, checkCopy(wire.ConfigReply{Document: raw, AgesStated: true}) != nil, "%d classes, routes beyond may be left out", classes)
		require.NoError(t, checkCopy(wire.ConfigReply{Document: raw, AgesStated: true, AllRoutes: true}))
	}
}

// Peers must get a large configuration packed if they take that, and as it is if they do not. A copy that is known already
// must not be parsed again.
func TestConfigurationIsPackedForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		_, err := f.syncs["vm-00"].Apply(background, document("ana"), 0, "op-1")
		require.NoError(t, err)
		f.syncs["vm-00"].setReady()
		for _, packed := range []bool{false, true} {
			body, err := wire.NewEncoder().ConfigRequestBody(wire.ConfigRequest{TakesPacked: packed})
			require.NoError(t, err)
			answer, err := f.syncs["vm-00"].HandleConfigRequest(background, platform.VM{Name: "vm-01"}, body)
			require.NoError(t, err)
			reply, err := wire.NewDecoder().ConfigReply(answer)
			require.NoError(t, err)
			require.Equal(t, packed, len(reply.Packed) > 0)
			require.Equal(t, packed, len(reply.Document) == 0)
		}
		require.False(t, f.syncs["vm-00"].isNews(f.syncs["vm-00"].copy.Raw()))
		require.True(t, f.syncs["vm-00"].isNews([]byte("{}")))
	})
}
