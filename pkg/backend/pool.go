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
	// defaultUnitTimeout bounds units whose context has no deadline: every wait has one (D9).
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
	// WaitAcknowledged is called between the endpoint's answer to a write and the release of its held bytes. An error
	// makes the outcome unknown and drops the held bytes. Nil acknowledges at once.
	WaitAcknowledged func(ctx context.Context, term platform.Term, position platform.Position) error
	// Admit is called when a unit has its connection, right before the unit is sent: to wait for a connection or to open one
	// takes time. After an error the unit is not run. Nil admits every unit.
	Admit func(u *unit.Unit) error
	Log   logrus.FieldLogger
}

// Stats are counters and gauges of a pool.
type Stats struct {
	Open, Idle, Transactions, Waiting int
	Dials, DialErrors                 uint64
	Cancels                           uint64 // cancel requests sent
	Replaced                          uint64 // connections replaced because an older one went silent
}

// Pool holds the connections to one member.
type Pool struct {
	opts Options

	mu             sync.Mutex
	idle           [2][]*conn         // guarded by mu; index 1: default_transaction_read_only = on
	open           int                // guarded by mu; connections open or being dialled
	waiters        []chan *conn       // guarded by mu; nil on a channel means permission to dial
	tx             map[uint64]*conn   // guarded by mu; connections pinned by open transactions
	nextTx         uint64             // guarded by mu
	lastDialSeq    uint64             // guarded by mu; number of the last dial
	generation     uint64             // guarded by mu; connections of an older generation are closed when idle
	closed         bool               // guarded by mu
	ownedElsewhere bool               // guarded by mu; another VM owns the member
	conns          map[*conn]struct{} // guarded by mu; open connections
	probe          *conn              // guarded by mu; nil while watchSilence uses it

	done            chan struct{}      // closed by Close
	probeRequests   chan chan struct{} // asks for a probe connection; what is sent is closed once opening it was tried
	probeMaintained atomic.Bool        // there is a probe connection, or opening one is tried at each tick

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

// firstTxID returns the first transaction id. Ids of a restarted process must not name transactions of its
// predecessor, whose callers may still refer to them.
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

// discard closes a connection that the caller owns.
func (p *Pool) discard(c *conn) {
	_ = c.nc.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	p.releasePermit()
}

// releasePermit lowers the number of open connections, or passes the permission to dial to a waiter.
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

// SetOwned tells the pool whether this VM owns the member. Without it the pool closes connections that nobody uses,
// since the new owner needs them, and refuses units that find the member's connections in use.
func (p *Pool) SetOwned(owned bool) {
	p.mu.Lock()
	p.ownedElsewhere = !owned
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

// takeIdle must be called with mu held. It returns the idle connections, which now belong to the caller.
func (p *Pool) takeIdle() []*conn {
	idle := append(p.idle[0], p.idle[1]...)
	p.idle[0], p.idle[1] = nil, nil
	return idle
}

func (p *Pool) isOwnedElsewhere() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownedElsewhere
}

// Close closes idle connections and makes the pool refuse units. Open transactions are rolled back by the endpoint;
// units in progress finish.
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

// Stats returns the present counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Open: p.open, Idle: len(p.idle[0]) + len(p.idle[1]), Transactions: len(p.tx), Waiting: len(p.waiters),
		Dials: p.dials.Load(), DialErrors: p.dialErrors.Load(), Cancels: p.cancels.Load(), Replaced: p.replaced.Load(),
	}
}

// Waiting returns the number of units that wait for a connection.
func (p *Pool) Waiting() int { return p.Stats().Waiting }

// Run runs one unit on one connection and streams its answer to sink. The bytes of u must stay unchanged until Run
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
