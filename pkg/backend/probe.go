package backend

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// probeInterval is the interval at which running units are checked.
	probeInterval = 200 * time.Millisecond
	// quietAfter is how long a unit runs without a byte from the member before the probe connection is queried. Most
	// statements are faster, so the probe connection causes no queries in normal work.
	quietAfter = 400 * time.Millisecond
	// probeTimeout is how long the probe connection may take to answer. The member needs no slot for an empty query.
	probeTimeout = 400 * time.Millisecond
	// firstProbeWait bounds how long the first unit of a pool waits for the probe connection. Opening a connection takes 12
	// to 25 ms at the users' endpoints.
	firstProbeWait = probeTimeout
)

var emptyQuery = mustEncode(&pgproto3.Query{String: ";"})

// watchSilence detects early that open connections have gone silent. A unit that gets no answer may
// just be slow, and the protocol has no way to ask. So the pool keeps one more connection, the probe connection, and sends
// an empty query on it while a unit is quiet. When the probe connection does not answer and a fresh connection does, all
// older connections are replaced: idle ones are closed, and units that have been quiet for as long are ended.
//
// The probe connection is the oldest of the pool, and the first unit waits until it is open: one opened after the others
// went silent would answer although they do not. watchSilence returns when the pool is closed.
func (p *Pool) watchSilence() {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	defer func() {
		if probe := p.takeProbe(); probe != nil {
			p.discard(probe)
		}
	}()
	for {
		var opened chan struct{}
		select {
		case <-p.done:
			return
		case opened = <-p.probeRequests:
		case <-t.C:
		}
		notOwned := p.isNotOwned()
		if notOwned { // cleared before the check for running units: one that begins later requests a probe
			p.probeMaintained.Store(false)
		}
		busy, quiet := p.checkQuietUnits(time.Now().Add(-quietAfter))
		probe := p.takeProbe()
		switch {
		case probe != nil && (!busy && notOwned || !probe.alive()):
			p.discard(probe)
			probe = nil
		case probe == nil && busy:
			probe = p.openProbe()
		case probe != nil && quiet:
			probe = p.sendProbe(probe)
		}
		p.putProbe(probe)
		p.probeMaintained.Store(probe != nil || busy) // after a failed dial the next tick tries again
		if opened != nil {
			close(opened)
		}
	}
}

func (p *Pool) takeProbe() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.probe
	p.probe = nil
	return c
}

// putProbe makes c the probe connection, or the oldest idle connection if that is older than c. The other one of the two
// is idle afterwards. A nil c leaves the pool without a probe connection.
func (p *Pool) putProbe(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probe = c
	if c == nil {
		return
	}
	for i := range p.idle {
		for j := range p.idle[i] {
			p.idle[i][j] = p.keepOldestAsProbe(p.idle[i][j])
		}
	}
}

// keepOldestAsProbe makes c the probe connection if c is older than that, and returns the one of the two that is not the
// probe connection. c must be reusable, and mu must be held.
func (p *Pool) keepOldestAsProbe(c *conn) *conn {
	if p.probe == nil || c.dialSeq > p.probe.dialSeq {
		return c
	}
	c, p.probe = p.probe, c
	return c
}

// checkQuietUnits reports whether a unit runs (busy) and whether one has got nothing from the member since before t
// (quiet). It ends quiet units on connections of an older generation.
func (p *Pool) checkQuietUnits(t time.Time) (busy, quiet bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		busy = busy || c.lastHeard.Load() != 0
		if c.quietSince(t) {
			quiet = true
			if c.generation < p.generation {
				c.abortRead()
			}
		}
	}
	return busy, quiet
}

// quietSince reports whether a unit runs and has got nothing from the member since before t.
func (c *conn) quietSince(t time.Time) bool {
	at := c.lastHeard.Load()
	return at != 0 && at < t.UnixNano()
}

// abortRead makes the running unit's read from the member fail. The connection is not used again.
func (c *conn) abortRead() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

