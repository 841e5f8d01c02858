package capacity

import (
	"context"
	"fmt"
	"net"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// watchNode is the watcher of one VM with the connections between daemons that relays use.
type watchNode struct {
	vm      platform.VM
	pool    *peer.Pool
	server  *peer.Server
	stats   *peer.Stats
	watcher *group.Watcher
}

// startWatchNode starts the watcher of the VM with the given index without services. Without relays it polls all
// members.
func startWatchNode(index int, control platform.MemberControl, relays bool) (*watchNode, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &watchNode{vm: platform.VM{Name: fmt.Sprint("watcher-", index), PeerAddr: l.Addr().String()}, stats: peer.NewStats()}
	o := peer.Options{Self: n.vm, Cluster: "capacity", Stats: n.stats, Limiter: peer.NewLimiter(0)}
	n.pool, n.server = peer.NewPool(o), peer.NewServer(o)
	g := group.Options{Control: control, Self: n.vm.Name, Log: quietLog()}
	if relays {
		g.Relay = n.relay
	}
	n.watcher = group.New(g)
	n.server.Handle(wire.TypeViewRequest, n.answer)
	go func() { _ = n.server.Serve(l) }()
	return n, nil
}

func (n *watchNode) relay(ctx context.Context, lead platform.VM, service string, seen uint32) (group.Relayed, error) {
	body, err := wire.NewEncoder().ViewRequestBody(wire.ViewRequest{Service: service, Relay: true, Seen: seen})
	if err != nil {
		return group.Relayed{}, err
	}
	reply, err := n.pool.Request(ctx, lead, wire.TypeViewRequest, body)
	if err != nil {
		return group.Relayed{}, err
	}
	return group.DecodeRelayed(reply)
}

func (n *watchNode) answer(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
	req, err := wire.NewDecoder().ViewRequest(body)
	if err != nil {
		return nil, err
	}
	r := n.watcher.RelayView(req.Service, req.Seen)
	return r.Encode()
}

// watch makes the node watch the services as the VM with the given index. Each VM is the lead of a third of them, and
// the first promoter of a third; over nine services every pair of roles occurs once.
func (n *watchNode) watch(services []platform.Service, vms []platform.VM, index int) {
	list := make([]group.Assignment, len(services))
	for i, s := range services {
		a := group.Assignment{Service: s, PromoterRank: (index + i + i/membersPerService) % membersPerService}
		for j := range s.Members {
			a.Owners = append(a.Owners, vms[leads(i+j)])
		}
		list[i] = a
	}
	n.watcher.SetServices(list)
}

// leads returns the index of the VM that owns the first member, the primary, of the service with the given index.
func leads(service int) int { return service % membersPerService }

// bytes returns the bytes between daemons, both directions.
func (n *watchNode) bytes() float64 { return trafficOf(n.stats) }

func (n *watchNode) close() {
	n.watcher.Close()
	n.pool.Close()
	n.server.Close()
}
