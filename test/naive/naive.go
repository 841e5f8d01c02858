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
	startTimeout  = 15 * time.Second
	startInterval = 50 * time.Millisecond
	retryPause    = 20 * time.Millisecond
	drainLimit    = 30 * time.Second
	headerTimeout = 5 * time.Second
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
	o      Options
	client *httpapi.Client
	dir    *directory.Directory
	doc    *clusterconfig.Document
	self   platform.VM
	queue  chan struct{} // one FIFO for all units; its capacity is the number of connections

	mu    sync.Mutex
	pools map[string]*backend.Pool
	views map[string]*view
	vms   int
}

// Run serves callers until ctx ends.
func Run(ctx context.Context, o Options) error {
	s := o.Settings
	log := s.Logger()
	client := httpapi.New(httpapi.Options{BaseURL: s.Platform.URL, Timeout: time.Duration(s.Platform.Timeout)})
	p := &Proxy{
		o: o, client: client, dir: directory.New(client, log, func() bool { return true }), pools: map[string]*backend.Pool{}, views: map[string]*view{},
		self: platform.VM{Name: s.VM, DataCentre: s.DataCentre, Region: s.Region},
	}
	if err := p.load(ctx); err != nil {
		return err
	}
	defer func() { _ = p.dir.Stop(context.Background()) }()
	srv := frontend.New(frontend.Options{
		Executor: p, Classes: func() frontend.ClassTable { return table{p.doc} }, Services: p.dir, VMName: s.VM, Log: log,
		MaxConnections: s.Limits.CallerConnections, DrainGrace: time.Duration(s.Limits.DrainGrace),
	})
	return p.serve(ctx, srv, log)
}

func (p *Proxy) serve(ctx context.Context, srv *frontend.Server, log logrus.FieldLogger) error {
	callers, err1 := net.Listen("tcp", p.o.Settings.Listen.Callers)
	admin, err2 := net.Listen("tcp", p.o.Settings.Listen.Admin)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	ready := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: headerTimeout}
	go func() { _ = ready.Serve(admin) }()
	defer func() { _ = ready.Close() }()
	go func() {
		if err := srv.Serve(callers); err != nil {
			log.WithError(err).Error("serving callers failed")
		}
	}()
	<-ctx.Done()
	limit, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	return srv.Drain(limit)
}

// load reads the configuration and the lists once and starts to watch the services.
func (p *Proxy) load(ctx context.Context) error {
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.dir.Start(ctx); err != nil {
		return err
	}
	for {
		err := p.read(start)
		if err == nil && p.dir.Ready() {
			break
		}
		select {
		case <-start.Done():
			return errors.Join(start.Err(), err)
		case <-time.After(startInterval):
		}
	}
	connections := 0
	for _, svc := range p.dir.Services() {
		v := &view{service: svc, members: map[string]*observed{}, primary: svc.Members[0].Name}
		p.views[svc.Name] = v
		for _, m := range svc.Members {
			if m.Name == v.primary || p.o.SpreadReads {
				connections += p.share(m)
			}
			v.members[m.Name] = &observed{heard: time.Now()}
			go p.watch(ctx, v, m)
		}
		go p.supervise(ctx, v)
	}
	p.queue = make(chan struct{}, connections)
	return nil
}

func (p *Proxy) read(ctx context.Context) error {
	row, err1 := p.client.Get(ctx, configsync.RowKey)
	vms, err2 := p.client.VMs(ctx)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	p.vms = len(vms)
	var err error
	p.doc, err = clusterconfig.Parse(row.Value)
	return err
}

// share returns this VM's even part of a member's connections.
func (p *Proxy) share(m platform.Member) int { return max(m.Connections/max(p.vms, 1), 1) }

func (p *Proxy) pool(m platform.Member) *backend.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools[m.Name] == nil {
		p.pools[m.Name] = backend.NewPool(backend.Options{
			Member: m, User: p.o.Settings.Endpoints.User, Database: m.Service, MaxConnections: p.share(m),
		})
	}
	return p.pools[m.Name]
}

// Execute waits in the queue and runs the unit, again after any error, until its deadline.
func (p *Proxy) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if !u.Tx.Open() { // a transaction has its connection and must not wait behind units that wait for one
		select {
		case p.queue <- struct{}{}:
			defer func() { <-p.queue }()
		case <-ctx.Done():
			return unit.NotRun(errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "no place in the queue"))
		}
	}
	for {
		m := p.target(u)
		res := p.pool(m).Run(ctx, u, sink)
		p.note(u, &res, m.Name)
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

// note names the member that holds the transaction which the unit left open.
func (p *Proxy) note(u *unit.Unit, res *unit.Result, member string) {
	if res.Tx.Open() {
		res.Tx.VM, res.Tx.Member = p.self.Name, member
	}
}

// target returns the member that the unit goes to.
func (p *Proxy) target(u *unit.Unit) platform.Member {
	v := p.views[u.Service]
	if u.Tx.Open() {
		return v.member(u.Tx.Member)
	}
	if p.o.SpreadReads && !u.Write && u.MaxAge > 0 {
		return p.nearest(v)
	}
	return v.member(v.current())
}

// nearest returns a member of this data centre, else of the region, else the first.
func (p *Proxy) nearest(v *view) platform.Member {
	near := func(m platform.Member) int {
		switch {
		case m.DataCentre == p.self.DataCentre:
			return 0
		case m.Region == p.self.Region:
			return 1
		}
		return 2
	}
	return slices.MinFunc(v.service.Members, func(a, b platform.Member) int { return near(a) - near(b) })
}

// table shows the configuration to the front end.
type table struct{ doc *clusterconfig.Document }

// Default returns the class of sessions that name none.
func (t table) Default() frontend.Class {
	c, _ := t.Lookup("")
	return c
}

// Lookup returns a class by name.
func (t table) Lookup(name string) (frontend.Class, bool) {
	c, ok := t.doc.Class(name)
	return frontend.Class{
		Name: c.Name, Rank: c.RankValue(), Write: c.HasWriteAccess(), Target: time.Duration(c.Target.Latency),
		MaxAge: time.Duration(c.MaxAge), Repeatable: c.Repeatable,
	}, ok
}
