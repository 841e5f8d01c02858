package capacity

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
)

// DefaultDuration is the length of one measurement of the proxy.
const DefaultDuration = 4 * time.Second

// ProxyOptions configure a measurement of the proxy's cost.
type ProxyOptions struct {
	Duration time.Duration // of each latency and each load measurement
	Callers  int           // that run at once under load
	Rounds   int
	Write    bool // insert rows instead of reading
	Simple   bool // simple protocol instead of prepared statements
	// DuringLoad is called while the one-hop load runs, with the daemon's admin address; nil for none.
	DuringLoad func(ctx context.Context, admin string)
}

// way is one way from a caller to the member.
type way struct {
	name    string
	addr    string
	daemons []topology.EntryVM
}

// Proxy measures a driver straight to the member, through the daemon that owns the member, and through another one.
func Proxy(ctx context.Context, o ProxyOptions) (*Report, error) {
	name := "proxy-read"
	if o.Write {
		name = "proxy-write"
	}
	if o.Simple {
		name += "-simple"
	}
	r := NewReport(name, "daemons on the way")
	memberCount := 1
	if o.Write {
		memberCount = membersPerService
	}
	c, err := startCluster(ctx, 2, memberCount)
	if err != nil {
		return nil, err
	}
	defer c.close()
	owner, other := c.owner(0)
	ways := []way{
		{"direct", c.Topology.Services[0].Members[0].DataAddr, nil},
		{"owner", owner.CallerAddr, []topology.EntryVM{owner}},
		{"forwarded", other.CallerAddr, []topology.EntryVM{owner, other}},
	}
	p := &proxyRun{ProxyOptions: o, cluster: c}
	if err := p.prepare(ctx, owner.CallerAddr); err != nil {
		return nil, err
	}
	for range o.Rounds {
		if err := p.round(ctx, ways, r); err != nil {
			return nil, err
		}
	}
	r.Finish()
	return r, nil
}

type proxyRun struct {
	ProxyOptions
	cluster *cluster
	seq     atomic.Int64
}

func (p *proxyRun) connect(ctx context.Context, addr string) (*pgx.Conn, error) {
	url := "postgres://capacity@" + addr + "/" + benchDatabase + "?sslmode=disable"
	if p.Write && addr != p.cluster.Topology.Services[0].Members[0].DataAddr {
		url += "&sycamorehub.class=write"
	}
	if p.Simple {
		url += "&default_query_exec_mode=simple_protocol"
	}
	return pgx.Connect(ctx, url)
}

func (p *proxyRun) prepare(ctx context.Context, addr string) error {
	if !p.Write {
		return nil
	}
	c, err := p.connect(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(context.Background()) }()
	_, err = c.Exec(ctx, "create table capacity (key text primary key, value text)")
	return err
}

// statement runs one statement.
func (p *proxyRun) statement(ctx context.Context, c *pgx.Conn) error {
	if p.Write {
		_, err := c.Exec(ctx, "insert into capacity (key, value) values ($1, $2)", fmt.Sprint(p.seq.Add(1)), "x")
		return err
	}
	var n int
	return c.QueryRow(ctx, "select 1").Scan(&n)
}

// round measures latency on all ways in turn, statement by statement, then load on one way after the other.
func (p *proxyRun) round(ctx context.Context, ways []way, r *Report) error {
	values := make([]map[string]float64, len(ways))
	for i := range values {
		values[i] = map[string]float64{}
	}
	if err := p.latency(ctx, ways, values); err != nil {
		return err
	}
	for i, w := range ways {
		if err := p.load(ctx, w, values[i]); err != nil {
			return fmt.Errorf("%s: %w", w.name, err)
		}
		r.Add(float64(len(w.daemons)), values[i])
	}
	return nil
}

func (p *proxyRun) latency(ctx context.Context, ways []way, values []map[string]float64) error {
	conns := make([]*pgx.Conn, len(ways))
	for i, w := range ways {
		c, err := p.connect(ctx, w.addr)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(context.Background()) }()
		conns[i] = c
	}
	took := make([][]float64, len(ways))
	for end := time.Now().Add(p.Duration); time.Now().Before(end); {
		for i, c := range conns {
			start := time.Now()
			if err := p.statement(ctx, c); err != nil {
				return fmt.Errorf("%s: %w", ways[i].name, err)
			}
			took[i] = append(took[i], float64(time.Since(start).Nanoseconds())/1e3)
		}
	}
	for i := range ways {
		values[i]["p50_us"], values[i]["p99_us"] = quantile(took[i], 0.5), quantile(took[i], 0.99)
	}
	return nil
}

// load runs callers in a closed loop.
func (p *proxyRun) load(ctx context.Context, w way, v map[string]float64) error {
	conns := make([]*pgx.Conn, p.Callers)
	for i := range conns {
		c, err := p.connect(ctx, w.addr)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(context.Background()) }()
		if err := p.statement(ctx, c); err != nil {
			return err
		}
		conns[i] = c
	}
	if p.DuringLoad != nil && len(w.daemons) == 1 {
		go p.DuringLoad(ctx, w.daemons[0].AdminAddr)
	}
	before, err := p.cluster.usage(ctx, w.daemons...)
	if err != nil {
		return err
	}
	start := time.Now()
	n, err := p.loop(ctx, conns)
	if err != nil {
		return err
	}
	s := time.Since(start).Seconds()
	after, err := p.cluster.usage(ctx, w.daemons...)
	if err != nil {
		return err
	}
	v["statements/s"] = n / s
	if len(w.daemons) > 0 {
		v["cpu_us/statement"] = (after.cpu - before.cpu) * 1e6 / n
		v["statements/s/core"] = n / (after.cpu - before.cpu)
		v["allocs/statement"] = (after.mallocs - before.mallocs) / n
		v["alloc_bytes/statement"] = (after.bytes - before.bytes) / n
	}
	return nil
}

func (p *proxyRun) loop(ctx context.Context, conns []*pgx.Conn) (float64, error) {
	var n atomic.Int64
	var wg sync.WaitGroup
	failed := make(chan error, len(conns))
	end := time.Now().Add(p.Duration)
	for _, c := range conns {
		wg.Go(func() {
			for time.Now().Before(end) {
				if err := p.statement(ctx, c); err != nil {
					failed <- err
					return
				}
				n.Add(1)
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return 0, err
	default:
		return float64(n.Load()), nil
	}
}

// ProxySummary returns the medians of the ways, as lines of text.
func ProxySummary(r *Report) string {
	var b strings.Builder
	for hops, name := range []string{"direct", "owner", "forwarded"} {
		values := map[string][]float64{}
		for _, p := range r.Points {
			if int(p.X) == hops {
				for k, v := range p.Values {
					values[k] = append(values[k], v)
				}
			}
		}
		fmt.Fprintf(&b, "median %s:", name)
		for _, k := range r.names() {
			if len(values[k]) > 0 {
				fmt.Fprintf(&b, "  %s %.4g", k, quantile(values[k], 0.5))
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}
