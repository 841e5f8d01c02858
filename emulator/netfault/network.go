// Package netfault is a fault-injecting network for tests. It runs TCP proxies on loopback between the data centres of
// a topology, with delays, shared bandwidth between regions, cuts, silent connections and resets. The TCP proxies do
// not interpret what they forward. Requests to the platform also pass an HTTP proxy, which replaces the addresses in
// its lists. The package is not part of the product.
package netfault

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// RegionBitsPerSecond is the bandwidth between regions, shared by all links of one direction between two regions.
const RegionBitsPerSecond = 30_000_000

// Clients is the name of the place where callers are. Links to and from it have the client delay.
const Clients = "clients"

// Store is the name of the place where the platform is.
const Store = "store"

// regionBurstBytes is the burst of a limiter. It must be at least chunkBytes, since a chunk is admitted as a whole.
const regionBurstBytes = 2 * chunkBytes

// Network proxies all connections between places: data centres, Clients and Store. Each place reaches every address
// through proxies of its own.
type Network struct {
	actual *topology.Topology // with the addresses of the processes
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	regions       map[string]string             // by data centre or Store
	limiters      map[[2]string]*rate.Limiter   // by pair of regions, from and to
	links         map[[2]string]*Link           // by pair of places, from and to
	topologies    map[string]*topology.Topology // by place: the topology with the addresses of its proxies
	platformAddrs map[string]string             // by data centre: the address of its platform proxy
	closers       []func() error
}

// New starts the proxies for a topology, whose addresses must be filled in.
func New(actual *topology.Topology) (*Network, error) {
	n := &Network{actual: actual, regions: map[string]string{}, limiters: map[[2]string]*rate.Limiter{},
		links: map[[2]string]*Link{}, topologies: map[string]*topology.Topology{}, platformAddrs: map[string]string{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	for _, r := range actual.Regions {
		for _, dc := range r.DataCentres {
			n.regions[dc] = r.Name
		}
	}
	n.regions[Store] = actual.StoreRegion
	n.makeLinks()
	for dc := range n.regions {
		if dc == Store {
			continue
		}
		if err := n.startDataCentreProxies(dc); err != nil {
			return nil, errors.Join(err, n.Close())
		}
	}
	return n, n.startClientProxies()
}

// makeLinks creates a link for each pair of places.
func (n *Network) makeLinks() {
	places := []string{Clients, Store}
	for _, r := range n.actual.Regions {
		places = append(places, r.DataCentres...)
	}
	for _, a := range places {
		for _, b := range places {
			n.links[[2]string{a, b}] = newLink(n.delay(a, b), n.limiter(a, b))
		}
	}
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// delay returns the one-way delay between two places.
func (n *Network) delay(a, b string) time.Duration {
	d := n.actual.Delays
	switch {
	case a == Clients || b == Clients:
		return milliseconds(d.ClientMs)
	case a == b:
		return 0
	case n.regions[a] == n.regions[b]:
		return milliseconds(d.DataCentreMs)
	}
	return milliseconds(d.RegionMs)
}

// limiter returns the bandwidth limiter for connections from a to b, or nil within a region and for callers. Both
// directions of a connection share it.
func (n *Network) limiter(a, b string) *rate.Limiter {
	if a == Clients || b == Clients || n.regions[a] == n.regions[b] {
		return nil
	}
	key := [2]string{n.regions[a], n.regions[b]}
	if n.limiters[key] == nil {
		n.limiters[key] = rate.NewLimiter(rate.Limit(RegionBitsPerSecond/8), regionBurstBytes)
	}
	return n.limiters[key]
}

// Link returns the link of the connections from one place to another. A place is a data centre, Clients or Store.
func (n *Network) Link(from, to string) *Link { return n.links[[2]string{from, to}] }

// Isolate cuts the links between a data centre and all others and the platform. Callers still reach it.
func (n *Network) Isolate(dc string) { n.forLinksOfPlace(dc, (*Link).Cut) }

// Rejoin heals the links that Isolate cut.
func (n *Network) Rejoin(dc string) { n.forLinksOfPlace(dc, (*Link).Heal) }

// forLinksOfPlace calls f for the links between a place and all others except Clients.
func (n *Network) forLinksOfPlace(place string, f func(*Link)) {
	for key, l := range n.links {
		if key[0] != key[1] && key[0] != Clients && key[1] != Clients && (key[0] == place || key[1] == place) {
			f(l)
		}
	}
}

// CutStore cuts the links between all data centres and the platform.
func (n *Network) CutStore() { n.forLinksOfPlace(Store, (*Link).Cut) }

// HealStore heals the links that CutStore cut.
func (n *Network) HealStore() { n.forLinksOfPlace(Store, (*Link).Heal) }

// RegionBytes returns the number of bytes forwarded between regions, without those to and from the platform.
func (n *Network) RegionBytes() uint64 {
	var sum uint64
	for key, l := range n.links {
		if key[0] != Store && key[1] != Store && n.limiter(key[0], key[1]) != nil {
			sum += l.ForwardedBytes.Load()
		}
	}
	return sum
}

// TopologyFrom returns the topology with the addresses that processes in a data centre, or callers if dc is Clients,
// use.
func (n *Network) TopologyFrom(dc string) *topology.Topology { return n.topologies[dc] }

// PlatformURL returns the URL at which processes in a data centre reach the platform.
func (n *Network) PlatformURL(dc string) string { return "http://" + n.platformAddrs[dc] }

// startDataCentreProxies starts the proxies through which one data centre reaches entry VMs, members and the platform.
func (n *Network) startDataCentreProxies(dc string) error {
	t, err := clone(n.actual)
	if err != nil {
		return err
	}
	for i := range t.VMs {
		vm := &t.VMs[i]
		if vm.PeerAddr, err = n.startProxy(dc, vm.DataCentre, vm.PeerAddr); err != nil {
			return err
		}
	}
	for i := range t.Services {
		for j := range t.Services[i].Members {
			m := &t.Services[i].Members[j]
			if m.DataAddr, err = n.startProxy(dc, m.DataCentre, m.DataAddr); err != nil {
				return err
			}
			if m.ControlAddr, err = n.startProxy(dc, m.DataCentre, m.ControlAddr); err != nil {
				return err
			}
		}
	}
	n.topologies[dc] = t
	return n.startPlatformProxy(dc, t)
}

// startClientProxies starts a proxy in front of the caller address of each VM.
func (n *Network) startClientProxies() error {
	t, err := clone(n.actual)
	if err != nil {
		return err
	}
	for i := range t.VMs {
		vm := &t.VMs[i]
		if vm.CallerAddr, err = n.startProxy(Clients, vm.DataCentre, vm.CallerAddr); err != nil {
			return err
		}
	}
	n.topologies[Clients] = t
	return nil
}

// clone returns a deep copy of t.
func clone(t *topology.Topology) (*topology.Topology, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	out := &topology.Topology{}
	return out, json.Unmarshal(data, out)
}

// startProxy starts a proxy from one place to a target in another and returns its address.
func (n *Network) startProxy(from, to, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.closers = append(n.closers, l.Close)
	link := n.Link(from, to)
	n.wg.Go(func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { newConn(n.ctx, link, client).serve(target) })
		}
	})
	return l.Addr().String(), nil
}

