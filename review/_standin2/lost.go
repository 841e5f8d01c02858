package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// serviceNames are names for which front-omuta-annex-1 comes first among the VMs that may promote. Names are new each day.
var serviceNames = []string{"plates-b", "plates-e", "plates-l"}

// Each writer writes about five times a second: 45 writes a second for each service.
const (
	writersPerService = 9
	writePause        = 200 * time.Millisecond
)

// caseLost partitions primaries from two of five entry VMs for 5 s at a time, while a service with sync_replicas 1 is written to.
// Each write that a client has been told was committed must be in the log of the member that is promoted.
func caseLost(w *world, trouble bool) bool {
	groups, routes := w.smallDeployment(1, serviceNames...)
	for _, v := range w.vms {
		v.start()
	}
	for _, r := range routes {
		w.awaitService(r.Host)
	}
	w.record("served")
	var mu sync.Mutex
	acked := map[string]time.Time{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for gi, r := range routes {
		for n := range writersPerService {
			clients.Add(1)
			go func() {
				defer clients.Done()
				w.writer(w.vms[n%len(w.vms)], r.Host, fmt.Sprintf("%d%d", gi, n), stop, func(id string) {
					mu.Lock()
					acked[id] = time.Now()
					mu.Unlock()
				})
			}()
		}
	}
	time.Sleep(8 * time.Second)
	for time.Since(w.started) < 100*time.Second {
		if trouble {
			w.cutPrimaries(groups)
		}
		time.Sleep(3500 * time.Millisecond)
		w.heal()
		time.Sleep(3 * time.Second)
	}
	close(stop)
	clients.Wait()
	held := true
	n := 0
	mu.Lock()
	defer mu.Unlock()
	for _, g := range groups {
		g.mu.Lock()
		for _, e := range g.lost {
			if t, ok := acked[e.writes[0].request]; ok {
				n++
				held = false
				w.record("rule LOST broken: client got success for request %s of %s at %.4f, and the commit is not in the log of the member promoted",
					e.writes[0].request, g.name, t.Sub(w.started).Seconds())
			}
		}
		g.mu.Unlock()
	}
	fmt.Printf("writes acknowledged to clients: %d, lost at promotions: %d\n", len(acked), n)
	return held
}

// smallDeployment adds five VMs in three zones and three services of three members. It returns the services and their routes.
func (w *world) smallDeployment(syncReplicas int, names ...string) ([]*group, []route) {
	w.zones = map[string]string{"kurume-yard": "chikugo", "omuta-annex": "chikugo", "yukuhashi-depot": "buzen"}
	for _, v := range [][2]string{{"front-kurume-yard-1", "kurume-yard"}, {"front-kurume-yard-2", "kurume-yard"}, {"front-omuta-annex-1", "omuta-annex"},
		{"front-yukuhashi-depot-1", "yukuhashi-depot"}, {"front-yukuhashi-depot-2", "yukuhashi-depot"}} {
		w.addVM(v[0], v[1])
	}
	var routes []route
	var groups []*group
	for i, name := range names {
		g := w.addGroup(name, syncReplicas)
		g.addMember(fmt.Sprintf("i-%db0ffee1", i), "kurume-yard", 20*time.Millisecond)
		g.addMember(fmt.Sprintf("i-%da11ce01", i), "yukuhashi-depot", 20*time.Millisecond)
		g.addMember(fmt.Sprintf("i-%dcbeef01", i), "omuta-annex", 20*time.Millisecond)
		groups = append(groups, g)
		routes = append(routes, route{Name: "r-" + name, Host: "db-" + name, Prefix: "/", Type: "primary", Timeout: 800, Target: 400, Service: name, Attempts: 2})
	}
	w.putConfig(1, routes)
	return groups, routes
}

// cutPrimaries partitions the primary of each service from two of the five VMs, none of them in its data centre.
func (w *world) cutPrimaries(groups []*group) {
	for _, g := range groups {
		g.mu.Lock()
		p := g.primary
		g.mu.Unlock()
		other := "front-kurume-yard-1"
		if p.zone == "kurume-yard" {
			other = "front-yukuhashi-depot-1"
		}
		w.cut(p, "front-omuta-annex-1", other)
	}
}

// writer writes through one VM until stop is closed, about five writes a second.
func (w *world) writer(v *vm, database, name string, stop chan struct{}, acked func(id string)) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(writePause))):
		}
		if c == nil {
			var err error
			if c, err = v.connect(database); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a, err := c.query(id, fmt.Sprintf("WRITE item%d d%s", n%50, id), 3*time.Second)
		switch {
		case err != nil:
			w.record("client %s: no answer: %v", id, err)
			_ = c.nc.Close()
			c = nil
		case a.complete != "":
			acked(id)
			w.record("client %s: success %s", id, a.ready)
		default:
			w.record("client %s: %s", id, a.err)
		}
	}
}
