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

// watchNode is the watcher of one VM, with the connections to other daemons over which it asks the owners of primaries and
// answers as one.
type watchNode struct {
	vm      platform.VM
	pool    *peer.Pool
	server  *peer.Server
	stats   *peer.Stats
	watcher *group.Watcher
}

// startWatchNode starts the watcher of the VM with the given index, which watches no services yet. Without relays it polls
// all members itself.
func startWatchNode(index int, control platform.MemberControl, relays bool) (*watchNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	node := &watchNode{vm: platform.VM{Name: fmt.Sprint("watcher-", index), PeerAddr: listener.Addr().String()}, stats: peer.NewStats()}
	peerOptions := peer.Options{Self: node.vm, Cluster: "capacity", Stats: node.stats, Limiter: peer.NewLimiter(0)}
	node.pool, node.server = peer.NewPool(peerOptions), peer.NewServer(peerOptions)
	groupOptions := group.Options{Control: control, Self: node.vm.Name, Log: quietLog()}
	if relays {
		groupOptions.Relay = node.requestRelay
	}
	node.watcher = group.New(groupOptions)
	node.server.Handle(wire.TypeViewRequest, node.answerRelay)
	go func() { _ = node.server.Serve(listener) }()
	return node, nil
}

// requestRelay asks the owner of a service's primary for its view.
func (n *watchNode) requestRelay(
	ctx context.Context, primaryOwner platform.VM, service string, seen uint32,
) (group.RelayedView, error) {
	body, err := wire.NewEncoder().ViewRequestBody(wire.ViewRequest{Service: service, Relay: true, Seen: seen})
	if err != nil {
		return group.RelayedView{}, err
	}
	reply, err := n.pool.Request(ctx, primaryOwner, wire.TypeViewRequest, body)
	if err != nil {
		return group.RelayedView{}, err
	}
	return group.DecodeRelayedView(reply)
}

// answerRelay answers a request for the view of a service.
func (n *watchNode) answerRelay(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
	req, err := wire.NewDecoder().ViewRequest(body)
	if err != nil {
		return nil, err
	}
	r := n.watcher.RelayView(req.Service, req.Seen)
	return r.Encode()
}

// watchServices makes the node watch the services as the VM with the given index in vms. Each VM owns the primaries of
// a third of the services and is the first promoter of a third. Over nine services every pair of primary's owner and
// promoter rank occurs once.
func (n *watchNode) watchServices(services []platform.Service, vms []platform.VM, index int) {
	assignments := make([]group.Assignment, len(services))
	for i, s := range services {
		assignment := group.Assignment{Service: s, PromoterRank: (index + i + i/membersPerService) % membersPerService}
		for j := range s.Members {
			assignment.Owners = append(assignment.Owners, vms[primaryOwnerIndex(i+j)])
		}
		assignments[i] = assignment
	}
	n.watcher.SetServices(assignments)
}

// primaryOwnerIndex returns the index of the VM that owns the primary, the first member, of the service with the given
// index.
func primaryOwnerIndex(service int) int { return service % membersPerService }

// trafficBytes returns the bytes exchanged with other daemons, in both directions.
func (n *watchNode) trafficBytes() float64 { return frameBytes(n.stats) }

func (n *watchNode) close() {
	n.watcher.Close()
	n.pool.Close()
	n.server.Close()
}