// startPlatformProxy starts the proxy through which a data centre reaches the platform. In the platform's lists it
// replaces the addresses by those in t; all else passes unchanged.
func (n *Network) startPlatformProxy(dc string, t *topology.Topology) error {
	backend, err := n.startProxy(dc, Store, n.actual.PlatformAddr)
	if err != nil {
		return err
	}
	reverseProxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	reverseProxy.ModifyResponse = func(r *http.Response) error { return rewriteLists(r, t) }
	reverseProxy.ErrorLog = nil
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: reverseProxy, ReadHeaderTimeout: dialTimeout}
	n.closers = append(n.closers, srv.Close)
	n.wg.Go(func() { _ = srv.Serve(l) })
	n.platformAddrs[dc] = l.Addr().String()
	return nil
}

// rewriteLists replaces the addresses in a response that holds a list of the platform by those in t.
func rewriteLists(r *http.Response, t *topology.Topology) error {
	if r.StatusCode != http.StatusOK {
		return nil
	}
	switch r.Request.URL.Path {
	case httpapi.PathVMs:
		return rewriteBody(r, func(vms []platform.VM) []platform.VM {
			for i := range vms {
				for _, vm := range t.VMs {
					if vm.Name == vms[i].Name {
						vms[i].PeerAddr = vm.PeerAddr
					}
				}
			}
			return vms
		})
	case httpapi.PathServices:
		return rewriteBody(r, func(services []platform.Service) []platform.Service {
			for _, s := range services {
				for i := range s.Members {
					if m, _, _, err := t.Member(s.Members[i].Name); err == nil {
						s.Members[i].DataAddr, s.Members[i].ControlAddr = m.DataAddr, m.ControlAddr
					}
				}
			}
			return services
		})
	}
	return nil
}

// rewriteBody replaces the JSON body of a response by the result of f.
func rewriteBody[T any](r *http.Response, f func(T) T) error {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		return fmt.Errorf("decoding a list of the platform: %w", err)
	}
	_ = r.Body.Close()
	return setJSONBody(r, f(v))
}

// Close stops all proxies and closes their connections.
func (n *Network) Close() error {
	n.cancel()
	var errs []error
	for _, f := range n.closers {
		errs = append(errs, f())
	}
	n.wg.Wait()
	return errors.Join(errs...)
}
