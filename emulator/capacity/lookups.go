package capacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/router"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Times of a measurement of lookups. A view that stays the same lives 30 s, then 60 s, then 120 s: after lookupSettle
// all have reached the longest life, and lookupSpan holds two of them. Plain lookups are repeated every 30 s.
const (
	lookupSettle = 95 * time.Second
	lookupSpan   = 240 * time.Second
	plainSettle  = time.Second
	plainSpan    = 90 * time.Second
	unitInterval = 200 * time.Millisecond // of the units of a service
	likelyFresh  = 300 * time.Millisecond // age of the replicas
)

// Lookups measures what the lookups of views cost a VM that watches none of the services its callers use. Sizes are
// numbers of services, all measured at the same time: "plain" as a daemon without versions asks, and "versions" as the
// present one does. The VM is asked as often as it asks, which doubles the bytes of its own lookups.
func Lookups(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("lookups", "services used")
	r.Notes["bytes"] = "frames between daemons in both directions, asked and answered, without TCP and IP headers"
	values := make([]map[string]float64, len(sizes))
	for _, plain := range []bool{true, false} {
		errs := make(chan error, len(sizes))
		for i, n := range sizes {
			if values[i] == nil {
				values[i] = map[string]float64{}
			}
			go func() { errs <- measureLookups(ctx, n, plain, values[i]) }()
		}
		for range sizes {
			if err := <-errs; err != nil {
				return nil, err
			}
		}
	}
	for i, n := range sizes {
		r.Add(float64(n), values[i])
	}
	r.Finish()
	return r, ctx.Err()
}

// lookupFleet is the installation as the asking VM sees it. All requests go to one server: what counts are their bytes.
type lookupFleet struct {
	self     platform.VM
	vms      []platform.VM
	services map[string]platform.Service
	views    map[string]group.View
	plain    bool
	server   platform.VM
	pool     *peer.Pool
}

func (f *lookupFleet) Self() platform.VM   { return f.self }
func (f *lookupFleet) Live() []platform.VM { return f.vms }

// VM returns a VM by name.
func (f *lookupFleet) VM(string) (platform.VM, bool) { return f.server, true }

// Service returns a service by name.
func (f *lookupFleet) Service(name string) (platform.Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// View reports that this VM watches no service.
func (f *lookupFleet) View(string) (group.View, bool) { return group.View{}, false }
func (f *lookupFleet) PollPrimary(string)             {}

func (f *lookupFleet) request(ctx context.Context, _ platform.VM, r wire.ViewRequest) ([]byte, error) {
	body, err := wire.NewEncoder().ViewRequestBody(r)
	if err != nil {
		return nil, err
	}
	return f.pool.Request(ctx, f.server, wire.TypeViewRequest, body)
}

// answer answers as an owner does. Positions grow with each answer.
func (f *lookupFleet) answer(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
	req, err := wire.NewDecoder().ViewRequest(body)
	if err != nil {
		return nil, err
	}
	v := f.views[req.Service]
	v.Members = append([]group.MemberView(nil), v.Members...)
	for i := range v.Members {
		position := platform.Position(time.Now().Unix())
		v.Members[i].Status.LastPosition, v.Members[i].Status.Applied = position, position
	}
	if f.plain {
		return msgpack.Marshal(&v)
	}
	return group.EncodeLookup(v, req.Have)
}

func newLookupFleet(services int, plain bool) *lookupFleet {
	f := &lookupFleet{vms: fleetVMs(targetDataCentres, targetPerDC), services: map[string]platform.Service{},
		views: map[string]group.View{}, plain: plain}
	f.self = f.vms[0]
	for _, s := range fleetServices(services, targetDataCentres) {
		v := group.View{Service: s.Name, Term: 7, Primary: s.Members[0].Name}
		for i, m := range s.Members {
			role := platform.RoleReplica
			if i == 0 {
				role = platform.RolePrimary
			}
			v.Members = append(v.Members, group.MemberView{Name: m.Name, Known: true, Reachable: true, Fresh: true, Age: likelyFresh,
				Status: platform.Status{Member: m.Name, Role: role, FencedTerm: 7, FencedBy: "entry-03-017/0123456789abcdef", LastTerm: 7, AppliedTerm: 7}})
		}
		f.services[s.Name], f.views[s.Name] = s, v
	}
	return f
}

func measureLookups(ctx context.Context, services int, plain bool, out map[string]float64) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f := newLookupFleet(services, plain)
	f.server = platform.VM{Name: "owner", PeerAddr: l.Addr().String()}
	stats := peer.NewStats()
	server := peer.NewServer(peer.Options{Self: f.server, Cluster: "capacity", Limiter: peer.NewLimiter(0)})
	server.Handle(wire.TypeViewRequest, f.answer)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	f.pool = peer.NewPool(peer.Options{Self: f.self, Cluster: "capacity", Stats: stats, Limiter: peer.NewLimiter(0)})
	defer f.pool.Close()

	asked := 0
	fetch := router.Lookup(func(ctx context.Context, vm platform.VM, r wire.ViewRequest) ([]byte, error) {
		asked++ // units run one after another
		return f.request(ctx, vm, r)
	})
	views := router.NewViewCache(f, f, f, fetch)
	use := func(d time.Duration) error {
		for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, unitInterval) {
			for name := range f.services {
				if _, ok := views.View(ctx, name); !ok {
					return fmt.Errorf("no view of %s", name)
				}
			}
		}
		return nil
	}
	name, settle, length := "versions_", lookupSettle, lookupSpan
	if plain {
		name, settle, length = "plain_", plainSettle, plainSpan
	}
	if err := use(settle); err != nil {
		return err
	}
	bytes, before, start := trafficOf(stats), asked, time.Now()
	if err := use(length); err != nil {
		return err
	}
	s := time.Since(start).Seconds()
	lookups := float64(asked - before)
	out[name+"lookups/s"] = lookups / s
	out[name+"bytes/lookup"] = (trafficOf(stats) - bytes) / max(lookups, 1)
	out[name+"bytes/s"] = 2 * (trafficOf(stats) - bytes) / s
	return nil
}

// trafficOf returns the bytes of frames in both directions.
func trafficOf(stats *peer.Stats) float64 {
	var sum uint64
	stats.Each(func(_ peer.TrafficKey, t *peer.Traffic) { sum += t.SentBytes.Load() + t.ReceivedBytes.Load() })
	return float64(sum)
}