// openProbe opens the probe connection. If the first attempt gets no answer while a second one succeeds, the first
// connection went silent while it was opened. All older connections then count as silent too and are replaced.
func (p *Pool) openProbe() *conn {
	first := make(chan *conn, 1)
	go func() { first <- p.dialProbe() }()
	if c, ok := receiveWithin(first, probeTimeout); ok {
		return c
	}
	second := p.dialProbe()
	if second == nil {
		return <-first // the connect timeout bounds it
	}
	if c, ok := receiveWithin(first, probeTimeout); ok {
		if c != nil {
			p.discard(c)
		}
		return second
	}
	p.replaceOlder(second)
	go func() {
		if c := <-first; c != nil {
			p.discard(c)
		}
	}()
	return second
}

func receiveWithin(c <-chan *conn, d time.Duration) (*conn, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case got := <-c:
		return got, true
	case <-t.C:
		return nil, false
	}
}

// dialProbe opens a connection that can become the probe connection. It returns nil if the pool's limit of connections is
// reached or dialling fails. The error is dropped: a unit that needs a connection dials itself and gets its own error.
func (p *Pool) dialProbe() *conn {
	p.mu.Lock()
	if p.open >= p.opts.MaxConnections {
		p.mu.Unlock()
		return nil
	}
	p.open++
	p.mu.Unlock()
	c, err := p.dialWithPermit(context.Background())
	if err != nil {
		return nil
	}
	return c
}

// sendProbe sends a query on the probe connection and returns the probe connection to use from now on. A probe connection
// that answers late, but while the fresh connection was being opened or within probeTimeout after that, was only slow, as
// on a busy machine: its query was sent first.
func (p *Pool) sendProbe(probe *conn) *conn {
	_ = probe.nc.SetDeadline(time.Now().Add(probeTimeout))
	_, err := probe.nc.Write(emptyQuery)
	if err == nil {
		err = probe.awaitReady()
	}
	if err == nil {
		_ = probe.nc.SetDeadline(time.Time{})
		return probe
	}
	fresh := p.dialProbe()
	if !isTimeout(err) {
		p.discard(probe)
		return fresh
	}
	_ = probe.nc.SetDeadline(time.Now().Add(probeTimeout))
	err = probe.awaitReady()
	p.discard(probe)
	if fresh == nil { // the limit may have been reached before; the old probe connection has made room
		fresh = p.dialProbe()
	}
	if err != nil && fresh != nil {
		p.replaceOlder(fresh)
	}
	return fresh
}

// awaitReady reads up to and including ReadyForQuery.
func (c *conn) awaitReady() error {
	for {
		typ, _, err := c.readMessage()
		if err != nil || typ == 'Z' {
			return err
		}
	}
}

// replaceOlder starts a new generation of connections, to which c belongs unless it is nil. It closes the idle
// connections; those in use are closed when their unit or transaction ends.
func (p *Pool) replaceOlder(c *conn) {
	p.mu.Lock()
	p.generation++
	if c != nil {
		c.generation = p.generation
	}
	old := p.takeIdle()
	p.mu.Unlock()
	for _, o := range old {
		p.replaced.Add(1)
		p.discard(o)
	}
	if log, ok := p.silenceLogLimit.Allow(p.opts.Log, ""); ok {
		log.WithField("member", p.opts.Member.Name).WithField("idle", len(old)).Warn("connections to the member stopped answering; replacing them with new ones")
	}
}

// beginUnit marks the connection as running a unit and sees to it that watchSilence maintains a probe connection.
func (p *Pool) beginUnit(ctx context.Context, c *conn) {
	c.lastHeard.Store(time.Now().UnixNano())
	if !p.probeMaintained.Load() {
		p.awaitProbe(ctx)
		c.lastHeard.Store(time.Now().UnixNano())
	}
}

// awaitProbe waits until watchSilence has tried to open the probe connection, at most for firstProbeWait.
func (p *Pool) awaitProbe(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, firstProbeWait)
	defer stop()
	opened := make(chan struct{})
	select {
	case p.probeRequests <- opened:
	case <-p.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-opened:
	case <-ctx.Done():
	}
}

// endUnit marks the connection as running no unit.
func (c *conn) endUnit() { c.lastHeard.Store(0) }
