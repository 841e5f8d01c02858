package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Times of a round of caseBack, counted from its begin, at which the primary is partitioned from its replicas.
const (
	nodesCut   = 500 * time.Millisecond  // it is partitioned from two entry VMs too
	crashes    = 1600 * time.Millisecond // a replica crashes
	nodesBack  = 3100 * time.Millisecond // the entry VMs reach the old primary again
	othersBack = 5 * time.Second         // the replicas reach it again
	backAgain  = 5500 * time.Millisecond
)

// readSeen is a read that ran at a member, and the log that the member had applied.
type readSeen struct {
	g      *group
	member string
	log    []*entry
	term   uint64
}

// caseBack partitions each primary from its replicas and from two of five entry VMs, while one replica crashes. Reads of a
// primary route must hold every commit that was acknowledged before, and that is in force at the end.
func caseBack(w *world, trouble bool) bool {
	groups, routes := w.smallDeployment(0, serviceNames...)
	var mu sync.Mutex
	runs := map[string]readSeen{}
	acked := map[string]time.Time{} // when the client had the success, by request
	sent := map[string]time.Time{}  // when the client sent the read
	w.onRead = func(id string, m *member, _ string, applied int) {
		mu.Lock()
		runs[id] = readSeen{m.g, m.id, m.log[:applied:applied], m.g.term}
		mu.Unlock()
	}
	limit := 1500
	all := slices.Clone(routes)
	for _, r := range routes {
		all = append(all, route{Name: r.Name + "-lookup", Host: r.Host + "-lookup", Prefix: "/", Type: "bounded_stale", Timeout: 1500, Target: 600, Priority: 1,
			Service: r.Service, Attempts: 2, Staleness: &limit})
	}
	w.putConfig(1, all)
	for _, v := range w.vms {
		v.start()
	}
	for _, r := range all {
		w.awaitService(r.Host)
	}
	w.record("served")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for gi, r := range routes {
		for n, v := range w.vms {
			clients.Add(3)
			go func() {
				defer clients.Done()
				w.reader(v, r.Host+"-lookup", fmt.Sprintf("l%d%d", gi, n), stop, func(string) {})
			}()
			go func() {
				defer clients.Done()
				w.writer(v, r.Host, fmt.Sprintf("w%d%d", gi, n), stop, func(id string) {
					mu.Lock()
					acked[id] = time.Now()
					mu.Unlock()
				})
			}()
			go func() {
				defer clients.Done()
				w.reader(v, r.Host, fmt.Sprintf("r%d%d", gi, n), stop, func(id string) {
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
				})
			}()
		}
	}
	time.Sleep(5 * time.Second)
	for time.Since(w.started) < 84*time.Second {
		if trouble {
			w.backRound(groups)
		} else {
			time.Sleep(6 * time.Second)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	ran := maps.Clone(runs) // a read that its client has given up may still run
	mu.Unlock()
	return w.judgeBack(groups, ran, acked, sent)
}

// backRound plays one round for all services at once.
func (w *world) backRound(groups []*group) {
	var round sync.WaitGroup
	for _, g := range groups {
		round.Add(1)
		go func() {
			defer round.Done()
			g.mu.Lock()
			p := g.primary
			p.apart = true
			var replicas []*member
			for _, m := range g.members {
				if m != p {
					replicas = append(replicas, m)
				}
			}
			g.mu.Unlock()
			began := time.Now()
			at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
			w.record("member %s is partitioned from the other members", p.id)
			cutOff := w.cutOffFrom(p)
			at(nodesCut)
			w.cut(p, cutOff...)
			at(crashes)
			g.mu.Lock()
			other := replicas[0] // the one that is not being promoted
			if g.promoting == other.id || g.primary == other {
				other = replicas[1]
			}
			g.mu.Unlock()
			other.crash()
			at(nodesBack)
			w.join(p, cutOff...)
			at(othersBack)
			p.rejoin()
			at(backAgain)
			other.comeBack()
		}()
	}
	round.Wait()
}

// cutOffFrom returns the VMs that a primary is partitioned from: that which holds its connections, and the first promoter or, if
// that is the same one, another promoter.
func (w *world) cutOffFrom(p *member) []string {
	const firstPromoter = "front-omuta-annex-1"
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	out := []string{firstPromoter}
	if p.owner != firstPromoter && p.owner != "" {
		return append(out, p.owner)
	}
	for _, m := range p.g.members {
		if m != p && m.owner != "" && m.owner != firstPromoter {
			return append(out, m.owner)
		}
	}
	return out
}

// reader reads through one VM until stop is closed.
func (w *world) reader(v *vm, database, name string, stop chan struct{}, sending func(id string)) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = v.connect(database); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		sending(id)
		if _, err := c.query(id, fmt.Sprintf("READ item%d", n%50), 3*time.Second); err != nil {
			_ = c.nc.Close()
			c = nil
		}
	}
}

// judgeBack looks for reads that lacked a commit which a client had the success of before the read was sent, and which is in
// the primary's log at the end.
func (w *world) judgeBack(groups []*group, runs map[string]readSeen, acked, sent map[string]time.Time) bool {
	stale := 0
	for _, g := range groups {
		g.mu.Lock()
		final := g.primary.log
		g.mu.Unlock()
		for id, run := range runs {
			at, ok := sent[id]
			if !ok || run.g != g {
				continue
			}
			for i, e := range final {
				if i < len(run.log) && run.log[i] == e {
					continue
				}
				t, ok := acked[e.writes[0].request]
				if !ok || !t.Before(at) {
					continue
				}
				stale++
				w.record("rule STALE broken: read %s, sent at %.4f, ran at %s in term %d on a log of %d commits, which lacked commit %s, whose success the client had at %.4f",
					id, at.Sub(w.started).Seconds(), run.member, run.term, len(run.log), pos(e.term, int(e.number)), t.Sub(w.started).Seconds())
				break
			}
		}
	}
	fmt.Printf("reads on a primary route: %d, lacking a commit in force that was acknowledged before: %d\n", len(sent), stale)
	return stale == 0
}
