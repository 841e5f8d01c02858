// Command standin plays the cases of review/6 and following: it starts the project's own programs as processes on loopback
// addresses, with stand-ins for the platform's store, the service that promotes, members and clients, which follow the users'
// pages.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

// store is the platform's store of rows.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowName]row
	history []row
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowName]row{}, changed: make(chan struct{}), began: time.Now()}
}

// put writes rows in one transaction. It returns the version.
func (s *store) put(puts ...row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(puts, nil)
}

func (s *store) apply(puts, remove []row) uint64 {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[rowName{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		n := rowName{r.Table, r.Part, r.Key}
		if _, ok := s.rows[n]; ok {
			delete(s.rows, n)
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

const storeDelay = 4 * time.Millisecond

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	_ = http.Serve(l, mux)
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": version, "now_ms": time.Since(s.began).Milliseconds() + 1000})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mu.Lock()
	var out []row
	for n, x := range s.rows {
		if n.table == q.Get("table_name") && n.part == q.Get("part") && n.key >= q.Get("from") && (q.Get("to") == "" || n.key < q.Get("to")) {
			out = append(out, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, 200, out, more, version)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	seen := map[string]bool{}
	s.mu.Lock()
	for n := range s.rows {
		if n.table == r.URL.Query().Get("table_name") {
			seen[n.part] = true
		}
	}
	s.mu.Unlock()
	list := []string{}
	for p := range seen {
		list = append(list, p)
	}
	sort.Strings(list)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": list})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []row
		for _, x := range s.history {
			if x.Table == q.Get("table_name") && x.Version > after {
				out = append(out, x)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			s.reply(w, 200, out, false, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, 200, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var c struct{ Expected, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	for _, x := range append(append([]row{}, c.Puts...), c.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, "not allowed", 403)
			return
		}
	}
	s.mu.Lock()
	var present []row
	failed := false
	for _, x := range c.Expected {
		have, ok := s.rows[rowName{x.Table, x.Part, x.Key}]
		if ok {
			present = append(present, have)
		}
		if have.Version != x.Version {
			failed = true
		}
	}
	if failed {
		version := s.version
		s.mu.Unlock()
		s.reply(w, 412, present, false, version)
		return
	}
	version := s.apply(c.Puts, c.Remove)
	s.mu.Unlock()
	s.reply(w, 200, nil, false, version)
}

// promoter is the platform's service that promotes members.
type promoter struct {
	w     *world
	mu    sync.Mutex
	fence map[string]uint64 // highest token seen, by service
}

func (p *promoter) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	_ = http.Serve(l, mux)
}

func (p *promoter) promote(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var body struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), 400)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	status := 200
	g := p.w.groups[body.Service]
	switch {
	case g == nil:
		status = 400
	case token < p.fence[body.Service] && !p.w.unfenced:
		status = 409
	default:
		if token < p.fence[body.Service] {
			p.w.staleCalls.Add(1)
			p.w.record("rule ONE broken: call of %s for %s carries fence token %d, and %d has been seen", r.Header.Get("Duty-Holder"), body.Service, token, p.fence[body.Service])
		}
		p.fence[body.Service] = max(p.fence[body.Service], token)
		if !g.beginPromotion(body.ID) {
			status = 409
		}
	}
	p.w.record("promote service=%s member=%s holder=%s fence=%d status=%d", body.Service, body.ID, r.Header.Get("Duty-Holder"), token, status)
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, "{}")
}
