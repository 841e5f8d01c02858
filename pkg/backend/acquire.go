package backend

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const (
	// limitRetryInterval is the time between attempts to connect to a member that has reached its connection limit. Another
	// owner's connections are closed within owner.sweepInterval.
	limitRetryInterval = 20 * time.Millisecond
	// maxUncheckedIdle is how long a connection may have been idle for a read to use it without a look whether the member
	// has closed it, which costs a system call. A read that finds it closed is repeated; a write would be unknown.
	maxUncheckedIdle = 10 * time.Millisecond
)

// acquire returns a connection, preferably with the wanted read-only state. It fails only with errors that mean
// that the unit did not run.
func (p *Pool) acquire(ctx context.Context, readOnly bool) (*conn, error) {
	var limitErr error // the last refusal by the member's connection limit
	for {
		c, retry, err := p.tryAcquire(ctx, readOnly)
		switch {
		case retry && err != nil:
			limitErr = err
		case retry:
		case limitErr != nil && err != nil && (ctx.Err() != nil || isTimeout(err)):
			return nil, limitErr
		default:
			return c, err
		}
	}
}

// tryAcquire is one attempt of acquire.
func (p *Pool) tryAcquire(ctx context.Context, readOnly bool) (c *conn, retry bool, err error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, false, errkind.New(errkind.NoMember, "connection pool of %s is closed", p.opts.Member.Name)
	}
	c = p.popIdle(readOnly)
	if c == nil && p.open < p.opts.MaxConnections {
		p.open++
		p.mu.Unlock()
		return p.dialOrPauseAtLimit(ctx)
	}
	if c != nil {
		p.mu.Unlock()
	} else {
		w := make(chan *conn, 1)
		p.waiters = append(p.waiters, w)
		p.mu.Unlock()
		if c, err = p.awaitConn(ctx, w); err != nil {
			return nil, false, err
		}
		if c == nil {
			return p.dialOrPauseAtLimit(ctx)
		}
	}
	if readOnly && time.Since(c.idleSince) < maxUncheckedIdle || c.alive() {
		return c, false, nil
	}
	p.discard(c)
	return nil, true, nil
}

// dialOrPauseAtLimit is dialWithPermit, but for a refusal by the member's connection limit: that counts as busy (D6), and the
// caller tries again after a pause. A pool whose member has moved to another VM refuses instead: the new owner uses all
// connections that transactions here leave over, so that the unit would wait until its deadline.
func (p *Pool) dialOrPauseAtLimit(ctx context.Context) (c *conn, retry bool, err error) {
	c, err = p.dialWithPermit(ctx)
	if !errkind.Is(err, errkind.TooManyConnections) {
		return c, false, err
	}
	if p.isOwnedElsewhere() {
		return nil, false, errkind.Wrap(errkind.NoMember, err, "another VM owns %s and holds its connections", p.opts.Member.Name)
	}
	t := time.NewTimer(limitRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return nil, ctx.Err() == nil, err
	case <-ctx.Done():
		return nil, false, err
	}
}

// popIdle must be called with mu held. It returns the most recently used connection.
func (p *Pool) popIdle(readOnly bool) *conn {
	first := 0
	if readOnly {
		first = 1
	}
	for _, i := range [2]int{first, 1 - first} {
		if n := len(p.idle[i]); n > 0 {
			c := p.idle[i][n-1]
			p.idle[i][n-1] = nil
			p.idle[i] = p.idle[i][:n-1]
			return c
		}
	}
	return nil
}

func (p *Pool) awaitConn(ctx context.Context, w chan *conn) (*conn, error) {
	select {
	case c := <-w:
		return c, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, x := range p.waiters {
		if x == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return nil, errkind.New(errkind.DeadlineExceeded, "all %d connections to %s are in use", p.opts.MaxConnections, p.opts.Member.Name)
		}
	}
	p.mu.Unlock()
	// The hand-over happened between ctx.Done and the lock: pass it on.
	if c := <-w; c != nil {
		p.release(c)
	} else {
		p.releasePermit()
	}
	return nil, errkind.New(errkind.DeadlineExceeded, "no connection to %s before the deadline", p.opts.Member.Name)
}

// dialWithPermit opens a connection for which p.open has been raised.
func (p *Pool) dialWithPermit(ctx context.Context) (*conn, error) {
	c, err := p.dial(ctx)
	if err != nil {
		p.releasePermit()
		return nil, err
	}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}
