package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// After a unit was given up, a connection that answers a ping must be kept. If it were replaced, the other units that use it
// would fail.
func TestConnectionThatAnswersIsKept(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	owner, _, _ := serve(t, newExecutor(func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
		close(started)
		<-release
		return echo(ctx, u, sink)
	}))
	pool := newTestPool(t)
	results := make(chan unit.Result, 1)
	go func() {
		results <- pool.Execute(within(t, waitLimit), owner, &unit.Unit{Write: true, Messages: []byte("next")}, &buffer{})
	}()
	<-started
	c, err := pool.getConn(within(t, waitLimit), owner, wire.PurposeData)
	require.NoError(t, err)
	before := c.lastReceived.Load()
	pool.suspect(c, int64(monotonic()+waitLimit)) // ample time to answer, also on a busy machine
	require.Eventually(t, func() bool {
		return c.lastReceived.Load() > before && !c.suspected.Load() || pool.Stats().Replaced.Load() > 0
	}, waitLimit, time.Millisecond)
	close(release)
	res := <-results
	require.Equal(t, errkind.OutcomeDone, res.Outcome, "%v", res.Err)
	require.Zero(t, pool.Stats().Replaced.Load())
}

// If the address of a VM changes during a dial, the connection to the former address must not become the VM's connection.
// Until that connection ended, units would go to another address than the platform's list has for the VM.
func TestDialOfFormerAddressIsDropped(t *testing.T) {
	owner, proxy, _ := serve(t, newExecutor(echo))
	held, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer held.Close()
	pool := newTestPool(t)
	former := owner
	former.PeerAddr = held.Addr().String()
	first := make(chan error, 1)
	go func() {
		_, err := pool.getConn(within(t, waitLimit), former, wire.PurposeData)
		first <- err
	}()
	in, err := held.Accept()
	require.NoError(t, err)
	now, err := pool.getConn(within(t, waitLimit), owner, wire.PurposeData)
	require.NoError(t, err)
	out, err := net.Dial("tcp", proxy.target)
	require.NoError(t, err)
	go pump(in, out, newGate())
	go pump(out, in, newGate())
	require.Error(t, <-first)
	later, err := pool.getConn(within(t, waitLimit), owner, wire.PurposeData)
	require.NoError(t, err)
	require.Same(t, now, later)
	require.Equal(t, owner.PeerAddr, later.nc.RemoteAddr().String())
}

// A VM that counts as gone during a dial must not leave a connection behind that the pool does not know. Close waited for such
// a connection until the peer closed it, so that a planned stop ended by its limit and with an error.
func TestDialDuringDisconnectIsDropped(t *testing.T) {
	owner, proxy, _ := serve(t, newExecutor(echo))
	held, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer held.Close()
	pool := NewPool(Options{Self: vm("proxy", "127.0.0.1:1"), Cluster: "test"})
	gone := owner
	gone.PeerAddr = held.Addr().String()
	dialled := make(chan error, 1)
	go func() {
		_, err := pool.getConn(within(t, waitLimit), gone, wire.PurposeData)
		dialled <- err
	}()
	in, err := held.Accept()
	require.NoError(t, err)
	vc := pool.connsTo(gone)
	pool.Disconnect(gone.Name)
	out, err := net.Dial("tcp", proxy.target)
	require.NoError(t, err)
	go pump(in, out, newGate())
	go pump(out, in, newGate())
	dialErr := <-dialled
	_, replaceErr := pool.dialReplacement(within(t, time.Second), vc, wire.PurposeControl) // as suspect does for a closed connection
	closed := make(chan struct{})
	go func() { pool.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(waitLimit / 2): // the peer closes it later
		t.Error("Close waits for a connection that the pool does not know")
	}
	require.ErrorIs(t, dialErr, ErrPeerGone)
	require.ErrorIs(t, replaceErr, ErrPeerGone)
}
