package platform

import (
	"sync"
	"time"
)

// Counters count the requests received since the start, including those refused because of an outage.
type Counters struct {
	Reads  Rate `json:"reads"`  // table service and object store
	Writes Rate `json:"writes"` // table service and object store
	Lists  Rate `json:"lists"`  // VM list and service list
}

// Rate counts requests of one kind.
type Rate struct {
	Total      uint64 `json:"total"`
	LastSecond uint64 `json:"lastSecond"` // requests in the last complete second
	Peak       uint64 `json:"peak"`       // most requests in any complete second
}

// requestCounters holds the counters of a server.
type requestCounters struct {
	mu     sync.Mutex
	start  time.Time
	reads  rateMeter
	writes rateMeter
	lists  rateMeter
}

func newRequestCounters() *requestCounters { return &requestCounters{start: time.Now()} }

// rateMeter counts requests in the second in hand and in the one before. Seconds are numbered from the start.
type rateMeter struct {
	total, current, last, peak uint64
	second                     int64
}

// advance ends the second in hand if second is a later one.
func (m *rateMeter) advance(second int64) {
	if second == m.second {
		return
	}
	m.last = 0
	if second == m.second+1 {
		m.last = m.current
	}
	m.peak = max(m.peak, m.current)
	m.current, m.second = 0, second
}

func (m *rateMeter) rate() Rate { return Rate{Total: m.total, LastSecond: m.last, Peak: m.peak} }

// count counts one request in m.
func (c *requestCounters) count(m *rateMeter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.advance(int64(time.Since(c.start) / time.Second))
	m.total++
	m.current++
}

func (s *Server) countStoreRequest(write bool) {
	if write {
		s.counters.count(&s.counters.writes)
	} else {
		s.counters.count(&s.counters.reads)
	}
}

func (s *Server) countListRequest() { s.counters.count(&s.counters.lists) }

// Counters returns the present request counters.
func (s *Server) Counters() Counters {
	c := s.counters
	c.mu.Lock()
	defer c.mu.Unlock()
	second := int64(time.Since(c.start) / time.Second)
	for _, m := range []*rateMeter{&c.reads, &c.writes, &c.lists} {
		m.advance(second)
	}
	return Counters{Reads: c.reads.rate(), Writes: c.writes.rate(), Lists: c.lists.rate()}
}
