package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// member is a member of a service. group.mu guards its state.
type member struct {
	g       *group
	id      string
	zone    string
	addr    string
	born    int64
	log     []*entry
	logTerm uint64 // term that the member is in
	applied int
	held    uint64        // term of PAUSE
	deaf    bool          // receives nothing
	apart   bool          // partitioned from the other members
	owner   string        // VM that sent the last read
	delay   time.Duration // from the primary, one way
	lag     time.Duration // from the receipt to the application
	state   string
	seq     int
	conns   map[*memberConn]bool
	down    bool

	listener net.Listener
}

func pos(term uint64, n int) string { return fmt.Sprintf("%d.%d", term, n) }

// received and appliedPos return positions. g.mu must be held.
func (m *member) received() string {
	if m.logTerm == 0 {
		return "-"
	}
	return pos(m.logTerm, len(m.log))
}

func (m *member) appliedPos() string {
	if m.logTerm == 0 {
		return "-"
	}
	return pos(m.logTerm, m.applied)
}

// crash ends a member. Its connections break, and new ones are refused.
func (m *member) crash() {
	g := m.g
	g.mu.Lock()
	m.down = true
	conns := make([]*memberConn, 0, len(m.conns))
	for c := range m.conns {
		conns = append(conns, c)
	}
	l := m.listener
	g.mu.Unlock()
	_ = l.Close()
	for _, c := range conns {
		_ = c.nc.Close()
	}
	g.w.record("member %s crashes", m.id)
}

// comeBack starts a member again that has crashed. It has its log, and receives what it lacks.
func (m *member) comeBack() {
	l, err := net.Listen("tcp", m.addr)
	check(err)
	m.g.mu.Lock()
	m.down, m.listener = false, l
	m.g.mu.Unlock()
	go m.accept(l)
	m.g.w.record("member %s is back", m.id)
}

// rejoin ends the partition of a member from the others. If another one leads now, the member is rolled back to what that one
// holds.
func (m *member) rejoin() {
	g := m.g
	g.mu.Lock()
	defer g.mu.Unlock()
	m.apart = false
	if p := g.primary; p != m && p != nil {
		n := 0
		for n < len(m.log) && n < len(p.log) && m.log[n] == p.log[n] {
			n++
		}
		m.log, m.applied, m.logTerm = m.log[:n:n], min(m.applied, n), g.term
	}
	g.w.record("member %s is joined with the others again", m.id)
}

// beat writes the member's entry of the platform's list.
func (m *member) beat(s *store) {
	m.g.mu.Lock()
	m.seq++
	role := "replica"
	if m.g.primary == m {
		role = "primary"
	}
	v, _ := json.Marshal(map[string]any{"service": m.g.name, "address": m.addr, "zone": m.zone, "config_version": "v1", "slots": m.g.w.slots,
		"state": m.state, "cold_left_ms": 0, "db_role": role, "sequence": m.seq, "born": m.born})
	down := m.down
	m.g.mu.Unlock()
	if !down {
		s.put(row{Table: "servers", Key: m.id, Value: v})
	}
}

// memberConn is a connection to a member.
type memberConn struct {
	m      *member
	nc     net.Conn
	fromMu sync.Mutex
	from   string // VM at the other end, "" if unknown
	tx     byte   // 'I', 'T' or 'E'
	plain  bool   // the transaction may write
	term   uint64 // in which the transaction began
	writes []write
	values map[string]string
	names  map[string]string
}

func (m *member) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &memberConn{m: m, nc: nc, tx: 'I', values: map[string]string{}, names: map[string]string{}}
		go c.serve()
	}
}

// vm returns the VM at the other end.
func (c *memberConn) vm() string {
	c.fromMu.Lock()
	defer c.fromMu.Unlock()
	if c.from == "" {
		c.from = c.m.g.w.lookUpVM(c.nc.RemoteAddr().String())
	}
	return c.from
}

// knownVM returns the VM at the other end if it has been looked up.
func (c *memberConn) knownVM() string {
	c.fromMu.Lock()
	defer c.fromMu.Unlock()
	return c.from
}

type timedLine struct {
	text string
	due  time.Time
}

