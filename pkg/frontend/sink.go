package frontend

import (
	"context"
	"encoding/binary"
	"time"
)

// callerSink passes the messages of an answer on to the caller. Small answers are collected, so that one write to
// the socket carries them together with ReadyForQuery.
type callerSink struct {
	session        *session
	header         [headerBytes]byte // header of a message that is split between calls of Write
	headerRead     int               // bytes of header received so far
	bodyLeft       int               // bytes of the current message that are still to come
	parseCompletes int               // ParseComplete messages so far
	writeFailed    bool              // a write to the caller has failed
}

// Write implements unit.Sink.
func (s *callerSink) Write(ctx context.Context, b []byte) error {
	s.trackMessages(b)
	w := s.session.workspace
	if len(w.out)+len(b) <= outBufferBytes {
		w.out = append(w.out, b...)
		return nil
	}
	deadline, _ := ctx.Deadline()
	if err := s.session.flushOutput(deadline); err != nil {
		s.writeFailed = true
		return err
	}
	if len(b) <= outBufferBytes/2 {
		w.out = append(w.out, b...)
		return nil
	}
	if err := s.session.write(b, deadline); err != nil {
		s.writeFailed = true
		return err
	}
	return nil
}

// trackMessages tracks the message boundaries of the answer, so that nothing is appended in the middle of a message.
func (s *callerSink) trackMessages(b []byte) {
	for len(b) > 0 {
		if s.bodyLeft > 0 {
			n := min(s.bodyLeft, len(b))
			s.bodyLeft -= n
			b = b[n:]
			continue
		}
		if s.headerRead == 0 && len(b) >= headerBytes {
			s.startMessage(b[0], binary.BigEndian.Uint32(b[1:]))
			b = b[headerBytes:]
			continue
		}
		n := copy(s.header[s.headerRead:], b)
		s.headerRead += n
		b = b[n:]
		if s.headerRead == headerBytes {
			s.headerRead = 0
			s.startMessage(s.header[0], binary.BigEndian.Uint32(s.header[1:]))
		}
	}
}

func (s *callerSink) startMessage(typ byte, length uint32) {
	s.bodyLeft = max(int(length)-4, 0)
	if typ == '1' { // ParseComplete
		s.parseCompletes++
	}
}

// inMessage reports whether the answer so far ends within a message.
func (s *callerSink) inMessage() bool { return s.bodyLeft > 0 || s.headerRead > 0 }

// flushOutput writes the collected bytes to the caller.
func (c *session) flushOutput(deadline time.Time) error {
	if len(c.workspace.out) == 0 {
		return nil
	}
	err := c.write(c.workspace.out, deadline)
	c.workspace.out = c.workspace.out[:0]
	return err
}

// write sends bytes to the caller within WriteTimeout, and before deadline unless it is zero. A caller that does not
// read fails at that time and blocks no other.
func (c *session) write(b []byte, deadline time.Time) error {
	writeDeadline := time.Now().Add(c.server.options.WriteTimeout)
	if !deadline.IsZero() && deadline.Before(writeDeadline) {
		writeDeadline = deadline
	}
	_ = c.conn.SetWriteDeadline(writeDeadline)
	_, err := c.conn.Write(b)
	return err
}
