package daemon

import (
	"context"

	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// gonePeersCapacity exceeds the 670 VMs of the target size. When it is full the oldest VM is dropped: its connections then
// end with their own silence detection.
const gonePeersCapacity = 1024

// gonePeers ends the connections with VMs that count as gone: units sent there end as unknown now and not at their
// deadline, and units and transactions that they began here are cancelled. Heartbeats do not wait for that.
type gonePeers struct {
	k    *kernel.Kernel
	ring *ring.Ring[platform.VM]
	done chan struct{}
}

func newGonePeers(k *kernel.Kernel) (any, error) {
	return &gonePeers{k: k, ring: ring.New[platform.VM]("gone-peers", gonePeersCapacity, ring.DropOldest, 0),
		done: make(chan struct{})}, nil
}

// add takes note of a VM that counts as gone. It does not block.
func (g *gonePeers) add(vm platform.VM) { _ = g.ring.Put(context.Background(), vm) }

// Start begins to end connections.
func (g *gonePeers) Start(context.Context) error {
	go g.run()
	return nil
}

// Stop ends the connections with the VMs that wait, and the goroutine.
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

func (g *gonePeers) disconnect(vm platform.VM) {
	kernel.MustLookup[*peers](g.k, namePeers).Disconnect(vm.Name)
	if s, err := kernel.Lookup[*peerServer](g.k, namePeerServer); err == nil {
		s.server.Disconnect(vm.Name)
	}
}
