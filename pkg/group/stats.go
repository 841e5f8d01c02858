package group

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// exchangeBytes estimates the size of one status request and its answer over HTTP/1.1 with a JSON body, headers
// included. Fences, promotions and requests to follow are rare and count the same.
const exchangeBytes = 550

// Reason tells why a primary is replaced.
type Reason string

// Reasons of a promotion.
const (
	ReasonLost      Reason = "primary lost"
	ReasonLeaving   Reason = "primary leaving"
	ReasonNoPrimary Reason = "no primary"
	// ReasonFencedAbove means that a member holds a fence above the primary's term, for instance of an abandoned attempt. It
	// cannot follow this primary, only one of a later term.
	ReasonFencedAbove Reason = "member fenced above the primary's term"
	// ReasonPlacement is a planned move to the region that holds most members.
	ReasonPlacement Reason = "primary alone in its region"
)

// Failover describes a promotion made by this VM.
type Failover struct {
	Service  string
	Term     platform.Term
	Primary  string
	Reason   Reason
	Duration time.Duration // since the last answer of a lost primary, otherwise since this VM saw the reason
}

// Stats are totals since the Watcher was created.
type Stats struct {
	Polls, LongPolls, PollErrors uint64        // Polls excludes LongPolls
	Fences, Follows              uint64        // requests sent
	Relays                       uint64        // requests to owners of primaries for their view
	Promotions, Attempts         uint64        // Attempts excludes those abandoned before fencing
	Moves, MovesAbandoned        uint64        // of primaries between regions; Promotions includes Moves
	Unconfirmed                  uint64        // attempts ended since the platform's list did not confirm the members
	Settlements                  uint64        // calls that settled earlier requests to promote
	FailoverTime                 time.Duration // sum of Failover.Duration over all promotions
	Bytes                        uint64        // estimate of control traffic, both directions
}

// counters are the running totals that Stats reports; failoverTime is in nanoseconds.
type counters struct {
	polls, longPolls, pollErrors          atomic.Uint64
	fences, follows, promotions, attempts atomic.Uint64
	calls, relays, moves, movesAbandoned  atomic.Uint64
	unconfirmed, settlements              atomic.Uint64
	failoverTime                          atomic.Int64
}

// Stats returns the current totals.
func (w *Watcher) Stats() Stats {
	c := &w.stats
	return Stats{
		Polls: c.polls.Load(), LongPolls: c.longPolls.Load(), PollErrors: c.pollErrors.Load(),
		Relays: c.relays.Load(),
		Fences: c.fences.Load(), Follows: c.follows.Load(),
		Promotions: c.promotions.Load(), Attempts: c.attempts.Load(),
		Moves: c.moves.Load(), MovesAbandoned: c.movesAbandoned.Load(),
		Unconfirmed: c.unconfirmed.Load(), Settlements: c.settlements.Load(),
		FailoverTime: time.Duration(c.failoverTime.Load()), Bytes: c.calls.Load() * exchangeBytes,
	}
}

// UnlistedMembers returns how many members are watched although the platform lists them no more.
func (w *Watcher) UnlistedMembers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.services {
		n += len(s.members) - s.listedCount
	}
	return n
}

// WaitingUnits returns how many units wait in this Watcher for a majority to acknowledge a write, and how many wait for a
// member to apply a position.
func (w *Watcher) WaitingUnits() (acknowledgements, replicas int) {
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
