package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	storeDown   = 4500 * time.Millisecond // of the disruption, how long the store is down
	lapseAfter  = 3 * heartbeat           // of silence: the members' entries are removed
	writers     = 24
	lapseRounds = 4
)

// lapseCase: clients write to a service with sync_replicas 1. With the disruption, the store is down for storeDown, the members' entries
// run out meanwhile and are back within two seconds of its return, and the processes of the two VMs of one zone are killed shortly
// before that return; the platform starts them again. All members run and answer all the while. Rule: LOST.
func (w *world) lapseCase(trouble bool) int {
	g := newGroup(w.rec, "orders-db", 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", g.servePromote)
	w.cloud.Store(mux)
	var beating atomic.Bool
	beating.Store(true)
	for i, zone := range []string{"zg-a", "zg-b", "st-a"} {
		m, err := g.add(fmt.Sprintf("i-%08x", 0x7b3100+i), zone, fmt.Sprintf("127.0.4.%d", 21+i))
		if err != nil {
			w.rec.logf("%v", err)
			return statusNotRun
		}
		go func() {
			time.Sleep(time.Duration(i) * heartbeat / 3)
			for {
				if beating.Load() {
					m.beat(w.store)
				}
				time.Sleep(heartbeat)
			}
		}()
	}
	config, _ := json.Marshal(map[string]any{
		"config_version": 7,
		"routes": []any{map[string]any{"name": "r-orders", "host": "orders", "prefix": "/", "route_type": "primary", "timeout_ms": 800,
			"target_latency_ms": 500, "priority": 0, "service": "orders-db", "attempts": 2}},
		"services": []any{map[string]any{"name": "orders-db", "health_path": "/health", "max_conns": maxConns, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	w.store.put("op", "config", config)
	time.Sleep(heartbeat)
	if !w.startVMs(memoryMB) {
		return statusNotRun
	}
	var served, failed atomic.Int64
	for i := range writers {
		go w.writer(i, g, &served, &failed)
	}
	for round := range lapseRounds {
		time.Sleep(8 * time.Second)
		w.rec.logf("round %d: writes acknowledged %d, failed %d", round, served.Load(), failed.Load())
		if trouble {
			w.lapse(g, &beating)
		} else {
			time.Sleep(storeDown + 2*time.Second)
		}
		time.Sleep(5 * time.Second)
		g.mu.Lock()
		lost := g.lost
		g.mu.Unlock()
		if lost > 0 {
			w.rec.logf("LOST: %d acknowledged commits were not in the log of the member that was promoted", lost)
			return statusBroken
		}
	}
	w.rec.logf("writes acknowledged %d, failed %d", served.Load(), failed.Load())
	if served.Load() < 100 {
		return statusNotRun
	}
	return statusHeld
}

// lapse is the disruption.
func (w *world) lapse(g *group, beating *atomic.Bool) {
	beating.Store(false) // what the members write does not reach the store
	w.store.setDown(true)
	w.rec.logf("the store is down")
	began := time.Now()
	time.Sleep(lapseAfter + 100*time.Millisecond)
	for _, m := range g.members {
		w.store.expire("servers", m.id)
	}
	w.rec.logf("the members' entries have run out")
	time.Sleep(time.Until(began.Add(storeDown - 450*time.Millisecond)))
	for _, v := range w.vms {
		if v.zone == "zg-b" {
			v.kill("the disruption") // watch starts it again after 500 ms
		}
	}
	time.Sleep(time.Until(began.Add(storeDown)))
	w.store.setDown(false)
	w.rec.logf("the store is back")
	time.Sleep(50 * time.Millisecond)
	g.members[1].beat(w.store)
	w.rec.logf("the entry of %s is back", g.members[1].id)
	time.Sleep(1700 * time.Millisecond)
	g.members[0].beat(w.store)
	g.members[2].beat(w.store)
	beating.Store(true)
	w.rec.logf("the entries of all members are back")
}

// writer writes again and again, in sessions of some writes, at any VM that runs.
func (w *world) writer(client int, g *group, served, failed *atomic.Int64) {
	for attempt := 0; ; attempt++ {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		v := w.vms[rand.N(len(w.vms))]
		if !v.running() {
			continue
		}
		if err := w.writeSession(client, v, g, served); err != nil {
			failed.Add(1)
		}
	}
}

func (w *world) writeSession(client int, v *vm, g *group, served *atomic.Int64) error {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.ip, w.net.front), time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	r := bufio.NewReader(c)
	fmt.Fprintf(c, "STARTUP orders u%d\r\n", client)
	if line, err := readLine(r); err != nil || !strings.HasPrefix(line, "READY") {
		return fmt.Errorf("startup: %.60s %v", line, err)
	}
	for range 10 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprintf(c, "QUERY %s WRITE 1a%x x%s\r\n", id, rand.N(64), id)
		success := false
		for {
			line, err := readLine(r)
			if err != nil {
				return err
			}
			if strings.HasPrefix(line, "COMPLETE") && strings.HasSuffix(line, "."+id) {
				success = true
			}
			if strings.HasPrefix(line, "ERROR") {
				return fmt.Errorf("%.60s", line)
			}
			if strings.HasPrefix(line, "READY") {
				break
			}
		}
		if success {
			g.acknowledged(id)
			served.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
