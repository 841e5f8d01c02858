package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Size of the two-year target: the installation that the design must be able to serve in two years.
const (
	targetDataCentres    = 12
	dataCentresPerRegion = 4
	targetServices       = 1200
	membersPerService    = 3

	// fleetSettle is the time from the start of the views to the measurement of the steady state, in which the sections
	// that were sent at the start have reached all views.
	fleetSettle = 9 * time.Second
	// completeViewsTimeout bounds the wait until every view is complete. It is long because all views share the cores of
	// this machine.
	completeViewsTimeout = 60 * time.Second
	completeViewsPoll    = 20 * time.Millisecond
	fleetDuration        = 4 * time.Second
	computationRepeats   = 5 // measurements of a computation, whose median is reported
)

// fleetVMs returns VMs for data centres of vmsPerDC VMs each.
func fleetVMs(dataCentres, vmsPerDC int) []platform.VM {
	var out []platform.VM
	for d := range dataCentres {
		for i := range vmsPerDC {
			out = append(out, platform.VM{
				Name:       fmt.Sprintf("entry-%02d-%03d", d, i),
				DataCentre: fmt.Sprintf("data-centre-%02d", d), Region: fmt.Sprintf("region-%d", d/dataCentresPerRegion),
				PeerAddr:  fmt.Sprintf("10.%d.%d.%d:7001", d, i/250, i%250),
				AdminAddr: fmt.Sprintf("10.%d.%d.%d:7002", d, i/250, i%250), State: platform.VMLive,
			})
		}
	}
	return out
}

// fleetServices returns services of three members, each in another data centre.
func fleetServices(count, dataCentres int) []platform.Service {
	return fleetServicesOf(count, dataCentres, membersPerService)
}

// fleetServicesOf returns services with the given number of members. The members of a service are in different data
// centres, as far as there are enough.
func fleetServicesOf(count, dataCentres, members int) []platform.Service {
	out := make([]platform.Service, count)
	for i := range out {
		name := fmt.Sprintf("database-%04d.1", i)
		out[i] = platform.Service{Name: name, Database: fmt.Sprintf("database-%04d", i)}
		for j := range members {
			d := (i + j) % dataCentres
			out[i].Members = append(out[i].Members, platform.Member{
				Name: fmt.Sprintf("%s.%c", name, 'a'+j), Service: name,
				DataCentre: fmt.Sprintf("data-centre-%02d", d), Region: fmt.Sprintf("region-%d", d/dataCentresPerRegion),
				DataAddr: fmt.Sprintf("10.%d.%d.%d:5432", 100+d, i/250, i%250), ControlAddr: fmt.Sprintf("10.%d.%d.%d:5433", 100+d, i/250, i%250),
				Slots: 16, Connections: 100,
			})
		}
	}
	return out
}

// memoryNetwork passes heartbeats between views in this process.
type memoryNetwork struct {
	views            map[string]*membership.View
	heartbeatBytes   atomic.Int64 // bytes sent plus bytes received, over all VMs
	largestHeartbeat atomic.Int64 // bytes of the largest message
}

var errUnknownVM = errors.New("the VM is not part of the simulated fleet")

// memoryTransport is the membership transport of the VM self.
type memoryTransport struct {
	*memoryNetwork
	self platform.VM
}

func (t memoryTransport) Probe(_ context.Context, vm platform.VM) error {
	if t.views[vm.Name] == nil {
		return errUnknownVM
	}
	return nil
}

func (t memoryTransport) Request(ctx context.Context, vm platform.VM, _ wire.Type, body []byte) ([]byte, error) {
	view := t.views[vm.Name]
	if view == nil {
		return nil, errUnknownVM
	}
	reply, err := view.Heartbeat(ctx, t.self, body)
	t.heartbeatBytes.Add(int64(2 * (len(body) + len(reply)))) // each byte is sent by one VM and received by the other
	for largest := t.largestHeartbeat.Load(); int64(max(len(body), len(reply))) > largest; largest = t.largestHeartbeat.Load() {
		if t.largestHeartbeat.CompareAndSwap(largest, int64(max(len(body), len(reply)))) {
			break
		}
	}
	return reply, err
}

// Fleet simulates the membership views of the whole fleet without sockets. Sizes are VMs per data centre.
func Fleet(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("fleet", "VMs in the fleet")
	for _, vmsPerDC := range sizes {
		vms := fleetVMs(targetDataCentres, vmsPerDC)
		r.Add(float64(len(vms)), measureFleet(ctx, vms))
	}
	r.Finish()
	return r, nil
}

