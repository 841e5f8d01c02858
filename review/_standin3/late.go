package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// lateCase: clients write to a service with sync_replicas 1. With the disruption, the primary goes dark, the first call to promote gets
// no answer and is carried out lateAfter later, its repetition at once; the new primary goes dark in its turn, and both come back.
// Rule: LOST.
func (w *world) lateCase(trouble bool) int {
	const lateAfter = 8 * time.Second
	g := newGroup(w.rec, "orders-db", 1)
	g.promoteTime = 300 * time.Millisecond
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", g.servePromote)
	w.cloud.Store(mux)
	for i, zone := range []string{"zg-a", "zg-b", "st-a"} {
		m, err := g.add(fmt.Sprintf("i-%08x", 0x7b3100+i), zone, fmt.Sprintf("127.0.4.%d", 21+i))
		if err != nil {
			w.rec.logf("%v", err)
			return statusNotRun
		}
		m.lag = []time.Duration{8, 20, 20}[i] * time.Millisecond
		go func() {
			for {
				m.beat(w.store)
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
	time.Sleep(14 * time.Second) // the claims of the right to promote are made within ten seconds
	w.rec.logf("writes acknowledged %d, failed %d", served.Load(), failed.Load())
	if trouble {
		var first atomic.Bool
		first.Store(true)
		g.late = func(string, string, uint64) time.Duration {
			if first.CompareAndSwap(true, false) {
				return lateAfter
			}
			return 0
		}
		old := g.members[0]
		old.setDark(true)
		began := time.Now()
		for time.Since(began) < 4*time.Second {
			g.mu.Lock()
			lead := g.lead
			g.mu.Unlock()
			if lead != old {
				time.Sleep(500 * time.Millisecond)
				lead.setDark(true)
				time.AfterFunc(3*time.Second, func() { lead.setDark(false) })
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(2200 * time.Millisecond)))
		old.setDark(false)
	}
	time.Sleep(10 * time.Second)
	w.rec.logf("writes acknowledged %d, failed %d", served.Load(), failed.Load())
	g.mu.Lock()
	defer g.mu.Unlock()
	if served.Load() < 100 {
		return statusNotRun
	}
	if g.lost > 0 {
		w.rec.logf("LOST: %d acknowledged commits were not in the log of the member that was promoted", g.lost)
		return statusBroken
	}
	return statusHeld
}
