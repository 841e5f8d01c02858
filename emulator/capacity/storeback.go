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

// Lengths of the phases of a store outage, and the size of the list. Delays between reads of an unavailable store stop
// growing at 2 s, so longer outages would show the same rates.
const (
	storeStartOutageTime = 10 * time.Second
	storeStartTime       = 25 * time.Second // regular polls come every 7.5 to 22.5 s, and are spread after this time
	storeOutageTime      = 20 * time.Second
	storeAvailableTime   = 25 * time.Second       // of the phases "steady" and "back"
	storeBucket          = 100 * time.Millisecond // resolution of the counts of reads
	storeServices        = 36                     // small, since requests are counted and not the bytes of the list
)

// countingStore is a platform in memory, which holds the configuration row and both lists. It counts reads in buckets of
// time, including the reads that it refuses during an outage.
type countingStore struct {
	memoryTable
	mu             sync.Mutex
	startedAt      time.Time
	unavailable    bool
	revision       int // number of changes of the lists
	vms            []platform.VM
	services       []platform.Service
	readsPerBucket []int
	writes         int
}

// countRead counts a read, and returns an error during an outage.
func (s *countingStore) countRead() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := int(time.Since(s.startedAt) / storeBucket)
	for len(s.readsPerBucket) <= i {
		s.readsPerBucket = append(s.readsPerBucket, 0)
	}
	s.readsPerBucket[i]++
	if s.unavailable {
		return platform.ErrUnavailable
	}
	return nil
}

// Get reads the configuration row.
func (s *countingStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.countRead(); err != nil {
		return platform.Row{}, err
	}
	return s.memoryTable.Get(ctx, key)
}

// Put writes the configuration row. Writes are counted apart from reads; there should be none, since daemons write nothing
// when the store comes back.
func (s *countingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	return s.memoryTable.Put(ctx, key, value, ifVersion)
}

// VMs reads the VM list.
func (s *countingStore) VMs(context.Context) ([]platform.VM, error) {
	err := s.countRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms, err
}

// Services reads the service list.
func (s *countingStore) Services(context.Context) ([]platform.Service, error) {
	err := s.countRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services, err
}

// setUnavailable starts or ends an outage.
func (s *countingStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// changeLists changes one VM and one member, so that both lists have other content.
func (s *countingStore) changeLists() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.vms = append([]platform.VM(nil), s.vms...)
	s.vms[0].AdminAddr = fmt.Sprint("10.250.0.1:", s.revision)
	s.services = append([]platform.Service(nil), s.services...)
	s.services[0].Members = append([]platform.Member(nil), s.services[0].Members...)
	s.services[0].Members[0].Slots += s.revision
}

// meanAndPeakReads returns the mean and the peak number of reads per second since a time. The peak is the largest number in
// any one second.
func (s *countingStore) meanAndPeakReads(since time.Time) (mean, peak float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const perSecond = int(time.Second / storeBucket)
	first, last := int(since.Sub(s.startedAt)/storeBucket), int(time.Since(s.startedAt)/storeBucket)
	sum, windowReads := 0, 0
	readsAt := func(bucket int) int {
		if bucket < first || bucket >= len(s.readsPerBucket) {
			return 0
		}
		return s.readsPerBucket[bucket]
	}
	for bucket := first; bucket < last; bucket++ {
		sum += readsAt(bucket)
		windowReads += readsAt(bucket) - readsAt(bucket-perSecond)
		peak = max(peak, float64(windowReads))
	}
	return float64(sum) * float64(perSecond) / float64(max(last-first, 1)), peak
}

// storeReader holds the parts of one daemon that read the platform.
type storeReader struct {
	view      *membership.View
	directory *directory.Directory
	config    *configsync.Sync
}

// listsHash returns the hash of the content of both lists that a daemon announces in heartbeats, or 0 while one of them has
// not been read.
func (r *storeReader) listsHash() uint32 {
	if r.directory.ListHash() == 0 || r.view.ListHash() == 0 {
		return 0
	}
	const rotation = 16
	h := r.directory.ListHash()
	return max((h<<rotation|h>>(32-rotation))^r.view.ListHash(), 1)
}

// observeHeartbeat does what a daemon does with the state in a heartbeat: it reads the lists if the peer's differ.
func (r *storeReader) observeHeartbeat(from platform.VM, s membership.State) {
	r.config.ObserveAnnouncement(from, s.ConfigVersion, s.ConfigHash)
	if s.ListsHash != 0 && s.ListsHash != r.listsHash() {
		r.directory.RequestRead()
		r.view.RequestRead()
	}
}

