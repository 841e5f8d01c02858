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

// service is a stand-in for one replicated service. All its members hold the same data at any time: no case of this program
// needs a lag. A member crash is not simulated either.
type service struct {
	name    string
	members []*member

	mu     sync.Mutex
	term   uint64
	number uint64            // of the last commit
	items  map[string]string // rows of an item, each ended by CR LF
	lead   *member
}

// member is one member of a service.
type member struct {
	id, zone, addr string
	svc            *service
	conns          atomic.Int64
	slots          chan struct{}
	work           time.Duration
	sequence       int
}

const (
	memberSlots = 3
	maxConns    = 34
	heartbeat   = 1200 * time.Millisecond
)

func (s *service) add(id, zone, addr string, work time.Duration) (*member, error) {
	m := &member{id: id, zone: zone, addr: addr, svc: s, work: work, slots: make(chan struct{}, memberSlots)}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.members = append(s.members, m)
	if s.lead == nil {
		s.lead = m
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m, nil
}

// beat writes the member's entry into the store until the program ends.
func (m *member) beat(s *store) {
	for {
		m.sequence++
		role := "replica"
		m.svc.mu.Lock()
		if m.svc.lead == m {
			role = "primary"
		}
		m.svc.mu.Unlock()
		value, _ := json.Marshal(map[string]any{"service": m.svc.name, "address": m.addr, "zone": m.zone, "config_version": "v1",
			"slots": memberSlots, "state": "ready", "cold_left_ms": 0, "db_role": role, "sequence": m.sequence})
		s.put("servers", m.id, value)
		time.Sleep(heartbeat)
	}
}

// serve serves one connection: STARTUP, then one query after the other.
func (m *member) serve(c net.Conn) {
	defer c.Close()
	r, w := bufio.NewReaderSize(c, 1<<20), bufio.NewWriterSize(c, 64<<10)
	line, err := readLine(r)
	f := strings.SplitN(line, " ", 4)
	if err != nil || f[0] != "STARTUP" || len(f) < 3 {
		return
	}
	if f[1] != m.svc.name || len(f) > 3 && f[3] != m.id {
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
	s := &memberSession{m: m, prepared: map[string]string{}, state: "I"}
	for {
		line, err := readLine(r)
		if err != nil || line == "TERMINATE" {
			return
		}
		f := strings.SplitN(line, " ", 3)
		if f[0] != "QUERY" || len(f) < 3 {
			return
		}
		rows, end := s.run(f[1], f[2])
		_, _ = w.WriteString(rows)
		fmt.Fprintf(w, "%s\r\nREADY %s %s\r\n", end, s.state, m.position())
		if w.Flush() != nil {
			return
		}
	}
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (m *member) position() string {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	return fmt.Sprintf("%d.%d", m.svc.term, m.svc.number)
}

func (m *member) leads() bool {
	m.svc.mu.Lock()
	defer m.svc.mu.Unlock()
	return m.svc.lead == m
}

// memberSession is the state of one connection to a member.
type memberSession struct {
	m        *member
	prepared map[string]string // access and shape by name
	state    string
	plain    bool // the open transaction may write
	writes   [][2]string
}

var signatures atomic.Uint64

// run runs one query and returns its rows and its COMPLETE or ERROR line.
func (s *memberSession) run(id, text string) (rows, end string) {
	m := s.m
	f := strings.SplitN(text, " ", 3)
	if f[0] == "AFTER" && len(f) == 3 { // every member holds every position
		text = f[2]
		f = strings.SplitN(text, " ", 3)
	}
	done := "COMPLETE -"
	switch f[0] {
	case "STATUS":
		role := "replica"
		if m.leads() {
			role = "primary"
		}
		m.svc.mu.Lock()
		defer m.svc.mu.Unlock()
		return fmt.Sprintf("DATAROW %s %d %d.%d 0 0 %d %d\r\n", role, m.svc.term, m.svc.term, m.svc.number, len(m.slots), m.conns.Load()), done
	case "RESET":
		s.prepared = map[string]string{}
		return "", done
	case "SET", "RESUME":
		return "", done
	case "PREPARE":
		s.prepared[f[1]] = f[2]
		return "", done
	case "DEALLOC":
		delete(s.prepared, f[1])
		return "", done
	case "BEGIN":
		if len(f) < 2 && !m.leads() {
			return "", "ERROR READONLY " + m.id
		}
		s.state, s.plain, s.writes = "T", len(f) < 2, nil
		return "", done
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return "", done
	}
	m.slots <- struct{}{}
	time.Sleep(m.work)
	<-m.slots
	signature := "COMPLETE " + strconv.FormatUint(signatures.Add(1), 16) + "." + id
	if f[0] == "EXECUTE" {
		shape, ok := s.prepared[f[1]]
		if !ok {
			return "", "ERROR NOSTMT " + m.id
		}
		access, _, _ := strings.Cut(shape, " ")
		f = strings.SplitN(access+" "+f[2], " ", 3)
	}
	switch f[0] {
	case "READ":
		m.svc.mu.Lock()
		defer m.svc.mu.Unlock()
		return m.svc.items[f[1]], signature
	case "WRITE", "COMMIT":
		if !m.leads() {
			if s.state == "T" {
				s.state = "E"
			}
			return "", "ERROR READONLY " + m.id
		}
		if f[0] == "WRITE" {
			s.writes = append(s.writes, [2]string{f[1], f[2]})
			if s.state == "T" {
				return "", signature
			}
		}
		m.svc.mu.Lock()
		defer m.svc.mu.Unlock()
		for _, w := range s.writes {
			m.svc.items[w[0]] = "DATAROW " + w[1] + "\r\n"
		}
		if len(s.writes) > 0 {
			m.svc.number++
		}
		s.state, s.writes = "I", nil
		return "", signature
	}
	return "", "ERROR FAILED " + m.id
}
