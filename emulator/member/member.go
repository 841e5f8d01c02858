// Package member is a stand-in for one member of a database group. It speaks the PostgreSQL protocol on a data
// address and the control operations of the platform on a control address, and follows assumptions A5 to A10 of the
// design page. Statements are recognised by pattern, there is no SQL parser. Data lives in memory. The package is
// not part of the product.
package member

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/silence"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Defaults of Options.
const (
	DefaultSlots       = 2
	DefaultConnections = 16
)

const readHeaderTimeout = 10 * time.Second

// Options configure a member. Zero Slots and Connections select the defaults.
type Options struct {
	Name         string
	Data         net.Listener // PostgreSQL protocol
	Control      net.Listener // HTTP
	Slots        int          // statements that run at once
	Connections  int          // connection limit
	ConnectDelay time.Duration
	Faults       Faults // initial faults, lag and service time

	// Term is the initial term. Primary makes this member the primary of that term without a fence; else it
	// follows Follow, if that has a control address, and starts fenced otherwise.
	Term    platform.Term
	Primary bool
	Follow  platform.Member
	// Resolve returns the address at which this member reaches another one; nil takes the address given. Members
	// resolve each other by name, since a promoter elsewhere may know another address.
	Resolve func(m platform.Member) platform.Member
}

// Member is a running member.
type Member struct {
	opts   Options
	engine *engine
	faults *faultSet
	slots  *slots
	data   *silence.Listener
	ctl    *silence.Listener
	counts counters

	ctx    context.Context // ends at Close
	cancel context.CancelFunc
	group  sync.WaitGroup
	http   *http.Server

	// control serialises fence, promote and follow with the start and end of replication.
	control sync.Mutex

	mu       sync.Mutex
	closed   bool
	sessions map[uint32]*session // by process id
	nextPID  uint32
	stopPull context.CancelFunc
	pulling  pullTarget
}

// pullTarget is what a follower replicates from.
type pullTarget struct {
	term platform.Term
	addr string
}

// Start runs a member on the listeners of o until Close.
func Start(o Options) (*Member, error) {
	if o.Data == nil || o.Control == nil {
		return nil, errors.New("member: a data and a control listener are needed")
	}
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	m := &Member{
		opts: o, engine: newEngine(o.Name), faults: newFaultSet(o.Faults),
		slots: newSlots(o.Slots), sessions: make(map[uint32]*session),
	}
	m.data, m.ctl = silence.Wrap(o.Data), silence.Wrap(o.Control)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.engine.setLeaving(o.Faults.Leaving)
	m.configure()
	m.http = &http.Server{Handler: m.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	m.start(func() { _ = m.http.Serve(m.ctl) })
	m.start(func() { m.accept(m.data) })
	m.start(func() { m.apply(m.ctx) })
	return m, nil
}

func (m *Member) configure() {
	switch {
	case m.opts.Primary:
		m.engine.configure(platform.RolePrimary, m.opts.Term)
	case m.opts.Follow.ControlAddr != "":
		m.engine.configure(platform.RoleReplica, m.opts.Term)
		m.startPull(m.opts.Term, m.opts.Follow)
	case m.opts.Term == 0:
		m.engine.loseState()
	}
}

func (m *Member) start(f func()) {
	m.group.Add(1)
	go func() {
		defer m.group.Done()
		f()
	}()
}

// DataAddr returns the address of the PostgreSQL protocol.
func (m *Member) DataAddr() string { return m.opts.Data.Addr().String() }

// ControlAddr returns the address of the control operations.
func (m *Member) ControlAddr() string { return m.opts.Control.Addr().String() }

// Status returns the member's status, regardless of faults.
func (m *Member) Status() platform.Status {
	s, _ := m.engine.status()
	return s
}

// WaitStatus waits until ok accepts the status or ctx ends, and returns the last status.
func (m *Member) WaitStatus(ctx context.Context, ok func(platform.Status) bool) (platform.Status, error) {
	for {
		s, changed := m.engine.status()
		if ok(s) {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s, ctx.Err()
		}
	}
}

// SilenceConnections makes all open connections of the data and control addresses permanently silent. New ones work.
func (m *Member) SilenceConnections() {
	m.data.Silence()
	m.ctl.Silence()
}

// Close stops the member and closes its connections. Its data is gone.
func (m *Member) Close() {
	m.mu.Lock()
	m.closed = true
	open := make([]*session, 0, len(m.sessions))
	for _, s := range m.sessions {
		open = append(open, s)
	}
	m.mu.Unlock()
	m.cancel()
	_ = m.opts.Data.Close()
	_ = m.http.Close()
	for _, s := range open {
		_ = s.conn.Close()
	}
	m.group.Wait()
}

// startPull replaces the present replication by one from the given primary.
func (m *Member) startPull(term platform.Term, primary platform.Member) {
	if m.opts.Resolve != nil {
		primary = m.opts.Resolve(primary)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	target := pullTarget{term, primary.ControlAddr}
	if m.closed || (m.stopPull != nil && m.pulling == target) {
		return
	}
	if m.stopPull != nil {
		m.stopPull()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.stopPull, m.pulling = cancel, target
	m.start(func() { m.pull(ctx, term, primary) })
}

// endPull stops replication after a fence or promotion.
func (m *Member) endPull() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopPull != nil {
		m.stopPull()
		m.stopPull = nil
	}
}
