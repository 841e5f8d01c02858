package frontend

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/sockio"
)

const (
	// maxMessageBytes bounds one message of a caller.
	maxMessageBytes = 16 << 20
	// maxUnitBytes bounds the messages of one unit.
	maxUnitBytes = 32 << 20
	headerBytes  = 5
	// unitReadTimeout bounds the wait for more bytes of a unit that has been started.
	unitReadTimeout = 30 * time.Second
	// flushWait is how long a Flush may be the last message before it counts as one that waits for an answer.
	flushWait = 250 * time.Millisecond
)

// initReader prepares reading; it is called after TLS has been set up.
func (c *session) initReader() {
	c.raw = rawConn(c.nc)
	if _, ok := c.nc.(syscall.Conn); !ok || c.raw == nil {
		return
	}
	c.read = func(fd uintptr) bool {
		if c.w == nil {
			c.w = getWork()
		}
		w := c.w
		w.grow()
		n, errno := sockio.Read(int(fd), w.in[len(w.in):cap(w.in)])
		if errno == syscall.EAGAIN {
			if w.idle() {
				putWork(w) // an idle session holds no buffers
				c.w = nil
			}
			return false
		}
		w.n, w.err = n, nil
		if errno != 0 {
			w.err = errno
		}
		return true
	}
}

// grow makes room for at least one more byte. The buffer doubles as bytes arrive, so a stated length alone
// allocates nothing.
func (w *work) grow() {
	if w.pos > 0 {
		w.in = w.in[:copy(w.in, w.in[w.pos:])]
		w.pos = 0
	}
	if len(w.in) == cap(w.in) {
		in := make([]byte, len(w.in), max(2*cap(w.in), inBufferBytes))
		copy(in, w.in)
		w.in = in
	}
}

// fill waits for more bytes. Without a unit in progress it waits without a limit.
func (c *session) fill() error {
	if c.w == nil || c.w.idle() {
		return c.fillOnce()
	}
	wait := unitReadTimeout
	if c.w.asm.flush {
		wait = flushWait
	}
	limit := time.Now().Add(wait)
	for {
		_ = c.nc.SetReadDeadline(limit)
		err := c.fillOnce()
		// Draining may have set a deadline for an idle session just before the unit began.
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(limit) {
			_ = c.nc.SetReadDeadline(time.Time{})
			return err
		}
	}
}

func (c *session) fillOnce() error {
	if c.read == nil {
		return c.fillPlain()
	}
	if err := c.raw.Read(c.read); err != nil {
		return err
	}
	w := c.w
	if w.err != nil {
		return w.err
	}
	if w.n == 0 {
		return io.EOF
	}
	w.in = w.in[:len(w.in)+w.n]
	return nil
}

// fillPlain reads from connections without a descriptor of their own, such as TLS. One byte is awaited without a
// buffer from the pool.
func (c *session) fillPlain() error {
	if c.w != nil {
		c.w.grow()
		n, err := c.nc.Read(c.w.in[len(c.w.in):cap(c.w.in)])
		c.w.in = c.w.in[:len(c.w.in)+n]
		if n > 0 {
			return nil
		}
		return err
	}
	var first [1]byte
	n, err := c.nc.Read(first[:])
	if n == 0 {
		return err
	}
	c.w = getWork()
	c.w.in = append(c.w.in, first[0])
	return nil
}

// next returns the next message; its body is valid until the next call.
func (c *session) next() (typ byte, body []byte, err error) {
	for {
		if w := c.w; w != nil && w.pending() >= headerBytes {
			n := int(binary.BigEndian.Uint32(w.in[w.pos+1:]))
			if n < 4 || n > maxMessageBytes {
				return 0, nil, errkind.New(errkind.ProtocolViolation, "message length %d is outside 4..%d", n, maxMessageBytes)
			}
			if !knownType(w.in[w.pos]) {
				return 0, nil, errkind.New(errkind.ProtocolViolation, "invalid message type %#02x", w.in[w.pos])
			}
			if w.pending() >= n+1 {
				typ, body = w.in[w.pos], w.in[w.pos+headerBytes:w.pos+1+n]
				w.pos += n + 1
				return typ, body, nil
			}
		}
		if err := c.fill(); err != nil {
			return 0, nil, err
		}
	}
}

func knownType(t byte) bool {
	switch t {
	case 'Q', 'P', 'B', 'D', 'E', 'C', 'S', 'H', 'X', 'F', 'd', 'c', 'f':
		return true
	}
	return false
}

// readUnit reads messages up to Query or Sync. It returns end = true when the caller terminated the session.
func (c *session) readUnit() (end bool, err error) {
	for {
		typ, body, err := c.next()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.w != nil && c.w.asm.flush {
			if err := c.refuseFlush(); err != nil {
				return false, err
			}
			continue
		}
		if err != nil {
			return false, err
		}
		if typ == 'X' {
			return true, nil
		}
		done, err := c.add(typ, body)
		if err != nil || done {
			return false, err
		}
	}
}

// refuseFlush answers a Flush that waits for an answer before Sync; the rest up to Sync is dropped.
func (c *session) refuseFlush() error {
	a := &c.w.asm
	a.flush, a.skip = false, true
	c.w.out = appendErr(c.w.out, "ERROR", errkind.New(errkind.Unsupported, "Flush before Sync is not supported"))
	return c.flushOut(time.Time{})
}

// readFailed ends the session after a failed read.
func (c *session) readFailed(err error) {
	var kindErr *errkind.Error
	switch {
	case c.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		c.fatal(c.drainError())
	case errors.As(err, &kindErr):
		c.fatal(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.fatal(errkind.New(errkind.ProtocolViolation, "the rest of a unit did not arrive in %s", unitReadTimeout))
	}
}
