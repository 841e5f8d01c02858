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

// Shape of the two-year target (section 1.4 of the design page).
const (
	targetDataCentres = 12
	dataCentresPerReg = 4
	targetServices    = 1200
	membersPerService = 3

	fleetSettle = 9 * time.Second // from the start, so that sections of the start have been passed on
	// agreeLimit bounds the wait until all views are complete. All views share the cores of this machine.
	agreeLimit = 60 * time.Second
	agreeCheck = 20 * time.Millisecond
	fleetSpan  = 4 * time.Second
	repeats    = 5 // of a computation, of which the median counts
)

// fleetVMs returns VMs spread evenly over data centres.
func fleetVMs(dataCentres, perDC int) []platform.VM {
	var out []platform.VM
	for d := range dataCentres {
		for i := range perDC {
			out = append(out, platform.VM{
				Name:       fmt.Sprintf("entry-%02d-%03d", d, i),
				DataCentre: fmt.Sprintf("data-centre-%02d", d), Region: fmt.Sprintf("region-%d", d/dataCentresPerReg),
				PeerAddr:  fmt.Sprintf("10.%d.%d.%d:7001", d, i/250, i%250),
				AdminAddr: fmt.Sprintf("10.%d.%d.%d:7002", d, i/250, i%250), State: platform.VMLive,
			})
		}
	}
	return out
}

// fleetServices returns services whose members are in three data centres.
func fleetServices(n, dataCentres int) []platform.Service {
	return fleetServicesOf(n, dataCentres, membersPerService)
}

// fleetServicesOf returns services with the given number of members, each in another data centre.
func fleetServicesOf(n, dataCentres, members int) []platform.Service {
	out := make([]platform.Service, n)
	for i := range out {
		name := fmt.Sprintf("database-%04d.1", i)
		out[i] = platform.Service{Name: name, Database: fmt.Sprintf("database-%04d", i)}
		for j := range members {
			d := (i + j) % dataCentres
			out[i].Members = append(out[i].Members, platform.Member{
				Name: fmt.Sprintf("%s.%c", name, 'a'+j), Service: name,
				DataCentre: fmt.Sprintf("data-centre-%02d", d), Region: fmt.Sprintf("region-%d", d/dataCentresPerReg),
				DataAddr: fmt.Sprintf("10.%d.%d.%d:5432", 100+d, i/250, i%250), ControlAddr: fmt.Sprintf("10.%d.%d.%d:5433", 100+d, i/250, i%250),
				Slots: 16, Connections: 100,
			})
		}
	}
	return out
}

// exchange joins views in memory.
type exchange struct {
	views map[string]*membership.View
	bytes atomic.Int64
	most  atomic.Int64 // largest heartbeat
}

var errNoView = errors.New("no such VM")

// port is the transport of one VM.
type port struct {
	*exchange
	self platform.VM
}

func (p port) Probe(_ context.Context, vm platform.VM) error {
	if p.views[vm.Name] == nil {
		return errNoView
	}
	return nil
}

func (p port) Request(ctx context.Context, vm platform.VM, _ wire.Type, body []byte) ([]byte, error) {
	v := p.views[vm.Name]
	if v == nil {
		return nil, errNoView
	}
	reply, err := v.Heartbeat(ctx, p.self, body)
	p.bytes.Add(int64(2 * (len(body) + len(reply)))) // sent by one, received by the other
	for most := p.most.Load(); int64(max(len(body), len(reply))) > most; most = p.most.Load() {
		if p.most.CompareAndSwap(most, int64(max(len(body), len(reply)))) {
			break
		}
	}
	return reply, err
}

// Fleet simulates the membership views of the whole fleet without sockets. Sizes are VMs per data centre.
func Fleet(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("fleet", "VMs in the fleet")
	for _, perDC := range sizes {
		vms := fleetVMs(targetDataCentres, perDC)
		r.Add(float64(len(vms)), measureFleet(ctx, vms))
	}
	r.Finish()
	return r, nil
}

