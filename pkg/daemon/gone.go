package daemon

import (
	"context"

	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// gonePeersCapacity exceeds the 670 VMs of the target size. When the ring is full, the oldest VM is dropped: its
// connections then end when they detect the silence of the peer by themselves.
const gonePeersCapacity = 1024

// gonePeers closes the connections with VMs that count as gone, which means that they answered neither on the existing
// nor on a new connection. Units sent to such a VM then end with an unknown outcome at once and not at their deadline,
// and units and transactions that it began here are cancelled. The ring and the goroutine keep the processing of
// heartbeats from waiting for that.
type gonePeers struct {
	k    *kernel.Kernel
	ring *ring.Ring[platform.VM]
	done chan struct{}
}

func newGonePeers(k *kernel.Kernel) (any, error) {
	return &gonePeers{k: k, ring: ring.New[platform.VM]("gone-peers", gonePeersCapacity, ring.DropOldest, 0),
		done: make(chan struct{})}, nil
}

// add queues a VM that counts as gone, so that its connections are closed. It does not block.
func (g *gonePeers) add(vm platform.VM) { _ = g.ring.Put(context.Background(), vm) }

// Start starts the goroutine that closes the connections to VMs passed to add.
func (g *gonePeers) Start(context.Context) error {
	go g.run()
	return nil
}

// Stop closes the connections with the VMs that are still queued, and ends the goroutine.
func (g *gonePeers) Stop(context.Context) error {
	g.ring.Close()
	<-g.done
	return nil
}

func (g *gonePeers) run() {
	defer close(g.done)
	for {
		vm, err := g.ring.Take(context.Background())
		if err != nil {
			return
		}
		g.disconnect(vm)
	}
}

// disconnect closes the connections that this daemon has dialled to vm and those that it has accepted from it.
func (g *gonePeers) disconnect(vm platform.VM) {
	kernel.MustLookup[*peers](g.k, namePeers).Disconnect(vm.Name)
	if s, err := kernel.Lookup[*peerServer](g.k, namePeerServer); err == nil {
		s.server.Disconnect(vm.Name)
	}
}
