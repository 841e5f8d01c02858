package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
)

const (
	readsIdle   = 3 * time.Second // to measure the bytes that pass without reads
	readsRun    = 8 * time.Second
	readsWarmup = 2 * time.Second
)

// ReadShare is the share of a class's reads that replicas served.
type ReadShare struct {
	Class    string
	Reads    int
	Replicas float64
}

// ReadFigures are the figures of one system.
type ReadFigures struct {
	System, Scene     string
	Load              string
	Classes           []ReadShare
	IdleBytes         float64 // between regions without callers, bytes/s
	BytesPerRead      float64 // between regions, less the idle rate; only where nothing is written
	TotalBytesPerRead float64
	StaleReads        int
	OrderMedian       time.Duration // of acknowledged orders, 0 for none
	OrderP99          time.Duration
}

// reads measures where reads run: once with reads alone, and once beside writes whose sessions read back.
func reads(ctx context.Context, r *runner) (any, error) {
	var out []ReadFigures
	lookup := workload.Class{Name: r.user.lookup, Kind: workload.Read, Callers: 30, Pause: 50 * time.Millisecond, AskMember: true}
	batch := workload.Class{Name: r.user.batch, Kind: workload.Read, Callers: 20, Pause: 50 * time.Millisecond, AskMember: true}
	order := workload.Class{
		Name: r.user.order, Kind: workload.Write, Callers: 20, Pause: 100 * time.Millisecond, ReadBack: r.user.confirm, AskMember: true,
	}
	for _, system := range r.Systems {
		for name, classes := range map[string][]workload.Class{"reads alone": {lookup, batch}, "with writes": {lookup, batch, order}} {
			f, err := r.reads(ctx, system, classes)
			if err != nil {
				return out, fmt.Errorf("%s: %w", system, err)
			}
			f.Scene = name
			fmt.Fprintf(r.Out, "%s, %s (load %s): idle %.0f bytes/s between regions, %.0f bytes per read (%.0f with the idle rate), "+
				"%d stale session reads, shares by replicas %+v, orders p50 %v p99 %v\n",
				system, name, f.Load, f.IdleBytes, f.BytesPerRead, f.TotalBytesPerRead, f.StaleReads, f.Classes, f.OrderMedian, f.OrderP99)
			out = append(out, f)
		}
	}
	return out, nil
}

func (r *runner) reads(ctx context.Context, system string, classes []workload.Class) (ReadFigures, error) {
	f := ReadFigures{System: system}
	c, err := r.start(ctx, system)
	if err != nil {
		return f, err
	}
	defer c.close()
	if r.Stand > 0 && system == SycamoreHub {
		if err := c.awaitMoves(ctx, r.Stand); err != nil {
			return f, err
		}
	}
	o := workload.Options{
		Addrs: c.callerAddrs(), Database: c.Topology.Services[0].Database, Keys: sessionKeys, Classes: classes, Seed: r.Seed,
	}
	o.Duration = readsWarmup // connections are opened
	workload.Run(ctx, o)
	f.IdleBytes = float64(c.regionBytes(func() { time.Sleep(readsIdle) })) / readsIdle.Seconds()
	o.Duration, o.Seed = readsRun, r.Seed+1
	var res *workload.Result
	start := time.Now()
	bytes := float64(c.regionBytes(func() { res = workload.Run(ctx, o) }))
	elapsed := time.Since(start).Seconds()
	primaries, err := c.primaries(ctx)
	if err != nil {
		return f, err
	}
	total := f.countShares(res, primaries)
	f.TotalBytesPerRead, f.BytesPerRead = bytes/total, (bytes-f.IdleBytes*elapsed)/total
	f.StaleReads, f.Load = res.StaleSessionReads, loadAverage()
	if orders := res.Classes[r.user.order]; orders != nil {
		f.OrderMedian, f.OrderP99 = orders.Quantile(0.5).Round(time.Millisecond/10), orders.Quantile(0.99).Round(time.Millisecond/10)
	}
	return f, nil
}

// primaries returns the names of the primaries of all services.
func (c *cluster) primaries(ctx context.Context) (map[string]bool, error) {
	names := map[string]bool{}
	for _, s := range c.Topology.Services {
		m, err := primaryOf(ctx, c, s)
		if err != nil {
			return nil, err
		}
		names[m.Name] = true
	}
	return names, nil
}

// countShares adds the share of replicas in the reads of each class and returns the number of reads.
func (f *ReadFigures) countShares(res *workload.Result, primaries map[string]bool) (total float64) {
	for name, cr := range res.Classes {
		s := ReadShare{Class: name}
		for member, n := range cr.ByMember {
			s.Reads += n
			if !primaries[member] {
				s.Replicas += float64(n)
			}
		}
		if s.Reads > 0 {
			s.Replicas /= float64(s.Reads)
			f.Classes = append(f.Classes, s)
			total += float64(s.Reads)
		}
	}
	return total
}

// regionBytes returns the bytes that pass between regions while do runs.
func (c *cluster) regionBytes(do func()) uint64 {
	before := c.net.RegionBytes()
	do()
	return c.net.RegionBytes() - before
}
