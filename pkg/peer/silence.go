package peer

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// monitorConns pings data connections whose requests are unanswered, suspects those that stay silent, keeps idle ones alive
// for the server and closes those that nobody uses. One goroutine serves all connections.
func (p *Pool) monitorConns() {
	defer p.wg.Done()
	t := time.NewTicker(pingAfter)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
			for _, c := range p.connections() {
				p.checkConn(c)
			}
		}
	}
}

func (p *Pool) checkConn(c *clientConn) {
	if c.pendingRequests() > 0 {
		p.checkUnanswered(c)
		return
	}
	switch {
	case monotonic()-time.Duration(c.busySince.Load()) > idleCloseAfter && c.vmConns.openTxCount.Load() <= 0:
		c.closeIfIdle()
	case c.purpose == wire.PurposeData && monotonic()-time.Duration(c.lastSent.Load()) > idlePingAfter:
		p.ping(c)
	}
}

// checkUnanswered handles a connection with unanswered requests. Heartbeats watch control connections by themselves.
func (p *Pool) checkUnanswered(c *clientConn) {
	if c.purpose != wire.PurposeData {
		return
	}
	since := c.busySince.Load()
	switch silent := c.silentFor(since); {
	case silent > silentAfter:
		p.suspect(c, since)
	case silent > pingAfter:
		p.ping(c)
	}
}

// ping doesn't block the watcher: a writer that holds the lock of a blocked connection may take the write timeout.
func (p *Pool) ping(c *clientConn) {
	p.startGoroutine(func() { _ = c.sendEmpty(wire.TypePing) })
}

// suspect pings a connection that has received nothing since the given monotonic time. If it stays silent for silentAfter
// since then, a fresh one is dialled and replaces it when it answers; when both fail, the VM counts as gone and the
// connection ends. A failed dial alone does not end it: transactions are open over it.
func (p *Pool) suspect(c *clientConn, since int64) {
	if c.lastReceived.Load() > since+int64(time.Millisecond) && c.silentFor(since) < silentAfter {
		return // it answered others meanwhile
	}
	if !c.suspected.CompareAndSwap(false, true) {
		return
	}
	p.opts.Stats.Suspect.Add(1)
	p.startGoroutine(func() {
		pingedAt := int64(monotonic())
		p.ping(c)
		// A unit that was given up early says little about the connection, and other units may run over it: it gets the
		// time that any request has to answer the ping.
		if c.waitReceived(pingedAt, time.Duration(since)+silentAfter) {
			c.suspected.Store(false)
			return
		}
		if _, err := p.replaceConn(p.ctx, c.vmConns, c); err == nil {
			return
		}
		if !c.waitReceived(pingedAt, time.Duration(pingedAt)+silentAfter) {
			c.close(ErrPeerGone)
			return
		}
		c.suspected.Store(false)
	})
}

// waitReceived waits until something has been received after the monotonic time at, until the monotonic time limit, or
// until the connection has ended, and reports the first.
func (c *clientConn) waitReceived(at int64, limit time.Duration) bool {
	t := time.NewTicker(pingAfter / 10)
	defer t.Stop()
	for c.lastReceived.Load() <= at {
		if monotonic() > limit {
			return false
		}
		select {
		case <-t.C:
		case <-c.closed:
			return false
		}
	}
	return true
}

// replaceConn replaces old, unless that has happened already.
func (p *Pool) replaceConn(ctx context.Context, vc *vmConns, old *clientConn) (*clientConn, error) {
	vc.mu.Lock()
	current := vc.conns[purposeIndex(old.purpose)]
	vc.mu.Unlock()
	if current != nil && current != old {
		old.close(ErrSilent)
		return current, nil
	}
	c, err := p.dialReplacement(ctx, vc, old.purpose)
	if err == nil {
		old.close(ErrSilent)
	}
	return c, err
}

// Probe dials a fresh control connection to vm. When it answers it replaces all older ones that have received nothing
// for a while, and Probe returns nil; otherwise the VM counts as gone.
func (p *Pool) Probe(ctx context.Context, vm platform.VM) error {
	vc := p.connsTo(vm)
	if _, err := p.dialReplacement(ctx, vc, wire.PurposeControl); err != nil {
		return unreachable(err, vm)
	}
	vc.mu.Lock()
	data := vc.conns[purposeIndex(wire.PurposeData)]
	vc.mu.Unlock()
	if data != nil && data.silentFor(0) > silentAfter {
		p.suspect(data, int64(monotonic()-silentAfter))
	}
	return nil
}
