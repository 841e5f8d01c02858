package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Pool holds the connections that this daemon has dialled: for each VM at most one for data and one for control messages,
// and for a moment a new one that replaces a silent one.
type Pool struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	conns  map[string]*vmConns // by name of the VM
	closed bool
}

// vmConns holds the connections to one VM and the dials in progress, by purposeIndex.
type vmConns struct {
	openTxCount atomic.Int64 // transactions open at the VM, as far as the results of units tell

	mu           sync.Mutex
	vm           platform.VM
	conns        [2]*clientConn
	dials        [2]*pendingDial
	disconnected bool // no longer in the pool, so that no connection may be added
}

// pendingDial is a dial in progress. Several goroutines can wait for it; conn and err are valid once done is closed.
type pendingDial struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// purposeIndex returns the index of a purpose in the arrays of vmConns.
func purposeIndex(p wire.Purpose) int { return int(p - wire.PurposeData) }

// NewPool returns a pool and starts its goroutines, which Close ends.
func NewPool(o Options) *Pool {
	p := &Pool{opts: o.withDefaults(), conns: map[string]*vmConns{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Add(1)
	go p.monitorConns()
	return p
}

// Stats returns the pool's counters.
func (p *Pool) Stats() *Stats { return p.opts.Stats }

// Close closes all connections and waits for the pool's goroutines.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	for _, c := range p.connections() {
		c.close(ErrClosed)
	}
	p.wg.Wait()
}

// Disconnect closes the connections to the named VM, which has left.
func (p *Pool) Disconnect(name string) {
	p.mu.Lock()
	vc := p.conns[name]
	delete(p.conns, name)
	p.mu.Unlock()
	if vc == nil {
		return
	}
	vc.mu.Lock()
	vc.disconnected = true
	vc.dials = [2]*pendingDial{} // connections of dials in progress are closed
	vc.mu.Unlock()
	for _, c := range vc.openConns() {
		c.close(ErrPeerGone)
	}
}

// connsTo returns the connections to vm. It closes those to a former address of the VM.
func (p *Pool) connsTo(vm platform.VM) *vmConns {
	p.mu.Lock()
	vc := p.conns[vm.Name]
	if vc == nil {
		vc = &vmConns{vm: vm}
		p.conns[vm.Name] = vc
	}
	p.mu.Unlock()
	vc.mu.Lock()
	defer vc.mu.Unlock()
	if vc.vm.PeerAddr != vm.PeerAddr { // the VM was replaced by another one of the same name
		for i, c := range vc.conns {
			if c != nil {
				go c.close(ErrPeerGone)
			}
			vc.conns[i], vc.dials[i] = nil, nil // any dial in progress is to the former address
		}
	}
	vc.vm = vm
	return vc
}

func (vc *vmConns) currentVM() platform.VM {
	vc.mu.Lock()
	defer vc.mu.Unlock()
	return vc.vm
}

func (vc *vmConns) openConns() []*clientConn {
	vc.mu.Lock()
	defer vc.mu.Unlock()
	var out []*clientConn
	for _, c := range vc.conns {
		if c != nil {
			out = append(out, c)
		}
	}
	return out
}

func (p *Pool) connections() []*clientConn {
	p.mu.Lock()
	all := make([]*vmConns, 0, len(p.conns))
	for _, vc := range p.conns {
		all = append(all, vc)
	}
	p.mu.Unlock()
	var out []*clientConn
	for _, vc := range all {
		out = append(out, vc.openConns()...)
	}
	return out
}

// getConn returns the connection to vm for the given purpose, and dials it if there is none.
func (p *Pool) getConn(ctx context.Context, vm platform.VM, purpose wire.Purpose) (*clientConn, error) {
	vc, i := p.connsTo(vm), purposeIndex(purpose)
	vc.mu.Lock()
	if c := vc.conns[i]; c != nil {
		vc.mu.Unlock()
		return c, nil
	}
	d := p.dialLocked(vc, purpose)
	vc.mu.Unlock()
	return d.wait(ctx)
}

// dialReplacement dials a new connection, which replaces the present one if the handshake succeeds.
func (p *Pool) dialReplacement(ctx context.Context, vc *vmConns, purpose wire.Purpose) (*clientConn, error) {
	vc.mu.Lock()
	d := p.dialLocked(vc, purpose)
	vc.mu.Unlock()
	return d.wait(ctx)
}

