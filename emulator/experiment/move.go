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
	moveMinTenure        = 6 * time.Second  // long enough for writes to be steady before the move
	moveTimeout          = 30 * time.Second // above the stand time with its spread
	moveMargin           = time.Second      // part of the time before the move that is searched for a gap
	primaryCheckInterval = 20 * time.Millisecond
)

// Move is one repeat of a planned move.
type Move struct {
	Service      string
	From, To     string  // members
	Seconds      float64 // longest time without an acknowledged write around the move
	UsualSeconds float64 // the same long before it
	Ledger       ledgerCounts
	Errors       map[string]int // around the move, by SQLSTATE
	Load         string
}

// runMoves lets the primary of a service move out of a region in which it is the only member, beside writes.
func runMoves(ctx context.Context, r *runner) (any, error) {
	if r.Stand == 0 {
		r.Stand = moveMinTenure
	}
	var out []Move
	var seconds []float64
	for round := range r.Repeats {
		move, err := r.runMoveRound(ctx, r.Seed+uint64(round))
		if err != nil {
			return out, fmt.Errorf("round %d: %w", round+1, err)
		}
		fmt.Fprintf(r.Out, "%s from %s to %s: gap %.3f s (usual %.3f s) load %s ledger %+v errors %v\n",
			move.Service, move.From, move.To, move.Seconds, move.UsualSeconds, move.Load, move.Ledger, move.Errors)
		out, seconds = append(out, move), append(seconds, move.Seconds)
	}
	slices.Sort(seconds)
	if count := len(seconds); count > 0 {
		fmt.Fprintf(r.Out, "%d moves: median %.3f s, worst %.3f s\n", count, (seconds[(count-1)/2]+seconds[count/2])/2, seconds[count-1])
	}
	return out, nil
}

func (r *runner) runMoveRound(ctx context.Context, seed uint64) (Move, error) {
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
		if shouldMove(svc, primary) {
			return r.measureMove(ctx, c, svc, primary, seed)
		}
	}
	return Move{}, fmt.Errorf("no primary is alone in its region after the start")
}

// measureMove measures one move beside writes of callers at all entry VMs.
func (r *runner) measureMove(ctx context.Context, c *cluster, svc platform.Service, oldPrimary platform.Member, seed uint64) (Move, error) {
	acks := &ackTimes{}
	runCtx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	results := make(chan *workload.Result, 1)
	start := time.Now()
	go func() {
		results <- workload.Run(runCtx, workload.Options{
			Addrs: c.callerAddrs(), Database: svc.Name, Duration: moveTimeout, Seed: seed, OnOrder: acks.add,
			Classes: []workload.Class{{Name: r.installation.orderClass, Kind: workload.Write, Callers: gapCallers, Pause: gapPause}},
		})
	}()
	newPrimary, movedAt := oldPrimary, time.Time{}
	for runCtx.Err() == nil && newPrimary.Name == oldPrimary.Name {
		time.Sleep(primaryCheckInterval)
		// While the members are fenced there is no primary.
		if m, err := primaryOf(runCtx, c, svc); err == nil {
			newPrimary, movedAt = m, time.Now()
		}
	}
	move := Move{Service: svc.Name, From: oldPrimary.Name, To: newPrimary.Name, Errors: map[string]int{}, Load: loadAverages()}
	acks.waitUntilSteady(runCtx, movedAt)
	move.Seconds = acks.longestGap(movedAt.Add(-moveMargin), time.Now()).Seconds()
	move.UsualSeconds = acks.longestGapBetween(start.Add(gapMinLead), movedAt.Add(-moveMargin)).Seconds()
	end := time.Now()
	cancel() // orders in progress end as unknown
	res := <-results
	for _, order := range res.Orders {
		if order.Err != nil && order.At.After(movedAt.Add(-moveMargin)) && order.At.Before(end) {
			move.Errors[workload.ErrorCode(order.Err)]++
		}
	}
	var err error
	if newPrimary.Name == oldPrimary.Name {
		err = fmt.Errorf("%s did not move within %v", svc.Name, moveTimeout)
	} else {
		move.Ledger, err = checkServiceOrders(ctx, c, svc, res)
	}
	return move, err
}

// shouldMove reports whether a primary is to move by the rule.
func shouldMove(svc platform.Service, primary platform.Member) bool {
	index := slices.IndexFunc(svc.Members, func(m platform.Member) bool { return m.Name == primary.Name })
	return index >= 0 && placement.TargetRegion(len(svc.Members), index, func(i int) string { return svc.Members[i].Region }) != ""
}

// waitForMoves waits until no primary is alone in its region.
func (c *cluster) waitForMoves(ctx context.Context, minTenure time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, minTenure+moveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		movePending := false
		for _, svc := range c.Topology.Services {
			m, err := primaryOf(ctx, c, svc)
			movePending = movePending || err != nil || shouldMove(svc, m)
		}
		if !movePending {
			return nil
		}
		time.Sleep(primaryCheckInterval)
	}
	return fmt.Errorf("a primary is still alone in its region after %v", minTenure+moveTimeout)
}
