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

// DefaultDuration is the default length of one measurement of the proxy.
const DefaultDuration = 4 * time.Second

// ProxyOptions configure a measurement of the proxy's cost.
type ProxyOptions struct {
	Duration time.Duration // of each latency and each load measurement
	Callers  int           // callers that run statements at the same time under load
	Rounds   int           // repeats of all measurements
	Write    bool          // insert rows instead of reading
	Simple   bool          // use the simple protocol instead of prepared statements
	// DuringLoad is called when the load through one daemon starts, with the daemon's admin address. It may be nil.
	DuringLoad func(ctx context.Context, adminAddr string)
}

// callPath is one of the paths from a caller to the member, with the daemons that a statement passes through.
type callPath struct {
	name    string
	addr    string // address that the caller connects to
	daemons []topology.EntryVM
}

// Proxy measures statements of a driver that is connected to the member directly, to the daemon that owns the member, and to
// another daemon, which forwards to the owner.
func Proxy(ctx context.Context, options ProxyOptions) (*Report, error) {
	name := "proxy-read"
	if options.Write {
		name = "proxy-write"
	}
	if options.Simple {
		name += "-simple"
	}
	r := NewReport(name, "daemons on the way")
	memberCount := 1
	if options.Write {
		memberCount = membersPerService
	}
	cluster, err := startCluster(ctx, 2, memberCount)
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	owner, other := cluster.ownerOfMember(0)
	paths := []callPath{
		{"direct", cluster.Topology.Services[0].Members[0].DataAddr, nil},
		{"owner", owner.CallerAddr, []topology.EntryVM{owner}},
		{"forwarded", other.CallerAddr, []topology.EntryVM{owner, other}},
	}
	measurement := &proxyMeasurement{ProxyOptions: options, cluster: cluster}
	if err := measurement.createTable(ctx, owner.CallerAddr); err != nil {
		return nil, err
	}
	for range options.Rounds {
		if err := measurement.measureRound(ctx, paths, r); err != nil {
			return nil, err
		}
	}
	r.Finish()
	return r, nil
}

// proxyMeasurement measures the paths of one cluster.
type proxyMeasurement struct {
	ProxyOptions
	cluster *cluster
	lastKey atomic.Int64 // key of the last row inserted
}

// connect connects a driver to addr. Daemons are told the class for writes; the member knows no classes.
func (p *proxyMeasurement) connect(ctx context.Context, addr string) (*pgx.Conn, error) {
	url := "postgres://capacity@" + addr + "/" + firstServiceName + "?sslmode=disable"
	if p.Write && addr != p.cluster.Topology.Services[0].Members[0].DataAddr {
		url += "&sycamorehub.class=write"
	}
	if p.Simple {
		url += "&default_query_exec_mode=simple_protocol"
	}
	return pgx.Connect(ctx, url)
}

// createTable creates the table for writes. It does nothing if the measurement reads.
func (p *proxyMeasurement) createTable(ctx context.Context, addr string) error {
	if !p.Write {
		return nil
	}
	conn, err := p.connect(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(context.Background()) }()
	_, err = conn.Exec(ctx, "create table capacity (key text primary key, value text)")
	return err
}

// runStatement reads a constant or inserts a row.
func (p *proxyMeasurement) runStatement(ctx context.Context, conn *pgx.Conn) error {
	if p.Write {
		_, err := conn.Exec(ctx, "insert into capacity (key, value) values ($1, $2)", fmt.Sprint(p.lastKey.Add(1)), "x")
		return err
	}
	var n int
	return conn.QueryRow(ctx, "select 1").Scan(&n)
}

// measureRound measures the latency of all paths and then the load on one path after the other. It adds a point for each
// path to r.
func (p *proxyMeasurement) measureRound(ctx context.Context, paths []callPath, r *Report) error {
	values := make([]map[string]float64, len(paths))
	for i := range values {
		values[i] = map[string]float64{}
	}
	if err := p.measureLatency(ctx, paths, values); err != nil {
		return err
	}
	for i, path := range paths {
		if err := p.measureLoad(ctx, path, values[i]); err != nil {
			return fmt.Errorf("%s: %w", path.name, err)
		}
		r.Add(float64(len(path.daemons)), values[i])
	}
	return nil
}

// measureLatency runs one statement at a time and changes the path after each, so that other load on the machine affects
// all paths alike.
func (p *proxyMeasurement) measureLatency(ctx context.Context, paths []callPath, values []map[string]float64) error {
	conns := make([]*pgx.Conn, len(paths))
	for i, path := range paths {
		c, err := p.connect(ctx, path.addr)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(context.Background()) }()
		conns[i] = c
	}
	latencies := make([][]float64, len(paths))
	for deadline := time.Now().Add(p.Duration); time.Now().Before(deadline); {
		for i, c := range conns {
			start := time.Now()
			if err := p.runStatement(ctx, c); err != nil {
				return fmt.Errorf("%s: %w", paths[i].name, err)
			}
			latencies[i] = append(latencies[i], float64(time.Since(start).Nanoseconds())/1e3)
		}
	}
	for i := range paths {
		values[i]["p50_us"], values[i]["p99_us"] = quantile(latencies[i], 0.5), quantile(latencies[i], 0.99)
	}
	return nil
}

// measureLoad measures the throughput of a path and what its daemons use per statement.
func (p *proxyMeasurement) measureLoad(ctx context.Context, path callPath, values map[string]float64) error {
	conns := make([]*pgx.Conn, p.Callers)
	for i := range conns {
		c, err := p.connect(ctx, path.addr)
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(context.Background()) }()
		if err := p.runStatement(ctx, c); err != nil {
			return err
		}
		conns[i] = c
	}
	if p.DuringLoad != nil && len(path.daemons) == 1 {
		go p.DuringLoad(ctx, path.daemons[0].AdminAddr)
	}
	before, err := p.cluster.totalUsage(ctx, path.daemons...)
	if err != nil {
		return err
	}
	start := time.Now()
	statements, err := p.runClosedLoop(ctx, conns)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	after, err := p.cluster.totalUsage(ctx, path.daemons...)
	if err != nil {
		return err
	}
	values["statements/s"] = statements / seconds
	if len(path.daemons) > 0 {
		values["cpu_us/statement"] = (after.cpuSeconds - before.cpuSeconds) * 1e6 / statements
		values["statements/s/core"] = statements / (after.cpuSeconds - before.cpuSeconds)
		values["allocs/statement"] = (after.allocations - before.allocations) / statements
		values["alloc_bytes/statement"] = (after.allocatedBytes - before.allocatedBytes) / statements
	}
	return nil
}

// runClosedLoop runs statements on all connections, each as soon as the one before has been answered, and returns how many
// were answered.
func (p *proxyMeasurement) runClosedLoop(ctx context.Context, conns []*pgx.Conn) (float64, error) {
	var served atomic.Int64
	var wg sync.WaitGroup
	failed := make(chan error, len(conns))
	deadline := time.Now().Add(p.Duration)
	for _, c := range conns {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				if err := p.runStatement(ctx, c); err != nil {
					failed <- err
					return
				}
				served.Add(1)
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return 0, err
	default:
		return float64(served.Load()), nil
	}
}

// ProxySummary returns a line of text for each path, with the medians over all rounds.
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
		for _, k := range r.valueNames() {
			if len(values[k]) > 0 {
				fmt.Fprintf(&b, "  %s %.4g", k, quantile(values[k], 0.5))
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}
