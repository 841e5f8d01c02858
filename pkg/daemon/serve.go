package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/pkg/teamlimit"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

const (
	// drainPollInterval is the interval at which a stopping daemon checks for units of other daemons.
	drainPollInterval = 20 * time.Millisecond
	// drainQuietPeriod is how long no unit of another daemon must have arrived before a stopping daemon closes its peer
	// server. It covers the time until all daemons have seen the draining flag. A VM of another data centre may learn
	// it from a VM of its own that learnt it over a link, which takes up to three heartbeat intervals of 200 ms, plus
	// the delay between regions.
	drainQuietPeriod = time.Second
)

// peerExecutor runs the units that other daemons send and records when the last one arrived.
type peerExecutor struct {
	*owner.Set
	lastArrival atomic.Pointer[time.Time]
}

// Execute runs a unit that another daemon has sent.
func (e *peerExecutor) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	now := time.Now()
	e.lastArrival.Store(&now)
	return e.Set.Execute(ctx, u, sink)
}

// quietPeriodElapsed reports whether drainQuietPeriod has passed since start and since the last unit arrived.
func (e *peerExecutor) quietPeriodElapsed(start time.Time) bool {
	if lastArrival := e.lastArrival.Load(); lastArrival != nil && lastArrival.After(start) {
		start = *lastArrival
	}
	return time.Since(start) >= drainQuietPeriod
}

// peerServer serves other daemons.
type peerServer struct {
	server       *peer.Server
	addr         string
	peerExecutor *peerExecutor
	// drainDeadline is the time at which idle transactions are rolled back. The front end, which stops first, sets it, so
	// that the same limit holds for its own callers and for those of other daemons.
	drainDeadline time.Time
	// drainStart is the time at which other daemons were told that this one takes no new work. The front end sets it.
	drainStart time.Time
	closeLimit time.Duration
}

func newPeerServer(k *kernel.Kernel) (any, error) {
	s := kernel.MustLookup[*settings.Settings](k, nameSettings)
	owners := kernel.MustLookup[*owner.Set](k, nameOwners)
	options := kernel.MustLookup[*peers](k, namePeers).options
	options.TLS = kernel.MustLookup[*tlsConfigs](k, nameTLS).peerServer
	executor := &peerExecutor{Set: owners}
	options.Executor = executor
	p := &peerServer{
		server: peer.NewServer(options), addr: s.Listen.Peers, peerExecutor: executor, closeLimit: time.Duration(s.Limits.Close),
	}
	p.server.Handle(wire.TypeHeartbeat, kernel.MustLookup[*membership.View](k, nameMembership).Heartbeat)
	p.server.Handle(wire.TypeListsRequest, listsHandler(k))
	p.server.Handle(wire.TypeViewRequest, viewHandler(kernel.MustLookup[watcher](k, nameWatcher)))
	p.server.Handle(wire.TypeConfigRequest, kernel.MustLookup[*configsync.Sync](k, nameConfig).HandleConfigRequest)
	p.server.Handle(wire.TypeTeamLimit, kernel.MustLookup[*teamlimit.Service](k, nameTeamLimits).Handle)
	return p, nil
}

// viewHandler returns the handler that answers with this VM's view of a service that it watches, or, if the request asks
// for a relay, with the view that it relays as the owner of the service's primary.
func viewHandler(w watcher) peer.Handler {
	return func(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
		req, err := wire.NewDecoder().ViewRequest(body)
		if err != nil {
			return nil, err
		}
		if req.Relay {
			r := w.RelayView(req.Service, req.Seen)
			return r.Encode()
		}
		v, ok := w.View(req.Service)
		if !ok {
			return nil, errkind.New(errkind.UnknownService, "service %q is not watched by this entry VM", req.Service)
		}
		return group.EncodeLookupAnswer(v, req.Have)
	}
}

// Start begins to accept connections.
func (p *peerServer) Start(context.Context) error { return listenAndServe(p.addr, p.server.Serve) }

// Stop waits until other daemons have no unit or transaction in progress here and send no more, then closes. At
// drainDeadline it stops waiting and rolls back idle transactions; units in progress get half of the close limit to finish.
func (p *peerServer) Stop(ctx context.Context) error {
	for (p.peerExecutor.InProgress() > 0 || !p.peerExecutor.quietPeriodElapsed(p.drainStart)) && ctx.Err() == nil && time.Now().Before(p.drainDeadline) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(ctx, p.drainDeadline.Add(p.closeLimit/2))
	defer cancel()
	p.server.Shutdown(ctx)
	return nil
}

// listenAndServe listens on addr and runs serve on the listener in a goroutine. It returns once the listener accepts
// connections.
func listenAndServe(addr string, serve func(net.Listener) error) error {
	l, err := listen(addr)
	if err != nil {
		return err
	}
	go func() { _ = serve(l) }()
	return nil
}
