package configsync

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

const waitLimit = 8 * time.Second

var background = context.Background()

// store is a table in memory whose failures a test can set.
type store struct {
	mu      sync.Mutex
	row     platform.Row
	down    bool
	reads   int
	perSec  int                    // reads that succeed in each second, 0 for all of them
	second  int64                  // second of the last read
	recent  int                    // reads in that second
	onPut   func(put func()) error // replaces the next Put and may call put to let it take effect; nil: Put succeeds
	delayed []func()               // puts that a test lets take effect later
}

func (s *store) Get(context.Context, string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if now := time.Now().Unix(); now != s.second {
		s.second, s.recent = now, 0
	}
	s.recent++
	switch {
	case s.down:
		return platform.Row{}, platform.ErrUnavailable
	case s.perSec > 0 && s.recent > s.perSec:
		return platform.Row{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrRateLimited)
	case s.row.Version == 0:
		return platform.Row{}, platform.ErrNotFound
	}
	return s.row, nil
}

func (s *store) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.ErrUnavailable
	}
	conflict := ifVersion != s.row.Version
	put := func() {
		if ifVersion == s.row.Version {
			s.row = platform.Row{Value: value, Version: s.row.Version + 1}
		}
	}
	if f := s.onPut; f != nil {
		s.onPut = nil
		return 0, f(put)
	}
	if conflict {
		return 0, platform.ErrConflict
	}
	put()
	return s.row.Version, nil
}

// locked calls f while it holds the lock of the store.
func (s *store) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// fleet is a set of VMs in one data centre, each with a Sync, that share a store and reach each other in memory.
type fleet struct {
	store       *store
	vms         []platform.VM
	syncs       map[string]*Sync
	unreachable map[string]bool
	frozen      sync.Map // by name of the VM: channel that is closed when the VM resumes
}

// fakeVM implements Membership and Peers for one VM of a fleet.
type fakeVM struct {
	*fleet
	self platform.VM
}

func (v fakeVM) Self() platform.VM     { return v.self }
func (v fakeVM) IsReader() bool        { return ownership.IsStoreReader(v.self, v.vms) }
func (v fakeVM) Listed() []platform.VM { return slices.Clip(v.vms) }

func (v fakeVM) Request(ctx context.Context, vm platform.VM, _ wire.Type, body []byte) ([]byte, error) {
	if v.unreachable[vm.Name] {
		return nil, errkind.New(errkind.PeerUnreachable, "down")
	}
	if resumed, ok := v.frozen.Load(vm.Name); ok {
		select {
		case <-resumed.(chan struct{}):
		case <-ctx.Done():
			go func() { // the request waits in the connection to the VM
				<-resumed.(chan struct{})
				_, _ = v.syncs[vm.Name].HandleConfigRequest(background, v.self, body)
			}()
			return nil, ctx.Err()
		}
	}
	return v.syncs[vm.Name].HandleConfigRequest(ctx, v.self, body)
}

// announce delivers a heartbeat of one VM to all VMs that can be reached and are not frozen.
func (f *fleet) announce(from platform.VM) {
	version, hash := f.syncs[from.Name].State()
	for name, s := range f.syncs {
		if _, frozen := f.frozen.Load(name); name != from.Name && !f.unreachable[name] && !frozen {
			s.ObserveAnnouncement(from, version, hash)
		}
	}
}

func newFleet(t testing.TB, n int) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{store: &store{}, syncs: map[string]*Sync{}, unreachable: map[string]bool{}}
	for i := range n {
		f.vms = append(f.vms, platform.VM{Name: fmt.Sprintf("vm-%02d", i), DataCentre: "zg-a"})
	}
	for _, vm := range f.vms {
		fake := fakeVM{f, vm}
		f.syncs[vm.Name] = New(Options{Store: f.store, Peers: fake, Membership: fake, Log: log,
			Announce: func() { f.announce(vm) }})
	}
	return f
}

func (f *fleet) start(t testing.TB) {
	for _, s := range f.syncs {
		require.NoError(t, s.Start(background))
		t.Cleanup(func() { _ = s.Stop(background) })
	}
}

// document returns a valid configuration by author that has not been accepted yet.
func document(author string) *clusterconfig.Document {
	return &clusterconfig.Document{Author: author, Default: "lookup", Classes: []clusterconfig.Class{{Name: "lookup",
		Rank: "routine", Access: clusterconfig.AccessRead, Target: clusterconfig.Target{
			Latency: clusterconfig.Duration(time.Second), Reliability: 0.99}}}}
}

// waitUntil waits until ok returns true. It checks ok whenever the configuration or readiness of s changes.
func waitUntil(t testing.TB, s *Sync, ok func() bool) {
	t.Helper()
	deadline := time.After(waitLimit)
	for {
		changed := s.Changed()
		if ok() {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatal("condition not met")
		}
	}
}