func measureFleet(ctx context.Context, vms []platform.VM) map[string]float64 {
	empty := selfMemory()
	x := &exchange{views: map[string]*membership.View{}}
	for _, vm := range vms {
		x.views[vm.Name] = membership.New(membership.Options{
			Self: vm, Lister: staticList(vms), Transport: port{x, vm}, Log: quietLog(),
		})
	}
	n, cpu := float64(len(vms)), selfCPU()
	for _, v := range x.views {
		_ = v.Start(ctx)
	}
	begin := time.Now()
	complete := x.agree(ctx, len(vms))
	out := map[string]float64{
		"agree_s": time.Since(begin).Seconds(), "agree_cpu_ms": float64((selfCPU() - cpu).Milliseconds()) / n, "complete_views": complete,
	}
	pause(ctx, time.Until(begin.Add(fleetSettle)))
	out["start_cpu_ms"] = float64((selfCPU() - cpu).Milliseconds()) / n
	out["largest_heartbeat_bytes"] = float64(x.most.Load())
	x.most.Store(0)
	cpu, bytes, start := selfCPU(), x.bytes.Load(), time.Now()
	pause(ctx, fleetSpan)
	s := time.Since(start).Seconds()
	out["cpu_us/s"] = float64((selfCPU() - cpu).Microseconds()) / s / n
	out["heartbeat_bytes/s"] = float64(x.bytes.Load()-bytes) / s / n
	out["steady_heartbeat_bytes"] = float64(x.most.Load())
	out["memory_bytes"] = (selfMemory() - empty) / n
	links, most, least := 0, 0, len(vms)
	for _, v := range x.views {
		l := linked(v)
		links, most, least = links+l, max(most, l), min(least, len(v.Live()))
	}
	out["links (mean)"], out["links (most)"], out["live (least)"] = float64(links)/n, float64(most), float64(least)
	var wg sync.WaitGroup
	for _, v := range x.views {
		wg.Go(func() { _ = v.Stop(context.Background()) })
	}
	wg.Wait()
	return out
}

// agree waits until every view holds n live VMs, at most agreeLimit, and returns how many views do.
func (x *exchange) agree(ctx context.Context, n int) float64 {
	for end := time.Now().Add(agreeLimit); ; pause(ctx, agreeCheck) {
		complete := 0
		for _, v := range x.views {
			if len(v.Live()) == n {
				complete++
			}
		}
		if complete == len(x.views) || time.Now().After(end) || ctx.Err() != nil {
			return float64(complete)
		}
	}
}

// Ownership measures the pure computations of a daemon at the target's number of services. Sizes are VMs per data
// centre.
func Ownership(_ context.Context, sizes []int) (*Report, error) {
	r := NewReport("ownership", "VMs in the fleet")
	services := fleetServices(targetServices, targetDataCentres)
	for _, perDC := range sizes {
		vms := fleetVMs(targetDataCentres, perDC)
		var cache ownership.Cache
		r.Add(float64(len(vms)), map[string]float64{
			"owner_ns":        medianOf(func() { ownersOf(services, vms) }) / (targetServices * membersPerService),
			"cached_owner_ns": medianOf(func() { cachedOwners(&cache, services, vms) }) / (targetServices * membersPerService),
			"links_us":        medianOf(func() { ownership.HeartbeatPeers(vms[0], vms) }) / 1e3,
			"readers_us":      medianOf(func() { ownership.Readers(vms[0].DataCentre, vms) }) / 1e3,
			"owned_most":      float64(mostOwned(services, vms)),
		})
	}
	r.Finish()
	return r, nil
}

// medianOf returns the median duration of f in nanoseconds of CPU time.
func medianOf(f func()) float64 {
	var all []float64
	for range repeats {
		start := selfCPU()
		n := 0
		for ; n < 1 || selfCPU()-start < 10*time.Millisecond; n++ {
			f()
		}
		all = append(all, float64((selfCPU()-start).Nanoseconds())/float64(n))
	}
	return quantile(all, 0.5)
}

func ownersOf(services []platform.Service, vms []platform.VM) map[string]int {
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

func cachedOwners(c *ownership.Cache, services []platform.Service, vms []platform.VM) {
	for _, s := range services {
		for _, m := range s.Members {
			_, _ = c.Owner(m, vms)
		}
	}
}

func mostOwned(services []platform.Service, vms []platform.VM) int {
	most := 0
	for _, n := range ownersOf(services, vms) {
		most = max(most, n)
	}
	return most
}
