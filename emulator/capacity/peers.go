package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Times of a measurement of peers.
const (
	peersSettle   = 3 * time.Second // time for connections and first heartbeats
	peersDuration = 4 * time.Second
	// configSpreadTimeout is the time within which a configuration change must be in force on all daemons.
	configSpreadTimeout = 3 * time.Second
	configSpreadPoll    = time.Millisecond
	configSpreadSettle  = 500 * time.Millisecond // time for the exchanges that installing a version causes

	// placeholderListHash stands for the hash of the platform's lists. In a heartbeat it takes as many bytes as nearly
	// every real hash.
	placeholderListHash = 1 << 31
)

// memoryTable is a table service in memory that holds one row and counts reads.
type memoryTable struct {
	mu          sync.Mutex
	row         platform.Row
	readsServed int
}

func (t *memoryTable) Get(context.Context, string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readsServed++
	return t.row, nil
}

func (t *memoryTable) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.row.Version != ifVersion {
		return 0, platform.ErrConflict
	}
	t.row = platform.Row{Value: value, Version: ifVersion + 1}
	return t.row.Version, nil
}

func (t *memoryTable) readCount() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.readsServed)
}

// staticVMList is a VM list that never changes.
type staticVMList []platform.VM

func (l staticVMList) VMs(context.Context) ([]platform.VM, error) { return l, nil }

// node is the control plane of one daemon: membership, configuration, and the connections to other daemons.
type node struct {
	server *peer.Server
	pool   *peer.Pool
	view   *membership.View
	config *configsync.Sync
	stats  *peer.Stats
}

// trafficBytes returns the bytes that the node has exchanged with others, in both directions.
func (n *node) trafficBytes() float64 { return frameBytes(n.stats) }

func (n *node) close() {
	ctx := context.Background()
	_ = n.config.Stop(ctx)
	_ = n.view.Stop(ctx)
	n.pool.Close()
	n.server.Shutdown(ctx)
}

// mesh is a fleet of nodes in this process, which are connected over loopback.
type mesh struct {
	nodes             []*node
	table             *memoryTable
	heartbeatInterval time.Duration // of all nodes; 0 for the interval that daemons use
}

// quietLog returns a log that writes errors only.
func quietLog() *logrus.Logger {
	l := logrus.New()
	l.SetLevel(logrus.ErrorLevel)
	return l
}

// startMesh starts a node for each VM of the fleet. All nodes use the given heartbeat interval; with 0 they use the interval
// that daemons use.
func startMesh(fleet []platform.VM, interval time.Duration) (*mesh, error) {
	m := &mesh{table: &memoryTable{}, heartbeatInterval: interval}
	if err := m.storeConfig(1); err != nil {
		return nil, err
	}
	var vms staticVMList
	var listeners []net.Listener
	for _, vm := range fleet {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		vm.PeerAddr = listener.Addr().String()
		vms, listeners = append(vms, vm), append(listeners, listener)
	}
	for i, vm := range vms {
		n := m.newNode(vm, vms)
		m.nodes = append(m.nodes, n)
		go func() { _ = n.server.Serve(listeners[i]) }()
	}
	for _, n := range m.nodes {
		_ = n.view.Start(context.Background())
		_ = n.config.Start(context.Background())
	}
	return m, nil
}

// newNode returns a node that is not started yet. vms is the VM list that it reads.
func (m *mesh) newNode(vm platform.VM, vms staticVMList) *node {
	n := &node{stats: peer.NewStats()}
	options := peer.Options{Self: vm, Cluster: "capacity", Stats: n.stats, Limiter: peer.NewLimiter(0)}
	n.pool, n.server = peer.NewPool(options), peer.NewServer(options)
	var interval func(int) time.Duration
	if m.heartbeatInterval > 0 {
		interval = func(int) time.Duration { return m.heartbeatInterval }
	}
	n.view = membership.New(membership.Options{
		Self: vm, Interval: interval, Lister: vms, Transport: n.pool, Log: quietLog(),
		State: func() membership.State {
			version, hash := n.config.State()
			return membership.State{ConfigVersion: version, ConfigHash: hash, ListsHash: placeholderListHash}
		},
		OnHeartbeat: func(from platform.VM, state membership.State) {
			n.config.ObserveAnnouncement(from, state.ConfigVersion, state.ConfigHash)
		},
	})
	n.config = configsync.New(configsync.Options{
		Store: m.table, Peers: n.pool, Membership: n.view, Log: quietLog(), Announce: n.view.Announce,
	})
	n.server.Handle(wire.TypeHeartbeat, n.view.Heartbeat)
	n.server.Handle(wire.TypeConfigRequest, n.config.HandleConfigRequest)
	return n
}

// storeConfig stores the configuration with the given version, which must be one above the stored one.
func (m *mesh) storeConfig(version uint64) error {
	doc, err := clusterconfig.Parse(examples.Kitakata)
	if err != nil {
		return err
	}
	doc.Version, doc.OperationID, doc.AcceptedAt = version, fmt.Sprint("change-", version), time.Now()
	row, err := doc.Marshal()
	if err != nil {
		return err
	}
	_, err = m.table.Put(context.Background(), configsync.RowKey, row, version-1)
	return err
}

