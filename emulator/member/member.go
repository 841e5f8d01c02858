// Package member emulates one member of a database group. It speaks the PostgreSQL protocol on a data address and the
// control operations of the platform on a control address. It limits connections and concurrent statements, replicates
// the log of the primary, and refuses operations that a fence excludes. Statements are recognised by pattern; there is
// no SQL parser. Data lives in memory. The package is used by tests and the demo and is not part of the product.
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

// Options configure a member. Slots and Connections of zero select the defaults.
type Options struct {
	Name         string
	Data         net.Listener  // serves the PostgreSQL protocol
	Control      net.Listener  // serves the control operations over HTTP
	Slots        int           // limit of concurrent statements
	Connections  int           // limit of open connections
	ConnectDelay time.Duration // delay before the startup message of a connection is answered
	Faults       Faults        // initial faults, including lag and service time

	// Term is the initial term. If Primary is set, the member starts as the primary of that term without a fence.
	// Otherwise it starts as a replica of Follow or, when Follow has no control address, in the fenced role. In the
	// fenced role, a Term of zero means that the member lost its state.
	Term    platform.Term
	Primary bool
	Follow  platform.Member
	// Resolve returns m with the addresses at which this member reaches it, which it looks up by name: a promoter
	// elsewhere may know m under other addresses. Nil keeps the addresses given.
	Resolve func(m platform.Member) platform.Member
}

// Member is a running member.
type Member struct {
	opts            Options
	engine          *engine
	faults          *faultSet
	slots           *slots
	dataListener    *silence.Listener
	controlListener *silence.Listener
	counters        counters

	ctx           context.Context // cancelled by Close
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	controlServer *http.Server

	// roleMu makes each fence, promote or follow and the resulting start or end of replication one step.
	roleMu sync.Mutex

	mu              sync.Mutex
	closed          bool
	sessions        map[uint32]*session // by the process ID sent to the client
	nextPID         uint32
	stopReplication context.CancelFunc // nil unless replication runs
	source          replicationSource
}

// replicationSource identifies the primary that a replica replicates from.
type replicationSource struct {
	term platform.Term
	addr string
}

// Start starts a member on the listeners of o. It runs until Close.
func Start(o Options) (*Member, error) {
	if o.Data == nil || o.Control == nil {
		return nil, errors.New("member: options must hold a data and a control listener")
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
	m.dataListener, m.controlListener = silence.Wrap(o.Data), silence.Wrap(o.Control)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.engine.setLeaving(o.Faults.Leaving)
	m.takeInitialRole()
	m.controlServer = &http.Server{Handler: m.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	m.spawn(func() { _ = m.controlServer.Serve(m.controlListener) })
	m.spawn(func() { m.acceptLoop(m.dataListener) })
	m.spawn(func() { m.applyLoop(m.ctx) })
	return m, nil
}

// takeInitialRole applies the initial term and role of the options.
func (m *Member) takeInitialRole() {
	switch {
	case m.opts.Primary:
		m.engine.setInitialRole(platform.RolePrimary, m.opts.Term)
	case m.opts.Follow.ControlAddr != "":
		m.engine.setInitialRole(platform.RoleReplica, m.opts.Term)
		m.startReplication(m.opts.Term, m.opts.Follow)
	case m.opts.Term == 0:
		m.engine.markStateLost()
	}
}

// spawn runs f in a goroutine that Close waits for.
func (m *Member) spawn(f func()) {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		f()
	}()
}

// DataAddr returns the address that serves the PostgreSQL protocol.
func (m *Member) DataAddr() string { return m.opts.Data.Addr().String() }

// ControlAddr returns the address that serves the control operations.
func (m *Member) ControlAddr() string { return m.opts.Control.Addr().String() }

// Status returns the member's status, also during a control outage.
func (m *Member) Status() platform.Status {
	s, _ := m.engine.status()
	return s
}

// WaitStatus waits until ok accepts the status or ctx ends. It returns the last status seen.
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

// SilenceConnections makes all open connections of the data and control addresses silent permanently: they stay open
// without an answer. New connections work.
func (m *Member) SilenceConnections() {
	m.dataListener.Silence()
	m.controlListener.Silence()
}

// Close stops the member, closes its connections and discards its data.
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
	_ = m.controlServer.Close()
	for _, s := range open {
		_ = s.conn.Close()
	}
	m.wg.Wait()
}

// startReplication replicates from the given primary in term, in place of any earlier replication.
func (m *Member) startReplication(term platform.Term, primary platform.Member) {
	if m.opts.Resolve != nil {
		primary = m.opts.Resolve(primary)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	source := replicationSource{term, primary.ControlAddr}
	if m.closed || (m.stopReplication != nil && m.source == source) {
		return
	}
	if m.stopReplication != nil {
		m.stopReplication()
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.stopReplication, m.source = cancel, source
	m.spawn(func() { m.pullLoop(ctx, term, primary) })
}

// endReplication stops replication, if it runs.
func (m *Member) endReplication() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopReplication != nil {
		m.stopReplication()
		m.stopReplication = nil
	}
}
