// Package naive is a simple proxy to compare the system with. It speaks the same protocol with callers, but all units
// go to the primary, each entry VM has one FIFO queue and an even share of each member's connections, every error is
// retried, a write is acknowledged as soon as the primary has answered, and the first entry VM that finds the primary
// silent promotes the member with the highest position, without a majority.
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

// Options configure a Proxy.
type Options struct {
	Settings *settings.Settings
	// SpreadReads sends reads whose class has a maximum age to the nearest member instead of the primary. With it, an
	// even split of each member's connections can be compared with one owner per member under the same load.
	SpreadReads bool
}

// Proxy is the naive proxy of one entry VM. It implements unit.Executor.
type Proxy struct {
	opts      Options
	client    *httpapi.Client
	directory *directory.Directory
	config    *clusterconfig.Document
	self      platform.VM
	permits   chan struct{} // one FIFO queue for all units; holds one element per running unit, at most one per connection

	mu      sync.Mutex
	pools   map[string]*backend.Pool // guarded by mu; by member
	views   map[string]*serviceView  // by service; fixed once start has returned
	vmCount int                      // entry VMs that share the connections; fixed once start has returned
}

// Run serves callers until ctx ends, then drains their connections.
func Run(ctx context.Context, o Options) error {
	s := o.Settings
	log := s.Logger()
	client := httpapi.New(httpapi.Options{BaseURL: s.Platform.URL, Timeout: time.Duration(s.Platform.Timeout)})
	p := &Proxy{
		opts: o, client: client, directory: directory.New(directory.Options{Lister: client, Log: log, IsReader: func() bool { return true }}), pools: map[string]*backend.Pool{}, views: map[string]*serviceView{},
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

// serve accepts callers and answers each request for readiness with success, until ctx ends.
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
			log.WithError(err).Error("serving callers failed; no more callers are accepted")
		}
	}()
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return srv.Drain(drainCtx)
}

// start reads the configuration and the list of VMs once, starts the directory and starts to watch the services. It
// retries until all were read or startTimeout has passed.
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

// readConfig reads the configuration and the number of VMs.
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

// connectionShare returns this VM's even share of a member's connections, at least one.
func (p *Proxy) connectionShare(m platform.Member) int {
	return max(m.Connections/max(p.vmCount, 1), 1)
}

// poolOf returns the pool of a member and creates it on first use.
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

// Execute waits in the queue and runs the unit. After an error it runs the unit again, until its deadline, unless a
// part of the answer has been streamed or the unit belongs to an open transaction.
func (p *Proxy) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if !u.Tx.Open() { // a transaction holds a connection and must not wait behind units that wait for one
		select {
		case p.permits <- struct{}{}:
			defer func() { <-p.permits }()
		case <-ctx.Done():
			return unit.NotRun(errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "no connection became free while the unit waited"))
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

// Rollback ends an open transaction whose caller has disconnected.
func (p *Proxy) Rollback(tx unit.TxRef) {
	p.mu.Lock()
	pool := p.pools[tx.Member]
	p.mu.Unlock()
	if pool != nil {
		pool.Rollback(tx.ID)
	}
}

// setTransactionMember records in the result which VM and member hold the transaction that the unit left open.
func (p *Proxy) setTransactionMember(u *unit.Unit, res *unit.Result, member string) {
	if res.Tx.Open() {
		res.Tx.VM, res.Tx.Member = p.self.Name, member
	}
}

// memberFor returns the member that the unit runs on.
func (p *Proxy) memberFor(u *unit.Unit) platform.Member {
	v := p.views[u.Service]
	if u.Tx.Open() {
		return v.memberNamed(u.Tx.Member)
	}
	if p.opts.SpreadReads && !u.Write && u.MaxAge.Stated() && u.MaxAge != unit.NoAge {
		return p.nearestMember(v)
	}
	return v.memberNamed(v.currentPrimary())
}

// nearestMember returns a member in this data centre, else one in this region, else the first member.
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

// classTable provides the classes of the configuration to the frontend.
type classTable struct{ config *clusterconfig.Document }

// Default returns the class of sessions that do not name one.
func (t classTable) Default() frontend.Class {
	c, _ := t.Lookup("")
	return c
}

// Lookup returns the class with the given name. The empty name is that of the default class.
func (t classTable) Lookup(name string) (frontend.Class, bool) {
	c, ok := t.config.Class(name)
	return frontend.Class{
		Name: c.Name, Rank: c.RankValue(), Write: c.HasWriteAccess(), Target: time.Duration(c.Target.Latency),
		MaxAge: c.MaxAge, Repeatable: c.Repeatable,
	}, ok
}