// serve answers the lines of a connection, each after the delay of the network.
func (c *memberConn) serve() {
	defer c.nc.Close()
	d := c.m.g.w.distance(c.vm(), c.m.zone)
	in := make(chan timedLine, 1024)
	out := make(chan timedLine, 1024)
	gone := make(chan struct{})
	go func() {
		defer close(in)
		r := bufio.NewReaderSize(c.nc, 64<<10)
		for {
			t, err := r.ReadString('\n')
			if err != nil {
				return
			}
			in <- timedLine{strings.TrimSuffix(t, "\r\n"), time.Now().Add(d)}
		}
	}()
	go func() {
		defer close(gone)
		for t := range out {
			time.Sleep(time.Until(t.due))
			c.m.g.w.waitWhileCut(c.vm(), c.m)
			if _, err := c.nc.Write([]byte(t.text)); err != nil {
				return
			}
		}
	}()
	defer close(out)
	send := func(text string) {
		select {
		case out <- timedLine{text, time.Now().Add(d)}:
		case <-gone:
		}
	}
	c.m.g.mu.Lock()
	c.m.conns[c] = true
	c.m.g.mu.Unlock()
	defer func() {
		c.m.g.mu.Lock()
		delete(c.m.conns, c)
		c.m.g.mu.Unlock()
	}()
	started := false
	for t := range in {
		time.Sleep(time.Until(t.due))
		if !c.m.g.w.waitWhileCut(c.vm(), c.m) {
			return // a connection whose far end was unreachable for 3 s is dropped
		}
		word, rest, _ := strings.Cut(t.text, " ")
		switch {
		case word == "TERMINATE":
			return
		case !started:
			f := strings.Fields(rest)
			if word != "STARTUP" || len(f) < 2 || f[0] != c.m.g.name || len(f) > 2 && f[2] != c.m.id {
				send("ERROR MISROUTED " + c.m.id + "\r\n")
				return
			}
			started = true
			c.m.g.mu.Lock()
			n := len(c.m.conns)
			p := c.m.appliedPos()
			c.m.g.mu.Unlock()
			if n > c.m.g.w.maxConns {
				send("ERROR CONNLIMIT " + c.m.id + "\r\n")
				return
			}
			send("READY I " + p + "\r\n")
		case word == "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			lines := c.query(id, text)
			c.m.g.mu.Lock()
			p := c.m.appliedPos()
			c.m.g.mu.Unlock()
			send(lines + "READY " + string(c.tx) + " " + p + "\r\n")
		}
	}
}

var signatures atomic.Uint64

func complete(m *member) string {
	return fmt.Sprintf("COMPLETE %s.%d\r\n", m.id, signatures.Add(1))
}

func (c *memberConn) fail(code string) string {
	if c.tx == 'T' {
		c.tx = 'E'
	}
	return "ERROR " + code + " " + c.m.id + "\r\n"
}

