// Package connpool keeps the connections to one member for endpoint protocols that package backend does not speak. It
// pins a connection to each open transaction and never reuses one whose answer is incomplete. It is independent of the
// protocol: Options.Dial opens the connections.
package connpool

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// rollbackTimeout bounds the rollback of an abandoned transaction. The connection is closed if it takes longer.
const rollbackTimeout = time.Second

// limitRetryInterval is the time between attempts to connect to a member that has reached its connection limit. A former
// owner closes its connections within owner.sweepInterval.
const limitRetryInterval = 20 * time.Millisecond

// Conn is one connection to the member. The pool runs at most one unit or rollback on it at a time.
type Conn interface {
	// Run runs one unit and writes its complete answer to sink. TxStatus of the result tells whether a transaction is open
	// afterwards.
	Run(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result
	// Rollback ends the open transaction.
	Rollback(ctx context.Context) error
	// Usable reports whether the connection can run another unit: no answer is outstanding, and the member has not closed
	// the connection.
	Usable() bool
	Close()
}

// Options configure a Pool.
type Options struct {
	Member         string // for messages
	MaxConnections int
	// Dial opens a connection for the callers of a team, which is empty if they have none. An error of kind TooManyConnections means that the member has reached its limit.
	Dial func(ctx context.Context, team string) (Conn, error)
	// OnConnectionLimit, if set, is called with the number of open connections when the member allows no more, and with
	// MaxConnections when that is over. It must not call the pool.
	OnConnectionLimit func(connections int)
	// Admit is called when a unit has its connection, right before the unit is sent. After an error the unit is not run. Nil
	// admits every unit.
	Admit func(u *unit.Unit) error
	Log   logrus.FieldLogger
}

// Pool holds the connections to one member whose endpoint protocol is not PostgreSQL's; backend.Pool serves that one.
type Pool struct {
	opts Options

	mu       sync.Mutex
	idle     idleConns              // guarded by mu
	open     int                    // guarded by mu; permits in use: connections open or being dialled
	waiters  []waiter               // guarded by mu
	atLimit  bool                   // guarded by mu; the member has reached its limit: one unit dials again, the others wait
	tx       map[uint64]*pinnedConn // guarded by mu; by transaction id
	nextTx   uint64                 // guarded by mu
	notOwned bool                   // guarded by mu; this VM does not own the member
	closed   bool                   // guarded by mu
}

// pinnedConn is the connection of an open transaction.
type pinnedConn struct {
	conn              *pooledConn
	busy              bool // a unit runs on it
	rollbackAfterUnit bool // the transaction is rolled back when its running unit ends
}

// New returns a pool without connections; they are opened on demand.
func New(o Options) *Pool {
	if o.Admit == nil {
		o.Admit = func(*unit.Unit) error { return nil }
	}
	if o.OnConnectionLimit == nil {
		o.OnConnectionLimit = func(int) {}
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	o.MaxConnections = max(o.MaxConnections, 1)
	return &Pool{opts: o, tx: map[uint64]*pinnedConn{}, nextTx: firstTxID()}
}

// firstTxID returns a random first transaction id. A restarted process must not reuse the ids of its predecessor's
// transactions, which callers may still refer to.
func firstTxID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// Run runs one unit on the connection of its transaction. A unit outside a transaction gets any connection.
func (p *Pool) Run(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if u.Tx.Open() {
		return p.runInTransaction(ctx, u, sink)
	}
	c, err := p.acquire(ctx, u.Team)
	if err != nil {
		return unit.NotRun(err)
	}
	if err := p.opts.Admit(u); err != nil {
		p.release(c)
		return unit.NotRun(err)
	}
	res := c.Run(ctx, u, sink)
	if res.TxStatus == 'I' || !c.Usable() {
		p.release(c)
		res.TxStatus, res.Tx = 'I', unit.TxRef{}
		return res
	}
	res.Tx = p.pin(c)
	return res
}

// pin registers a transaction that a unit has left open on c.
func (p *Pool) pin(c *pooledConn) unit.TxRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextTx++
	p.tx[p.nextTx] = &pinnedConn{conn: c}
	return unit.TxRef{Member: p.opts.Member, ID: p.nextTx}
}

func (p *Pool) runInTransaction(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	t, err := p.beginTxUnit(u.Tx.ID)
	if err != nil {
		return unit.NotRun(err)
	}
	res := t.conn.Run(ctx, u, sink)
	p.mu.Lock()
	t.busy = false
	ended := res.TxStatus == 'I' || !t.conn.Usable()
	mustRollBack := t.rollbackAfterUnit || p.closed && !ended
	if ended || mustRollBack {
		delete(p.tx, u.Tx.ID)
	}
	p.mu.Unlock()
	switch {
	case ended:
		p.release(t.conn)
	case mustRollBack:
		go p.rollback(t.conn)
	default:
		res.Tx = u.Tx
		return res
	}
	res.TxStatus, res.Tx = 'I', unit.TxRef{}
	return res
}

// beginTxUnit marks a transaction as running a unit and returns its connection.
func (p *Pool) beginTxUnit(id uint64) (*pinnedConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tx[id]
	switch {
	case t == nil:
		return nil, errkind.New(errkind.TransactionLost, "transaction %d is not open on member %s", id, p.opts.Member)
	case t.busy:
		return nil, errkind.New(errkind.ProtocolViolation, "transaction %d is already running a unit", id)
	}
	t.busy = true
	return t, nil
}

// Rollback ends an open transaction whose caller has gone. It does not wait for the member.
func (p *Pool) Rollback(id uint64) {
	p.mu.Lock()
	t := p.tx[id]
	if t == nil || t.busy {
		if t != nil {
			t.rollbackAfterUnit = true
		}
		p.mu.Unlock()
		return
	}
	delete(p.tx, id)
	p.mu.Unlock()
	go p.rollback(t.conn)
}

func (p *Pool) rollback(c *pooledConn) {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	if err := c.Rollback(ctx); err != nil {
		p.opts.Log.WithError(err).WithField("member", p.opts.Member).Info("rollback failed; closing the connection so that the member rolls back")
		c.Close()
	}
	p.release(c)
}

// acquire returns a connection of the team. All its errors mean that the unit did not run.
func (p *Pool) acquire(ctx context.Context, team string) (*pooledConn, error) {
	for {
		c, err := p.takeConnOrPermit(ctx, team)
		if err != nil {
			return nil, err
		}
		if c == nil {
			if c, err = p.dialWithPermit(ctx, team); err != nil {
				return nil, err
			}
		}
		if c == nil {
			continue // the member is at its connection limit, and another unit dials it again
		}
		if c.Usable() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeConnOrPermit returns an idle connection of the team, or nil as a permit to dial. If the member allows no further
// connection, an idle one of another team makes room. It waits until there is either.
func (p *Pool) takeConnOrPermit(ctx context.Context, team string) (*pooledConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errkind.New(errkind.NoMember, "connection pool of member %s is closed", p.opts.Member)
	}
	if c := p.idle.take(team); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.open < p.opts.MaxConnections && !p.atLimit {
		p.open++
		p.mu.Unlock()
		return nil, nil
	}
	if c := p.idle.evict(); c != nil {
		p.mu.Unlock()
		c.Close()
		return nil, nil // the permit of c
	}
	w := waiter{ch: make(chan *pooledConn, 1), team: team, since: time.Now()}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	select {
	case c := <-w.ch:
		return c, nil
	case <-ctx.Done():
		p.stopWaiting(w)
		return nil, errkind.New(errkind.DeadlineExceeded, "all %d connections to member %s are in use", p.opts.MaxConnections, p.opts.Member)
	}
}

// stopWaiting removes w from the waiters. A connection or permit that w has received already goes to another waiter.
func (p *Pool) stopWaiting(w waiter) {
	p.mu.Lock()
	for i, x := range p.waiters {
		if x.ch == w.ch {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	if c := <-w.ch; c != nil {
		p.release(c)
		return
	}
	p.releasePermit()
}

// dialWithPermit opens a connection under a permit, that is, p.open counts it already. A member that has reached its
// connection limit is dialled again after a pause, by one unit at a time: after many VMs have restarted, a flood of refused
// connections would take the slots that the statements need. dialWithPermit returns neither a connection nor an error if
// another unit is the one that dials again.
func (p *Pool) dialWithPermit(ctx context.Context, team string) (*pooledConn, error) {
	retrying := false // this unit is the one that dials the member again
	for {
		c, err := p.opts.Dial(ctx, team)
		if !errkind.Is(err, errkind.TooManyConnections) {
			if retrying {
				p.endLimitRetry(p.opts.MaxConnections)
			}
			if err != nil {
				p.releasePermit()
				return nil, err
			}
			return &pooledConn{c, team}, nil
		}
		if !retrying {
			if retrying = p.beginLimitRetry(); !retrying {
				return nil, p.yieldPermit(err)
			}
		}
		select {
		case <-time.After(limitRetryInterval):
		case <-ctx.Done():
			p.endLimitRetry(1)
			p.releasePermit()
			return nil, err
		}
	}
}

// beginLimitRetry makes the calling unit the one that dials a member at its connection limit again. It reports false if
// there is such a unit already, or if this VM does not own the member, since the new owner needs its connections.
func (p *Pool) beginLimitRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.atLimit || p.notOwned {
		return false
	}
	p.atLimit = true
	p.opts.OnConnectionLimit(p.open - 1) // p.open counts the refused one
	return true
}

// endLimitRetry ends the state in which only one unit dials, and gives permits to at most n of the waiting units.
func (p *Pool) endLimitRetry(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atLimit = false
	p.opts.OnConnectionLimit(p.opts.MaxConnections)
	for ; n > 0 && len(p.waiters) > 0 && p.open < p.opts.MaxConnections; n-- {
		p.open++
		p.takeWaiter(0).ch <- nil // does not block: the channel has room for one
	}
}

// yieldPermit gives up the permit of a dial that failed with err. It returns nil if the unit is to wait while another one
// dials again, and err if this VM does not own the member.
func (p *Pool) yieldPermit(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.notOwned {
		return err
	}
	return nil
}

// release makes a connection available again, or closes it when it cannot be reused or another team needs its place.
func (p *Pool) release(c *pooledConn) {
	if !c.Usable() {
		p.discard(c)
		return
	}
	p.mu.Lock()
	now := time.Now()
	i, usable := nextWaiter(p.waiters, c.team, now)
	switch {
	case i >= 0 && usable:
		w := p.takeWaiter(i)
		p.mu.Unlock()
		w.ch <- c
		return
	case i >= 0, p.closed || p.notOwned:
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, idleConn{c, now})
	p.mu.Unlock()
}

// takeWaiter removes and returns a waiter. mu must be held.
func (p *Pool) takeWaiter(i int) waiter {
	w := p.waiters[i]
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return w
}

// discard closes a connection that the caller holds and releases its permit.
func (p *Pool) discard(c *pooledConn) {
	c.Close()
	p.releasePermit()
}

// releasePermit hands a permit that is no longer used to the first waiter, or lowers the number of open connections. At the
// member's connection limit no waiter gets a permit.
func (p *Pool) releasePermit() {
	p.mu.Lock()
	if len(p.waiters) == 0 || p.atLimit {
		p.open--
		p.mu.Unlock()
		return
	}
	w := p.takeWaiter(0)
	p.mu.Unlock()
	w.ch <- nil
}

// SetOwned tells the pool whether this VM owns the member. It is called several times a second and closes idle
// connections. If this VM owns the member, it closes those that have been idle for too long. If not, it closes all of them,
// since the new owner needs them.
func (p *Pool) SetOwned(owned bool) {
	p.mu.Lock()
	p.notOwned = !owned
	var toClose []*pooledConn
	if owned {
		toClose = p.idle.takeExpired(time.Now(), p.opts.MaxConnections)
	} else {
		toClose = p.idle.takeAll()
	}
	p.mu.Unlock()
	for _, c := range toClose {
		p.discard(c)
	}
}

// WaitingUnits returns the number of units that wait for a connection.
func (p *Pool) WaitingUnits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}

// Close closes idle connections and makes the pool refuse units. Open transactions are rolled back; units in progress
// finish.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	toClose := p.idle.takeAll()
	var pinned []*pooledConn
	for id, t := range p.tx {
		if t.busy {
			t.rollbackAfterUnit = true
			continue
		}
		delete(p.tx, id)
		pinned = append(pinned, t.conn)
	}
	p.mu.Unlock()
	for _, c := range toClose {
		p.discard(c)
	}
	for _, c := range pinned {
		p.discard(c) // the member rolls back the open transaction
	}
}
