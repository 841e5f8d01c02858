package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/sockio"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Reasons for which this daemon closes a connection.
var (
	ErrClosed   = errors.New("peer: connection pool or server is closed")
	ErrSilent   = errors.New("peer: silent connection was replaced by a new one")
	ErrPeerGone = errors.New("peer: entry VM left, moved to another address or stopped answering")
	ErrIdle     = errors.New("peer: connection was closed for being idle")
)

// frameOverheadBytes is what the limiter is charged for a frame in addition to its payload.
const frameOverheadBytes = 64

// clockStart is the zero of monotonic, whose times fit into atomic integers.
var clockStart = time.Now()

// monotonic returns a time that changes of the system clock don't affect.
func monotonic() time.Duration { return time.Since(clockStart) }

// baseConn is the part of a connection that is the same at the dialling and the accepting end.
type baseConn struct {
	nc      net.Conn
	reader  *wire.Reader
	dec     *wire.Decoder // used by the reading goroutine only
	writer  *frameWriter
	peer    platform.VM // as named in its Hello
	purpose wire.Purpose
	limiter *Limiter // nil if the peer is in the same region
	traffic *Traffic // nil until the handshake is complete

	lastReceived atomic.Int64 // monotonic time at which a frame was last received
	lastSent     atomic.Int64 // monotonic time at which a frame was last sent

	closeOnce sync.Once
	closed    chan struct{}
	closeErr  error // reason of the end; valid once closed is closed
}

// newBaseConn returns a connection before the handshake; establish completes it.
func newBaseConn(nc net.Conn, o *Options) *baseConn {
	c := &baseConn{nc: nc, reader: wire.NewReader(nc), dec: wire.NewDecoder(), closed: make(chan struct{})}
	c.writer = newFrameWriter(nc, o.WriteTimeout, func(n int) {
		if c.traffic != nil {
			c.traffic.SentBytes.Add(uint64(n))
			c.traffic.SentWrites.Add(1)
		}
	})
	now := int64(monotonic())
	c.lastReceived.Store(now)
	c.lastSent.Store(now)
	return c
}

// establish records the identity of the peer from its Hello, passes on the version that it names and raises the limit on frames.
func (c *baseConn) establish(h wire.Hello, o *Options) {
	c.peer, c.purpose = h.VM, h.Purpose
	c.traffic = o.Stats.Traffic(TrafficKey{Region: h.VM.Region, Control: h.Purpose == wire.PurposeControl})
	if h.VM.Region != o.Self.Region {
		c.limiter = o.Limiter
	}
	c.reader.SetLimit(wire.MaxFrame)
	o.OnHello(h.ConfigVersion)
}

// nextFrame reads one frame, records the time and counts the traffic.
func (c *baseConn) nextFrame() (wire.Frame, error) {
	before := c.reader.BytesRead()
	f, err := c.reader.Next()
	if err != nil {
		return f, err
	}
	c.lastReceived.Store(int64(monotonic()))
	c.traffic.ReceivedBytes.Add(c.reader.BytesRead() - before)
	c.traffic.ReceivedFrames.Add(1)
	return f, nil
}

// buildFunc encodes a frame. payload follows head on the wire.
type buildFunc func(*wire.Encoder) (head, payload []byte, err error)

// send writes a frame after it has passed the limiter between regions, and returns the stream offset of its end. size is the
// number of payload bytes. An error of ctx means that nothing was written.
func (c *baseConn) send(ctx context.Context, level, size int, build buildFunc) (end uint64, err error) {
	if err := c.waitForLimiter(ctx, level, size+frameOverheadBytes); err != nil {
		return 0, err
	}
	c.lastSent.Store(int64(monotonic()))
	return c.writer.send(false, build)
}

// sendFirstOfTwo writes the first of two frames. It charges the limiter between regions for both. The second frame must be
// small and follow at once by sendUnlimited, since the first one may stay in the buffer until then.
func (c *baseConn) sendFirstOfTwo(ctx context.Context, level, size int, build buildFunc) error {
	if err := c.waitForLimiter(ctx, level, size+2*frameOverheadBytes); err != nil {
		return err
	}
	_, err := c.writer.send(true, build)
	return err
}

// waitForLimiter waits until the limiter between regions lets n bytes go.
func (c *baseConn) waitForLimiter(ctx context.Context, level, n int) error {
	if c.limiter == nil {
		return nil
	}
	return c.limiter.wait(ctx, level, n)
}