// Two operators must not overwrite each other's changes: the second one gets a conflict and the document of the first
// one.
func TestApplyConflict(t *testing.T) {
	f := newFleet(t, 2)
	firstVM, secondVM := f.syncs["vm-00"], f.syncs["vm-01"]
	first, err := firstVM.Apply(background, document("ana"), 0, "op-1")
	require.NoError(t, err)
	require.EqualValues(t, 1, first.Version)
	other, err := secondVM.Apply(background, document("boris"), 0, "op-2")
	require.True(t, errkind.Is(err, errkind.ConfigConflict), "%v", err)
	require.Equal(t, "ana", other.Author)
	again, err := secondVM.Apply(background, document("ana"), 0, "op-1")
	require.NoError(t, err, "repeating an operation that took effect must succeed")
	require.EqualValues(t, 1, again.Version)
	second, err := secondVM.Apply(background, document("boris"), 1, "op-3")
	require.NoError(t, err)
	require.EqualValues(t, 2, second.Version)
	_, err = secondVM.Apply(background, document("boris"), 9, "op-4")
	require.True(t, errkind.Is(err, errkind.ConfigConflict), "%v", err)
}

// When the answer of the table service to a write is lost, the change must not be reported as failed and must not be made
// twice.
func TestApplyLostAnswer(t *testing.T) {
	for name, effect := range map[string]func(f *fleet, put func()){
		"took effect":        func(_ *fleet, put func()) { put() },
		"had no effect":      func(*fleet, func()) {},
		"takes effect later": func(f *fleet, put func()) { f.store.delayed = append(f.store.delayed, put) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				s := f.syncs["vm-00"]
				f.store.onPut = func(put func()) error { effect(f, put); return platform.ErrOutcomeUnknown }
				got, err := s.Apply(background, document("ana"), 0, "op-1")
				require.NoError(t, err)
				require.EqualValues(t, 1, got.Version)
				f.store.locked(func() {
					for _, put := range f.store.delayed {
						put()
					}
				})
				require.EqualValues(t, 1, f.store.row.Version, "the row was written twice")
			})
		})
	}
}

// determineOutcome must report what became of an operation. If a later version is in force and the operation of the
// version after the base isn't known, the outcome must be unknown.
func TestJudge(t *testing.T) {
	none := func(uint64) (string, bool) { return "", false }
	seen := func(id string) func(uint64) (string, bool) {
		return func(v uint64) (string, bool) { return id, v == 5 }
	}
	doc := func(version uint64, id string) *clusterconfig.Document {
		return &clusterconfig.Document{Version: version, OperationID: id}
	}
	for _, c := range []struct {
		newest    *clusterconfig.Document
		operation func(uint64) (string, bool)
		want      applyOutcome
	}{
		{doc(4, "x"), none, outcomePending},
		{doc(5, "me"), none, outcomeApplied},
		{doc(5, "other"), none, outcomeConflict},
		{doc(6, "other"), none, outcomeUnknown},
		{doc(6, "other"), seen("me"), outcomeApplied},
		{doc(6, "other"), seen("third"), outcomeConflict},
		{doc(3, "x"), none, outcomeConflict},
		{nil, none, outcomeConflict},
	} {
		require.Equal(t, c.want, determineOutcome(c.newest, 4, "me", c.operation), "%+v", c.newest)
	}
	require.Equal(t, outcomePending, determineOutcome(nil, 0, "me", none))
}

// While the table service is down, an apply that wrote nothing must report that the table service is unavailable, since
// the document has certainly not been applied. After a write without an answer the document may have been applied, and the
// outcome must be unknown.
func TestApplyStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		s := f.syncs["vm-00"]
		f.store.down = true
		ctx, cancel := context.WithTimeout(background, 300*time.Millisecond)
		defer cancel()
		_, err := s.Apply(ctx, document("ana"), 0, "op-1")
		require.True(t, errkind.Is(err, errkind.StoreUnavailable), "%v", err)
		f.store.down = false
		f.store.onPut = func(func()) error { f.store.down = true; return platform.ErrOutcomeUnknown }
		ctx, cancel = context.WithTimeout(background, 300*time.Millisecond)
		defer cancel()
		_, err = s.Apply(ctx, document("ana"), 0, "op-1")
		require.True(t, errkind.Is(err, errkind.StoreOutcomeUnknown), "%v", err)
	})
}

