package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []storedRow // changes in order
	oldest  uint64      // feeds from a version below this one get 410
	version uint64
	era     uint64
	down    bool
	changed chan struct{}
	start   time.Time
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore(addr string) (*store, error) {
	s := &store{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), start: time.Now(), era: 1, version: 100}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put changes a row as the operator or a member does. A nil value removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.version++
	s.apply(storedRow{Table: table, Key: key, Value: value, Version: s.version, Deleted: value == nil})
	s.announce()
}

// expire removes a row whose writer has been silent, also while the store is down.
func (s *store) expire(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storedRow{Table: table, Key: key, Version: s.version, Deleted: true})
	s.announce()
}

func (s *store) apply(r storedRow) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot returns a copy of the rows, for restore.
func (s *store) snapshot() (map[rowKey]storedRow, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[rowKey]storedRow, len(s.rows))
	for k, v := range s.rows {
		c[k] = v
	}
	return c, s.version
}

// restore makes the store come back from a copy.
func (s *store) restore(rows map[rowKey]storedRow, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.oldest, s.history, s.down = rows, version, version, nil, false
	s.era++
	s.announce()
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.announce()
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

type rowsAnswer struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"has_more"`
	Version uint64      `json:"ver"`
	NowMS   int64       `json:"now_ms"`
}

func (s *store) rowsAnswer(rows []storedRow) rowsAnswer {
	if rows == nil {
		rows = []storedRow{}
	}
	return rowsAnswer{Rows: rows, Version: s.version, NowMS: time.Since(s.start).Milliseconds() + 1000}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	var list []storedRow
	for k, v := range s.rows {
		if k.table == q.Get("table_name") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	a := s.rowsAnswer(list)
	if len(list) > limit {
		a.Rows, a.More = list[:limit], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	for {
		if s.down || s.era != era {
			s.answer(w, http.StatusServiceUnavailable, nil)
			break
		}
		if after > s.version || after < s.oldest {
			s.answer(w, http.StatusGone, nil)
			break
		}
		var list []storedRow
		for _, h := range s.history {
			if h.Table == q.Get("table_name") && h.Version > after {
				list = append(list, h)
			}
		}
		changed := s.changed
		if len(list) > 0 {
			s.answer(w, http.StatusOK, s.rowsAnswer(list))
			break
		}
		s.mu.Unlock()
		late := false
		select {
		case <-changed:
		case <-end:
			late = true
		case <-r.Context().Done():
			late = true
		}
		s.mu.Lock()
		if late {
			s.answer(w, http.StatusOK, s.rowsAnswer(nil))
			break
		}
	}
	s.mu.Unlock()
}

type operand struct {
	Table   string  `json:"table_name"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version *uint64 `json:"ver"`
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var c struct{ Expected, Puts, Remove []operand }
	err := json.NewDecoder(r.Body).Decode(&c)
	time.Sleep(6 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.answer(w, http.StatusBadRequest, nil)
		return
	case s.down:
		s.answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	var present []storedRow
	failed := false
	for _, e := range c.Expected {
		row, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if ok {
			present = append(present, row)
		}
		failed = failed || e.Version != nil && *e.Version != row.Version
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, s.rowsAnswer(present))
		return
	}
	for _, o := range append(c.Puts, c.Remove...) {
		if o.Table == "op" || o.Table == "servers" {
			s.answer(w, http.StatusForbidden, nil)
			return
		}
	}
	s.version++
	for _, o := range c.Puts {
		s.apply(storedRow{Table: o.Table, Part: o.Part, Key: o.Key, Value: o.Value, Version: s.version})
	}
	for _, o := range c.Remove {
		s.apply(storedRow{Table: o.Table, Part: o.Part, Key: o.Key, Version: s.version, Deleted: true})
	}
	s.announce()
	s.answer(w, http.StatusOK, s.rowsAnswer(nil))
}
