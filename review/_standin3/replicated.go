package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// group is a stand-in for a replicated service whose members have logs of their own. A commit is acknowledged once `sync` replicas
// have received it.
type group struct {
	name string
	sync int
	rec  *record

	mu      sync.Mutex
	members []*replica
	lead    *replica // nil if there is none
	term    uint64
	fence   uint64 // highest fence token seen
	acked   map[string]time.Time
	lost    int // acknowledged commits that were not in the log of a promoted member

	promoteTime time.Duration
	// late, if set, decides on a call to promote: after a delay above 0 it is carried out, and it gets no answer.
	late func(id, holder string, token uint64) time.Duration
}

// replica is one member of a group; group.mu guards its fields.
type replica struct {
	g              *group
	id, zone, addr string
	log            []entry
	held           uint64 // term of the last PAUSE; it receives nothing; 0: it receives
	dark           bool   // it runs, and nothing reaches it or comes from it
	lag            time.Duration
	conns          atomic.Int64
	sequence       int
}

type entry struct {
	term, number uint64
	write        string // id of the write
	at           time.Time
}

func newGroup(rec *record, name string, sync int) *group {
	return &group{name: name, sync: sync, rec: rec, term: 1, acked: map[string]time.Time{}, promoteTime: time.Second}
}

func (g *group) add(id, zone, ip string) (*replica, error) {
	p, err := pickPorts(1)
	if err != nil {
		return nil, err
	}
	m := &replica{g: g, id: id, zone: zone, addr: fmt.Sprintf("%s:%d", ip, p[0]), lag: 8 * time.Millisecond}
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.members = append(g.members, m)
	if g.lead == nil {
		g.lead = m
	}
	g.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				m.awaitLight()
				m.serve(c)
			}()
		}
	}()
	go m.receive()
	return m, nil
}

