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

// Times of a measurement of lookups. A view that stays the same is used for 30 s, then for 60 s, then for 120 s each time.
// After lookupSettle all views are used for 120 s, and lookupDuration covers that time twice. Plain lookups are repeated
// every 30 s.
const (
	lookupSettle       = 95 * time.Second
	lookupDuration     = 240 * time.Second
	plainSettle        = time.Second
	plainDuration      = 90 * time.Second
	lookupUnitInterval = 200 * time.Millisecond // time between the units of a service
	lookupReplicaAge   = 300 * time.Millisecond // age of the replicas' data in answers
)

// Lookups measures what the lookups of views cost a VM that watches none of the services that its callers use. Sizes are
// numbers of services, which are all measured at the same time. Figures named "plain" are for answers that always hold the
// whole view, and those named "versions" for the present protocol, which sends only positions and ages while the asker
// holds the current version. In a fleet a VM answers as many lookups as it sends, so bytes/s is twice the bytes of its own.
func Lookups(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("lookups", "services used")
	r.Notes["bytes"] = "frames between daemons in both directions, for lookups sent and answered, without TCP and IP headers"
	values := make([]map[string]float64, len(sizes))
	for _, plain := range []bool{true, false} {
		errs := make(chan error, len(sizes))
		for i, services := range sizes {
			if values[i] == nil {
				values[i] = map[string]float64{}
			}
			go func() { errs <- measureLookups(ctx, services, plain, values[i]) }()
		}
		for range sizes {
			if err := <-errs; err != nil {
				return nil, err
			}
		}
	}
	for i, services := range sizes {
		r.Add(float64(services), values[i])
	}
	r.Finish()
	return r, ctx.Err()
}

// lookupFleet is the fleet as the asking VM sees it; it implements the router's interfaces for the directory, membership
// and watched views. One server answers the requests to all VMs, since only their bytes are measured.
type lookupFleet struct {
	self     platform.VM
	vms      []platform.VM
	services map[string]platform.Service
	views    map[string]group.View
	plain    bool // answer with the whole view each time
	server   platform.VM
	pool     *peer.Pool
}

func (f *lookupFleet) Self() platform.VM   { return f.self }
func (f *lookupFleet) Live() []platform.VM { return f.vms }

// VM returns the server for any name.
func (f *lookupFleet) VM(string) (platform.VM, bool) { return f.server, true }

// Service returns a service by name.
func (f *lookupFleet) Service(name string) (platform.Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// View reports that this VM watches no service.
func (f *lookupFleet) View(string) (group.View, bool) { return group.View{}, false }
func (f *lookupFleet) PollPrimary(string)             {}

// requestView sends a lookup to the server.
func (f *lookupFleet) requestView(ctx context.Context, _ platform.VM, request wire.ViewRequest) ([]byte, error) {
	body, err := wire.NewEncoder().ViewRequestBody(request)
	if err != nil {
		return nil, err
	}
	return f.pool.Request(ctx, f.server, wire.TypeViewRequest, body)
}

// answerViewRequest answers a lookup as an owner does. The positions are the current time in seconds, so that they grow
// as on a member in use.
func (f *lookupFleet) answerViewRequest(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
	request, err := wire.NewDecoder().ViewRequest(body)
	if err != nil {
		return nil, err
	}
	view := f.views[request.Service]
	view.Members = append([]group.MemberView(nil), view.Members...)
	for i := range view.Members {
		position := platform.Position(time.Now().Unix())
		view.Members[i].Status.LastPosition, view.Members[i].Status.Applied = position, position
	}
	if f.plain {
		return msgpack.Marshal(&view)
	}
	return group.EncodeLookupAnswer(view, request.Have)
}

// newLookupFleet returns a fleet of the target size without a server.
func newLookupFleet(services int, plain bool) *lookupFleet {
	fleet := &lookupFleet{vms: fleetVMs(targetDataCentres, targetVMsPerDC), services: map[string]platform.Service{},
		views: map[string]group.View{}, plain: plain}
	fleet.self = fleet.vms[0]
	for _, s := range fleetServices(services, targetDataCentres) {
		view := group.View{Service: s.Name, Term: 7, Primary: s.Members[0].Name}
		for i, m := range s.Members {
			role := platform.RoleReplica
			if i == 0 {
				role = platform.RolePrimary
			}
			view.Members = append(view.Members, group.MemberView{Name: m.Name, Known: true, Reachable: true, Fresh: true, Age: lookupReplicaAge,
				Status: platform.Status{Member: m.Name, Role: role, FencedTerm: 7, FencedBy: "entry-03-017/0123456789abcdef", LastTerm: 7, AppliedTerm: 7}})
		}
		fleet.services[s.Name], fleet.views[s.Name] = s, view
	}
	return fleet
}

// measureLookups measures lookups of the given number of services and adds the figures to values.
func measureLookups(ctx context.Context, services int, plain bool, values map[string]float64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fleet := newLookupFleet(services, plain)
	fleet.server = platform.VM{Name: "owner", PeerAddr: listener.Addr().String()}
	stats := peer.NewStats()
	server := peer.NewServer(peer.Options{Self: fleet.server, Cluster: "capacity", Limiter: peer.NewLimiter(0)})
	server.Handle(wire.TypeViewRequest, fleet.answerViewRequest)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	fleet.pool = peer.NewPool(peer.Options{Self: fleet.self, Cluster: "capacity", Stats: stats, Limiter: peer.NewLimiter(0)})
	defer fleet.pool.Close()

	requests := 0
	fetch := router.NewViewFetcher(func(ctx context.Context, vm platform.VM, r wire.ViewRequest) ([]byte, error) {
		requests++ // needs no lock, since units run one after another
		return fleet.requestView(ctx, vm, r)
	})
	views := router.NewViewCache(fleet, fleet, fleet, fetch)
	useServices := func(period time.Duration) error {
		for end := time.Now().Add(period); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, lookupUnitInterval) {
			for name := range fleet.services {
				if _, ok := views.View(ctx, name); !ok {
					return fmt.Errorf("the lookup returned no view of service %s", name)
				}
			}
		}
		return nil
	}
	prefix, settle, duration := "versions_", lookupSettle, lookupDuration
	if plain {
		prefix, settle, duration = "plain_", plainSettle, plainDuration
	}
	if err := useServices(settle); err != nil {
		return err
	}
	bytesBefore, requestsBefore, start := frameBytes(stats), requests, time.Now()
	if err := useServices(duration); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	lookups := float64(requests - requestsBefore)
	values[prefix+"lookups/s"] = lookups / seconds
	values[prefix+"bytes/lookup"] = (frameBytes(stats) - bytesBefore) / max(lookups, 1)
	values[prefix+"bytes/s"] = 2 * (frameBytes(stats) - bytesBefore) / seconds
	return nil
}

// frameBytes returns the bytes of all frames that were sent and received.
func frameBytes(stats *peer.Stats) float64 {
	var sum uint64
	stats.Each(func(_ peer.TrafficKey, t *peer.Traffic) { sum += t.SentBytes.Load() + t.ReceivedBytes.Load() })
	return float64(sum)
}
