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

// row is a row of the store's tables.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	addr  string
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	mux.HandleFunc("POST /-/rows-tx", s.transaction)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) nowMS() int64 { return time.Since(s.start).Milliseconds() + 1_000_000 }

// put writes a row as the operator or a member does, and returns its version, which acknowledges the write.
func (s *store) put(table, key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setLocked(row{Table: table, Key: key, Value: b, Version: s.version})
	s.notifyLocked()
	return s.version
}

func (s *store) setLocked(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table_name") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	list = list[:min(len(list), limit)]
	reply(w, 200, map[string]any{"rows": list, "has_more": more, "ver": s.version, "now_ms": s.nowMS()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table_name") {
			set[k.part] = true
		}
	}
	list := []string{}
	for p := range set {
		list = append(list, p)
	}
	sort.Strings(list)
	reply(w, 200, map[string]any{"parts": list, "has_more": false, "ver": s.version, "now_ms": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		list := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table_name") && h.Version > after {
				list = append(list, h)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, 200, map[string]any{"rows": list, "ver": version, "now_ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, 200, map[string]any{"rows": list, "ver": version, "now_ms": s.nowMS()})
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	time.Sleep(6 * time.Millisecond)
	var c struct {
		Expected []struct {
			Table   string `json:"table_name"`
			Part    string `json:"part"`
			Key     string `json:"key"`
			Version uint64 `json:"ver"`
		} `json:"expected"`
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		reply(w, 400, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(append([]row{}, c.Puts...), c.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			reply(w, 403, map[string]any{"error": fmt.Sprintf("table %s", p.Table)})
			return
		}
	}
	current, conflict := []row{}, false
	for _, e := range c.Expected {
		have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Version != e.Version
	}
	if conflict {
		reply(w, 412, map[string]any{"rows": current, "ver": s.version, "now_ms": s.nowMS()})
		return
	}
	s.version++
	for _, p := range c.Puts {
		p.Version, p.Deleted = s.version, false
		s.setLocked(p)
	}
	for _, p := range c.Remove {
		p.Version, p.Deleted = s.version, true
		s.setLocked(p)
	}
	s.notifyLocked()
	reply(w, 200, map[string]any{"ver": s.version, "now_ms": s.nowMS()})
}
