package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/pkg/placement"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	moveStand  = 6 * time.Second  // long enough for writes to be steady before the move
	moveLimit  = 30 * time.Second // above the stand time with its spread
	moveBefore = time.Second      // part of the time before the move that is searched for a gap
	moveLook   = 20 * time.Millisecond
)

// Move is one repeat of a planned move.
type Move struct {
	Service      string
	From, To     string  // members
	Seconds      float64 // longest time without an acknowledged write around the move
	UsualSeconds float64 // the same long before it
	Ledger       ledger
	Errors       map[string]int // around the move, by SQLSTATE
	Load         string
}

// moves lets the primary of a service move out of a region in which it is the only member, beside writes.
func moves(ctx context.Context, r *runner) (any, error) {
	if r.Stand == 0 {
		r.Stand = moveStand
	}
	var out []Move
	var seconds []float64
	for n := range r.Repeats {
		m, err := r.moveRound(ctx, r.Seed+uint64(n))
		if err != nil {
			return out, fmt.Errorf("round %d: %w", n+1, err)
		}
		fmt.Fprintf(r.Out, "%s from %s to %s: gap %.3f s (usual %.3f s) load %s ledger %+v errors %v\n",
			m.Service, m.From, m.To, m.Seconds, m.UsualSeconds, m.Load, m.Ledger, m.Errors)
		out, seconds = append(out, m), append(seconds, m.Seconds)
	}
	slices.Sort(seconds)
	if k := len(seconds); k > 0 {
		fmt.Fprintf(r.Out, "%d moves: median %.3f s, worst %.3f s\n", k, (seconds[(k-1)/2]+seconds[k/2])/2, seconds[k-1])
	}
	return out, nil
}

func (r *runner) moveRound(ctx context.Context, seed uint64) (Move, error) {
	c, err := r.start(ctx, SycamoreHub)
	if err != nil {
		return Move{}, err
	}
	defer c.close()
	for _, svc := range c.Topology.Services {
		primary, err := primaryOf(ctx, c, svc)
		if err != nil {
			return Move{}, err
		}
		if alone(svc, primary) {
			return r.move(ctx, c, svc, primary, seed)
		}
	}
	return Move{}, fmt.Errorf("no primary is alone in its region after the start")
}

// move measures one move beside writes of callers at all entry VMs.
func (r *runner) move(ctx context.Context, c *cluster, svc platform.Service, from platform.Member, seed uint64) (Move, error) {
	acks := &ackTimes{}
	run, cancel := context.WithTimeout(ctx, moveLimit)
	defer cancel()
	done := make(chan *workload.Result, 1)
	begin := time.Now()
	go func() {
		done <- workload.Run(run, workload.Options{
			Addrs: c.callerAddrs(), Database: svc.Name, Duration: moveLimit, Seed: seed, OnOrder: acks.add,
			Classes: []workload.Class{{Name: r.user.order, Kind: workload.Write, Callers: gapCallers, Pause: gapPause}},
		})
	}()
	to, moved := from, time.Time{}
	for run.Err() == nil && to.Name == from.Name {
		time.Sleep(moveLook)
		// While the members are fenced there is no primary.
		if m, err := primaryOf(run, c, svc); err == nil {
			to, moved = m, time.Now()
		}
	}
	m := Move{Service: svc.Name, From: from.Name, To: to.Name, Errors: map[string]int{}, Load: loadAverage()}
	acks.waitSteady(run, moved)
	m.Seconds = acks.longest(moved.Add(-moveBefore), time.Now()).Seconds()
	m.UsualSeconds = acks.between(begin.Add(gapLead), moved.Add(-moveBefore)).Seconds()
	end := time.Now()
	cancel() // orders in progress end as unknown
	res := <-done
	for _, o := range res.Orders {
		if o.Err != nil && o.At.After(moved.Add(-moveBefore)) && o.At.Before(end) {
			m.Errors[workload.ErrorCode(o.Err)]++
		}
	}
	var err error
	if to.Name == from.Name {
		err = fmt.Errorf("%s did not move within %v", svc.Name, moveLimit)
	} else {
		m.Ledger, err = checkLedger(ctx, c, svc, res)
	}
	return m, err
}

// alone reports whether a primary is to move by the rule.
func alone(svc platform.Service, primary platform.Member) bool {
	at := slices.IndexFunc(svc.Members, func(m platform.Member) bool { return m.Name == primary.Name })
	return at >= 0 && placement.TargetRegion(len(svc.Members), at, func(i int) string { return svc.Members[i].Region }) != ""
}

// awaitMoves waits until no primary is alone in its region.
func (c *cluster) awaitMoves(ctx context.Context, stand time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, stand+moveLimit)
	defer cancel()
	for ctx.Err() == nil {
		waiting := false
		for _, svc := range c.Topology.Services {
			m, err := primaryOf(ctx, c, svc)
			waiting = waiting || err != nil || alone(svc, m)
		}
		if !waiting {
			return nil
		}
		time.Sleep(moveLook)
	}
	return fmt.Errorf("a primary is still alone in its region after %v", stand+moveLimit)
}
