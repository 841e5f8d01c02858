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
	moveMinTenure        = 6 * time.Second  // default of Options.Stand here; writes are steady by then
	moveTimeout          = 30 * time.Second // longer than moveMinTenure with the random delay that daemons add
	moveMargin           = time.Second      // time before the new primary is seen that counts as part of the move
	primaryCheckInterval = 20 * time.Millisecond
)

// Move holds the figures of one planned move of a primary.
type Move struct {
	Service      string
	From, To     string  // members that were the primary before and after the move
	Seconds      float64 // longest time without an acknowledged write around the move
	UsualSeconds float64 // longest time between two acknowledged writes before the move
	Ledger       ledgerCounts
	Errors       map[string]int // failed writes around the move by SQLSTATE
	Load         string         // the machine's load averages when the new primary was seen
}

// runMoves measures planned moves under writes: a primary that is the only member of its service in its region moves to
// the region with most members. Each repeat runs on a cluster of its own.
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
		fmt.Fprintf(r.Out, "%s from %s to %s: gap %.3f s (before the move %.3f s), load %s, ledger %+v, errors %v\n",
			move.Service, move.From, move.To, move.Seconds, move.UsualSeconds, move.Load, move.Ledger, move.Errors)
		out, seconds = append(out, move), append(seconds, move.Seconds)
	}
	slices.Sort(seconds)
	if count := len(seconds); count > 0 {
		fmt.Fprintf(r.Out, "%d moves: median %.3f s, worst %.3f s\n", count, (seconds[(count-1)/2]+seconds[count/2])/2, seconds[count-1])
	}
	return out, nil
}

// runMoveRound starts a cluster and measures the move of the first service whose primary should move.
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
	return Move{}, fmt.Errorf("after the start no service has a primary that should move to another region")
}

// measureMove measures one move while callers at all entry VMs write to the service.
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
		// During the move the members are fenced and none is the primary, so that primaryOf fails.
		if m, err := primaryOf(runCtx, c, svc); err == nil {
			newPrimary, movedAt = m, time.Now()
		}
	}
	move := Move{Service: svc.Name, From: oldPrimary.Name, To: newPrimary.Name, Errors: map[string]int{}, Load: loadAverages()}
	acks.waitUntilSteady(runCtx, movedAt)
	move.Seconds = acks.longestGap(movedAt.Add(-moveMargin), time.Now()).Seconds()
	move.UsualSeconds = acks.longestGapBetween(start.Add(gapMinLead), movedAt.Add(-moveMargin)).Seconds()
	end := time.Now()
	cancel() // the callers stop after the requests in progress
	res := <-results
	for _, order := range res.Orders {
		if order.Err != nil && order.At.After(movedAt.Add(-moveMargin)) && order.At.Before(end) {
			move.Errors[workload.ErrorCode(order.Err)]++
		}
	}
	var err error
	if newPrimary.Name == oldPrimary.Name {
		err = fmt.Errorf("the primary of %s did not move within %v", svc.Name, moveTimeout)
	} else {
		move.Ledger, err = checkServiceOrders(ctx, c, svc, res)
	}
	return move, err
}

// shouldMove reports whether the primary should move to another region: it is alone in its region, and another region
// has more than one member.
func shouldMove(svc platform.Service, primary platform.Member) bool {
	index := slices.IndexFunc(svc.Members, func(m platform.Member) bool { return m.Name == primary.Name })
	return index >= 0 && placement.TargetRegion(len(svc.Members), index, func(i int) string { return svc.Members[i].Region }) != ""
}

// waitForMoves waits until every service has a primary and none should move. The daemons move primaries after minTenure.
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
	return fmt.Errorf("after %v a service still has no primary, or one that should move to another region", minTenure+moveTimeout)
}
