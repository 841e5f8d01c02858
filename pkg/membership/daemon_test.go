package membership

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	transport "github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// tcpDaemon is a view that is connected over TCP.
type tcpDaemon struct {
	view   *View
	pool   *transport.Pool
	server *transport.Server
}

func (d *tcpDaemon) stop() {
	_ = d.view.Stop(context.Background())
	d.pool.Close()
	d.server.Close()
}

// startDaemons starts one daemon on a loopback address for each VM of the network's list.
func startDaemons(t *testing.T, n *network) []*tcpDaemon {
	listeners := make([]net.Listener, len(n.list))
	for i := range n.list {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i], n.list[i].PeerAddr = ln, ln.Addr().String()
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	out := make([]*tcpDaemon, len(n.list))
	for i, vm := range n.list {
		d := &tcpDaemon{}
		o := transport.Options{Self: vm, Cluster: "test", OnConnectionLost: func(vm platform.VM) { d.view.ConnectionLost(vm) }}
		d.pool, d.server = transport.NewPool(o), transport.NewServer(o)
		d.view = New(Options{Self: vm, Lister: n, Transport: d.pool, Log: log,
			OnGone: func(vm platform.VM) { d.server.Disconnect(vm.Name) }})
		d.server.Handle(wire.TypeHeartbeat, d.view.Heartbeat)
		out[i], n.views[vm.Name] = d, d.view
	}
	for i, d := range out {
		go func() { _ = d.server.Serve(listeners[i]) }()
		require.NoError(t, d.view.Start(context.Background()))
		t.Cleanup(d.stop)
	}
	return out
}

// A killed daemon must lose its members within three heartbeats. The heartbeats run over TCP here, not over the
// in-memory transport.
func TestKilledDaemonOverTCP(t *testing.T) {
	n := newNetwork(3, 2)
	all := names(n.list)
	daemons := startDaemons(t, n)
	n.waitForLive(t, all, nil)
	start := time.Now()
	dead := daemons[1].view.Self().Name
	daemons[1].stop()
	delete(n.views, dead)
	n.waitForLive(t, without(all, dead), nil)
	t.Logf("all views dropped the killed daemon after %v", time.Since(start))
}
