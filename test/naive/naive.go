// Package naive is a proxy as it might be written first, for comparison with the system: everything goes to the
// primary, each entry VM has one FIFO queue and an even part of each member's connections, every error is retried, a
// write is acknowledged as soon as the primary has answered, and whoever first misses the primary promotes the member
// with the highest position, without a majority. It speaks the same protocol with callers.
package naive

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	startTimeout       = 15 * time.Second
	startRetryInterval = 50 * time.Millisecond
	retryPause         = 20 * time.Millisecond
	drainTimeout       = 30 * time.Second
	readHeaderTimeout  = 5 * time.Second
)

// Options of a proxy.
type Options struct {
	Settings *settings.Settings
	// SpreadReads sends reads that accept an age to the nearest member instead of the primary, so that the split of
	// connections can be compared with one owner per member on the same work.
	SpreadReads bool
}

// Proxy is the naive proxy of one entry VM. It implements unit.Executor.
type Proxy struct {
	opts      Options
	client    *httpapi.Client
	directory *directory.Directory
	config    *clusterconfig.Document
	self      platform.VM
	permits   chan struct{} // one FIFO for all units; its capacity is the number of connections

	mu      sync.Mutex
	pools   map[string]*backend.Pool
	views   map[string]*serviceView
	vmCount int
}

// Run serves callers until ctx ends.
func Run(ctx context.Context, o Options) error {
	s := o.Settings
	log := s.Logger()
	client := httpapi.New(httpapi.Options{BaseURL: s.Platform.URL, Timeout: time.Duration(s.Platform.Timeout)})
	p := &Proxy{
		opts: o, client: client, directory: directory.New(client, log, func() bool { return true }), pools: map[string]*backend.Pool{}, views: map[string]*serviceView{},
		self: platform.VM{Name: s.VM, DataCentre: s.DataCentre, Region: s.Region},
	}
	if err := p.start(ctx); err != nil {
		return err
	}
	defer func() { _ = p.directory.Stop(context.Background()) }()
	srv := frontend.New(frontend.Options{
		Executor: p, Classes: func() frontend.ClassTable { return classTable{p.config} }, Services: p.directory, VMName: s.VM, Log: log,
		MaxConnections: s.Limits.CallerConnections, DrainGrace: time.Duration(s.Limits.DrainGrace),
	})
	return p.serve(ctx, srv, log)
}

func (p *Proxy) serve(ctx context.Context, srv *frontend.Server, log logrus.FieldLogger) error {
	callerListener, err1 := net.Listen("tcp", p.opts.Settings.Listen.Callers)
	adminListener, err2 := net.Listen("tcp", p.opts.Settings.Listen.Admin)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	readiness := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = readiness.Serve(adminListener) }()
	defer func() { _ = readiness.Close() }()
	go func() {
		if err := srv.Serve(callerListener); err != nil {
			log.WithError(err).Error("serving callers failed")
		}
	}()
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return srv.Drain(drainCtx)
}

// start reads the configuration and the lists once and starts to watch the services.
func (p *Proxy) start(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.directory.Start(ctx); err != nil {
		return err
	}
	for {
		err := p.readConfig(startCtx)
		if err == nil && p.directory.Ready() {
			break
		}
		select {
		case <-startCtx.Done():
			return errors.Join(startCtx.Err(), err)
		case <-time.After(startRetryInterval):
		}
	}
	connections := 0
	for _, service := range p.directory.Services() {
		v := &serviceView{service: service, observations: map[string]*observation{}, primary: service.Members[0].Name}
		p.views[service.Name] = v
		for _, m := range service.Members {
			if m.Name == v.primary || p.opts.SpreadReads {
				connections += p.connectionShare(m)
			}
			v.observations[m.Name] = &observation{lastAnswer: time.Now()}
			go p.pollMember(ctx, v, m)
		}
		go p.watchPrimary(ctx, v)
	}
	p.permits = make(chan struct{}, connections)
	return nil
}

func (p *Proxy) readConfig(ctx context.Context) error {
	row, err1 := p.client.Get(ctx, configsync.RowKey)
	vms, err2 := p.client.VMs(ctx)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	p.vmCount = len(vms)
	var err error
	p.config, err = clusterconfig.Parse(row.Value)
	return err
}

// connectionShare returns this VM's even part of a member's connections.
func (p *Proxy) connectionShare(m platform.Member) int {
	return max(m.Connections/max(p.vmCount, 1), 1)
}

func (p *Proxy) poolOf(m platform.Member) *backend.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools[m.Name] == nil {
		p.pools[m.Name] = backend.NewPool(backend.Options{
			Member: m, User: p.opts.Settings.Endpoints.User, Database: m.Service, MaxConnections: p.connectionShare(m),
		})
	}
	return p.pools[m.Name]
}

// Execute waits in the queue and runs the unit, again after any error, until its deadline.
func (p *Proxy) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if !u.Tx.Open() { // a transaction has its connection and must not wait behind units that wait for one
		select {
		case p.permits <- struct{}{}:
			defer func() { <-p.permits }()
		case <-ctx.Done():
			return unit.NotRun(errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "no place in the queue"))
		}
	}
	for {
		m := p.memberFor(u)
		res := p.poolOf(m).Run(ctx, u, sink)
		p.setTransactionMember(u, &res, m.Name)
		if res.Err == nil || res.Streamed || u.Tx.Open() || ctx.Err() != nil {
			return res
		}
		select {
		case <-ctx.Done():
			return res
		case <-time.After(retryPause):
		}
	}
}

// Rollback ends an open transaction whose caller has gone.
func (p *Proxy) Rollback(tx unit.TxRef) {
	p.mu.Lock()
	pool := p.pools[tx.Member]
	p.mu.Unlock()
	if pool != nil {
		pool.Rollback(tx.ID)
	}
}

// setTransactionMember names the member that holds the transaction which the unit left open.
func (p *Proxy) setTransactionMember(u *unit.Unit, res *unit.Result, member string) {
	if res.Tx.Open() {
		res.Tx.VM, res.Tx.Member = p.self.Name, member
	}
}

// memberFor returns the member that the unit goes to.
func (p *Proxy) memberFor(u *unit.Unit) platform.Member {
	v := p.views[u.Service]
	if u.Tx.Open() {
		return v.memberNamed(u.Tx.Member)
	}
	if p.opts.SpreadReads && !u.Write && u.MaxAge > 0 {
		return p.nearestMember(v)
	}
	return v.memberNamed(v.currentPrimary())
}

// nearestMember returns a member of this data centre, else of the region, else the first.
func (p *Proxy) nearestMember(v *serviceView) platform.Member {
	distance := func(m platform.Member) int {
		switch {
		case m.DataCentre == p.self.DataCentre:
			return 0
		case m.Region == p.self.Region:
			return 1
		}
		return 2
	}
	return slices.MinFunc(v.service.Members, func(a, b platform.Member) int { return distance(a) - distance(b) })
}

// classTable shows the configuration to the front end.
type classTable struct{ config *clusterconfig.Document }

// Default returns the class of sessions that name none.
func (t classTable) Default() frontend.Class {
	c, _ := t.Lookup("")
	return c
}

// Lookup returns a class by name.
func (t classTable) Lookup(name string) (frontend.Class, bool) {
	c, ok := t.config.Class(name)
	return frontend.Class{
		Name: c.Name, Rank: c.RankValue(), Write: c.Write(), Target: time.Duration(c.Target.Latency),
		MaxAge: time.Duration(c.MaxAge), Repeatable: c.Repeatable,
	}, ok
}
