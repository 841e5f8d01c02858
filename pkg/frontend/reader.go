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
	headerBytes  = 5 // type and length of a message
	// unitReadTimeout bounds the wait for more bytes of a unit that has begun to arrive.
	unitReadTimeout = 30 * time.Second
	// flushTimeout is how long a Flush may be the last message to arrive before the caller is taken to wait for an
	// answer to it.
	flushTimeout = 250 * time.Millisecond
)

// initReader sets rawConn, and readDescriptor if the connection has a descriptor of its own, which TLS connections
// lack. It is called after the TLS handshake.
func (c *session) initReader() {
	c.rawConn = rawConn(c.conn)
	if _, ok := c.conn.(syscall.Conn); !ok || c.rawConn == nil {
		return
	}
	c.readDescriptor = func(fd uintptr) bool {
		if c.workspace == nil {
			c.workspace = getWorkspace()
		}
		w := c.workspace
		if w.readErr = c.growInput(); w.readErr != nil {
			return true
		}
		n, errno := sockio.Read(int(fd), w.in[len(w.in):cap(w.in)])
		if errno == syscall.EAGAIN {
			if w.idle() {
				putWorkspace(w) // an idle session holds no buffers
				c.workspace = nil
			}
			return false
		}
		w.readBytes, w.readErr = n, nil
		if errno != 0 {
			w.readErr = errno
		}
		return true
	}
}

// errNoRoom ends a session whose messages take more memory than the process can give them.
var errNoRoom = errkind.New(errkind.Overload, "the messages of all callers take more memory than this entry VM has for them")

// messageCopies is how often a large unit is held: as it was received, and as it is sent on.
const messageCopies = 2

// growInput makes room for at least one more byte. The buffer doubles as bytes arrive, so that a length stated by the
// caller allocates nothing by itself. An error means that the process has no room for a larger one.
func (c *session) growInput() error {
	w := c.workspace
	if w.inPos > 0 {
		w.in = w.in[:copy(w.in, w.in[w.inPos:])]
		w.inPos = 0
	}
	if len(w.in) == cap(w.in) {
		size := max(2*cap(w.in), inBufferBytes)
		if !c.room.Resize(messageCopies * size) {
			return errNoRoom
		}
		in := make([]byte, len(w.in), size)
		copy(in, w.in)
		w.in = in
	}
	return nil
}

// fill waits for more bytes, without a limit unless a unit has begun to arrive.
func (c *session) fill() error {
	if c.workspace == nil || c.workspace.idle() {
		return c.fillOnce()
	}
	timeout := unitReadTimeout
	if c.workspace.assembly.lastWasFlush {
		timeout = flushTimeout
	}
	deadline := time.Now().Add(timeout)
	for {
		_ = c.conn.SetReadDeadline(deadline)
		err := c.fillOnce()
		// Draining may have set an earlier deadline for the idle session just before the unit began.
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			_ = c.conn.SetReadDeadline(time.Time{})
			return err
		}
	}
}

// fillOnce does one read, through readDescriptor if it is set.
func (c *session) fillOnce() error {
	if c.readDescriptor == nil {
		return c.fillFromConn()
	}
	if err := c.rawConn.Read(c.readDescriptor); err != nil {
		return err
	}
	w := c.workspace
	if w.readErr != nil {
		return w.readErr
	}
	if w.readBytes == 0 {
		return io.EOF
	}
	w.in = w.in[:len(w.in)+w.readBytes]
	return nil
}

// fillFromConn reads from a connection without a descriptor of its own, such as TLS. An idle session waits for the
// first byte without a buffer from the pool.
func (c *session) fillFromConn() error {
	if c.workspace != nil {
		if err := c.growInput(); err != nil {
			return err
		}
		n, err := c.conn.Read(c.workspace.in[len(c.workspace.in):cap(c.workspace.in)])
		c.workspace.in = c.workspace.in[:len(c.workspace.in)+n]
		if n > 0 {
			return nil
		}
		return err
	}
	var first [1]byte
	n, err := c.conn.Read(first[:])
	if n == 0 {
		return err
	}
	c.workspace = getWorkspace()
	c.workspace.in = append(c.workspace.in, first[0])
	return nil
}

// nextMessage returns the nextMessage message; its body is valid until the nextMessage call.
func (c *session) nextMessage() (typ byte, body []byte, err error) {
	for {
		if w := c.workspace; w != nil && w.pending() >= headerBytes {
			n := int(binary.BigEndian.Uint32(w.in[w.inPos+1:]))
			if n < 4 || n > maxMessageBytes {
				return 0, nil, errkind.New(errkind.ProtocolViolation, "message length is %d bytes; it must be 4 to %d", n, maxMessageBytes)
			}
			if !isKnownMessageType(w.in[w.inPos]) {
				return 0, nil, errkind.New(errkind.ProtocolViolation, "invalid message type %#02x", w.in[w.inPos])
			}
			if w.pending() >= n+1 {
				typ, body = w.in[w.inPos], w.in[w.inPos+headerBytes:w.inPos+1+n]
				w.inPos += n + 1
				return typ, body, nil
			}
		}
		if err := c.fill(); err != nil {
			return 0, nil, err
		}
	}
}

// isKnownMessageType reports whether callers may send messages of type t after the startup.
func isKnownMessageType(t byte) bool {
	switch t {
	case 'Q', 'P', 'B', 'D', 'E', 'C', 'S', 'H', 'X', 'F', 'd', 'c', 'f':
		return true
	}
	return false
}

// readUnit reads the messages of a unit, up to Query, FunctionCall or Sync. It returns end = true when the caller
// terminated the session.
func (c *session) readUnit() (end bool, err error) {
	for {
		typ, body, err := c.nextMessage()
		if errors.Is(err, os.ErrDeadlineExceeded) && c.workspace != nil && c.workspace.assembly.lastWasFlush {
			if err := c.refuseFlush(); err != nil {
				return false, err
			}
			continue
		}
		if err != nil {
			return false, err
		}
		if typ == 'X' { // Terminate
			return true, nil
		}
		done, err := c.addMessage(typ, body)
		if err != nil || done {
			return false, err
		}
	}
}

// refuseFlush refuses a unit whose caller waits for an answer to Flush before it sends Sync. The messages up to Sync
// are dropped.
func (c *session) refuseFlush() error {
	a := &c.workspace.assembly
	a.lastWasFlush, a.skipToSync = false, true
	c.workspace.out = appendErrorResponse(c.workspace.out, "ERROR", errkind.New(errkind.Unsupported, "waiting for an answer to Flush before Sync is not supported"))
	return c.flushOutput(time.Time{})
}

// readFailure returns what the caller is told after a failed read, or nil if the connection itself failed.
func (c *session) readFailure(err error) error {
	var kindErr *errkind.Error
	switch {
	case c.closeRequested.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		return c.drainError()
	case errors.As(err, &kindErr):
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.ProtocolViolation, "unit of work is incomplete: no more of it arrived within %s", unitReadTimeout)
	}
	return nil
}
