package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	staleLimit = 2500 * time.Millisecond
	freezeTime = 420 * time.Millisecond
)

// restart ends a member and starts it again at once under its id and address. It then holds nothing of before, and receives the
// log from the primary within about catchUp.
func (m *member) restart(catchUp time.Duration) {
	g := m.g
	g.mu.Lock()
	m.down = true
	conns := make([]*memberConn, 0, len(m.conns))
	for c := range m.conns {
		conns = append(conns, c)
	}
	g.mu.Unlock()
	for _, c := range conns {
		_ = c.nc.Close()
	}
	g.mu.Lock()
	m.log, m.applied, m.logTerm, m.seq, m.born = nil, 0, 0, 0, time.Now().UnixMilli()
	m.deaf, m.down = true, false
	g.w.record("member %s starts again without a log", m.id)
	g.mu.Unlock()
	go m.beat(g.w.store)
	go func() { // the log is transferred
		const steps = 30
		for i := 1; i <= steps; i++ {
			time.Sleep(catchUp / steps)
			g.mu.Lock()
			if p := g.primary; p != m && p != nil {
				n := len(p.log) * i / steps
				m.logTerm = g.term
				if i == steps {
					m.deaf = false
				}
				if n > len(m.log) {
					m.log = append(m.log, p.log[len(m.log):n]...)
				}
				m.applied = len(m.log)
			}
			g.mu.Unlock()
		}
		g.w.record("member %s has the log again", m.id)
	}()
}

// ackTimes returns when each commit of the service was acknowledged; zero for those that were not.
func (g *group) ackTimes() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []time.Time
	for _, e := range g.primary.log {
		out = append(out, e.acked)
	}
	return out
}

type readRun struct {
	member  string
	applied int
}

// caseStale freezes the VM that owns the primary for a short time while a replica starts again, and reads through another VM.
func caseStale(w *world, trouble bool) bool {
	w.zones = map[string]string{"kurume-yard": "chikugo", "omuta-annex": "chikugo", "yukuhashi-depot": "buzen"}
	owner := w.addVM("front-kurume-yard-1", "kurume-yard")
	reader := w.addVM("front-omuta-annex-1", "omuta-annex")
	w.addVM("front-yukuhashi-depot-1", "yukuhashi-depot")
	g := w.addGroup("plates-a", 0)
	g.addMember("i-0c0ffee1", "kurume-yard", 20*time.Millisecond)
	replica := g.addMember("i-0beef001", "omuta-annex", 20*time.Millisecond)
	g.addMember("i-0a11ce01", "yukuhashi-depot", 20*time.Millisecond)
	limit := int(staleLimit.Milliseconds())
	w.putConfig(1, []route{
		{Name: "r-1", Host: "db-orders", Prefix: "/", Type: "primary", Timeout: 800, Target: 400, Service: "plates-a", Attempts: 2},
		{Name: "r-2", Host: "db-batch", Prefix: "/", Type: "read_your_writes", Timeout: 800, Target: 1500, Priority: 2, Service: "plates-a", Attempts: 2, Staleness: &limit},
	})
	var mu sync.Mutex
	runs := map[string]readRun{}
	w.onRead = func(id string, m *member, _ string, applied int) {
		mu.Lock()
		runs[id] = readRun{m.id, applied}
		mu.Unlock()
	}
	for _, v := range w.vms {
		v.start()
	}
	w.awaitService("db-orders")
	w.awaitService("db-batch")
	w.record("served")
	stop := make(chan struct{})
	var all sync.WaitGroup
	for n := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			w.writer(w.vms[2*(n%2)], "db-orders", fmt.Sprintf("o%d", n), stop, func(string) {})
		}()
	}
	type readDone struct {
		id    string
		start time.Time
		rows  string
	}
	var done []readDone
	for n := range 6 {
		all.Add(1)
		go func() {
			defer all.Done()
			var c *client
			for k := 0; !closed(stop); k++ {
				time.Sleep(20 * time.Millisecond)
				if c == nil {
					var err error
					if c, err = reader.connect("db-batch"); err != nil {
						c = nil
						continue
					}
				}
				id := fmt.Sprintf("r%d-%d", n, k)
				start := time.Now()
				a, err := c.query(id, fmt.Sprintf("READ item%d", k%50), 3*time.Second)
				if err != nil {
					_ = c.nc.Close()
					c = nil
					continue
				}
				if a.complete != "" {
					mu.Lock()
					done = append(done, readDone{id, start, fmt.Sprint(a.rows)})
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(14 * time.Second)
	for time.Since(w.started) < 95*time.Second {
		if trouble {
			w.record("freeze %s", owner.name)
			owner.signal(syscall.SIGSTOP)
			replica.restart(3 * time.Second)
			time.Sleep(freezeTime)
			owner.signal(syscall.SIGCONT)
			w.record("thaw %s", owner.name)
		}
		time.Sleep(9 * time.Second)
	}
	close(stop)
	all.Wait()
	acks := g.ackTimes()
	bad := 0
	mu.Lock()
	defer mu.Unlock()
	for _, d := range done {
		r, ok := runs[d.id]
		if !ok {
			continue
		}
		for n := r.applied; n < len(acks); n++ {
			if !acks[n].IsZero() && d.start.Sub(acks[n]) > staleLimit {
				bad++
				w.record("rule STALE broken: read %s, sent at %.4f, ran at %s on a log that ends at %d and gave %s; commit %d had been acknowledged %.3f s before the read",
					d.id, d.start.Sub(w.started).Seconds(), r.member, r.applied, d.rows, n+1, d.start.Sub(acks[n]).Seconds())
				break
			}
		}
	}
	fmt.Printf("reads answered: %d, stale: %d\n", len(done), bad)
	return bad == 0
}
