package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Pool holds the connections that this daemon dialled: at most one for data and one for control messages per VM, and
// for a moment a fresh one that replaces a silent one.
type Pool struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	slots  map[string]*slot
	closed bool
}

// slot holds the connections to one VM.
type slot struct {
	openTx atomic.Int64 // transactions open at the VM, as far as results told

	mu      sync.Mutex
	vm      platform.VM
	conns   [2]*clientConn
	dialing [2]*dialing
}

// dialing is a dial in progress that several goroutines wait for.
type dialing struct {
	done chan struct{}
	conn *clientConn
	err  error
}

func index(p wire.Purpose) int { return int(p - wire.PurposeData) }

// NewPool returns a pool. Close ends it.
func NewPool(o Options) *Pool {
	p := &Pool{opts: o.withDefaults(), slots: map[string]*slot{}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.wg.Add(1)
	go p.watch()
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

// Disconnect closes the connections to a VM that has left.
func (p *Pool) Disconnect(name string) {
	p.mu.Lock()
	s := p.slots[name]
	delete(p.slots, name)
	p.mu.Unlock()
	if s == nil {
		return
	}
	for _, c := range s.current() {
		c.close(ErrGone)
	}
}

func (p *Pool) slot(vm platform.VM) *slot {
	p.mu.Lock()
	s := p.slots[vm.Name]
	if s == nil {
		s = &slot{vm: vm}
		p.slots[vm.Name] = s
	}
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vm.PeerAddr != vm.PeerAddr { // the VM was replaced under the same name
		for i, c := range s.conns {
			if c != nil {
				go c.close(ErrGone)
			}
			s.conns[i], s.dialing[i] = nil, nil // a dial in progress goes to the former address
		}
	}
	s.vm = vm
	return s
}

func (s *slot) target() platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vm
}

func (s *slot) current() []*clientConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*clientConn
	for _, c := range s.conns {
		if c != nil {
			out = append(out, c)
		}
	}
	return out
}

func (p *Pool) connections() []*clientConn {
	p.mu.Lock()
	slots := make([]*slot, 0, len(p.slots))
	for _, s := range p.slots {
		slots = append(slots, s)
	}
	p.mu.Unlock()
	var out []*clientConn
	for _, s := range slots {
		out = append(out, s.current()...)
	}
	return out
}

// get returns the connection to vm, dialling it if there is none.
func (p *Pool) get(ctx context.Context, vm platform.VM, purpose wire.Purpose) (*clientConn, error) {
	s, i := p.slot(vm), index(purpose)
	s.mu.Lock()
	if c := s.conns[i]; c != nil {
		s.mu.Unlock()
		return c, nil
	}
	d := p.dialLocked(s, purpose)
	s.mu.Unlock()
	return d.wait(ctx)
}

// fresh dials a new connection, which replaces the present one when it answers.
func (p *Pool) fresh(ctx context.Context, s *slot, purpose wire.Purpose) (*clientConn, error) {
	s.mu.Lock()
	d := p.dialLocked(s, purpose)
	s.mu.Unlock()
	return d.wait(ctx)
}

func (d *dialing) wait(ctx context.Context) (*clientConn, error) {
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialLocked joins the dial in progress or starts one. The caller holds s.mu.
func (p *Pool) dialLocked(s *slot, purpose wire.Purpose) *dialing {
	i := index(purpose)
	if d := s.dialing[i]; d != nil {
		return d
	}
	d := &dialing{done: make(chan struct{})}
	s.dialing[i] = d
	vm := s.vm
	if !p.start(func() { p.dial(s, vm, purpose, d) }) {
		s.dialing[i] = nil
		d.err = ErrClosed
		close(d.done)
	}
	return d
}

func (p *Pool) dial(s *slot, vm platform.VM, purpose wire.Purpose, d *dialing) {
	i := index(purpose)
	p.opts.Stats.Dials.Add(1)
	l, err := dialLink(p.ctx, &p.opts, vm, purpose)
	if err != nil && p.opts.OnUnreachable != nil && p.ctx.Err() == nil {
		p.opts.OnUnreachable(vm)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(d.done)
	current := s.dialing[i] == d
	if current {
		s.dialing[i] = nil
	}
	if err != nil {
		d.err = err
		return
	}
	if !current { // the VM's address has changed since
		_ = l.nc.Close()
		d.err = ErrGone
		return
	}
	c := newClientConn(l, p, s)
	if !p.start(c.read) {
		c.close(ErrClosed)
		d.err = ErrClosed
		return
	}
	d.conn = c
	if old := s.conns[i]; old != nil {
		p.opts.Stats.Renewed.Add(1)
		go old.close(ErrSilent)
	}
	s.conns[i] = c
}

// start runs f as a goroutine of the pool, unless the pool is closed.
func (p *Pool) start(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
	return true
}

// forget removes a connection that has ended.
func (p *Pool) forget(c *clientConn) {
	c.slot.mu.Lock()
	defer c.slot.mu.Unlock()
	for i := range c.slot.conns {
		if c.slot.conns[i] == c {
			c.slot.conns[i] = nil
		}
	}
}

// Request sends a control message and returns the reply of the peer's handler. The wait ends with ctx, which should
// have a deadline. An unanswered request makes the connection suspect.
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
	case <-c.dead:
		return nil, unreachable(c.err, vm)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.suspect(c, sent)
		}
		return nil, unreachable(ctx.Err(), vm)
	}
}

// beginRequest registers a request on the control connection, on a new one if that was closed for being idle.
func (p *Pool) beginRequest(ctx context.Context, vm platform.VM) (*clientConn, uint64, chan reply, error) {
	for range sendAttempts {
		c, err := p.get(ctx, vm, wire.PurposeControl)
		if err != nil {
			return nil, 0, nil, err
		}
		if id, ch, ok := c.registerReply(); ok {
			return c, id, ch, nil
		}
		p.forget(c)
	}
	return nil, 0, nil, ErrIdle
}

func unreachable(err error, vm platform.VM) error {
	if errkind.Is(err, errkind.PeerUnreachable) {
		return err
	}
	return errkind.Wrap(errkind.PeerUnreachable, err, "entry VM %s", vm.Name)
}

// Rollback ends an open transaction at vm whose caller has gone. It doesn't wait. When the VM can't be reached the
// transaction ends there with the connection over which it was begun.
func (p *Pool) Rollback(vm platform.VM, tx unit.TxRef) {
	if !tx.Open() {
		return
	}
	p.start(func() {
		ctx, cancel := context.WithTimeout(p.ctx, p.opts.DialTimeout)
		defer cancel()
		c, err := p.get(ctx, vm, wire.PurposeData)
		if err != nil {
			return
		}
		_ = c.sendControl(func(e *wire.Encoder) ([]byte, error) { return e.Rollback(tx) })
	})
}

// maxUnitTime bounds waits whose context has no deadline. It exceeds the longest class target, 30 s.
const maxUnitTime = 60 * time.Second
