package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/demo"
	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	gapCallers    = 28                      // callers that write
	gapPause      = 20 * time.Millisecond   // mean pause of a caller between two writes
	gapMinLead    = 1500 * time.Millisecond // time of writes before the fault, without its random part
	gapLeadSpread = 400 * time.Millisecond  // largest random part, so that faults hit any phase of the member polls
	gapTimeout    = 20 * time.Second        // longer than the 16 s that a change of primary may take

	// A repeat ends when writes are steady again: steadyMinWait or more after the fault, when the last steadyWindow
	// has had no gap of steadyMaxGap or more.
	steadyMinWait = 2500 * time.Millisecond
	steadyWindow  = 1500 * time.Millisecond
	steadyMaxGap  = 300 * time.Millisecond
)

// Gap holds the figures of one repeat of a fault.
type Gap struct {
	System, Fault, Service string
	Seconds                float64 // longest time without an acknowledged write, callers that are cut off not counted
	Open                   bool    // writes were not steady again when the repeat timed out
	Load                   string  // the machine's load averages at the end of the repeat
	Ledger                 ledgerCounts
	Errors                 map[string]int // failed writes after the fault by SQLSTATE
}

// primaryFault is a way in which a service loses its primary.
type primaryFault struct {
	name   string
	inject func(c *cluster, m platform.Member) error
	repair func(c *cluster, m platform.Member)
}

// primaryFaults holds one fault for each service of an installation, in the order in which a round applies them.
var primaryFaults = []primaryFault{
	{"killed", func(c *cluster, m platform.Member) error { c.Members[m.Name].Kill(); return nil },
		func(*cluster, platform.Member) {}},
	{"frozen", func(c *cluster, m platform.Member) error { return c.Members[m.Name].Freeze() },
		func(c *cluster, m platform.Member) { _ = c.Members[m.Name].Resume() }},
	{"cut off", func(c *cluster, m platform.Member) error { c.network.Isolate(m.DataCentre); return nil },
		func(c *cluster, m platform.Member) { c.network.Rejoin(m.DataCentre) }},
}

// runGaps measures every fault once in each round. A round runs on a cluster of its own and applies each fault to
// another service. The services rotate from round to round, so that each fault hits primaries in every data centre.
func runGaps(ctx context.Context, r *runner) (any, error) {
	var out []Gap
	for round := range r.Repeats {
		for _, system := range r.Systems {
			gaps, err := r.runGapRound(ctx, system, round)
			out = append(out, gaps...)
			if err != nil {
				return out, fmt.Errorf("%s, round %d: %w", system, round+1, err)
			}
		}
	}
	r.printGaps(out)
	return out, nil
}

// runGapRound measures every fault once on one cluster of the given system.
func (r *runner) runGapRound(ctx context.Context, system string, round int) ([]Gap, error) {
	c, err := r.start(ctx, system)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var out []Gap
	for i, svc := range c.Topology.Services {
		// primaryFaults cuts a data centre off last, since that makes the other services change their primaries too.
		fault := primaryFaults[i]
		svc = c.Topology.Services[(i+round)%len(c.Topology.Services)]
		gap, err := r.measureGap(ctx, c, fault, svc, r.Seed+uint64(100*round+i))
		if err != nil {
			return out, err
		}
		gap.System = system
		fmt.Fprintf(r.Out, "%-12s %-8s %-18s gap %.3f s, timed out before steady %v, load %s, ledger %+v, errors %v\n",
			system, fault.name, svc.Name, gap.Seconds, gap.Open, gap.Load, gap.Ledger, gap.Errors)
		out = append(out, gap)
	}
	return out, nil
}

// measureGap measures how long writes to a service stop when its primary has the fault. It repairs the fault before it
// compares the orders with the rows.
func (r *runner) measureGap(ctx context.Context, c *cluster, fault primaryFault, svc platform.Service, seed uint64) (Gap, error) {
	primary, err := primaryOf(ctx, c, svc)
	if err != nil {
		return Gap{}, err
	}
	var cutOffAddrs map[string]bool
	if fault.name == "cut off" {
		cutOffAddrs = c.callerAddrsIn(primary.DataCentre)
	}
	acks := &ackTimes{ignoredAddrs: cutOffAddrs}
	ctx, cancel := context.WithTimeout(ctx, gapMinLead+gapLeadSpread+gapTimeout)
	defer cancel()
	results := make(chan *workload.Result, 1)
	go func() {
		results <- workload.Run(ctx, workload.Options{
			Addrs: c.callerAddrs(), Database: svc.Name, Duration: gapMinLead + gapLeadSpread + gapTimeout, Seed: seed, OnOrder: acks.add,
			Classes: []workload.Class{{Name: r.installation.orderClass, Kind: workload.Write, Callers: gapCallers, Pause: gapPause}},
		})
	}()
	rng := rand.New(rand.NewPCG(seed, 0))
	time.Sleep(gapMinLead + time.Duration(rng.Int64N(int64(gapLeadSpread))))
	faultTime := time.Now()
	if err := fault.inject(c, primary); err != nil {
		return Gap{}, err
	}
	gap := Gap{Fault: fault.name, Service: svc.Name, Open: !acks.waitUntilSteady(ctx, faultTime)}
	gap.Seconds = acks.longestGap(faultTime, time.Now()).Seconds()
	gap.Load = loadAverages()
	cancel()
	fault.repair(c, primary)
	res := <-results
	gap.Errors = map[string]int{}
	for _, order := range res.Orders {
		if order.Err != nil && order.At.After(faultTime) {
			gap.Errors[workload.ErrorCode(order.Err)]++
		}
	}
	gap.Ledger, err = checkServiceOrders(context.WithoutCancel(ctx), c, svc, res)
	return gap, err
}

