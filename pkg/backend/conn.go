package backend

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/sockio"
)

const (
	readBufferBytes = 32 << 10
	// maxMessageBytes bounds one message from the member, since the pool buffers a message as a whole.
	maxMessageBytes = 64 << 20
	headerBytes     = 5 // type and length of a message
	// positionParameter is the ParameterStatus in which a member reports its replication state as "term/position".
	positionParameter          = "group_position"
	readOnlyParameter          = "default_transaction_read_only"
	sqlStateTooManyConnections = "53300"
)

// conn is one connection to the member. Its fields belong to the goroutine that holds the connection, except for the
// atomics and those guarded by Pool.mu or cancelMu.
type conn struct {
	nc        net.Conn
	raw       syscall.RawConn
	peekFunc  func(fd uintptr) bool
	peekEmpty bool
	peekBuf   [1]byte

	generation uint64
	dialSeq    uint64 // number of its dial in the pool; a lower one is older
	pid        uint32
	secret     []byte
	params     map[string]string

	readOnly bool // state of default_transaction_read_only
	term     platform.Term
	position platform.Position
	stmts    map[string]uint64 // names of prepared statements; the value is the tick of the last use
	tick     uint64
	status   byte // transaction status of the last ReadyForQuery
	tainted  bool // session state differs from a new connection's: closed after the unit or transaction
	broken   bool // its answer was not read to the end: closed at once

	rbuf       []byte
	rpos, rend int
	wbuf       []byte
	run        run

	txID                   uint64    // guarded by Pool.mu
	txBusy, closeAfterUnit bool      // guarded by Pool.mu
	idleSince              time.Time // when it was last returned to the pool; decides whether it is checked before it is used again

	lastHeard   atomic.Int64  // when the running unit began or last got bytes in Unix nanoseconds, 0 when idle
	cancelGrace time.Duration // how long the answer of a cancelled statement may pause
	cancelEnd   atomic.Int64  // end of the answer of the cancelled run in Unix nanoseconds, 0 when none is cancelled
	cancelMu    sync.Mutex
	runSeq      uint64 // guarded by cancelMu; number of the run in progress
	cancelled   bool   // guarded by cancelMu; the run in progress was cancelled
}

// dial opens a connection and completes the startup. All its errors mean that the unit did not run.
func (p *Pool) dial(unitCtx context.Context) (*conn, error) {
	ctx, stop := context.WithTimeout(unitCtx, p.opts.ConnectTimeout)
	defer stop()
	p.dials.Add(1)
	p.mu.Lock()
	p.lastDialSeq++
	generation, dialSeq := p.generation, p.lastDialSeq
	p.mu.Unlock()
	nc, err := p.opts.Dial(ctx, p.opts.Member.DataAddr)
	if err != nil {
		p.dialErrors.Add(1)
		if unitCtx.Err() != nil { // the unit ended; the member may be well
			return nil, endedBeforeStart(unitCtx.Err())
		}
		return nil, errkind.Wrap(errkind.NoMember, err, "connect to member %s", p.opts.Member.Name)
	}
	nc = sockio.Wrap(nc)
	c := &conn{nc: nc, generation: generation, dialSeq: dialSeq, cancelGrace: p.opts.CancelGrace, params: map[string]string{},
		stmts: map[string]uint64{}, rbuf: make([]byte, readBufferBytes)}
	c.preparePeek()
	deadline, _ := ctx.Deadline()
	_ = nc.SetDeadline(deadline)
	if err := c.startup(p.opts.User, p.opts.Database); err != nil {
		p.dialErrors.Add(1)
		_ = nc.Close()
		return nil, startupError(p.opts.Member.Name, err)
	}
	_ = nc.SetDeadline(time.Time{})
	return c, nil
}

func startupError(member string, err error) error {
	if pe, ok := err.(*serverError); ok && pe.Code == sqlStateTooManyConnections {
		return errkind.Wrap(errkind.TooManyConnections, err, "connect to member %s", member)
	}
	return errkind.Wrap(errkind.NoMember, err, "connect to member %s", member)
}

// serverError is an ErrorResponse of the member.
type serverError struct{ pgproto3.ErrorResponse }

func (e *serverError) Error() string { return e.Code + " " + e.Message }

func decodeError(body []byte) *serverError {
	e := &serverError{}
	if err := e.Decode(body); err != nil {
		e.Code, e.Message = errkind.Internal.SQLState, "malformed ErrorResponse from the member"
	}
	return e
}

