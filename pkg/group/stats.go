package group

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Estimated bytes of one status exchange over HTTP/1.1 with a JSON body, headers included. Fences, promotions and
// follow orders are rare and count the same.
const exchangeBytes = 550

// Reason tells why a primary is replaced.
type Reason string

// Reasons of a promotion.
const (
	ReasonLost      Reason = "primary lost"
	ReasonLeaving   Reason = "primary leaving"
	ReasonNoPrimary Reason = "no primary"
	// ReasonStranded: a member holds a fence above the primary's term, so that it can follow only a later primary.
	ReasonStranded Reason = "member fenced above the primary's term"
	// ReasonPlacement: a planned move to the region that holds most members.
	ReasonPlacement Reason = "primary alone in its region"
)

// Failover describes a promotion made by this VM.
type Failover struct {
	Service  string
	Term     platform.Term
	Primary  string
	Reason   Reason
	Duration time.Duration // since the last answer of the lost primary, else since the reason showed
}

// Stats are totals since the Watcher was made.
type Stats struct {
	Polls, LongPolls, PollErrors uint64 // Polls does not include LongPolls
	Fences, Follows              uint64 // requests sent
	Relays                       uint64 // requests to leads
	Promotions, Attempts         uint64 // Attempts counts those that got as far as fencing
	Moves, MovesAbandoned        uint64 // of primaries between regions; Promotions counts the former too
	FailoverTime                 time.Duration
	Bytes                        uint64 // estimate of control traffic, both directions
}

type counters struct {
	polls, longPolls, pollErrors          atomic.Uint64
	fences, follows, promotions, attempts atomic.Uint64
	calls, relays, moves, movesAbandoned  atomic.Uint64
	failoverTime                          atomic.Int64
}

// Stats returns the present totals.
func (w *Watcher) Stats() Stats {
	c := &w.stats
	return Stats{
		Polls: c.polls.Load(), LongPolls: c.longPolls.Load(), PollErrors: c.pollErrors.Load(),
		Relays: c.relays.Load(),
		Fences: c.fences.Load(), Follows: c.follows.Load(),
		Promotions: c.promotions.Load(), Attempts: c.attempts.Load(),
		Moves: c.moves.Load(), MovesAbandoned: c.movesAbandoned.Load(),
		FailoverTime: time.Duration(c.failoverTime.Load()), Bytes: c.calls.Load() * exchangeBytes,
	}
}

// Waiting returns the number of units that wait here for a majority, and of those that wait for a member to catch up.
func (w *Watcher) Waiting() (acknowledgements, replicas int) {
	w.mu.Lock()
	services := slices.Collect(maps.Values(w.services))
	w.mu.Unlock()
	for _, s := range services {
		s.mu.Lock()
		acknowledgements += len(s.ackWaiters)
		for _, m := range s.members {
			replicas += len(m.appliedWaiters)
		}
		s.mu.Unlock()
	}
	return acknowledgements, replicas
}
