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

// entry is a commit in the log of a service.
type entry struct {
	term, number uint64
	writes       []write
	acked        time.Time // when the primary acknowledged it; zero if it has not
}

type write struct{ request, item, data string }

// group is a service: one primary and its replicas.
type group struct {
	w           *world
	name        string
	sync        int
	promoteTime time.Duration

	mu        sync.Mutex
	term      uint64
	primary   *member
	members   []*member
	promoting string        // id of the member whose promotion has been requested
	epoch     int           // counts promotions; entries sent in an earlier one are dropped
	ended     chan struct{} // closed when the primary of the present term is replaced
	lost      []*entry
}

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
	delay   time.Duration // from the primary, one way
	lag     time.Duration // from the receipt to the application
	state   string
	seq     int
	conns   map[*memberConn]bool
	down    bool
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

// commit appends an entry at the primary and returns it with a channel that is closed when a replica has received it.
func (g *group) commit(m *member, ws []write) (*entry, chan struct{}, string) {
	e := &entry{term: g.term, number: uint64(len(m.log) + 1), writes: ws}
	m.log = append(m.log, e)
	m.applied = len(m.log)
	got := make(chan struct{})
	var once sync.Once
	epoch := g.epoch
	for _, r := range g.members {
		if r == m {
			continue
		}
		r := r
		time.AfterFunc(r.delay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.epoch != epoch || r.deaf || r.down || r.held >= g.term && r.held != 0 {
				return
			}
			r.receive(int(e.number))
			if len(r.log) >= int(e.number) {
				once.Do(func() { close(got) })
			}
		})
	}
	return e, got, pos(g.term, len(m.log))
}

// receive gives the replica the primary's log up to entry n. g.mu must be held.
func (r *member) receive(n int) {
	p := r.g.primary
	if p == nil || p == r || r.deaf || r.down {
		return
	}
	r.logTerm = r.g.term
	if len(r.log) < n {
		r.log = append(r.log, p.log[len(r.log):n]...)
		r.applyLater(n)
	}
}

func (r *member) applyLater(n int) {
	epoch := r.g.epoch
	time.AfterFunc(r.lag, func() {
		r.g.mu.Lock()
		defer r.g.mu.Unlock()
		if r.g.epoch == epoch && r.applied < n && n <= len(r.log) {
			r.applied = n
		}
	})
}

// catchUp lets a replica that is behind receive what it lacks, such as after a cut.
func (g *group) catchUp() {
	for {
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		for _, r := range g.members {
			if p := g.primary; p != nil && r != p && !r.deaf && !r.down && !(r.held != 0 && r.held >= g.term) {
				if r.logTerm != g.term {
					r.logTerm = g.term
				}
				// entries older than the delay
				for len(r.log) < len(p.log) && time.Since(p.log[len(r.log)].madeAt()) > r.delay+100*time.Millisecond {
					r.log = append(r.log, p.log[len(r.log)])
				}
				if len(r.log) > r.applied {
					r.applyLater(len(r.log))
				}
			}
		}
		g.mu.Unlock()
	}
}

var made sync.Map // *entry -> time

func (e *entry) madeAt() time.Time {
	t, ok := made.Load(e)
	if !ok {
		t = time.Now()
		made.Store(e, t)
	}
	return t.(time.Time)
}

// beginPromotion starts the promotion of a member, and reports whether that member runs.
func (g *group) beginPromotion(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var m *member
	for _, x := range g.members {
		if x.id == id {
			m = x
		}
	}
	if m == nil || m.down {
		return false
	}
	if m == g.primary || g.promoting == id {
		return true
	}
	g.promoting = id
	time.AfterFunc(g.promoteTime, func() { g.takeOver(m) })
	return true
}

// takeOver makes m the primary of the next term with what it has received.
func (g *group) takeOver(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.promoting != m.id || m.down {
		return
	}
	old := g.primary
	g.promoting = ""
	g.epoch++
	g.term++
	g.primary = m
	close(g.ended)
	g.ended = make(chan struct{})
	for _, r := range g.members {
		r.delay = g.w.between(m.zone, r.zone)
	}
	m.logTerm, m.applied, m.held = g.term, len(m.log), 0
	lostAcked := 0
	if old != nil {
		for _, e := range old.log {
			if int(e.number) > len(m.log) || m.log[e.number-1] != e {
				if !e.acked.IsZero() {
					lostAcked++
					g.lost = append(g.lost, e)
					g.w.record("LOST service=%s: commit %s of request %s was acknowledged %.1f ms ago and is not in the log of %s, which ends at %d and is promoted",
						g.name, pos(e.term, int(e.number)), e.writes[0].request, float64(time.Since(e.acked).Microseconds())/1000, m.id, len(m.log))
				}
			}
		}
	}
	for _, r := range g.members {
		if r == m {
			continue
		}
		n := 0
		for n < len(r.log) && n < len(m.log) && r.log[n] == m.log[n] {
			n++
		}
		r.log, r.applied = r.log[:n:n], min(r.applied, n)
		if !r.deaf && !r.down {
			r.logTerm = g.term
		}
	}
	g.w.record("takeover service=%s member=%s term=%d log=%d acknowledged commits lost=%d", g.name, m.id, g.term, len(m.log), lostAcked)
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

func (m *member) listen() net.Listener {
	l, err := net.Listen("tcp", m.addr)
	check(err)
	go m.accept(l)
	return l
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

func (g *group) currentTerm() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
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

func (e *entry) value(item string) (string, bool) {
	for i := len(e.writes) - 1; i >= 0; i-- {
		if e.writes[i].item == item {
			return e.writes[i].data, true
		}
	}
	return "", false
}
