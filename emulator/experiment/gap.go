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
	gapCallers    = 28
	gapPause      = 20 * time.Millisecond
	gapMinLead    = 1500 * time.Millisecond // of writes before the fault
	gapLeadSpread = 400 * time.Millisecond  // random part of the lead, so that faults hit any phase of the polls
	gapTimeout    = 20 * time.Second        // above the bound of 16 s
	steadyMinWait = 2500 * time.Millisecond // after the fault, at the earliest
	steadyWindow  = 1500 * time.Millisecond // without a gap above steadyMaxGap ends a repeat
	steadyMaxGap  = 300 * time.Millisecond
)

// Gap is one repeat of a fault.
type Gap struct {
	System, Fault, Service string
	Seconds                float64 // longest time without an acknowledged write among callers that are not cut off
	Open                   bool    // writes had not come back at the end of the repeat
	Load                   string
	Ledger                 ledgerCounts
	Errors                 map[string]int // after the fault, by SQLSTATE
}

// primaryFault is a way to lose a primary.
type primaryFault struct {
	name   string
	inject func(c *cluster, m platform.Member) error
	repair func(c *cluster, m platform.Member)
}

var primaryFaults = []primaryFault{
	{"killed", func(c *cluster, m platform.Member) error { c.Members[m.Name].Kill(); return nil },
		func(*cluster, platform.Member) {}},
	{"frozen", func(c *cluster, m platform.Member) error { return c.Members[m.Name].Freeze() },
		func(c *cluster, m platform.Member) { _ = c.Members[m.Name].Resume() }},
	{"cut off", func(c *cluster, m platform.Member) error { c.network.Isolate(m.DataCentre); return nil },
		func(c *cluster, m platform.Member) { c.network.Rejoin(m.DataCentre) }},
}

// runGaps loses each service's primary of a fresh cluster in another way and repeats that with new clusters. The order
// of the faults turns, so that each kind meets primaries in every data centre.
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

func (r *runner) runGapRound(ctx context.Context, system string, round int) ([]Gap, error) {
	c, err := r.start(ctx, system)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var out []Gap
	for i, svc := range c.Topology.Services {
		// The cut comes last: it also makes the other services change their primaries.
		fault := primaryFaults[i]
		svc = c.Topology.Services[(i+round)%len(c.Topology.Services)]
		gap, err := r.measureGap(ctx, c, fault, svc, r.Seed+uint64(100*round+i))
		if err != nil {
			return out, err
		}
		gap.System = system
		fmt.Fprintf(r.Out, "%-12s %-8s %-18s gap %.3f s open=%v load %s ledger %+v errors %v\n",
			system, fault.name, svc.Name, gap.Seconds, gap.Open, gap.Load, gap.Ledger, gap.Errors)
		out = append(out, gap)
	}
	return out, nil
}

// measureGap measures one fault on a service.
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

// ledgerTimeout bounds the comparison of a ledger with the database.
const ledgerTimeout = 10 * time.Second

// checkServiceOrders compares the orders of a run with what the service's primary holds.
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

// primaryOf returns the member of a service that is the primary of the highest term.
func primaryOf(ctx context.Context, c *cluster, svc platform.Service) (platform.Member, error) {
	addr, err := primaryAddr(ctx, c, svc)
	if err != nil {
		return platform.Member{}, err
	}
	i := slices.IndexFunc(svc.Members, func(m platform.Member) bool { return m.DataAddr == addr })
	return svc.Members[i], nil
}

func primaryAddr(ctx context.Context, c *cluster, svc platform.Service) (string, error) {
	topo := &topology.Topology{PlatformAddr: c.Topology.PlatformAddr, Services: []platform.Service{svc}}
	addrs, err := demo.Primaries(ctx, &launch.Cluster{Options: launch.Options{Topology: topo}})
	if err != nil {
		return "", err
	}
	return addrs[0], nil
}

// ackTimes collects when writes of callers that are not cut off were acknowledged.
type ackTimes struct {
	ignoredAddrs map[string]bool

	mu    sync.Mutex
	times []time.Time
}

func (a *ackTimes) add(o workload.Order) {
	if o.Outcome != workload.Acknowledged || a.ignoredAddrs[o.Addr] {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, o.At)
}

// longestGap returns the longest time without an acknowledgement that ended after from.
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

// longestGapBetween returns the longest time between two acknowledgements from one time to another.
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

// waitUntilSteady waits until writes have gone on without a break for some time after the fault.
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

// GapSummary is the median and worst gap of one fault.
type GapSummary struct {
	System, Fault string
	Repeats       int
	Median, Worst float64 // seconds
	Lost          int     // acknowledged orders that are absent, over all repeats
	RanAnyway     int
}

// Summarise groups gaps by system and fault.
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

func (r *runner) printGaps(gaps []Gap) {
	for _, s := range Summarise(gaps) {
		fmt.Fprintf(r.Out, "%-12s %-8s %d repeats: median %.2f s, worst %.2f s, %d acknowledged orders lost, %d refused orders ran\n",
			s.System, s.Fault, s.Repeats, s.Median, s.Worst, s.Lost, s.RanAnyway)
	}
}