// ledgerTimeout bounds the comparison of the orders of a run with the rows on a primary.
const ledgerTimeout = 10 * time.Second

// checkServiceOrders compares the orders of a run with the rows on the primary of the service.
func checkServiceOrders(ctx context.Context, c *cluster, svc platform.Service, res *workload.Result) (ledgerCounts, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	addr, err := primaryAddr(ctx, c, svc)
	if err != nil {
		return ledgerCounts{}, err
	}
	l, err := res.Check(ctx, []string{addr})
	if err != nil {
		return ledgerCounts{}, err
	}
	return ledgerCounts{l.Acknowledged, len(l.Lost), l.Refused, len(l.RanAnyway), l.Unknown}, nil
}

// primaryOf returns the present primary of a service: the one of the highest term.
func primaryOf(ctx context.Context, c *cluster, svc platform.Service) (platform.Member, error) {
	addr, err := primaryAddr(ctx, c, svc)
	if err != nil {
		return platform.Member{}, err
	}
	i := slices.IndexFunc(svc.Members, func(m platform.Member) bool { return m.DataAddr == addr })
	return svc.Members[i], nil
}

// primaryAddr returns the data address of the present primary of a service.
func primaryAddr(ctx context.Context, c *cluster, svc platform.Service) (string, error) {
	topo := &topology.Topology{PlatformAddr: c.Topology.PlatformAddr, Services: []platform.Service{svc}}
	addrs, err := demo.Primaries(ctx, &launch.Cluster{Options: launch.Options{Topology: topo}})
	if err != nil {
		return "", err
	}
	return addrs[0], nil
}

// ackTimes collects the times at which writes were acknowledged, except those of callers at ignored entry VMs.
type ackTimes struct {
	ignoredAddrs map[string]bool // caller addresses of the ignored entry VMs

	mu    sync.Mutex
	times []time.Time
}

// add records the time of an order if it was acknowledged and its entry VM is not ignored.
func (a *ackTimes) add(o workload.Order) {
	if o.Outcome != workload.Acknowledged || a.ignoredAddrs[o.Addr] {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, o.At)
}

// longestGap returns the longest time without an acknowledgement that ended after from, even if it began before from.
// The last such time ends at to.
func (a *ackTimes) longestGap(from, to time.Time) time.Duration {
	a.mu.Lock()
	times := append(slices.Clone(a.times), to)
	a.mu.Unlock()
	slices.SortFunc(times, time.Time.Compare)
	var last time.Time
	var longest time.Duration
	for _, t := range times {
		if t.After(from) && !last.IsZero() {
			longest = max(longest, t.Sub(last))
		}
		last = t
	}
	return longest
}

// longestGapBetween returns the longest time between two acknowledgements that both lie between from and to, or the
// whole time if there is none.
func (a *ackTimes) longestGapBetween(from, to time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	inRange := &ackTimes{}
	for _, t := range a.times {
		if t.After(from) && t.Before(to) {
			inRange.times = append(inRange.times, t)
		}
	}
	if len(inRange.times) == 0 {
		return to.Sub(from)
	}
	return inRange.longestGap(from, inRange.times[len(inRange.times)-1])
}

// waitUntilSteady waits until writes are steady again after a fault or move at the given time. It returns false if ctx
// ends first.
func (a *ackTimes) waitUntilSteady(ctx context.Context, since time.Time) bool {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		if now.Sub(since) >= steadyMinWait && a.longestGap(now.Add(-steadyWindow), now) < steadyMaxGap {
			return true
		}
	}
	return false
}

// GapSummary holds the median and the longest gap of one fault on one system.
type GapSummary struct {
	System, Fault string
	Repeats       int
	Median, Worst float64 // seconds
	Lost          int     // acknowledged orders without a row, over all repeats
	RanAnyway     int     // refused orders with a row, over all repeats
}

// Summarise returns a summary for each system and fault that gaps contains.
func Summarise(gaps []Gap) []GapSummary {
	var out []GapSummary
	for _, system := range []string{SycamoreHub, Naive} {
		for _, fault := range primaryFaults {
			summary := GapSummary{System: system, Fault: fault.name}
			var seconds []float64
			for _, gap := range gaps {
				if gap.System == system && gap.Fault == fault.name {
					seconds = append(seconds, gap.Seconds)
					summary.Lost += gap.Ledger.Lost
					summary.RanAnyway += gap.Ledger.RanAnyway
				}
			}
			if summary.Repeats = len(seconds); summary.Repeats == 0 {
				continue
			}
			slices.Sort(seconds)
			summary.Median = (seconds[(summary.Repeats-1)/2] + seconds[summary.Repeats/2]) / 2
			summary.Worst = seconds[summary.Repeats-1]
			out = append(out, summary)
		}
	}
	return out
}

// printGaps prints a line for each summary of the gaps.
func (r *runner) printGaps(gaps []Gap) {
	for _, s := range Summarise(gaps) {
		fmt.Fprintf(r.Out, "%-12s %-8s %d repeats: median %.2f s, worst %.2f s, %d acknowledged orders lost, %d refused orders ran\n",
			s.System, s.Fault, s.Repeats, s.Median, s.Worst, s.Lost, s.RanAnyway)
	}
}
