package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/listpoll"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Times of a store outage. Delays between reads stop growing at 2 s, so that a longer outage shows the same rates.
const (
	storeStartOutage = 10 * time.Second
	storeSettle      = 25 * time.Second // until reads by polls in 7.5 to 22.5 s are spread
	storeOutage      = 20 * time.Second
	storeBack        = 25 * time.Second
	storeBucket      = 100 * time.Millisecond
	storeServices    = 36 // requests are counted, so that the length of the list does not matter
)

// countedStore is the platform in memory. It counts reads in buckets, also those that an outage refuses.
type countedStore struct {
	memoryTable
	mu       sync.Mutex
	start    time.Time
	down     bool
	revision int
	vms      []platform.VM
	services []platform.Service
	buckets  []int
	writes   int
}

// admit counts a request and refuses it during an outage.
func (s *countedStore) admit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := int(time.Since(s.start) / storeBucket)
	for len(s.buckets) <= i {
		s.buckets = append(s.buckets, 0)
	}
	s.buckets[i]++
	if s.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (s *countedStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.admit(); err != nil {
		return platform.Row{}, err
	}
	return s.memoryTable.Get(ctx, key)
}

// Put counts as a write; daemons write nothing when the store comes back.
func (s *countedStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	return s.memoryTable.Put(ctx, key, value, ifVersion)
}

func (s *countedStore) VMs(context.Context) ([]platform.VM, error) {
	err := s.admit()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms, err
}

func (s *countedStore) Services(context.Context) ([]platform.Service, error) {
	err := s.admit()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services, err
}

func (s *countedStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// change gives both lists other content: a VM and a member have moved.
func (s *countedStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.vms = append([]platform.VM(nil), s.vms...)
	s.vms[0].AdminAddr = fmt.Sprint("10.250.0.1:", s.revision)
	s.services = append([]platform.Service(nil), s.services...)
	s.services[0].Members = append([]platform.Member(nil), s.services[0].Members...)
	s.services[0].Members[0].Slots += s.revision
}

// rates returns the mean and the largest number of requests in a second since a time, over sliding seconds.
func (s *countedStore) rates(since time.Time) (average, peak float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const perSecond = int(time.Second / storeBucket)
	first, last := int(since.Sub(s.start)/storeBucket), int(time.Since(s.start)/storeBucket)
	sum, window := 0, 0
	at := func(i int) int {
		if i < first || i >= len(s.buckets) {
			return 0
		}
		return s.buckets[i]
	}
	for i := first; i < last; i++ {
		sum += at(i)
		window += at(i) - at(i-perSecond)
		peak = max(peak, float64(window))
	}
	return float64(sum) * float64(perSecond) / float64(max(last-first, 1)), peak
}

// reader is what one daemon reads of the platform.
type reader struct {
	view   *membership.View
	list   *directory.Directory
	config *configsync.Sync
}

// hash names the content of both lists, as in the daemon's heartbeats.
func (r *reader) hash() uint32 {
	if r.list.Hash() == 0 || r.view.ListHash() == 0 {
		return 0
	}
	const rotation = 16
	h := r.list.Hash()
	return max((h<<rotation|h>>(32-rotation))^r.view.ListHash(), 1)
}

func (r *reader) observe(from platform.VM, s membership.State) {
	r.config.Observe(from, s.ConfigVersion, s.ConfigHash)
	if s.Lists != 0 && s.Lists != r.hash() {
		r.list.RequestRead()
		r.view.RequestRead()
	}
}

// readerPort carries heartbeats and configuration requests in memory.
type readerPort struct {
	port
	readers map[string]*reader
}

func (p readerPort) Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error) {
	if t != wire.TypeConfigRequest {
		return p.port.Request(ctx, vm, t, body)
	}
	r := p.readers[vm.Name]
	if r == nil {
		return nil, errNoView
	}
	return r.config.ConfigRequest(ctx, p.self, body)
}

func newReader(vm platform.VM, s *countedStore, x *exchange, readers map[string]*reader) *reader {
	r, p := &reader{}, readerPort{port{x, vm}, readers}
	r.view = membership.New(membership.Options{
		Self: vm, Lister: s, Transport: p, Log: quietLog(), OnHeartbeat: r.observe,
		State: func() membership.State {
			v, h := r.config.State()
			return membership.State{ConfigVersion: v, ConfigHash: h, Lists: r.hash()}
		},
	})
	r.list = directory.New(s, quietLog(), r.view.IsReader)
	r.config = configsync.New(configsync.Options{Store: s, Peers: p, Membership: r.view, Log: quietLog(), Announce: r.view.Announce})
	return r
}

// StoreRecovery measures what a fleet reads of the platform: when it starts during an outage, when that ends, in steady
// state, and when the platform comes back with other lists after an outage. Sizes are VMs per data centre.
func StoreRecovery(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("recovery-store", "VMs in the fleet")
	r.Notes["PHASE_peak"] = "largest number of reads of lists and configuration row in any second; the platform takes 2,000"
	for _, perDC := range sizes {
		vms := fleetVMs(targetDataCentres, perDC)
		values, err := measureStore(ctx, vms)
		if err != nil {
			return nil, err
		}
		r.Add(float64(len(vms)), values)
	}
	r.Finish()
	return r, nil
}

func measureStore(ctx context.Context, vms []platform.VM) (map[string]float64, error) {
	s := &countedStore{start: time.Now(), down: true, vms: vms, services: fleetServices(storeServices, targetDataCentres)}
	if err := (&mesh{table: &s.memoryTable}).change(1); err != nil {
		return nil, err
	}
	x, readers := &exchange{views: map[string]*membership.View{}}, map[string]*reader{}
	for _, vm := range vms {
		r := newReader(vm, s, x, readers)
		x.views[vm.Name], readers[vm.Name] = r.view, r
	}
	for _, r := range readers {
		_ = r.view.Start(ctx)
		_ = r.list.Start(ctx)
		_ = r.config.Start(ctx)
	}
	defer stopReaders(readers)
	out := map[string]float64{}
	phase := func(name string, f func(), d time.Duration) {
		since := time.Now()
		f()
		pause(ctx, d)
		out[name+"_reads/s"], out[name+"_peak"] = s.rates(since)
	}
	phase("start_outage", func() {}, storeStartOutage)
	phase("start", func() { s.setDown(false) }, storeSettle)
	phase("steady", func() {}, storeBack)
	phase("outage", func() { s.setDown(true); s.change() }, storeOutage)
	phase("back", func() { s.setDown(false) }, storeBack)
	out["writes"] = float64(s.writes)
	out["live (least)"] = float64(len(vms))
	current := listpoll.Hash(s.vms)
	for _, r := range readers {
		out["live (least)"] = min(out["live (least)"], float64(len(r.view.Live())))
		if r.view.ListHash() == current {
			out["lists_current"]++
		}
	}
	return out, ctx.Err()
}

func stopReaders(readers map[string]*reader) {
	var wg sync.WaitGroup
	for _, r := range readers {
		wg.Go(func() {
			_ = r.config.Stop(context.Background())
			_ = r.list.Stop(context.Background())
			_ = r.view.Stop(context.Background())
		})
	}
	wg.Wait()
}
