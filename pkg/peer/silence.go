package peer

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// monitorConns checks all connections every pingAfter. It pings data connections with unanswered requests, suspects those
// that stay silent, pings idle ones so that the server keeps them, and closes connections that nobody uses. One goroutine
// serves all connections.
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

// checkConn checks one connection for monitorConns.
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

// checkUnanswered checks a connection with unanswered requests. Control connections are left to the time-outs of
// heartbeats.
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

// ping sends a ping from a goroutine of its own. On a blocked connection another sender may hold the writer's lock for as
// long as the write timeout, which must not delay monitorConns.
func (p *Pool) ping(c *clientConn) {
	p.startGoroutine(func() { _ = c.sendEmpty(wire.TypePing) })
}

// suspect pings a connection that has received nothing since the given monotonic time. If it stays silent until silentAfter
// has passed since then, a new connection is dialled and replaces it if it answers. If both give no answer, the VM counts
// as gone and the connection is closed. A failed dial alone does not end the connection, since transactions may be open
// over it.
func (p *Pool) suspect(c *clientConn, since int64) {
	if c.lastReceived.Load() > since+int64(time.Millisecond) && c.silentFor(since) < silentAfter {
		return // it has received answers to other requests meanwhile
	}
	if !c.suspected.CompareAndSwap(false, true) {
		return
	}
	p.opts.Stats.Suspect.Add(1)
	p.startGoroutine(func() {
		pingedAt := int64(monotonic())
		p.ping(c)
		// A unit that was given up early says little about the connection, over which other units may be running. The
		// connection therefore has as long to answer the ping as it would have for any request.
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

// waitReceived waits until a frame has been received after the monotonic time at, and returns true. It returns false once
// the monotonic time limit has passed or the connection has ended.
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

// replaceConn replaces old with a new connection unless that has happened already, and returns the current one.
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

// Probe dials a new control connection to vm. If the VM answers, the new connection replaces the present control connection,
// a data connection that has received nothing for silentAfter becomes suspect, and Probe returns nil. Otherwise the VM
// counts as gone.
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