func (m *mesh) close() {
	var wg sync.WaitGroup
	for _, n := range m.nodes {
		wg.Go(n.close)
	}
	wg.Wait()
}

// trafficBytes returns the sum of the bytes that the nodes have exchanged, so that each byte counts at both ends.
func (m *mesh) trafficBytes() float64 {
	var sum float64
	for _, n := range m.nodes {
		sum += n.trafficBytes()
	}
	return sum
}

// heartbeatsSent returns the number of heartbeats that the nodes have sent.
func (m *mesh) heartbeatsSent() float64 {
	var sum uint64
	for _, n := range m.nodes {
		sent, _ := n.view.HeartbeatTraffic()
		sum += sent
	}
	return float64(sum)
}

// Peers measures what the peers in its data centre cost a node, in a fleet of the given number of data centres. Sizes are
// numbers of nodes in each data centre. name is the name of the report.
func Peers(ctx context.Context, name string, dataCentres int, sizes []int, rounds int) (*Report, error) {
	r := NewReport(name, "peers in the data centre")
	for range rounds {
		for _, vmsPerDC := range sizes {
			values, err := measureMesh(ctx, dataCentres, vmsPerDC)
			if err != nil {
				return nil, err
			}
			r.Add(float64(vmsPerDC-1), values)
		}
	}
	r.Finish()
	return r, nil
}

// measureMesh measures a node in steady state and a change of the configuration.
func measureMesh(ctx context.Context, dataCentres, vmsPerDC int) (map[string]float64, error) {
	memoryBefore := selfMemory()
	m, err := startMesh(fleetVMs(dataCentres, vmsPerDC), 0)
	if err != nil {
		return nil, err
	}
	defer m.close()
	pause(ctx, peersSettle)
	nodes := float64(len(m.nodes))
	cpuBefore, bytesBefore, heartbeatsBefore, readsBefore, start :=
		selfCPU(), m.trafficBytes(), m.heartbeatsSent(), m.table.readCount(), time.Now()
	pause(ctx, peersDuration)
	seconds := time.Since(start).Seconds()
	values := map[string]float64{
		"cpu_us/s":             float64((selfCPU() - cpuBefore).Microseconds()) / seconds / nodes,
		"bytes/s":              (m.trafficBytes() - bytesBefore) / seconds / nodes,
		"heartbeats_sent/s":    (m.heartbeatsSent() - heartbeatsBefore) / seconds / nodes,
		"store_reads/s (all)":  (m.table.readCount() - readsBefore) / seconds,
		"memory_bytes":         (selfMemory() - memoryBefore) / nodes,
		"live (least)":         float64(m.fewestLive()),
		"links (most)":         float64(m.mostLinks()),
		"config_versions_seen": float64(m.lowestConfigVersion()),
	}
	steadyByteRate := values["bytes/s"]
	return values, m.measureConfigChange(ctx, values, steadyByteRate)
}

// measureConfigChange changes the configuration. It adds to values the time until the change is in force on all nodes, and
// the bytes and CPU time per node above those of the steady state until it has been announced everywhere.
func (m *mesh) measureConfigChange(ctx context.Context, values map[string]float64, steadyByteRate float64) error {
	bytesBefore, cpuBefore, start := m.trafficBytes(), selfCPU(), time.Now()
	if err := m.storeConfig(2); err != nil {
		return err
	}
	for m.lowestConfigVersion() < 2 {
		if time.Since(start) > configSpreadTimeout {
			return errors.New("a configuration change was not in force on all nodes within the time limit")
		}
		pause(ctx, configSpreadPoll)
	}
	spread := time.Since(start)
	pause(ctx, configSpreadSettle)
	nodes, seconds := float64(len(m.nodes)), time.Since(start).Seconds()
	values["change_spread_ms"] = float64(spread.Microseconds()) / 1e3
	values["change_bytes"] = (m.trafficBytes()-bytesBefore)/nodes - steadyByteRate*seconds
	values["change_cpu_us"] = float64((selfCPU()-cpuBefore).Microseconds())/nodes - values["cpu_us/s"]*seconds
	return nil
}

// fewestLive returns the number of live VMs in the view that holds the fewest.
func (m *mesh) fewestLive() int {
	least := len(m.nodes)
	for _, n := range m.nodes {
		least = min(least, len(n.view.Live()))
	}
	return least
}

// mostLinks returns the number of links of the node that has the most.
func (m *mesh) mostLinks() int {
	most := 0
	for _, n := range m.nodes {
		most = max(most, linkCount(n.view))
	}
	return most
}

// linkCount returns the number of peers that exchange heartbeats with the view's VM.
func linkCount(v *membership.View) int {
	links := 0
	for _, p := range v.Peers() {
		if p.Linked {
			links++
		}
	}
	return links
}

// lowestConfigVersion returns the lowest version of the configuration that is in force on a node.
func (m *mesh) lowestConfigVersion() uint64 {
	least := ^uint64(0)
	for _, n := range m.nodes {
		version, _ := n.config.State()
		least = min(least, version)
	}
	return least
}
