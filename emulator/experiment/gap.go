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
	gapCallers  = 28
	gapPause    = 20 * time.Millisecond
	gapLead     = 1500 * time.Millisecond // of writes before the fault
	gapSpread   = 400 * time.Millisecond  // random part of the lead, so that faults hit any phase of the polls
	gapLimit    = 20 * time.Second        // above the bound of 16 s
	steadyAfter = 2500 * time.Millisecond // after the fault, at the earliest
	steadyFor   = 1500 * time.Millisecond // without a gap above steadyGap ends a repeat
	steadyGap   = 300 * time.Millisecond
)

// Gap is one repeat of a fault.
type Gap struct {
	System, Fault, Service string
	Seconds                float64 // longest time without an acknowledged write among callers that are not cut off
	Open                   bool    // writes had not come back at the end of the repeat
	Load                   string
	Ledger                 ledger
	Errors                 map[string]int // after the fault, by SQLSTATE
}

// fault is a way to lose a primary.
type fault struct {
	name   string
	inject func(c *cluster, m platform.Member) error
	repair func(c *cluster, m platform.Member)
}

var faults = []fault{
	{"killed", func(c *cluster, m platform.Member) error { c.Members[m.Name].Kill(); return nil },
		func(*cluster, platform.Member) {}},
	{"frozen", func(c *cluster, m platform.Member) error { return c.Members[m.Name].Freeze() },
		func(c *cluster, m platform.Member) { _ = c.Members[m.Name].Resume() }},
	{"cut off", func(c *cluster, m platform.Member) error { c.net.Isolate(m.DataCentre); return nil },
		func(c *cluster, m platform.Member) { c.net.Rejoin(m.DataCentre) }},
}

// gaps loses each service's primary of a fresh cluster in another way and repeats that with new clusters. The order
// of the faults turns, so that each kind meets primaries in every data centre.
func gaps(ctx context.Context, r *runner) (any, error) {
	var out []Gap
	for n := range r.Repeats {
		for _, system := range r.Systems {
			got, err := r.gapRound(ctx, system, n)
			out = append(out, got...)
			if err != nil {
				return out, fmt.Errorf("%s, round %d: %w", system, n+1, err)
			}
		}
	}
	r.printGaps(out)
	return out, nil
}

func (r *runner) gapRound(ctx context.Context, system string, n int) ([]Gap, error) {
	c, err := r.start(ctx, system)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var out []Gap
	for i, svc := range c.Topology.Services {
		// The cut comes last: it also makes the other services change their primaries.
		f := faults[i]
		svc = c.Topology.Services[(i+n)%len(c.Topology.Services)]
		g, err := r.gap(ctx, c, f, svc, r.Seed+uint64(100*n+i))
		if err != nil {
			return out, err
		}
		g.System = system
		fmt.Fprintf(r.Out, "%-12s %-8s %-18s gap %.3f s open=%v load %s ledger %+v errors %v\n",
			system, f.name, svc.Name, g.Seconds, g.Open, g.Load, g.Ledger, g.Errors)
		out = append(out, g)
	}
	return out, nil
}

// gap measures one fault on a service.
func (r *runner) gap(ctx context.Context, c *cluster, f fault, svc platform.Service, seed uint64) (Gap, error) {
	primary, err := primaryOf(ctx, c, svc)
	if err != nil {
		return Gap{}, err
	}
	var excluded map[string]bool
	if f.name == "cut off" {
		excluded = c.addrsIn(primary.DataCentre)
	}
	acks := &ackTimes{excluded: excluded}
	ctx, cancel := context.WithTimeout(ctx, gapLead+gapSpread+gapLimit)
	defer cancel()
	done := make(chan *workload.Result, 1)
	go func() {
		done <- workload.Run(ctx, workload.Options{
			Addrs: c.callerAddrs(), Database: svc.Name, Duration: gapLead + gapSpread + gapLimit, Seed: seed, OnOrder: acks.add,
			Classes: []workload.Class{{Name: r.user.order, Kind: workload.Write, Callers: gapCallers, Pause: gapPause}},
		})
	}()
	rng := rand.New(rand.NewPCG(seed, 0))
	time.Sleep(gapLead + time.Duration(rng.Int64N(int64(gapSpread))))
	lost := time.Now()
	if err := f.inject(c, primary); err != nil {
		return Gap{}, err
	}
	g := Gap{Fault: f.name, Service: svc.Name, Open: !acks.waitSteady(ctx, lost)}
	g.Seconds = acks.longest(lost, time.Now()).Seconds()
	g.Load = loadAverage()
	cancel()
	f.repair(c, primary)
	res := <-done
	g.Errors = map[string]int{}
	for _, o := range res.Orders {
		if o.Err != nil && o.At.After(lost) {
			g.Errors[workload.ErrorCode(o.Err)]++
		}
	}
	g.Ledger, err = checkLedger(context.WithoutCancel(ctx), c, svc, res)
	return g, err
}