func (c *conn) startup(user, database string) error {
	msg := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": user, "database": database, "application_name": "sycamorehub", "client_encoding": "UTF8",
	}}
	buf, err := msg.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(buf); err != nil {
		return err
	}
	for {
		typ, body, err := c.readMessage()
		if err != nil {
			return err
		}
		switch typ {
		case 'R':
			if len(body) < 4 || binary.BigEndian.Uint32(body) != pgproto3.AuthTypeOk {
				return fmt.Errorf("member requires an authentication method that is not supported")
			}
		case 'K':
			if len(body) >= 8 {
				c.pid = binary.BigEndian.Uint32(body)
				c.secret = append([]byte(nil), body[4:]...)
			}
		case 'S':
			name, value := splitParameter(body)
			if !c.recordPosition(name, value) {
				c.params[string(name)] = string(value)
			}
			if string(name) == readOnlyParameter {
				c.readOnly = string(value) == "on"
			}
		case 'E':
			return decodeError(body)
		case 'Z':
			c.status = 'I'
			return nil
		}
	}
}

// recordPosition records the member's term and position and reports whether the parameter carries them.
func (c *conn) recordPosition(name, value []byte) bool {
	if string(name) != positionParameter {
		return false
	}
	term, position, ok := strings.Cut(string(value), "/")
	t, err1 := strconv.ParseUint(term, 10, 64)
	n, err2 := strconv.ParseUint(position, 10, 64)
	if ok && err1 == nil && err2 == nil {
		c.term, c.position = platform.Term(t), platform.Position(n)
	}
	return true
}

// splitParameter returns name and value of a ParameterStatus body.
func splitParameter(body []byte) (name, value []byte) {
	for i, b := range body {
		if b == 0 {
			name, body = body[:i], body[i+1:]
			break
		}
	}
	for i, b := range body {
		if b == 0 {
			return name, body[:i]
		}
	}
	return name, nil
}

// readMessage waits for the next message and returns its type and body. The body is valid until the next call.
func (c *conn) readMessage() (byte, []byte, error) {
	for {
		n, err := c.bufferedMessageBytes()
		if err != nil {
			return 0, nil, err
		}
		if n > 0 {
			start := c.rpos
			c.rpos += n
			return c.rbuf[start], c.rbuf[start+headerBytes : c.rpos], nil
		}
		if err := c.fill(); err != nil {
			return 0, nil, err
		}
	}
}

// bufferedMessageBytes returns the length of the message at rpos, or 0 while it is incomplete.
func (c *conn) bufferedMessageBytes() (int, error) {
	if c.rend-c.rpos < headerBytes {
		return 0, nil
	}
	n := int(binary.BigEndian.Uint32(c.rbuf[c.rpos+1:])) + 1
	if n < headerBytes || n > maxMessageBytes {
		return 0, fmt.Errorf("message of type %q from the member has an invalid length of %d bytes", c.rbuf[c.rpos], n)
	}
	if c.rend-c.rpos < n {
		return 0, nil
	}
	return n, nil
}

// fill reads more bytes. It moves the unread bytes to the front of the buffer, which invalidates earlier offsets.
func (c *conn) fill() error {
	if c.rpos > 0 {
		copy(c.rbuf, c.rbuf[c.rpos:c.rend])
		c.rend -= c.rpos
		c.rpos = 0
	}
	if c.rend == len(c.rbuf) {
		bigger := make([]byte, 2*len(c.rbuf))
		copy(bigger, c.rbuf)
		c.rbuf = bigger
	}
	c.extendCancelDeadline() // the time that the caller took to read earlier bytes does not count against the member
	n, err := c.nc.Read(c.rbuf[c.rend:])
	c.rend += n
	if n > 0 {
		if c.lastHeard.Load() != 0 {
			c.lastHeard.Store(time.Now().UnixNano())
		}
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// shrinkBuffers releases buffers that a large message or unit has made grow.
func (c *conn) shrinkBuffers() {
	if len(c.rbuf) > readBufferBytes && c.rpos == c.rend {
		c.rbuf = make([]byte, readBufferBytes)
	}
	if c.rpos == c.rend {
		c.rpos, c.rend = 0, 0
	}
	if cap(c.wbuf) > readBufferBytes {
		c.wbuf = nil
	}
}

func (c *conn) preparePeek() {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	c.raw = raw
	c.peekFunc = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), c.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.peekEmpty = err == syscall.EAGAIN
		return true
	}
}

// alive reports whether an idle connection can be used: the member has neither closed it nor sent unexpected bytes, such
// as the error message of an endpoint that shuts down. It costs one system call.
func (c *conn) alive() bool {
	if c.raw == nil {
		return true
	}
	c.peekEmpty = false
	return c.raw.Read(c.peekFunc) == nil && c.peekEmpty
}