// Guards against a daemon going back to an older configuration, whether from the table service or from a peer.
func TestNeverInstallsLower(t *testing.T) {
	var c LocalConfig
	for _, step := range []struct {
		version uint64
		want    bool
	}{{3, true}, {2, false}, {3, false}, {4, true}, {1, false}} {
		installed, err := c.Install(&clusterconfig.Document{Version: step.version}, nil)
		require.NoError(t, err)
		require.Equal(t, step.want, installed)
	}
	require.EqualValues(t, 4, c.Version())
	_, err := c.Install(&clusterconfig.Document{Version: 4, OperationID: "other"}, nil)
	require.Error(t, err)
	_, err = c.Install(&clusterconfig.Document{}, nil)
	require.True(t, errkind.Is(err, errkind.ConfigInvalid))
}

// A change must also reach the daemons that do not poll the table service.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.start(t)
		for _, s := range f.syncs {
			waitUntil(t, s, s.isReady)
		}
		_, err := f.syncs["vm-03"].Apply(background, document("ana"), 0, "op-1")
		require.NoError(t, err)
		accepted := time.Now()
		f.store.locked(func() { f.store.down = true })
		for _, s := range f.syncs {
			waitUntil(t, s, func() bool { return s.Installed() != nil && s.Ready() })
		}
		require.LessOrEqual(t, time.Since(accepted), 3*time.Second, "a change must be in force on all daemons within 3 s")
	})
}

// A daemon that restarts while the table service is down must not serve by an older configuration. It must become ready if a
// majority of its data centre vouches for the version in force.
func TestStartWithStoreDown(t *testing.T) {
	f := newFleet(t, 6) // vm-05 restarts; 5 others are listed, so 3 must answer
	first, err := f.syncs["vm-00"].Apply(background, document("ana"), 0, "op-1")
	require.NoError(t, err)
	for _, name := range []string{"vm-00", "vm-01", "vm-02"} {
		require.NoError(t, f.syncs[name].readAndInstall(background, false))
	}
	_, err = f.syncs["vm-02"].Apply(background, document("ana"), first.Version, "op-2")
	require.NoError(t, err)
	waitUntil(t, f.syncs["vm-02"], func() bool { return f.syncs["vm-02"].Installed().Version == 2 })
	f.store.down = true
	s := f.syncs["vm-05"]
	f.unreachable["vm-02"] = true
	require.False(t, s.majorityVouches(), "only two of the five others vouch for a version; two are not ready and one cannot be reached")
	f.unreachable["vm-02"] = false
	require.True(t, s.majorityVouches())
	require.EqualValues(t, 2, s.Installed().Version)
	f.syncs["vm-00"].ObserveAnnouncement(f.vms[4], 3, 0)
	require.False(t, s.majorityVouches(), "vm-00 has heard of version 3, which no VM that answers has")
	require.False(t, newFleet(t, 1).syncs["vm-00"].majorityVouches(), "without other listed VMs there is no majority")
}

// When the table service is reachable again, the VMs must not each read it several times: one read per VM and the regular
// polls of the readers must be enough. VMs that are not readers must not poll it.
func TestNoStampede(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, observedTime = 60, 1500 * time.Millisecond
		f := newFleet(t, vms)
		f.store.down = true
		f.start(t)
		time.Sleep(observedTime) // the backoff reaches its steady state
		reads := func() (n int) { f.store.locked(func() { n = f.store.reads }); return n }
		f.store.locked(func() { f.store.down = false })
		before, start := reads(), time.Now()
		for _, s := range f.syncs {
			waitUntil(t, s, s.isReady)
		}
		readsAfterReturn := reads() - before
		t.Logf("%d reads by %d VMs within %v of the store's return", readsAfterReturn, vms, time.Since(start))
		polls := 2 * (2 + int(time.Since(start)/(pollInterval*9/10))) // regular polls of the two readers
		require.LessOrEqual(t, readsAfterReturn, vms+polls)
		before, start = reads(), time.Now()
		time.Sleep(observedTime)
		perSecond := float64(reads()-before) / time.Since(start).Seconds()
		require.LessOrEqual(t, perSecond, 4.0, "only the two readers may poll")
	})
}

// If more offers wait than the ring holds, a newer version that they offer must still be found.
func TestOffersBeyondTheRing(t *testing.T) {
	f := newFleet(t, 2)
	informed, behind := f.syncs["vm-00"], f.syncs["vm-01"]
	doc, err := informed.Apply(background, document("ana"), 0, "op-1")
	require.NoError(t, err)
	require.NoError(t, informed.readAndInstall(background, false))
	for range offerCapacity + 1 {
		behind.ObserveAnnouncement(f.vms[0], doc.Version, 0)
	}
	require.Positive(t, behind.OfferStats().Discarded)
	behind.wg.Add(1)
	go behind.fetchOffers()
	waitUntil(t, behind, func() bool { return behind.Installed() != nil })
	require.NoError(t, behind.Stop(background))
}

