// Package teamlimit enforces the rate limits of teams over all entry VMs, without a request between VMs for each operation
// and without shared storage. For each shard of teams one VM, the keeper, grants tokens to the others, which spend them
// within Validity. Each VM is attached to at most one keeper of a shard at a time and brings its part of each limit, one
// divided by the number of VMs, to that keeper. VMs that are cut off from each other therefore have several keepers, which
// together grant no more than the limit. docs/design/team-limits.md has the protocol and the proof.
//
// Keeper and Purse hold the decisions and do no I/O; Service exchanges their messages.
package teamlimit

import (
	"math"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

const (
	// Attachment is how long a VM stays attached to a keeper after the latest reply that it has confirmed.
	Attachment = time.Second
	// Validity is how long a token may be spent after the request for it was sent. In a window of 5 s the tokens that were
	// granted before it add at most Validity/5s of the rate.
	Validity = 250 * time.Millisecond
	// maxQuotedWait bounds the wait that a refused request is told.
	maxQuotedWait = 2 * time.Second
	// newFor is how long a keeper counts as new. Operations then wait for tokens for as long as they wait for its first answer,
	// since refusing them would take from teams that are within their limits.
	newFor = 3 * time.Second
	// minWait keeps VMs from asking more often than a token is worth.
	minWait = 10 * time.Millisecond
	// minFill is longer than a round trip between regions, and adds 2% of the rate to a window of 5 s at most.
	minFill = 100 * time.Millisecond
	// askAgainSoon is told while the keeper cannot grant for a reason that passes at once.
	askAgainSoon = 20 * time.Millisecond
)

// roundingError is more than a level loses when it is raised in many small steps.
const roundingError = 1e-6

// Clock returns the time since some moment, of a clock that also counts the time for which the VM was suspended.
type Clock func() time.Duration

// Want is what a VM asks for a team.
type Want struct {
	Team   string
	Tokens int
}

// Grant is the answer to a Want.
type Grant struct {
	Tokens int
	// Wait is the time after which the next token is free, 0 if all were granted. Return is when callers that are refused should
	// come back: the keeper tells later times to those that it refuses later.
	Wait, Return time.Duration
	// New says that the keeper began a short time ago with empty buckets: it may lack tokens though the team is within its limit.
	New bool
}

// Request is a message of a VM to the keeper of a shard.
type Request struct {
	Incarnation uint64 // of the keeper's process to which Confirmed refers
	Confirmed   uint64 // Stamp of the latest reply that the VM has received; 0 for none
	Detach      bool   // the VM goes to another keeper
	Wants       []Want
}

// Reply answers a Request.
type Reply struct {
	Incarnation uint64
	Stamp       uint64 // the keeper's time
	Attached    bool   // the VM is attached until Attachment after the time of the stamp that it confirmed
	Grants      []Grant
}

// Teams gives the teams of the configuration in force.
type Teams interface {
	// Limit returns the limit of a team, nil for none. ok is false for an unknown team.
	Limit(team string) (limit *clusterconfig.RateLimit, ok bool)
	// Limited calls f with the name of each team that has a limit.
	Limited(f func(team string))
}

// Keeper grants tokens for the teams of one shard. It is safe for concurrent use.
//
// Invariant: the level of a bucket is at most burst·share, and grows by at most rate·share a second, where share is the part
// of the listed VMs that are attached. It starts at 0.
type Keeper struct {
	clock       Clock
	incarnation uint64
	teams       Teams
	listed      func() map[string]bool // names of the listed VMs, this one included

	mu       sync.Mutex
	attached map[string]time.Duration // guarded by mu; VM -> time until which it is attached
	detached map[string]time.Duration // guarded by mu; VM -> time at which it detached; earlier stamps count no more
	buckets  map[string]*bucket       // guarded by mu; by team
	share    float64                  // guarded by mu; after the last advance
	began    time.Duration            // guarded by mu; when share was last 0
	filled   float64                  // guarded by mu; integral of share over time, in seconds
	advanced time.Duration            // guarded by mu; time of the last advance
}

// bucket holds the tokens of a team.
type bucket struct {
	level   float64
	filled  float64       // Keeper.filled when level was last raised
	promise time.Duration // time at which the next refused caller should come back
	granted uint64        // tokens granted since the start
	refused uint64        // tokens refused since the start
}

// NewKeeper returns a keeper to which no VM is attached. The incarnation must differ between starts of the process.
func NewKeeper(clock Clock, incarnation uint64, teams Teams, listed func() map[string]bool) *Keeper {
	return &Keeper{clock: clock, incarnation: incarnation, teams: teams, listed: listed, advanced: clock(),
		attached: map[string]time.Duration{}, detached: map[string]time.Duration{}, buckets: map[string]*bucket{}}
}

// Handle answers a request of a VM.
func (k *Keeper) Handle(vm string, r Request) Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	k.advance(now)
	reply := Reply{Incarnation: k.incarnation, Stamp: uint64(max(now, 1))}
	if r.Detach {
		delete(k.attached, vm)
		k.detached[vm] = now
		k.advance(now)
		return reply
	}
	confirmed := time.Duration(r.Confirmed)
	if r.Incarnation == k.incarnation && confirmed > 0 && confirmed <= now && confirmed+Attachment > now && confirmed > k.detached[vm] {
		k.attached[vm] = max(k.attached[vm], confirmed+Attachment)
		k.advance(now)
	}
	reply.Attached = k.attached[vm] > now
	if !reply.Attached {
		return reply
	}
	reply.Grants = make([]Grant, len(r.Wants))
	for i, w := range r.Wants {
		reply.Grants[i] = k.grant(now, w)
	}
	return reply
}

