package teamlimit

import (
	"slices"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const (
	// maxWaiting bounds the operations of a team that wait for tokens on one VM.
	maxWaiting = 256
	// rateWindow is the time over which the arrivals of a team are counted, and prefetch the time for whose expected arrivals
	// tokens are asked in advance. Less than one expected arrival asks for none: tokens expire unused.
	rateWindow = 500 * time.Millisecond
	prefetch   = 150 * time.Millisecond
)

// Purse holds the tokens of one VM and the operations that wait for some. It is safe for concurrent use.
type Purse struct {
	clock Clock
	wake  func(team string) // called when there is something to ask for

	mu    sync.Mutex
	teams map[string]*pocket // guarded by mu
}

// pocket holds the tokens of one team.
type pocket struct {
	team         clusterconfig.Team // as of the latest operation
	lots         []lot              // the first one expires first
	waiting      []*waiter
	askAgain     time.Duration // no token is expected before; 0: ask at once
	refusedUntil time.Duration // the keeper has none before; 0 if it had when it was last asked
	back         time.Duration // when refused callers should come back
	windowStart  time.Duration // of the arrivals counted in arrivals
	arrivals     int
	rate         float64 // operations a second in the window before
	admitted     uint64
	refused      uint64
}

type lot struct {
	tokens int
	until  time.Duration
}

// waiter is an operation that waits for a token.
type waiter struct {
	team    string
	done    chan error    // receives the decision
	patient time.Duration // the operation is refused if the keeper says that the next token is free later
	end     time.Duration // the operation is refused then in any case
}

// NewPurse returns an empty purse.
func NewPurse(clock Clock, wake func(team string)) *Purse {
	return &Purse{clock: clock, wake: wake, teams: map[string]*pocket{}}
}

// Take takes a token for an operation of a team with a limit. Without a token and an error it returns a waiter, on which the
// decision arrives: the keeper's, or a refusal after limit. A token that the keeper expects later than patience is not waited for.
// An operation that no longer waits must give up.
func (p *Purse) Take(team clusterconfig.Team, patience, limit time.Duration) (w *waiter, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	t := p.teams[team.Name]
	if t == nil {
		t = &pocket{windowStart: now}
		p.teams[team.Name] = t
	}
	t.team = team
	t.countArrival(now)
	if len(t.waiting) == 0 && t.spend(now) {
		t.admitted++
		return nil, nil
	}
	if now+patience < t.refusedUntil || len(t.waiting) >= maxWaiting {
		t.refused++
		return nil, t.refusal(now)
	}
	w = &waiter{team: team.Name, done: make(chan error, 1), patient: now + patience, end: now + limit}
	t.waiting = append(t.waiting, w)
	p.wake(team.Name)
	return w, nil
}

// GiveUp ends the wait of an operation whose time has ended, and returns the decision.
func (p *Purse) GiveUp(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	t := p.teams[w.team]
	t.waiting = slices.DeleteFunc(t.waiting, func(x *waiter) bool { return x == w })
	t.refused++
	return errkind.New(errkind.RateLimited, "the keeper of the limit of team %s has not answered; retry in %d ms", w.team, minWait.Milliseconds())
}

// refusal returns the error for an operation beyond the limit of its team.
func (t *pocket) refusal(now time.Duration) error {
	return errkind.New(errkind.RateLimited, "team %s has used up its limit of %g operations a second; retry in %d ms", t.team.Name,
		t.team.Limit.PerSecond, max(t.back-now, minWait).Milliseconds())
}

func (t *pocket) countArrival(now time.Duration) {
	if elapsed := now - t.windowStart; elapsed >= rateWindow {
		t.rate = float64(t.arrivals) / elapsed.Seconds()
		t.windowStart, t.arrivals = now, 0
	}
	t.arrivals++
}

// spend takes a token that has not expired.
func (t *pocket) spend(now time.Duration) bool {
	for len(t.lots) > 0 {
		l := &t.lots[0]
		if l.until > now && l.tokens > 0 {
			l.tokens--
			return true
		}
		t.lots = t.lots[1:]
	}
	return false
}

// stock returns the tokens that have not expired.
func (t *pocket) stock(now time.Duration) (n int) {
	for _, l := range t.lots {
		if l.until > now {
			n += l.tokens
		}
	}
	return n
}

// Wants returns what to ask the keeper for now. next is when there may be more to ask without another call of Take, 0 for
// never. Operations that have waited for too long are refused.
func (p *Purse) Wants(inShard func(team string) bool) (wants []Want, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	soonest := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	for team, t := range p.teams {
		if len(t.waiting) == 0 || !inShard(team) {
			continue
		}
		t.refuseWaiting(now, func(w *waiter) bool { return w.end <= now })
		if len(t.waiting) == 0 {
			continue
		}
		soonest(t.waiting[0].end)
		if t.askAgain > now {
			soonest(t.askAgain)
			continue
		}
		n := len(t.waiting)
		if t.refusedUntil <= now {
			n += int(t.rate * prefetch.Seconds())
		}
		wants = append(wants, Want{Team: team, Tokens: n})
	}
	return wants, next
}

// refuseWaiting refuses the waiting operations for which out returns true.
func (t *pocket) refuseWaiting(now time.Duration, out func(*waiter) bool) {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if out(w) {
			t.refused++
			w.done <- t.refusal(now)
			continue
		}
		kept = append(kept, w)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// Receive puts in what a keeper has granted for the wants, in answer to a request that was sent at the given time. Operations
// for which the next token comes too late are refused at once.
func (p *Purse) Receive(sent time.Duration, wants []Want, grants []Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for i, w := range wants[:min(len(wants), len(grants))] {
		t, g := p.teams[w.Team], grants[i]
		if t == nil {
			continue
		}
		if g.Tokens > 0 {
			t.lots = append(t.lots, lot{g.Tokens, sent + Validity})
		}
		t.askAgain, t.refusedUntil = 0, 0
		if g.Wait > 0 {
			t.askAgain, t.refusedUntil, t.back = now+g.Wait, now+g.Wait, now+g.Return
		}
		for len(t.waiting) > 0 && t.spend(now) {
			t.admitted++
			t.waiting[0].done <- nil
			t.waiting = t.waiting[1:]
		}
		switch {
		case g.Wait > 0 && g.New:
			t.refusedUntil = 0 // later operations may wait as well
		case g.Wait > 0:
			t.refuseWaiting(now, func(w *waiter) bool { return w.patient < now+g.Wait })
		}
	}
}

// PurseUse is what a VM has admitted and refused for a team.
type PurseUse struct {
	Team              string
	Admitted, Refused uint64
	Waiting, Tokens   int
}

// Use returns what the VM has admitted and refused since its start, by team.
func (p *Purse) Use() (use []PurseUse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for team, t := range p.teams {
		use = append(use, PurseUse{team, t.admitted, t.refused, len(t.waiting), t.stock(now)})
	}
	return use
}
