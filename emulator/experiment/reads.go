package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
)

const (
	readsIdleTime = 3 * time.Second // during which bytes between regions are counted without callers
	readsDuration = 8 * time.Second
	readsWarmup   = 2 * time.Second // for connections to be opened before the bytes are counted
)

// ReadShare tells which share of the reads of a class replicas served.
type ReadShare struct {
	Class    string
	Reads    int
	Replicas float64 // share of Reads
}

// ReadFigures holds the figures of one scene on one system.
type ReadFigures struct {
	System, Scene     string
	Load              string // the machine's load averages after the run
	Classes           []ReadShare
	IdleBytes         float64       // bytes/s between regions without callers
	BytesPerRead      float64       // bytes between regions less the idle rate; not meaningful beside writes
	TotalBytesPerRead float64       // all bytes between regions
	StaleReads        int           // reads of a session that missed its own acknowledged write
	OrderMedian       time.Duration // latency of acknowledged orders, 0 if there are none
	OrderP99          time.Duration
}

// runReads measures which members serve reads and how many bytes pass between regions: once with reads alone, and once
// beside writes that are read back in the same session.
func runReads(ctx context.Context, r *runner) (any, error) {
	var out []ReadFigures
	lookup := workload.Class{Name: r.installation.lookupClass, Kind: workload.Read, Callers: 30, Pause: 50 * time.Millisecond, AskMember: true}
	batch := workload.Class{Name: r.installation.batchClass, Kind: workload.Read, Callers: 20, Pause: 50 * time.Millisecond, AskMember: true}
	order := workload.Class{
		Name: r.installation.orderClass, Kind: workload.Write, Callers: 20, Pause: 100 * time.Millisecond,
		ReadBack: r.installation.confirmClass, AskMember: true,
	}
	for _, system := range r.Systems {
		for scene, classes := range map[string][]workload.Class{"reads alone": {lookup, batch}, "with writes": {lookup, batch, order}} {
			figures, err := r.measureReads(ctx, system, classes)
			if err != nil {
				return out, fmt.Errorf("%s: %w", system, err)
			}
			figures.Scene = scene
			fmt.Fprintf(r.Out, "%s, %s (load %s): idle %.0f bytes/s between regions, %.0f bytes per read (%.0f with the idle rate), "+
				"%d stale session reads, shares of replicas %+v, orders p50 %v p99 %v\n",
				system, scene, figures.Load, figures.IdleBytes, figures.BytesPerRead, figures.TotalBytesPerRead,
				figures.StaleReads, figures.Classes, figures.OrderMedian, figures.OrderP99)
			out = append(out, figures)
		}
	}
	return out, nil
}

// measureReads runs the classes on a cluster of its own.
func (r *runner) measureReads(ctx context.Context, system string, classes []workload.Class) (ReadFigures, error) {
	figures := ReadFigures{System: system}
	c, err := r.start(ctx, system)
	if err != nil {
		return figures, err
	}
	defer c.close()
	if r.Stand > 0 && system == SycamoreHub {
		if err := c.waitForMoves(ctx, r.Stand); err != nil {
			return figures, err
		}
	}
	opts := workload.Options{
		Addrs: c.callerAddrs(), Database: c.Topology.Services[0].Database, Keys: sessionKeyCount, Classes: classes, Seed: r.Seed,
	}
	opts.Duration = readsWarmup
	workload.Run(ctx, opts)
	figures.IdleBytes = float64(c.countRegionBytes(func() { time.Sleep(readsIdleTime) })) / readsIdleTime.Seconds()
	opts.Duration, opts.Seed = readsDuration, r.Seed+1
	var res *workload.Result
	start := time.Now()
	bytes := float64(c.countRegionBytes(func() { res = workload.Run(ctx, opts) }))
	elapsed := time.Since(start).Seconds()
	primaries, err := c.primaryNames(ctx)
	if err != nil {
		return figures, err
	}
	total := figures.addReadShares(res, primaries)
	figures.TotalBytesPerRead, figures.BytesPerRead = bytes/total, (bytes-figures.IdleBytes*elapsed)/total
	figures.StaleReads, figures.Load = res.StaleSessionReads, loadAverages()
	if orders := res.Classes[r.installation.orderClass]; orders != nil {
		figures.OrderMedian, figures.OrderP99 = orders.Quantile(0.5).Round(time.Millisecond/10), orders.Quantile(0.99).Round(time.Millisecond/10)
	}
	return figures, nil
}

// primaryNames returns the names of the primaries of all services.
func (c *cluster) primaryNames(ctx context.Context) (map[string]bool, error) {
	names := map[string]bool{}
	for _, svc := range c.Topology.Services {
		m, err := primaryOf(ctx, c, svc)
		if err != nil {
			return nil, err
		}
		names[m.Name] = true
	}
	return names, nil
}

// addReadShares adds the ReadShare of each class that has reads and returns the number of all reads.
func (f *ReadFigures) addReadShares(res *workload.Result, primaries map[string]bool) (total float64) {
	for name, class := range res.Classes {
		share := ReadShare{Class: name}
		for member, n := range class.ByMember {
			share.Reads += n
			if !primaries[member] {
				share.Replicas += float64(n)
			}
		}
		if share.Reads > 0 {
			share.Replicas /= float64(share.Reads)
			f.Classes = append(f.Classes, share)
			total += float64(share.Reads)
		}
	}
	return total
}

// countRegionBytes returns the bytes that pass between regions while do runs, those to and from the platform excepted.
func (c *cluster) countRegionBytes(do func()) uint64 {
	before := c.network.RegionBytes()
	do()
	return c.network.RegionBytes() - before
}