// ledgerTimeout bounds the comparison of a ledger with the database.
const ledgerTimeout = 10 * time.Second

// checkLedger compares the orders of a run with what the service's primary holds.
func checkLedger(ctx context.Context, c *cluster, svc platform.Service, res *workload.Result) (ledger, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	addr, err := addrOfPrimary(ctx, c, svc)
	if err != nil {
		return ledger{}, err
	}
	l, err := res.Check(ctx, []string{addr})
	if err != nil {
		return ledger{}, err
	}
	return ledger{l.Acknowledged, len(l.Lost), l.Refused, len(l.RanAnyway), l.Unknown}, nil
}

// primaryOf returns the member of a service that is the primary of the highest term.
func primaryOf(ctx context.Context, c *cluster, svc platform.Service) (platform.Member, error) {
	addr, err := addrOfPrimary(ctx, c, svc)
	if err != nil {
		return platform.Member{}, err
	}
	i := slices.IndexFunc(svc.Members, func(m platform.Member) bool { return m.DataAddr == addr })
	return svc.Members[i], nil
}

func addrOfPrimary(ctx context.Context, c *cluster, svc platform.Service) (string, error) {
	one := &topology.Topology{PlatformAddr: c.Topology.PlatformAddr, Services: []platform.Service{svc}}
	addrs, err := demo.Primaries(ctx, &launch.Cluster{Options: launch.Options{Topology: one}})
	if err != nil {
		return "", err
	}
	return addrs[0], nil
}

// ackTimes collects when writes of callers that are not cut off were acknowledged.
type ackTimes struct {
	excluded map[string]bool

	mu    sync.Mutex
	times []time.Time
}

func (a *ackTimes) add(o workload.Order) {
	if o.Outcome != workload.Acknowledged || a.excluded[o.Addr] {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, o.At)
}

// longest returns the longest time without an acknowledgement that ended after from.
func (a *ackTimes) longest(from, to time.Time) time.Duration {
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

// between returns the longest time between two acknowledgements from one time to another.
func (a *ackTimes) between(from, to time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	part := &ackTimes{}
	for _, t := range a.times {
		if t.After(from) && t.Before(to) {
			part.times = append(part.times, t)
		}
	}
	if len(part.times) == 0 {
		return to.Sub(from)
	}
	return part.longest(from, part.times[len(part.times)-1])
}

// waitSteady waits until writes have gone on without a break for some time after the fault.
func (a *ackTimes) waitSteady(ctx context.Context, lost time.Time) bool {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		if now.Sub(lost) >= steadyAfter && a.longest(now.Add(-steadyFor), now) < steadyGap {
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
func Summarise(all []Gap) []GapSummary {
	var out []GapSummary
	for _, system := range []string{SycamoreHub, Naive} {
		for _, f := range faults {
			s := GapSummary{System: system, Fault: f.name}
			var seconds []float64
			for _, g := range all {
				if g.System == system && g.Fault == f.name {
					seconds = append(seconds, g.Seconds)
					s.Lost += g.Ledger.Lost
					s.RanAnyway += g.Ledger.RanAnyway
				}
			}
			if s.Repeats = len(seconds); s.Repeats == 0 {
				continue
			}
			slices.Sort(seconds)
			s.Median = (seconds[(s.Repeats-1)/2] + seconds[s.Repeats/2]) / 2
			s.Worst = seconds[s.Repeats-1]
			out = append(out, s)
		}
	}
	return out
}

func (r *runner) printGaps(all []Gap) {
	for _, s := range Summarise(all) {
		fmt.Fprintf(r.Out, "%-12s %-8s %d repeats: median %.2f s, worst %.2f s, %d acknowledged orders lost, %d refused orders ran\n",
			s.System, s.Fault, s.Repeats, s.Median, s.Worst, s.Lost, s.RanAnyway)
	}
}
