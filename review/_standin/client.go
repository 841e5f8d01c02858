package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) { r.at(time.Now(), format, args...) }

func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%9.4f %s\n", t.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// client is a caller's session.
type client struct {
	rec *record
	nc  net.Conn
	r   *bufio.Reader
}

func connect(rec *record, addr, database string) (*client, error) {
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, nc: nc, r: bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(nc, "STARTUP %s reviewer\r\n", database); err != nil {
		c.close()
		return nil, err
	}
	line, err := readLine(c.r)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("%s", line)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.nc.Close() }

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is the answer to one statement.
type answer struct {
	id          string
	sent, ended time.Time
	lines       []string // without READY
	state       string   // "" if the connection ended
}

// ok reports whether a member answered with success.
func (a answer) ok() bool {
	return a.state != "" && len(a.lines) > 0 && strings.HasPrefix(a.lines[len(a.lines)-1], "COMPLETE ")
}

// query sends one statement and reads its answer.
func (c *client) query(text string) answer {
	a := answer{id: newID(), sent: time.Now()}
	c.rec.at(a.sent, "client sends %s %q", a.id, text)
	_ = c.nc.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c.nc, "QUERY %s %s\r\n", a.id, text); err != nil {
		a.ended = time.Now()
		return a
	}
	for {
		line, err := readLine(c.r)
		a.ended = time.Now()
		if err != nil {
			c.rec.line("client's connection ends while %s is not answered: %v", a.id, err)
			return a
		}
		if kind, rest := cut(line); kind == "READY" {
			a.state, _ = cut(rest)
			c.rec.line("client gets the answer to %s: %q, state %s", a.id, a.lines, a.state)
			return a
		}
		a.lines = append(a.lines, line)
	}
}
