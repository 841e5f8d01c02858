// Package backend keeps the connections to one member and runs units of work on them.
package backend

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	defaultConnectTimeout = 2 * time.Second
	// defaultUnitTimeout bounds units whose context has no deadline, so that no wait is unbounded.
	defaultUnitTimeout = 60 * time.Second
	// defaultCancelGrace is how long a cancelled statement may take to finish before its connection is closed.
	defaultCancelGrace   = time.Second
	defaultMaxStatements = 256
	// maxHeldBytes bounds the answer of a write that waits for its acknowledgement.
	maxHeldBytes = 1 << 20
)

// Options configure a Pool.
type Options struct {
	Member         platform.Member
	User, Database string
	MaxConnections int           // 0: Member.Connections
	MaxStatements  int           // prepared statements per connection
	ConnectTimeout time.Duration // dial and startup
	CancelGrace    time.Duration // wait for the answer of a cancelled statement
	Dial           func(ctx context.Context, addr string) (net.Conn, error)
	// WaitAcknowledged is called when the member has answered a write, before the held part of the answer is released. An
	// error makes the outcome unknown and drops the held bytes. Nil acknowledges at once.
	WaitAcknowledged func(ctx context.Context, term platform.Term, position platform.Position) error
	// Admit is called right before a unit is sent, since the time that it took to get a connection may have changed whether
	// the unit may run. After an error the unit is not run. Nil admits every unit.
	Admit func(u *unit.Unit) error
	Log   logrus.FieldLogger
}

// Stats are counters and gauges of a pool.
type Stats struct {
	Open, Idle, Transactions, Waiting int
	Dials, DialErrors                 uint64
	Cancels                           uint64 // cancel requests sent
	Replaced                          uint64 // idle connections closed because other connections of the pool went silent
}

// Pool holds the connections to one member that speaks the PostgreSQL protocol. Package connpool serves other protocols.
type Pool struct {
	opts Options

	mu          sync.Mutex
	idle        [2][]*conn         // guarded by mu; index 1: default_transaction_read_only = on
	open        int                // guarded by mu; permits in use: connections open or being dialled
	waiters     []chan *conn       // guarded by mu; nil on a channel is a permit to dial
	tx          map[uint64]*conn   // guarded by mu; connections pinned by open transactions
	nextTx      uint64             // guarded by mu
	lastDialSeq uint64             // guarded by mu; number of the last dial
	generation  uint64             // guarded by mu; connections of an older generation are closed when idle
	closed      bool               // guarded by mu
	notOwned    bool               // guarded by mu; this VM does not own the member
	conns       map[*conn]struct{} // guarded by mu; open connections
	probe       *conn              // guarded by mu; the probe connection, nil while watchSilence uses it

	done            chan struct{}      // closed by Close
	probeRequests   chan chan struct{} // requests for a probe connection; each channel is closed once opening one was tried
	probeMaintained atomic.Bool        // there is a probe connection, or each tick tries to open one

	dials, dialErrors, cancels, replaced         atomic.Uint64
	cancelLogLimit, silenceLogLimit, tagLogLimit loglimit.Limiter
}

// NewPool returns a pool without connections; they are opened on demand.
func NewPool(o Options) *Pool {
	if o.MaxConnections <= 0 {
		o.MaxConnections = max(o.Member.Connections, 1)
	}
	if o.MaxStatements <= 0 {
		o.MaxStatements = defaultMaxStatements
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.CancelGrace <= 0 {
		o.CancelGrace = defaultCancelGrace
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	if o.Admit == nil {
		o.Admit = func(*unit.Unit) error { return nil }
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	p := &Pool{opts: o, tx: map[uint64]*conn{}, conns: map[*conn]struct{}{}, nextTx: firstTxID(), done: make(chan struct{}), probeRequests: make(chan chan struct{})}
	go p.watchSilence()
	return p
}

// firstTxID returns a random first transaction id. A restarted process must not reuse the ids of its predecessor's
// transactions, which callers may still refer to.
func firstTxID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// release makes a connection available again, or closes it when it must not be reused.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	if p.closed || c.tainted || c.generation < p.generation {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	c = p.keepOldestAsProbe(c)
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = append(p.waiters[:0], p.waiters[1:]...)
		p.mu.Unlock()
		w <- c
		return
	}
	i := 0
	if c.readOnly {
		i = 1
	}
	p.idle[i] = append(p.idle[i], c)
	p.mu.Unlock()
}

// discard closes a connection that the caller holds and releases its permit.
func (p *Pool) discard(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	p.releasePermit()
}

// releasePermit hands a permit that is no longer used to the first waiter, or lowers the number of open connections.
func (p *Pool) releasePermit() {
	p.mu.Lock()
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = append(p.waiters[:0], p.waiters[1:]...)
		p.mu.Unlock()
		w <- nil
		return
	}
	p.open--
	p.mu.Unlock()
}

// SetOwned tells the pool whether this VM owns the member. While this VM does not own it, the pool closes idle connections,
// since the new owner needs them, and a unit is refused if the member allows no connection for it.
func (p *Pool) SetOwned(owned bool) {
	p.mu.Lock()
	p.notOwned = !owned
	if owned {
		p.mu.Unlock()
		return
	}
	toClose := p.takeIdle()
	p.mu.Unlock()
	for _, c := range toClose {
		p.discard(c)
	}
}

// takeIdle removes and returns the idle connections, which the caller then holds. mu must be held.
func (p *Pool) takeIdle() []*conn {
	idle := append(p.idle[0], p.idle[1]...)
	p.idle[0], p.idle[1] = nil, nil
	return idle
}

func (p *Pool) isNotOwned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notOwned
}

// Close closes idle connections and makes the pool refuse units. The endpoint rolls back open transactions, as their
// connections are closed. Units in progress finish.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		close(p.done)
	}
	p.closed = true
	toClose := p.takeIdle()
	for id, c := range p.tx {
		if c.txBusy {
			c.closeAfterUnit = true
			continue
		}
		delete(p.tx, id)
		toClose = append(toClose, c)
	}
	p.mu.Unlock()
	for _, c := range toClose {
		p.discard(c)
	}
}

// Stats returns the current counters and gauges.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Open: p.open, Idle: len(p.idle[0]) + len(p.idle[1]), Transactions: len(p.tx), Waiting: len(p.waiters),
		Dials: p.dials.Load(), DialErrors: p.dialErrors.Load(), Cancels: p.cancels.Load(), Replaced: p.replaced.Load(),
	}
}

// WaitingUnits returns the number of units that wait for a connection.
func (p *Pool) WaitingUnits() int { return p.Stats().Waiting }

// Run runs one unit on one connection and writes its answer to sink. The bytes of u must stay unchanged until Run
// returns. Cancelling ctx cancels the statement at the member.
func (p *Pool) Run(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if _, ok := ctx.Deadline(); !ok {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, defaultUnitTimeout)
		defer stop()
	}
	c, err := p.takeConn(ctx, u)
	if err != nil {
		return unit.Result{Outcome: errkind.OutcomeNotRun, Err: err, TxStatus: 'I'}
	}
	return p.finishUnit(c, u, c.runUnit(ctx, p, u, sink))
}
