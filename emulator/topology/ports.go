package topology

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
)

// Free ports are taken from below the range that the kernel uses for outgoing connections, so that no connection
// takes a port between its reservation and the start of the process that listens on it, or while that process
// restarts. They are reserved in blocks: a process reserves a block by listening on its first port until the process
// ends, so that two processes never get the same ports at the same time.
const (
	firstPort     = 20000
	portsPerBlock = 100
	blockCount    = 120
	// maxBlocksPerProcess leaves blocks for other processes. A process that needs more ports uses its own again.
	maxBlocksPerProcess = 8
	// maxAttempts bounds the search when other programs listen on the ports. It allows two rounds over the most
	// blocks that a process reserves.
	maxAttempts = 2 * maxBlocksPerProcess * portsPerBlock
)

// portAllocator hands out ports of the blocks that this process has reserved.
type portAllocator struct {
	mu             sync.Mutex
	blockListeners []net.Listener // on the first ports of the reserved blocks
	ports          []int          // other ports of the reserved blocks, in order of use
	nextIndex      int            // index in ports of the port to try next
}

// processPorts is the allocator of this process.
var processPorts portAllocator

// FillAddresses replaces every empty address with a free port of 127.0.0.1.
func (t *Topology) FillAddresses() error {
	addrs := []*string{&t.PlatformAddr}
	for i := range t.VMs {
		v := &t.VMs[i]
		addrs = append(addrs, &v.PeerAddr, &v.AdminAddr, &v.CallerAddr)
	}
	for i := range t.Services {
		for j := range t.Services[i].Members {
			m := &t.Services[i].Members[j]
			addrs = append(addrs, &m.DataAddr, &m.ControlAddr)
		}
	}
	var missing []*string
	for _, a := range addrs {
		if *a == "" {
			missing = append(missing, a)
		}
	}
	free, err := FreeAddresses(len(missing))
	if err != nil {
		return err
	}
	for i, a := range missing {
		*a = free[i]
	}
	return nil
}

// FreeAddresses returns n distinct addresses of 127.0.0.1 on which nothing listens at the moment.
func FreeAddresses(n int) ([]string, error) {
	processPorts.mu.Lock()
	defer processPorts.mu.Unlock()
	out := make([]string, 0, n)
	for range maxAttempts {
		if len(out) == n {
			return out, nil
		}
		if processPorts.nextIndex == len(processPorts.ports) && !processPorts.reserveBlock() {
			processPorts.nextIndex = 0
		}
		if len(processPorts.ports) == 0 || slices.Contains(out, loopbackAddress(processPorts.ports[processPorts.nextIndex])) {
			break
		}
		a := loopbackAddress(processPorts.ports[processPorts.nextIndex])
		processPorts.nextIndex++
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			out = append(out, a)
		}
	}
	return nil, fmt.Errorf("found only %d of %d free ports", len(out), n)
}

// reserveBlock reserves one more block that no process has reserved. It returns false when there is none or the process
// has reached its limit.
func (p *portAllocator) reserveBlock() bool {
	if len(p.blockListeners) == maxBlocksPerProcess {
		return false
	}
	start := rand.IntN(blockCount)
	for i := range blockCount {
		first := firstPort + (start+i)%blockCount*portsPerBlock
		l, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			continue // reserved by another process or by this one
		}
		p.blockListeners = append(p.blockListeners, l)
		for port := first + 1; port < first+portsPerBlock; port++ {
			p.ports = append(p.ports, port)
		}
		return true
	}
	return false
}

func loopbackAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
