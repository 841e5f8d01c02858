package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// commit is an entry of a service's log.
type commit struct {
	term, number int
	id           string // of the statement that wrote
	item, data   string
	at           time.Time // when the primary committed it
}

// run is a statement of a caller that a member has run.
type run struct {
	at       time.Time
	member   string
	id, text string
	logEnd   int // number of the last commit in the log on which it ran
}

// service is one replicated database. Its log is that of the present primary; replicas have a part of it.
type service struct {
	name string
	lag  time.Duration // after which a replica has applied a commit

	mu      sync.Mutex
	term    int
	log     []commit
	primary *member
	members []*member
	runs    []run
	onRun   func(run)
}

// member is a stand-in for one server of a service.
type member struct {
	svc        *service
	id, zone   string
	addr       string
	emptyUntil time.Time // guarded by svc.mu; until then its log holds nothing
	born       int64     // guarded by svc.mu
	sequence   int       // guarded by svc.mu
	draining   bool      // guarded by svc.mu
	listener   net.Listener
	conns      map[net.Conn]bool // guarded by svc.mu
	slots      chan struct{}
}

const (
	memberSlots    = 2
	memberMaxConns = 16
	workTime       = 4 * time.Millisecond
	handshakeTime  = 12 * time.Millisecond
)

func newService(name string, zones []string, lag time.Duration) (*service, error) {
	s := &service{name: name, lag: lag, term: 1}
	for i, z := range zones {
		m := &member{svc: s, id: fmt.Sprintf("i-%s-%d", name, i+1), zone: z, slots: make(chan struct{}, memberSlots)}
		if err := m.listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		m.addr = m.listener.Addr().String()
		s.members = append(s.members, m)
	}
	s.primary = s.members[0]
	return s, nil
}

func (m *member) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	m.svc.mu.Lock()
	m.listener, m.conns, m.born, m.sequence = l, map[net.Conn]bool{}, time.Now().UnixMilli(), 0
	m.svc.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(nc)
		}
	}()
	return nil
}

// entry returns what the member says of itself in the store.
func (m *member) entry() map[string]any {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	m.sequence++
	state, role := "ready", "replica"
	if m.draining {
		state = "draining"
	}
	if m.svc.primary == m {
		role = "primary"
	}
	return map[string]any{"service": m.svc.name, "address": m.addr, "zone": m.zone, "config_version": "v1", "slots": memberSlots,
		"state": state, "cold_left_ms": 0, "db_role": role, "sequence": m.sequence, "born": m.born}
}