// measureFleet measures how long the views take to become complete, and what a VM costs at the start and when steady.
func measureFleet(ctx context.Context, vms []platform.VM) map[string]float64 {
	memoryBefore := selfMemory()
	network := &memoryNetwork{views: map[string]*membership.View{}}
	for _, vm := range vms {
		network.views[vm.Name] = membership.New(membership.Options{
			Self: vm, Lister: staticVMList(vms), Transport: memoryTransport{network, vm}, Log: quietLog(),
		})
	}
	count, cpuBefore := float64(len(vms)), selfCPU()
	for _, v := range network.views {
		_ = v.Start(ctx)
	}
	started := time.Now()
	completeViews := network.waitCompleteViews(ctx, len(vms))
	values := map[string]float64{
		"agree_s": time.Since(started).Seconds(), "agree_cpu_ms": float64((selfCPU() - cpuBefore).Milliseconds()) / count,
		"complete_views": completeViews,
	}
	pause(ctx, time.Until(started.Add(fleetSettle)))
	values["start_cpu_ms"] = float64((selfCPU() - cpuBefore).Milliseconds()) / count
	values["largest_heartbeat_bytes"] = float64(network.largestHeartbeat.Load())
	network.largestHeartbeat.Store(0)
	cpuBefore, bytesBefore, start := selfCPU(), network.heartbeatBytes.Load(), time.Now()
	pause(ctx, fleetDuration)
	seconds := time.Since(start).Seconds()
	values["cpu_us/s"] = float64((selfCPU() - cpuBefore).Microseconds()) / seconds / count
	values["heartbeat_bytes/s"] = float64(network.heartbeatBytes.Load()-bytesBefore) / seconds / count
	values["steady_heartbeat_bytes"] = float64(network.largestHeartbeat.Load())
	values["memory_bytes"] = (selfMemory() - memoryBefore) / count
	linkSum, mostLinks, fewestLive := 0, 0, len(vms)
	for _, v := range network.views {
		viewLinks := linkCount(v)
		linkSum, mostLinks, fewestLive = linkSum+viewLinks, max(mostLinks, viewLinks), min(fewestLive, len(v.Live()))
	}
	values["links (mean)"], values["links (most)"], values["live (least)"] = float64(linkSum)/count, float64(mostLinks), float64(fewestLive)
	var wg sync.WaitGroup
	for _, v := range network.views {
		wg.Go(func() { _ = v.Stop(context.Background()) })
	}
	wg.Wait()
	return values
}

// waitCompleteViews waits at most completeViewsTimeout until every view holds liveVMs live VMs, and returns how many views
// do.
func (n *memoryNetwork) waitCompleteViews(ctx context.Context, liveVMs int) float64 {
	for deadline := time.Now().Add(completeViewsTimeout); ; pause(ctx, completeViewsPoll) {
		complete := 0
		for _, v := range n.views {
			if len(v.Live()) == liveVMs {
				complete++
			}
		}
		if complete == len(n.views) || time.Now().After(deadline) || ctx.Err() != nil {
			return float64(complete)
		}
	}
}

// Ownership measures a daemon's computations of owners, links and readers, which involve no input or output, with the
// target's number of services. Sizes are VMs per data centre.
func Ownership(_ context.Context, sizes []int) (*Report, error) {
	r := NewReport("ownership", "VMs in the fleet")
	services := fleetServices(targetServices, targetDataCentres)
	for _, vmsPerDC := range sizes {
		vms := fleetVMs(targetDataCentres, vmsPerDC)
		var cache ownership.Cache
		r.Add(float64(len(vms)), map[string]float64{
			"owner_ns":        medianCPUTime(func() { membersOwned(services, vms) }) / (targetServices * membersPerService),
			"cached_owner_ns": medianCPUTime(func() { lookUpCachedOwners(&cache, services, vms) }) / (targetServices * membersPerService),
			"links_us":        medianCPUTime(func() { ownership.HeartbeatPeers(vms[0], vms) }) / 1e3,
			"readers_us":      medianCPUTime(func() { ownership.StoreReaders(vms[0].DataCentre, vms) }) / 1e3,
			"owned_most":      float64(mostMembersOwned(services, vms)),
		})
	}
	r.Finish()
	return r, nil
}

// medianCPUTime returns the median CPU time of a call of f in nanoseconds. Each measurement repeats f for 10 ms, so that
// short calls are measured too.
func medianCPUTime(f func()) float64 {
	var samples []float64
	for range computationRepeats {
		start := selfCPU()
		calls := 0
		for ; calls < 1 || selfCPU()-start < 10*time.Millisecond; calls++ {
			f()
		}
		samples = append(samples, float64((selfCPU()-start).Nanoseconds())/float64(calls))
	}
	return quantile(samples, 0.5)
}

// membersOwned returns the number of members that each VM owns.
func membersOwned(services []platform.Service, vms []platform.VM) map[string]int {
	owned := map[string]int{}
	for _, s := range services {
		for _, m := range s.Members {
			if vm, ok := ownership.Owner(m, vms); ok {
				owned[vm.Name]++
			}
		}
	}
	return owned
}

// lookUpCachedOwners looks up the owner of each member in the cache.
func lookUpCachedOwners(cache *ownership.Cache, services []platform.Service, vms []platform.VM) {
	for _, s := range services {
		for _, m := range s.Members {
			_, _ = cache.Owner(m, vms)
		}
	}
}

// mostMembersOwned returns the largest number of members that a VM owns.
func mostMembersOwned(services []platform.Service, vms []platform.VM) int {
	most := 0
	for _, n := range membersOwned(services, vms) {
		most = max(most, n)
	}
	return most
}
