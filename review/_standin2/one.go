package main

import (
	"fmt"
	"time"
)

// caseOne partitions primaries from two of five entry VMs for 3.5 s at a time, on a platform that checks no fence tokens. No call may
// carry a lower token than one that the platform has seen for the service.
func caseOne(w *world, trouble bool) bool {
	w.unfenced = true
	groups, routes := w.smallDeployment(0, "plates-a", "plates-b", "plates-c")
	for _, v := range w.vms {
		v.start()
	}
	for _, r := range routes {
		w.awaitService(r.Host)
	}
	w.record("served")
	stop := make(chan struct{})
	for gi, r := range routes {
		for n := range 3 {
			go w.writer(w.vms[n%len(w.vms)], r.Host, fmt.Sprintf("%d%d", gi, n), stop, func(string) {})
		}
	}
	time.Sleep(14 * time.Second) // the VMs claim the right to promote within 10 s
	for round := 0; time.Since(w.started) < 95*time.Second; round++ {
		if trouble {
			for _, g := range groups {
				g.mu.Lock()
				p := g.primary
				g.mu.Unlock()
				w.cut(p, w.vms[round%5].name, w.vms[(round+2)%5].name)
			}
		}
		time.Sleep(3500 * time.Millisecond)
		w.heal()
		time.Sleep(6 * time.Second)
	}
	close(stop)
	n := w.staleCalls.Load()
	fmt.Printf("calls with a lower fence token than one seen: %d\n", n)
	return n == 0
}
