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

// daemon is a view with its connections over TCP.
type daemon struct {
	view   *View
	pool   *transport.Pool
	server *transport.Server
}

func (d *daemon) stop() {
	_ = d.view.Stop(context.Background())
	d.pool.Close()
	d.server.Close()
}

// startDaemons starts one daemon per VM of the network's list, on loopback addresses.
func startDaemons(t *testing.T, n *network) []*daemon {
	listeners := make([]net.Listener, len(n.list))
	for i := range n.list {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i], n.list[i].PeerAddr = ln, ln.Addr().String()
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	out := make([]*daemon, len(n.list))
	for i, vm := range n.list {
		d := &daemon{}
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

// Guards against a killed daemon keeping its members for longer than three heartbeats, and against heartbeats that
// work in memory only.
func TestKilledDaemonOverTCP(t *testing.T) {
	n := newNetwork(3, 2)
	all := names(n.list)
	daemons := startDaemons(t, n)
	n.eventually(t, all, nil)
	start := time.Now()
	dead := daemons[1].view.Self().Name
	daemons[1].stop()
	delete(n.views, dead)
	n.eventually(t, without(all, dead), nil)
	t.Logf("all views dropped the killed daemon after %v", time.Since(start))
}