// advance raises the integral of the share and ends attachments. Between two calls the share can only have fallen, so that the
// lower, present one is taken for the whole time.
func (k *Keeper) advance(now time.Duration) {
	listed := k.listed()
	count := 0
	for vm, until := range k.attached {
		switch {
		case until <= now:
			delete(k.attached, vm)
		case listed[vm]:
			count++
		}
	}
	share := float64(count) / float64(max(len(listed), 1))
	k.filled += min(share, k.share) * (now - k.advanced).Seconds()
	if share < k.share {
		k.teams.Limited(func(team string) { _ = k.bucketOf(team) })
		for team, b := range k.buckets {
			k.raise(team, b, share)
		}
	}
	if share == 0 || k.share == 0 {
		k.began = now
	}
	k.share, k.advanced = share, now
}

// bucketOf returns the bucket of a team. One that is not in use has filled since the start of the keeper; when the share falls,
// all are brought into use, so that each is cut to its size at the lower share.
func (k *Keeper) bucketOf(team string) *bucket {
	b := k.buckets[team]
	if b == nil {
		b = &bucket{}
		k.buckets[team] = b
	}
	return b
}

// raise fills the bucket for the time since it was last raised, up to its size at the given share.
func (k *Keeper) raise(team string, b *bucket, share float64) {
	limit, _ := k.teams.Limit(team)
	if limit == nil {
		b.level, b.filled = 0, k.filled
		return
	}
	b.level = min(b.level+(k.filled-b.filled)*limit.PerSecond, bucketSize(limit, share))
	b.filled = k.filled
}

// bucketSize returns what a bucket holds at most. A bucket that fills at all holds one token, since tokens are whole, and what it
// gains in minFill, since VMs ask for tokens at intervals: the burst of a team, or a share of it, may be less than either.
func bucketSize(limit *clusterconfig.RateLimit, share float64) float64 {
	size := limit.Burst * share
	if share > 0 && limit.PerSecond > 0 {
		return max(size, 1, limit.PerSecond*share*minFill.Seconds())
	}
	return size
}

// grant grants tokens to one VM. What is missing is told with the time at which it is free, each refused request a later one.
func (k *Keeper) grant(now time.Duration, w Want) Grant {
	limit, known := k.teams.Limit(w.Team)
	if !known {
		return Grant{Wait: askAgainSoon, Return: askAgainSoon} // this VM has an older configuration
	}
	if limit == nil {
		return Grant{Tokens: w.Tokens}
	}
	b := k.bucketOf(w.Team)
	k.raise(w.Team, b, k.share)
	n := min(w.Tokens, int(math.Floor(b.level+roundingError)))
	b.level -= float64(n)
	b.granted += uint64(n)
	missing := w.Tokens - n
	if missing == 0 {
		return Grant{Tokens: n}
	}
	b.refused += uint64(missing)
	if k.share == 0 {
		return Grant{Tokens: n, Wait: askAgainSoon, Return: askAgainSoon, New: true} // the fleet or this VM has just started
	}
	// While a fleet attaches to a new keeper the share is about to rise.
	rate := limit.PerSecond * max(k.share, 0.5)
	if rate <= 0 {
		return Grant{Tokens: n, Wait: maxQuotedWait, Return: maxQuotedWait}
	}
	wait := min(max(seconds((1-b.level)/rate), minWait), maxQuotedWait)
	b.promise = min(max(b.promise, now+wait), now+maxQuotedWait)
	back := b.promise - now
	b.promise += seconds(float64(missing) / rate)
	return Grant{Tokens: n, Wait: wait, Return: back, New: now < k.began+newFor}
}

// seconds converts a number of seconds, up to an hour, to a duration.
func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }

// TeamUse is what a keeper has granted to a team.
type TeamUse struct {
	Team             string
	Granted, Refused uint64
}

// Use returns what the keeper has granted since its start, by team, and the share of the limits that it holds.
func (k *Keeper) Use() (use []TeamUse, share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for team, b := range k.buckets {
		use = append(use, TeamUse{team, b.granted, b.refused})
	}
	return use, k.share
}