func (d *pendingDial) wait(ctx context.Context) (*clientConn, error) {
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialLocked joins the dial in progress or starts one. The caller holds vc.mu.
func (p *Pool) dialLocked(vc *vmConns, purpose wire.Purpose) *pendingDial {
	i := purposeIndex(purpose)
	if d := vc.dials[i]; d != nil {
		return d
	}
	d := &pendingDial{done: make(chan struct{})}
	if vc.disconnected {
		d.err = ErrPeerGone
		close(d.done)
		return d
	}
	vc.dials[i] = d
	vm := vc.vm
	if !p.startGoroutine(func() { p.dial(vc, vm, purpose, d) }) {
		vc.dials[i] = nil
		d.err = ErrClosed
		close(d.done)
	}
	return d
}

// dial opens a connection for d and makes it the current one unless the address of the VM has changed or the VM has left
// meanwhile.
func (p *Pool) dial(vc *vmConns, vm platform.VM, purpose wire.Purpose, d *pendingDial) {
	i := purposeIndex(purpose)
	p.opts.Stats.Dials.Add(1)
	base, err := dialConn(p.ctx, &p.opts, vm, purpose)
	if err != nil && p.opts.OnUnreachable != nil && p.ctx.Err() == nil {
		p.opts.OnUnreachable(vm)
	}
	vc.mu.Lock()
	defer vc.mu.Unlock()
	defer close(d.done)
	current := vc.dials[i] == d
	if current {
		vc.dials[i] = nil
	}
	if err != nil {
		d.err = err
		return
	}
	if !current { // the VM's address has changed meanwhile, or the VM has left
		_ = base.nc.Close()
		d.err = ErrPeerGone
		return
	}
	c := newClientConn(base, p, vc)
	if !p.startGoroutine(c.readLoop) {
		c.close(ErrClosed)
		d.err = ErrClosed
		return
	}
	d.conn = c
	if old := vc.conns[i]; old != nil {
		p.opts.Stats.Replaced.Add(1)
		go old.close(ErrSilent)
	}
	vc.conns[i] = c
}

// startGoroutine runs f in a goroutine that Close waits for. It returns false if the pool is closed.
func (p *Pool) startGoroutine(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer panics.Confine(p.opts.Log, "connection to a peer", nil)
		f()
	}()
	return true
}

// removeConn removes a connection that has ended from the pool.
func (p *Pool) removeConn(c *clientConn) {
	c.vmConns.mu.Lock()
	defer c.vmConns.mu.Unlock()
	for i := range c.vmConns.conns {
		if c.vmConns.conns[i] == c {
			c.vmConns.conns[i] = nil
		}
	}
}

// Request sends a control message and returns the reply of the peer's handler. The wait ends with ctx, which should have a
// deadline. If the deadline passes without a reply, the connection becomes suspect.
func (p *Pool) Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, maxUnitTime)
	defer cancel()
	c, id, ch, err := p.beginRequest(ctx, vm)
	if err != nil {
		return nil, unreachable(err, vm)
	}
	defer c.takeReply(id)
	sent := int64(monotonic())
	_, err = c.send(ctx, levelControl, len(body), func(e *wire.Encoder) ([]byte, []byte, error) {
		head, err := e.Request(t, id, body)
		return head, body, err
	})
	if err != nil {
		return nil, unreachable(err, vm)
	}
	select {
	case r := <-ch:
		return r.body, r.err
	case <-c.closed:
		return nil, unreachable(c.closeErr, vm)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.suspect(c, sent)
		}
		return nil, unreachable(ctx.Err(), vm)
	}
}

// beginRequest registers a request on the control connection, or on a new one if that was closed for being idle.
func (p *Pool) beginRequest(ctx context.Context, vm platform.VM) (*clientConn, uint64, chan reply, error) {
	for range sendAttempts {
		c, err := p.getConn(ctx, vm, wire.PurposeControl)
		if err != nil {
			return nil, 0, nil, err
		}
		if id, ch, ok := c.registerReply(); ok {
			return c, id, ch, nil
		}
		p.removeConn(c)
	}
	return nil, 0, nil, ErrIdle
}

// unreachable gives err the kind PeerUnreachable unless it has that kind already.
func unreachable(err error, vm platform.VM) error {
	if errkind.Is(err, errkind.PeerUnreachable) {
		return err
	}
	return errkind.Wrap(errkind.PeerUnreachable, err, "entry VM %s can't be reached", vm.Name)
}

// Rollback ends an open transaction at vm whose caller has gone. It doesn't wait. If the VM can't be reached, it rolls the
// transaction back by itself when its last data connection with this daemon ends.
func (p *Pool) Rollback(vm platform.VM, tx unit.TxRef) {
	if !tx.Open() {
		return
	}
	p.startGoroutine(func() {
		ctx, cancel := context.WithTimeout(p.ctx, p.opts.DialTimeout)
		defer cancel()
		c, err := p.getConn(ctx, vm, wire.PurposeData)
		if err != nil {
			return
		}
		_ = c.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Rollback(tx) })
	})
}

// maxUnitTime bounds waits whose context has no deadline. It exceeds the longest class target, 30 s.
const maxUnitTime = 60 * time.Second