// sendUnlimited writes a small frame without passing the limiter, since flow control and pings must not queue behind data.
func (c *baseConn) sendUnlimited(build func(*wire.Encoder) ([]byte, error)) error {
	c.lastSent.Store(int64(monotonic()))
	_, err := c.writer.send(false, func(e *wire.Encoder) ([]byte, []byte, error) {
		head, err := build(e)
		return head, nil, err
	})
	return err
}

// sendEmpty writes a frame without fields.
func (c *baseConn) sendEmpty(t wire.Type) error {
	return c.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Empty(t) })
}

// close ends the connection. If it is called more than once, the first reason is kept.
func (c *baseConn) close(reason error) {
	c.closeOnce.Do(func() {
		c.closeErr = reason
		_ = c.nc.Close()
		c.writer.close(reason)
		close(c.closed)
	})
}

// endedUnexpectedly reports whether the connection ended for another reason than a decision of this daemon.
func (c *baseConn) endedUnexpectedly() bool {
	for _, deliberate := range []error{ErrClosed, ErrSilent, ErrPeerGone, ErrIdle} {
		if errors.Is(c.closeErr, deliberate) {
			return false
		}
	}
	return true
}

// silentFor returns for how long no frame has been received, counted from the monotonic time since at the earliest.
func (c *baseConn) silentFor(since int64) time.Duration {
	return monotonic() - time.Duration(max(since, c.lastReceived.Load()))
}

// ownHello returns the Hello that this daemon sends.
func ownHello(o *Options, purpose wire.Purpose) wire.Hello {
	return wire.Hello{VM: o.Self, Cluster: o.Cluster, Instance: o.instance, Purpose: purpose, ConfigVersion: o.ConfigVersion()}
}

// dialConn connects to vm and performs the handshake within the dial timeout.
func dialConn(ctx context.Context, o *Options, vm platform.VM, purpose wire.Purpose) (*baseConn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", vm.PeerAddr)
	if err != nil {
		return nil, errkind.Wrap(errkind.PeerUnreachable, err, "dial entry VM %s", vm.Name)
	}
	nc = sockio.Wrap(nc)
	if o.TLS != nil {
		nc = tls.Client(nc, clientTLS(o.TLS, vm))
	}
	c, err := handshake(ctx, nc, o, vm, purpose)
	if err != nil {
		_ = nc.Close()
		return nil, errkind.Wrap(errkind.PeerUnreachable, err, "handshake with entry VM %s", vm.Name)
	}
	return c, nil
}

// clientTLS verifies the certificate against the VM's host unless the configuration names a server.
func clientTLS(c *tls.Config, vm platform.VM) *tls.Config {
	if c.ServerName != "" || c.InsecureSkipVerify {
		return c
	}
	c = c.Clone()
	if host, _, err := net.SplitHostPort(vm.PeerAddr); err == nil {
		c.ServerName = host
	}
	return c
}

// handshake exchanges Hellos and checks that the peer is vm.
func handshake(ctx context.Context, nc net.Conn, o *Options, vm platform.VM, purpose wire.Purpose) (*baseConn, error) {
	deadline, _ := ctx.Deadline()
	if err := nc.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	c := newBaseConn(nc, o)
	if err := c.sendUnlimited(func(e *wire.Encoder) ([]byte, error) { return e.Hello(ownHello(o, purpose)) }); err != nil {
		return nil, err
	}
	h, err := c.readHello()
	if err != nil {
		return nil, err
	}
	if h.VM.Name != vm.Name || h.Cluster != o.Cluster || h.Purpose != purpose {
		return nil, errkind.New(errkind.PeerUnreachable, "the dialled address belongs to entry VM %s of cluster %s", h.VM.Name, h.Cluster)
	}
	c.establish(h, o)
	return c, nc.SetReadDeadline(time.Time{})
}

// readHello reads the peer's Hello, or returns the reason for which the peer refuses the connection.
func (c *baseConn) readHello() (wire.Hello, error) {
	f, err := c.reader.Next()
	if err != nil {
		return wire.Hello{}, err
	}
	defer f.Release()
	switch f.Type {
	case wire.TypeHello:
		return c.dec.Hello(f.Body)
	case wire.TypeRefuse:
		return wire.Hello{}, c.dec.Refuse(f.Body)
	}
	return wire.Hello{}, wire.ErrMalformed
}