// crash ends the member: its connections are reset and its port refuses new ones.
func (m *member) crash() {
	_ = m.listener.Close()
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	for c := range m.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// restart starts a crashed member again under its id and address. It holds nothing of before until it has caught up.
func (m *member) restart(catchUp time.Duration) error {
	m.svc.mu.Lock()
	m.emptyUntil = time.Now().Add(catchUp)
	m.svc.mu.Unlock()
	return m.listen(m.addr)
}

// positions returns the ends of the received and of the applied log. The caller holds svc.mu.
func (m *member) positions(now time.Time) (received, applied commit) {
	log := m.svc.log
	if m != m.svc.primary && now.Before(m.emptyUntil) {
		return commit{}, commit{}
	}
	if len(log) > 0 {
		received = log[len(log)-1]
	}
	if m == m.svc.primary {
		return received, received
	}
	for i := len(log) - 1; i >= 0; i-- {
		if now.Sub(log[i].at) >= m.svc.lag {
			return received, log[i]
		}
	}
	return received, commit{}
}

// session is a connection to a member.
type session struct {
	m        *member
	nc       net.Conn
	r        *bufio.Reader
	tx       byte // 'I', 'T', 'E'
	plain    bool
	writes   []commit
	prepared map[string]string // "READ" or "WRITE" by name
}

// readLine reads a line, which CR LF ends.
func readLine(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

func cut(s string) (string, string) {
	a, b, _ := strings.Cut(s, " ")
	return a, b
}

func (m *member) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	m.svc.mu.Lock()
	full := len(m.conns) >= memberMaxConns
	m.conns[nc] = true
	m.svc.mu.Unlock()
	defer func() {
		m.svc.mu.Lock()
		delete(m.conns, nc)
		m.svc.mu.Unlock()
	}()
	s := &session{m: m, nc: nc, r: bufio.NewReader(nc), tx: 'I', prepared: map[string]string{}}
	line, err := readLine(s.r)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	switch {
	case len(f) < 2 || f[0] != "STARTUP" || f[1] != m.svc.name || len(f) > 3 && f[3] != m.id:
		_, _ = fmt.Fprintf(nc, "ERROR MISROUTED %s\r\n", m.id)
		return
	case full:
		_, _ = fmt.Fprintf(nc, "ERROR CONNLIMIT %s\r\n", m.id)
		return
	}
	m.work(handshakeTime)
	s.answer("")
	for {
		line, err := readLine(s.r)
		if err != nil {
			return
		}
		kind, rest := cut(line)
		if kind != "QUERY" {
			return
		}
		id, text := cut(rest)
		if !s.answer(s.execute(id, text)) {
			return
		}
	}
}

// work occupies a slot.
func (m *member) work(d time.Duration) {
	m.slots <- struct{}{}
	time.Sleep(d)
	<-m.slots
}

// answer sends lines and the READY that ends an answer.
func (s *session) answer(lines string) bool {
	s.m.svc.mu.Lock()
	_, applied := s.m.positions(time.Now())
	s.m.svc.mu.Unlock()
	_, err := fmt.Fprintf(s.nc, "%sREADY %c %d.%d\r\n", lines, s.tx, applied.term, applied.number)
	return err == nil
}

func errorLine(code, id string) string { return fmt.Sprintf("ERROR %s %s\r\n", code, id) }

func (s *session) execute(id, text string) string {
	m := s.m
	full := text
	verb, rest := cut(text)
	after := 0
	if verb == "AFTER" {
		var position string
		position, rest = cut(rest)
		_, _ = fmt.Sscanf(position, "%d.%d", new(int), &after)
		full = rest
		verb, rest = cut(rest)
	}
	if s.tx == 'E' && verb != "ROLLBACK" && verb != "COMMIT" {
		return errorLine("MALFORMED", m.id)
	}
	isPrimary := func() bool { m.svc.mu.Lock(); defer m.svc.mu.Unlock(); return m.svc.primary == m }
	switch verb {
	case "STATUS", "RESUME", "PAUSE", "DEMOTE":
		m.work(time.Millisecond)
		m.svc.mu.Lock()
		defer m.svc.mu.Unlock()
		role := "replica"
		if m.svc.primary == m {
			role = "primary"
		}
		received, _ := m.positions(time.Now())
		return fmt.Sprintf("DATAROW %s %d %d.%d 0 %d %d %d\r\nCOMPLETE -\r\n", role, m.svc.term, received.term, received.number,
			m.svc.lag.Milliseconds(), len(m.slots), len(m.conns))
	case "SET", "DEALLOC":
		return "COMPLETE -\r\n"
	case "RESET":
		s.prepared = map[string]string{}
		return "COMPLETE -\r\n"
	case "PREPARE":
		name, def := cut(rest)
		s.prepared[name], _ = cut(def)
		return "COMPLETE -\r\n"
	case "BEGIN":
		s.plain = rest != "READ"
		if s.plain && !isPrimary() {
			return errorLine("READONLY", m.id)
		}
		if s.lacks(after) {
			return errorLine("LAGGING", m.id)
		}
		s.tx, s.writes = 'T', nil
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		s.tx, s.writes = 'I', nil
		return "COMPLETE -\r\n"
	case "COMMIT":
		failed := s.tx == 'E'
		if s.plain && len(s.writes) > 0 && !isPrimary() {
			failed = true
		}
		writes := s.writes
		s.tx, s.writes = 'I', nil
		if failed {
			return errorLine("ABORTED", m.id)
		}
		m.work(workTime)
		return s.ran(id, full, "", writes)
	}
	item, data := cut(rest)
	write := verb == "WRITE"
	if verb == "EXECUTE" {
		access, ok := s.prepared[item]
		if !ok {
			return errorLine("NOSTMT", m.id)
		}
		write = access == "WRITE"
		item, data = cut(data)
	} else if verb != "READ" && verb != "WRITE" {
		return errorLine("MALFORMED", m.id)
	}
	if (write || s.tx == 'T' && s.plain) && !isPrimary() {
		if s.tx == 'T' {
			s.tx = 'E'
		}
		return errorLine("READONLY", m.id)
	}
	if s.lacks(after) {
		return errorLine("LAGGING", m.id)
	}
	m.work(workTime)
	if !write {
		return s.ran(id, full, item, nil)
	}
	c := commit{id: id, item: item, data: data}
	if s.tx == 'T' {
		s.writes = append(s.writes, c)
		return s.ran(id, full, "", nil)
	}
	return s.ran(id, full, "", []commit{c})
}

// lacks reports whether the member's log lacks a position.
func (s *session) lacks(after int) bool {
	s.m.svc.mu.Lock()
	defer s.m.svc.mu.Unlock()
	_, applied := s.m.positions(time.Now())
	return applied.number < after
}

// ran appends the writes to the log, records the run and returns the answer with the value of the item that was read.
func (s *session) ran(id, text, item string, writes []commit) string {
	m := s.m
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	now := time.Now()
	for _, c := range writes {
		c.term, c.number, c.at = m.svc.term, len(m.svc.log)+1, now
		m.svc.log = append(m.svc.log, c)
	}
	_, applied := m.positions(now)
	rows := ""
	if item != "" {
		value := "none"
		for _, c := range m.svc.log[:applied.number] {
			if c.item == item {
				value = c.data
			}
		}
		rows = "DATAROW " + value + "\r\n"
	}
	r := run{at: now, member: m.id, id: id, text: text, logEnd: applied.number}
	m.svc.runs = append(m.svc.runs, r)
	if m.svc.onRun != nil {
		m.svc.onRun(r)
	}
	return fmt.Sprintf("%sCOMPLETE %s.%d\r\n", rows, m.id, len(m.svc.runs))
}