// query runs one statement and returns the lines of the answer before READY.
func (c *memberConn) query(id, text string) string {
	g, m := c.m.g, c.m
	verb, rest, _ := strings.Cut(text, " ")
	after := ""
	if verb == "AFTER" {
		after, rest, _ = strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(rest, " ")
	}
	if c.tx == 'E' && verb != "COMMIT" && verb != "ROLLBACK" {
		return "ERROR MALFORMED " + m.id + "\r\n"
	}
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := c.names[name]
		if !ok {
			return c.fail("NOSTMT")
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = args
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		g.mu.Lock()
		defer g.mu.Unlock()
		n, _ := strconv.ParseUint(rest, 10, 64)
		switch {
		case verb == "PAUSE" && n > g.term && g.primary != m:
			m.held = n
		case verb == "RESUME":
			m.held = 0
		case verb == "DEMOTE" && g.primary == m && n > g.term:
			g.primary = nil
			g.epoch++
		}
		role := "replica"
		if g.primary == m {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %s %d %d %d %d\r\nCOMPLETE -\r\n", role, m.logTerm, m.received(), m.held, m.lag.Milliseconds(), 0, len(m.conns))
	case "SET":
		if c.lostLead() {
			return c.fail("READONLY")
		}
		name, v, _ := strings.Cut(rest, " ")
		c.values[name] = v
		return "COMPLETE -\r\n"
	case "PREPARE":
		if c.lostLead() {
			return c.fail("READONLY")
		}
		name, shape, _ := strings.Cut(rest, " ")
		c.names[name] = shape
		return "COMPLETE -\r\n"
	case "DEALLOC":
		delete(c.names, rest)
		return "COMPLETE -\r\n"
	case "RESET":
		c.values, c.names = map[string]string{}, map[string]string{}
		return "COMPLETE -\r\n"
	case "BEGIN":
		g.mu.Lock()
		defer g.mu.Unlock()
		if after != "" && !m.covers(after) {
			return c.fail("LAGGING")
		}
		if rest != "READ" && g.primary != m {
			return c.fail("READONLY")
		}
		c.tx, c.plain, c.term, c.writes = 'T', rest != "READ", g.term, nil
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		c.tx, c.writes = 'I', nil
		return "COMPLETE -\r\n"
	case "READ":
		time.Sleep(g.w.workTime)
		g.mu.Lock()
		defer g.mu.Unlock()
		if c.tx == 'T' && c.plain && (g.primary != m || g.term != c.term) {
			return c.fail("READONLY")
		}
		if after != "" && !m.covers(after) {
			return c.fail("LAGGING")
		}
		value := "none"
		for i := m.applied - 1; i >= 0; i-- {
			if v, ok := m.log[i].value(rest); ok {
				value = v
				break
			}
		}
		if from := c.knownVM(); from != "" {
			m.owner = from
		}
		g.w.ranRead(id, m, rest, m.applied)
		g.w.ran(id, c)
		return "DATAROW " + value + "\r\n" + complete(m)
	case "WRITE":
		time.Sleep(g.w.workTime)
		item, data, _ := strings.Cut(rest, " ")
		wr := write{id, item, data}
		if c.tx == 'T' {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !c.plain || g.primary != m || g.term != c.term {
				return c.fail("READONLY")
			}
			c.writes = append(c.writes, wr)
			g.w.ran(id, c)
			return complete(m)
		}
		return c.commit([]write{wr}, g.currentTerm())
	case "COMMIT":
		time.Sleep(g.w.workTime)
		if c.tx != 'T' {
			c.tx = 'I'
			return "ERROR MALFORMED " + m.id + "\r\n"
		}
		ws, term := c.writes, c.term
		c.tx, c.writes = 'I', nil
		if len(ws) == 0 {
			return complete(m)
		}
		return c.commit(ws, term)
	}
	return c.fail("MALFORMED")
}

// lostLead reports whether the connection is in a plain transaction whose member has lost the lead. Any statement of it but the
// COMMIT of a transaction that wrote nothing, and the ROLLBACK that ends it, is answered READONLY.
func (c *memberConn) lostLead() bool {
	c.m.g.mu.Lock()
	defer c.m.g.mu.Unlock()
	return c.tx == 'T' && c.plain && (c.m.g.primary != c.m || c.m.g.term != c.term)
}

func (c *memberConn) commit(ws []write, term uint64) string {
	g, m := c.m.g, c.m
	g.mu.Lock()
	if g.primary != m || g.term != term || m.down {
		g.mu.Unlock()
		return c.fail("READONLY")
	}
	e, got, p := g.commit(m, ws)
	e.madeAt()
	ended := g.ended
	g.w.record("commit %s %s at %s request=%s", g.name, p, m.id, ws[0].request)
	g.mu.Unlock()
	if g.sync > 0 {
		select {
		case <-got:
		case <-ended:
		case <-time.After(5 * time.Second):
			return "ERROR TIMEOUT " + m.id + "\r\n"
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != m || g.term != term {
		return "ERROR FAILED " + m.id + "\r\n" // it ran, and it may be kept
	}
	e.acked = time.Now()
	return complete(m)
}

// covers reports whether the member has applied a position. g.mu must be held.
func (m *member) covers(p string) bool {
	t, n, _ := strings.Cut(p, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	num, _ := strconv.Atoi(n)
	return m.logTerm >= term && m.applied >= num
}
