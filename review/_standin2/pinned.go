package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// pinnedRun is a statement that ran at a member.
type pinnedRun struct {
	member, mode string
	set          bool // the connection has a value for mode
}

// casePinned partitions a primary from one of three entry VMs, which promotes another member, while sessions set a value inside
// transactions. Each statement must run with the values that were acknowledged to its session.
func casePinned(w *world, trouble bool) bool {
	w.zones = map[string]string{"kurume-yard": "chikugo", "omuta-annex": "chikugo", "yukuhashi-depot": "buzen"}
	w.addVM("front-kurume-yard-1", "kurume-yard")
	w.addVM("front-omuta-annex-1", "omuta-annex")
	w.addVM("front-yukuhashi-depot-1", "yukuhashi-depot")
	g := w.addGroup("plates-b", 0)
	g.addMember("i-0b0ffee1", "kurume-yard", 20*time.Millisecond)
	g.addMember("i-0a11ce01", "yukuhashi-depot", 20*time.Millisecond)
	g.addMember("i-0cbeef01", "omuta-annex", 20*time.Millisecond)
	limit := 2500
	w.putConfig(1, []route{{Name: "r-1", Host: "db-batch", Prefix: "/", Type: "read_your_writes", Timeout: 800, Target: 1500, Priority: 2,
		Service: "plates-b", Attempts: 2, Staleness: &limit}})
	var mu sync.Mutex
	ran := map[string]pinnedRun{}
	want := map[string]string{}
	w.onRun = func(id string, c *memberConn) {
		mode, set := c.values["mode"]
		mu.Lock()
		ran[id] = pinnedRun{c.m.id, mode, set}
		mu.Unlock()
	}
	for _, v := range w.vms {
		v.start()
	}
	w.awaitService("db-batch")
	w.record("served")
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i, v := range w.vms {
		for n := range 6 {
			all.Add(1)
			go func() {
				defer all.Done()
				s := &settingSession{v: v, name: fmt.Sprintf("s%d%d", i, n), modes: n, sent: func(id, mode string) {
					mu.Lock()
					want[id] = mode
					mu.Unlock()
				}}
				for !closed(stop) {
					s.run(stop)
				}
			}()
		}
	}
	time.Sleep(8 * time.Second)
	for time.Since(w.started) < 70*time.Second {
		if trouble {
			g.mu.Lock()
			p := g.primary
			g.mu.Unlock()
			w.cut(p, "front-omuta-annex-1")
		}
		time.Sleep(3 * time.Second)
		w.heal()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	all.Wait()
	bad, judged := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for id, r := range ran {
		mode, ok := want[id]
		if !ok {
			continue
		}
		judged++
		if !r.set || r.mode != mode {
			bad++
			w.record("rule PINNED broken: statement %s ran at %s with mode=%q (set: %v); its session had been told that mode is %q", id, r.member, r.mode, r.set, mode)
		}
	}
	fmt.Printf("statements with a value judged: %d, with another value than acknowledged: %d\n", judged, bad)
	return bad == 0
}

// settingSession is a session that sets a value inside transactions.
type settingSession struct {
	v     *vm
	name  string
	modes int
	n     int
	sent  func(id, mode string)
}

// run opens the session and keeps it until an answer is missing.
func (s *settingSession) run(stop chan struct{}) {
	c, err := s.v.connect("db-batch")
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer c.nc.Close()
	mode := ""
	do := func(text string) (answer, bool) {
		s.n++
		id := fmt.Sprintf("%s-%d", s.name, s.n)
		if mode != "" {
			s.sent(id, mode)
		}
		a, err := c.query(id, text, 3*time.Second)
		s.v.w.record("client %s: %s (mode acknowledged: %q): %v %s %s %s", id, text, mode, a.rows, a.complete, a.err, a.ready)
		return a, err == nil
	}
	for k := 0; !closed(stop); k++ {
		inTx := []string{fmt.Sprintf("WRITE item%d x%d", k%50, k), "SET", fmt.Sprintf("READ item%d", k%50)}
		if _, ok := do("BEGIN"); !ok {
			return
		}
		end := "COMMIT"
		for _, text := range inTx {
			next := mode
			if text == "SET" {
				next = [2]string{"crew", "batch"}[(k+s.modes)%2]
				text = "SET mode " + next
			}
			a, ok := do(text)
			if !ok {
				return
			}
			if a.err != "" {
				if next != mode {
					return // a client closes its session after an error in answer to SET
				}
				end = "ROLLBACK"
				break
			}
			mode = next
			time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
		}
		if _, ok := do(end); !ok {
			return
		}
		for r := range 4 {
			if _, ok := do(fmt.Sprintf("READ item%d", (k+r)%50)); !ok {
				return
			}
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		}
	}
}