// If peers have other content under the same version, this must be logged once per peer, not for each heartbeat.
func TestDifferingContentIsReportedOncePerPeer(t *testing.T) {
	f := newFleet(t, 3)
	s := f.syncs["vm-00"]
	doc, err := s.Apply(background, document("ana"), 0, "op-1")
	require.NoError(t, err)
	log, lines := test.NewNullLogger()
	s.options.Log = log
	for range 5 {
		s.ObserveAnnouncement(f.vms[1], doc.Version, s.copy.Hash()+1)
		s.ObserveAnnouncement(f.vms[2], doc.Version, s.copy.Hash()+1)
	}
	require.Len(t, lines.AllEntries(), 2)
}

// watchedTable is a table with one row that can be watched. It counts the requests.
type watchedTable struct {
	mu       sync.Mutex
	row      platform.Row
	changed  chan struct{}
	seen     uint64 // version of the row that the last request returned
	requests int
}

func (s *watchedTable) set(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc := clusterconfig.Document{Version: version, OperationID: fmt.Sprint("op", version), Default: "c",
		Classes: []clusterconfig.Class{{Name: "c", Rank: "urgent", Access: clusterconfig.AccessStatement, Consistency: clusterconfig.ConsistencyPrimary,
			Target: clusterconfig.Target{Latency: clusterconfig.Duration(time.Second), Reliability: 0.9}}}}
	value, err := doc.Marshal()
	if err != nil {
		panic(err)
	}
	s.row = platform.Row{Value: value, Version: version}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *watchedTable) Get(context.Context, string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.seen = s.row.Version
	return s.row, nil
}

func (s *watchedTable) Put(context.Context, string, []byte, uint64) (uint64, error) {
	return 0, platform.ErrUnavailable
}

func (s *watchedTable) Watch(ctx context.Context, key string, wait time.Duration) (platform.Row, error) {
	s.mu.Lock()
	changed, missed := s.changed, s.row.Version != s.seen
	s.mu.Unlock()
	if missed {
		return s.Get(ctx, key)
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return platform.Row{}, ctx.Err()
	}
	return s.Get(ctx, key)
}

// A reader whose table service can be watched must install a change at once, and must make fewer requests than one that polls.
func TestReaderWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		table := &watchedTable{changed: make(chan struct{})}
		table.set(1)
		self := platform.VM{Name: "self", DataCentre: "a", Region: "r"}
		s := New(Options{Store: table, Membership: aloneMembership{self}, Log: log})
		require.NoError(t, s.Start(t.Context()))
		time.Sleep(time.Minute)
		table.mu.Lock()
		requests := table.requests
		table.mu.Unlock()
		require.LessOrEqual(t, requests, 22)
		table.set(2)
		time.Sleep(2 * watchPause)
		require.EqualValues(t, 2, s.Installed().Version)
		require.NoError(t, s.Stop(t.Context()))
	})
}

// aloneMembership is the view of a VM that knows no other.
type aloneMembership struct{ self platform.VM }

func (m aloneMembership) Self() platform.VM     { return m.self }
func (m aloneMembership) IsReader() bool        { return true }
func (m aloneMembership) Listed() []platform.VM { return nil }

// An operator must learn that the newest document is refused as a whole, and which entries are ignored. A read that fails for
// other reasons must not hide that, and a good document must end it.
func TestProblemsOfTheConfiguration(t *testing.T) {
	f := newFleet(t, 1)
	s := f.syncs[f.vms[0].Name]
	read := func(doc *clusterconfig.Document, version uint64) error {
		doc.Version, doc.OperationID = version, fmt.Sprint(version)
		raw, err := doc.Marshal()
		require.NoError(t, err)
		f.store.locked(func() { f.store.row = platform.Row{Value: raw, Version: version} })
		return s.readAndInstall(t.Context(), false)
	}
	good, odd, bad := document("me"), document("me"), document("me")
	odd.Ignored, bad.Default = []string{"routes[1]"}, "none"
	require.NoError(t, read(good, 1))
	ignored, refusal := s.Problems()
	require.Empty(t, ignored)
	require.Empty(t, refusal)
	require.Error(t, read(bad, 2))
	f.store.locked(func() { f.store.down = true })
	require.Error(t, s.readAndInstall(t.Context(), false))
	f.store.locked(func() { f.store.down = false })
	_, refusal = s.Problems()
	require.Contains(t, refusal, "default")
	require.NoError(t, read(odd, 3))
	waitUntil(t, s, func() bool { return s.Installed().Version == 3 })
	ignored, refusal = s.Problems()
	require.Equal(t, []string{"routes[1]"}, ignored)
	require.Empty(t, refusal)
}
