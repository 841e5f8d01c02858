// Package netfault is a fault-injecting network for tests: TCP proxies on loopback between the data centres of a
// topology, with delay, shared bandwidth between regions, cuts, silent connections and resets. It does not
// look into what it forwards, and is not part of the product.
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

// Clients is the place of callers; links from there have the client delay.
const Clients = "clients"

// Store is the place of the platform.
const Store = "store"

const regionBurstBytes = 2 * chunkBytes

// Network proxies all connections between data centres. Each data centre sees every address as a proxy of its own.
type Network struct {
	actual *topology.Topology
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	regions       map[string]string // data centre to region
	limiters      map[[2]string]*rate.Limiter
	links         map[[2]string]*Link
	topologies    map[string]*topology.Topology // by observing data centre
	platformAddrs map[string]string             // platform address by observing data centre
	closers       []func() error
}

// New starts the proxies for a topology whose addresses are filled in.
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

// limiter returns the limiter of the pair of regions, nil within one. Both directions of a connection share it.
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

// Link returns the link over which connections from one place to another go: data centres, Clients or Store.
func (n *Network) Link(from, to string) *Link { return n.links[[2]string{from, to}] }

// Isolate cuts a data centre off from all others and from the store; callers still reach it.
func (n *Network) Isolate(dc string) { n.forLinksBetweenPlaces(dc, (*Link).Cut) }

// Rejoin heals what Isolate cut.
func (n *Network) Rejoin(dc string) { n.forLinksBetweenPlaces(dc, (*Link).Heal) }

func (n *Network) forLinksBetweenPlaces(place string, f func(*Link)) {
	for key, l := range n.links {
		if key[0] != key[1] && key[0] != Clients && key[1] != Clients && (key[0] == place || key[1] == place) {
			f(l)
		}
	}
}

// CutStore cuts all data centres off from the platform; HealStore ends it.
func (n *Network) CutStore() { n.forLinksBetweenPlaces(Store, (*Link).Cut) }

// HealStore ends CutStore.
func (n *Network) HealStore() { n.forLinksBetweenPlaces(Store, (*Link).Heal) }

// RegionBytes returns the bytes passed between regions, the store's excepted.
func (n *Network) RegionBytes() uint64 {
	var sum uint64
	for key, l := range n.links {
		if key[0] != Store && key[1] != Store && n.limiter(key[0], key[1]) != nil {
			sum += l.ForwardedBytes.Load()
		}
	}
	return sum
}

// TopologyFrom returns the topology with the addresses that processes of a data centre use.
func (n *Network) TopologyFrom(dc string) *topology.Topology { return n.topologies[dc] }

// PlatformURL returns the platform as a data centre reaches it.
func (n *Network) PlatformURL(dc string) string { return "http://" + n.platformAddrs[dc] }

// startDataCentreProxies builds the view of one data centre.
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

// startClientProxies puts a proxy before the caller address of each VM.
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

func clone(t *topology.Topology) (*topology.Topology, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	out := &topology.Topology{}
	return out, json.Unmarshal(data, out)
}

// startProxy starts a proxy and returns its address.
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

// startPlatformProxy starts the platform's front for a data centre: lists show the addresses that the data centre uses, all other
// requests pass.
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

// rewriteLists replaces the addresses in the platform's lists.
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

func rewriteBody[T any](r *http.Response, f func(T) T) error {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		return fmt.Errorf("platform list: %w", err)
	}
	_ = r.Body.Close()
	return setJSONBody(r, f(v))
}

// Close ends all proxies and connections.
func (n *Network) Close() error {
	n.cancel()
	var errs []error
	for _, f := range n.closers {
		errs = append(errs, f())
	}
	n.wg.Wait()
	return errors.Join(errs...)
}