// readerTransport passes heartbeats and configuration requests between daemons in this process.
type readerTransport struct {
	memoryTransport
	readers map[string]*storeReader
}

// Request passes a heartbeat to the view of the VM, or a configuration request to its copy of the configuration.
func (t readerTransport) Request(ctx context.Context, vm platform.VM, frameType wire.Type, body []byte) ([]byte, error) {
	if frameType != wire.TypeConfigRequest {
		return t.memoryTransport.Request(ctx, vm, frameType, body)
	}
	r := t.readers[vm.Name]
	if r == nil {
		return nil, errUnknownVM
	}
	return r.config.HandleConfigRequest(ctx, t.self, body)
}

// newStoreReader returns the reader of one VM. It answers requests once it is in readers and its view is in the network.
func newStoreReader(vm platform.VM, store *countingStore, network *memoryNetwork, readers map[string]*storeReader) *storeReader {
	reader, transport := &storeReader{}, readerTransport{memoryTransport{network, vm}, readers}
	reader.view = membership.New(membership.Options{
		Self: vm, Lister: store, Transport: transport, Log: quietLog(), OnHeartbeat: reader.observeHeartbeat,
		State: func() membership.State {
			version, hash := reader.config.State()
			return membership.State{ConfigVersion: version, ConfigHash: hash, ListsHash: reader.listsHash()}
		},
	})
	reader.directory = directory.New(directory.Options{Lister: store, Log: quietLog(), IsReader: reader.view.IsReader})
	reader.config = configsync.New(configsync.Options{
		Store: store, Peers: transport, Membership: reader.view, Log: quietLog(), Announce: reader.view.Announce,
	})
	return reader
}

// StoreRecovery measures how often a fleet reads the platform: when the fleet starts during an outage, when that outage
// ends, in steady state, during another outage, and when the platform comes back from it with changed lists. Sizes are VMs
// per data centre.
func StoreRecovery(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("recovery-store", "VMs in the fleet")
	r.Notes["PHASE_peak"] = "largest number of reads of the lists and the configuration row in any second; the platform takes 2,000"
	for _, vmsPerDC := range sizes {
		vms := fleetVMs(targetDataCentres, vmsPerDC)
		values, err := measureStore(ctx, vms)
		if err != nil {
			return nil, err
		}
		r.Add(float64(len(vms)), values)
	}
	r.Finish()
	return r, nil
}

// measureStore runs the phases one after the other on one fleet.
func measureStore(ctx context.Context, vms []platform.VM) (map[string]float64, error) {
	store := &countingStore{startedAt: time.Now(), unavailable: true, vms: vms, services: fleetServices(storeServices, targetDataCentres)}
	if err := (&mesh{table: &store.memoryTable}).storeConfig(1); err != nil {
		return nil, err
	}
	network, readers := &memoryNetwork{views: map[string]*membership.View{}}, map[string]*storeReader{}
	for _, vm := range vms {
		r := newStoreReader(vm, store, network, readers)
		network.views[vm.Name], readers[vm.Name] = r.view, r
	}
	for _, r := range readers {
		_ = r.view.Start(ctx)
		_ = r.directory.Start(ctx)
		_ = r.config.Start(ctx)
	}
	defer stopStoreReaders(readers)
	values := map[string]float64{}
	phase := func(name string, begin func(), duration time.Duration) {
		since := time.Now()
		begin()
		pause(ctx, duration)
		values[name+"_reads/s"], values[name+"_peak"] = store.meanAndPeakReads(since)
	}
	phase("start_outage", func() {}, storeStartOutageTime)
	phase("start", func() { store.setUnavailable(false) }, storeStartTime)
	phase("steady", func() {}, storeAvailableTime)
	phase("outage", func() { store.setUnavailable(true); store.changeLists() }, storeOutageTime)
	phase("back", func() { store.setUnavailable(false) }, storeAvailableTime)
	values["writes"] = float64(store.writes)
	values["live (least)"] = float64(len(vms))
	currentHash := listpoll.Hash(store.services)
	for _, r := range readers {
		values["live (least)"] = min(values["live (least)"], float64(len(r.view.Live())))
		if r.directory.ListHash() == currentHash {
			values["lists_current"]++
		}
	}
	return values, ctx.Err()
}

func stopStoreReaders(readers map[string]*storeReader) {
	var wg sync.WaitGroup
	for _, r := range readers {
		wg.Go(func() {
			_ = r.config.Stop(context.Background())
			_ = r.directory.Stop(context.Background())
			_ = r.view.Stop(context.Background())
		})
	}
	wg.Wait()
}