// awaitLight waits while the member is dark.
func (m *replica) awaitLight() {
	for {
		m.g.mu.Lock()
		dark := m.dark
		m.g.mu.Unlock()
		if !dark {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *replica) setDark(dark bool) {
	m.g.mu.Lock()
	m.dark = dark
	m.g.mu.Unlock()
	m.g.rec.logf("%s dark: %v", m.id, dark)
}

// receive takes over the log of the lead, lag behind, until the program ends. Entries that the lead does not have are rolled back.
func (m *replica) receive() {
	for {
		time.Sleep(2 * time.Millisecond)
		m.g.mu.Lock()
		if l := m.g.lead; l != nil && l != m && m.held == 0 && !m.dark && !l.dark {
			common := min(len(m.log), len(l.log))
			for common > 0 && (m.log[common-1].term != l.log[common-1].term || m.log[common-1].write != l.log[common-1].write) {
				common--
			}
			m.log = m.log[:common]
			for _, e := range l.log[common:] {
				if time.Since(e.at) < m.lag {
					break
				}
				m.log = append(m.log, e)
			}
		}
		m.g.mu.Unlock()
	}
}

// beat writes the member's entry into the store.
func (m *replica) beat(s *store) {
	m.g.mu.Lock()
	m.sequence++
	role := "replica"
	if m.g.lead == m {
		role = "primary"
	}
	value, _ := json.Marshal(map[string]any{"service": m.g.name, "address": m.addr, "zone": m.zone, "config_version": "v1",
		"slots": memberSlots, "state": "ready", "cold_left_ms": 0, "db_role": role, "sequence": m.sequence})
	m.g.mu.Unlock()
	s.put("servers", m.id, value)
}

// end returns the last entry of the log. g.mu must be held.
func (m *replica) end() entry {
	if len(m.log) == 0 {
		return entry{term: 1}
	}
	return m.log[len(m.log)-1]
}

func (m *replica) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	line, err := readLine(r)
	f := strings.SplitN(line, " ", 4)
	if err != nil || f[0] != "STARTUP" || len(f) < 3 {
		return
	}
	if f[1] != m.g.name || len(f) > 3 && f[3] != m.id {
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", m.id)
		return
	}
	if m.conns.Add(1) > maxConns {
		m.conns.Add(-1)
		fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", m.id)
		return
	}
	defer m.conns.Add(-1)
	fmt.Fprintf(c, "READY I %s\r\n", m.position())
	s := &replicaSession{m: m, state: "I"}
	for {
		line, err := readLine(r)
		f := strings.SplitN(line, " ", 3)
		if err != nil || f[0] != "QUERY" || len(f) < 3 {
			return
		}
		m.awaitLight()
		rows, end, ok := s.run(f[1], f[2])
		m.awaitLight()
		if !ok {
			return // the outcome of a commit is not known
		}
		fmt.Fprintf(c, "%s%s\r\nREADY %s %s\r\n", rows, end, s.state, m.position())
	}
}

func (m *replica) position() string {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	e := m.end()
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

type replicaSession struct {
	m     *replica
	state string
	plain bool
	write string
}

// run runs one query. ok is false if the connection is to be closed without an answer.
func (s *replicaSession) run(id, text string) (rows, end string, ok bool) {
	m, g := s.m, s.m.g
	f := strings.SplitN(text, " ", 3)
	g.mu.Lock()
	defer g.mu.Unlock()
	if f[0] == "AFTER" && len(f) == 3 {
		if !m.has(f[1]) {
			return "", "ERROR LAGGING " + m.id, true
		}
		text = f[2]
		f = strings.SplitN(text, " ", 3)
	}
	var term uint64
	if len(f) > 1 {
		term, _ = strconv.ParseUint(f[1], 10, 64)
	}
	switch f[0] {
	case "PAUSE":
		if g.lead != m && term > m.end().term {
			m.held = term
		}
		return m.status(), "COMPLETE -", true
	case "DEMOTE":
		if g.lead == m && term > g.term {
			g.lead = nil
			g.rec.logf("%s is demoted", m.id)
		}
		return m.status(), "COMPLETE -", true
	case "RESUME":
		m.held = 0
		return m.status(), "COMPLETE -", true
	case "STATUS":
		return m.status(), "COMPLETE -", true
	case "RESET", "SET", "PREPARE", "DEALLOC":
		return "", "COMPLETE -", true
	case "BEGIN":
		if len(f) < 2 && g.lead != m {
			return "", "ERROR READONLY " + m.id, true
		}
		s.state, s.plain, s.write = "T", len(f) < 2, ""
		return "", "COMPLETE -", true
	case "ROLLBACK":
		s.state = "I"
		return "", "COMPLETE -", true
	}
	if s.state == "T" && s.plain && g.lead != m || f[0] == "WRITE" && g.lead != m {
		if s.state == "T" {
			s.state = "E"
		}
		return "", "ERROR READONLY " + m.id, true
	}
	signature := "COMPLETE " + strconv.FormatUint(signatures.Add(1), 16) + "." + id
	switch f[0] {
	case "READ":
		return "DATAROW qhzkwmtrbelo\r\n", signature, true
	case "WRITE":
		s.write = id
		if s.state == "T" {
			return "", signature, true
		}
	case "COMMIT":
		s.state = "I"
		if s.write == "" {
			return "", signature, true
		}
	default:
		return "", "ERROR FAILED " + m.id, true
	}
	e := entry{term: g.term, number: m.end().number + 1, write: s.write, at: time.Now()}
	m.log = append(m.log, e)
	s.write = ""
	for n := len(m.log); ; {
		held := 0
		for _, o := range g.members {
			if o != m && len(o.log) >= n && o.log[n-1].write == e.write {
				held++
			}
		}
		if g.lead != m || g.term != e.term {
			return "", "", false
		}
		if held >= g.sync {
			return "", signature, true
		}
		g.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		g.mu.Lock()
	}
}

// has reports whether the log has the position. g.mu must be held.
func (m *replica) has(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	return number == 0 || number <= uint64(len(m.log)) && m.log[number-1].term == term
}

// status returns the row of the member's status. g.mu must be held.
func (m *replica) status() string {
	role, term := "replica", m.end().term
	if m.g.lead == m {
		role, term = "primary", m.g.term
	}
	e := m.end()
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 0 %d\r\n", role, term, e.term, e.number, m.held, m.conns.Load())
}

// acknowledged records that a client has got the success of a write.
func (g *group) acknowledged(write string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked[write] = time.Now()
}

// servePromote is the platform's POST /promote.
func (g *group) servePromote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	holder := r.Header.Get("Duty-Holder")
	time.Sleep(4 * time.Millisecond)
	if g.late != nil && body.Service == g.name {
		if delay := g.late(body.ID, holder, token); delay > 0 {
			g.rec.logf("POST /promote %s by %s with fence token %d: no answer, carried out in %v", body.ID, holder, token, delay)
			time.AfterFunc(delay, func() { g.order(body.Service, body.ID, holder, token, "late ") })
			<-r.Context().Done()
			return
		}
	}
	w.WriteHeader(g.order(body.Service, body.ID, holder, token, ""))
}

// order carries out a call to promote and returns the status of the answer.
func (g *group) order(service, id, holder string, token uint64, when string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var m *replica
	for _, o := range g.members {
		if o.id == id && service == g.name {
			m = o
		}
	}
	status := http.StatusOK
	if m == nil || token < g.fence {
		status = http.StatusConflict
	}
	g.rec.logf("%sPOST /promote %s by %s with fence token %d: %d", when, id, holder, token, status)
	if status != http.StatusOK {
		return status
	}
	g.fence = token
	if m != g.lead {
		time.AfterFunc(g.promoteTime, func() { g.promote(m, token) })
	}
	return status
}

// promote makes m the lead, with what it has received, unless a call with a higher token has come since.
func (g *group) promote(m *replica, token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.fence || g.lead == m {
		return
	}
	has := map[string]bool{}
	for _, e := range m.log {
		has[e.write] = true
	}
	missing := 0
	for write := range g.acked {
		if !has[write] {
			missing++
			if missing <= 5 {
				g.rec.logf("LOST: write %s was acknowledged and is not in the log of %s, which is promoted", write, m.id)
			}
		}
	}
	before := "none"
	if g.lead != nil {
		before = g.lead.id
	}
	g.term++
	g.lead = m
	for _, o := range g.members {
		o.held = 0
	}
	g.lost += missing
	g.rec.logf("%s leads term %d with a log up to %d.%d, before it %s; %d of %d acknowledged commits are not in its log", m.id, g.term,
		m.end().term, m.end().number, before, missing, len(g.acked))
}
