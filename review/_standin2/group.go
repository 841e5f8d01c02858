package main

import (
	"sync"
	"time"
)

// entry is a commit in the log of a service.
type entry struct {
	term, number uint64
	writes       []write
	acked        time.Time // when the primary acknowledged it; zero if it has not
}

type write struct{ request, item, data string }

// group is a service: one primary and its replicas.
type group struct {
	w           *world
	name        string
	sync        int
	promoteTime time.Duration

	mu        sync.Mutex
	term      uint64
	primary   *member
	members   []*member
	promoting string        // id of the member whose promotion has been requested
	epoch     int           // counts promotions; entries sent in an earlier one are dropped
	ended     chan struct{} // closed when the primary of the present term is replaced
	lost      []*entry
}

// commit appends an entry at the primary and returns it with a channel that is closed when a replica has received it.
func (g *group) commit(m *member, ws []write) (*entry, chan struct{}, string) {
	e := &entry{term: g.term, number: uint64(len(m.log) + 1), writes: ws}
	m.log = append(m.log, e)
	m.applied = len(m.log)
	got := make(chan struct{})
	var once sync.Once
	epoch := g.epoch
	for _, r := range g.members {
		if r == m {
			continue
		}
		r := r
		time.AfterFunc(r.delay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.epoch != epoch || r.deaf || r.down || r.held >= g.term && r.held != 0 {
				return
			}
			r.receive(int(e.number))
			if len(r.log) >= int(e.number) {
				once.Do(func() { close(got) })
			}
		})
	}
	return e, got, pos(g.term, len(m.log))
}

// receive gives the replica the primary's log up to entry n. g.mu must be held.
func (r *member) receive(n int) {
	p := r.g.primary
	if p == nil || p == r || r.deaf || r.down || p.apart || r.apart {
		return
	}
	r.logTerm = r.g.term
	if len(r.log) < n {
		r.log = append(r.log, p.log[len(r.log):n]...)
		r.applyLater(n)
	}
}

func (r *member) applyLater(n int) {
	epoch := r.g.epoch
	time.AfterFunc(r.lag, func() {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		if r.g.epoch == epoch && r.applied < n && n <= len(r.log) {
			r.applied = n
		}
	})
}

// catchUp lets a replica that is behind receive what it lacks, such as after a cut.
func (g *group) catchUp() {
	for {
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		for _, r := range g.members {
			if p := g.primary; p != nil && r != p && !r.deaf && !r.down && !p.apart && !r.apart && !(r.held != 0 && r.held >= g.term) {
				if r.logTerm != g.term {
					r.logTerm = g.term
				}
				// entries older than the delay
				for len(r.log) < len(p.log) && time.Since(p.log[len(r.log)].madeAt()) > r.delay+100*time.Millisecond {
					r.log = append(r.log, p.log[len(r.log)])
				}
				if len(r.log) > r.applied {
					r.applyLater(len(r.log))
				}
			}
		}
		g.mu.Unlock()
	}
}

var made sync.Map // *entry -> time

func (e *entry) madeAt() time.Time {
	t, ok := made.Load(e)
	if !ok {
		t = time.Now()
		made.Store(e, t)
	}
	return t.(time.Time)
}

// beginPromotion starts the promotion of a member, and reports whether that member runs.
func (g *group) beginPromotion(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var m *member
	for _, x := range g.members {
		if x.id == id {
			m = x
		}
	}
	if m == nil || m.down {
		return false
	}
	if m == g.primary || g.promoting == id {
		return true
	}
	g.promoting = id
	time.AfterFunc(g.promoteTime, func() { g.takeOver(m) })
	return true
}

// takeOver makes m the primary of the next term with what it has received.
func (g *group) takeOver(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.promoting != m.id || m.down {
		return
	}
	old := g.primary
	g.promoting = ""
	g.epoch++
	g.term++
	g.primary = m
	close(g.ended)
	g.ended = make(chan struct{})
	for _, r := range g.members {
		r.delay = g.w.between(m.zone, r.zone)
	}
	m.logTerm, m.applied, m.held = g.term, len(m.log), 0
	lostAcked := 0
	if old != nil {
		for _, e := range old.log {
			if int(e.number) > len(m.log) || m.log[e.number-1] != e {
				if !e.acked.IsZero() {
					lostAcked++
					g.lost = append(g.lost, e)
					if g.sync > 0 {
						g.w.record("LOST service=%s: commit %s of request %s was acknowledged %.1f ms ago and is not in the log of %s, which ends at %d and is promoted",
							g.name, pos(e.term, int(e.number)), e.writes[0].request, float64(time.Since(e.acked).Microseconds())/1000, m.id, len(m.log))
					}
				}
			}
		}
	}
	for _, r := range g.members {
		if r == m {
			continue
		}
		n := 0
		for n < len(r.log) && n < len(m.log) && r.log[n] == m.log[n] {
			n++
		}
		if r.apart {
			continue // it is rolled back once it is joined again
		}
		r.log, r.applied = r.log[:n:n], min(r.applied, n)
		if !r.deaf && !r.down {
			r.logTerm = g.term
		}
	}
	g.w.record("takeover service=%s member=%s term=%d log=%d acknowledged commits lost=%d", g.name, m.id, g.term, len(m.log), lostAcked)
}

func (g *group) currentTerm() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}

func (e *entry) value(item string) (string, bool) {
	for i := len(e.writes) - 1; i >= 0; i-- {
		if e.writes[i].item == item {
			return e.writes[i].data, true
		}
	}
	return "", false
}
