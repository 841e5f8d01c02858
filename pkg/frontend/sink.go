package frontend

import (
	"context"
	"encoding/binary"
	"time"
)

// callerSink passes the messages of an answer on to the caller. Small answers are collected, so that one write to
// the socket carries them together with ReadyForQuery. The beginning of a message is kept until its end arrives, so that
// an answer that breaks off can still end with an error, unless the message is larger than the buffer.
type callerSink struct {
	session        *session
	header         [headerBytes]byte // header of a message that is split between calls of Write
	headerRead     int               // bytes of header received so far
	bodyLeft       int               // bytes of the current message that are still to come
	parseCompletes int               // ParseComplete messages so far
	wholeEnd       int               // end of the last whole message in the workspace's out
	partSent       bool              // a part of the current message, but not its end, has been sent
	writeFailed    bool              // a write to the caller has failed
	err            error             // why the rest of the answer is not passed on
}

// Write implements unit.Sink. After an error it passes nothing on, since the answer would have a gap.
func (s *callerSink) Write(ctx context.Context, b []byte) error {
	if s.err != nil {
		return s.err
	}
	if len(s.session.workspace.out)+len(b) <= outBufferBytes {
		s.collect(b, s.trackMessages(b))
		return nil
	}
	deadline, ok := ctx.Deadline()
	if ok && !time.Now().Before(deadline) { // what was sent so far can still be followed by an error
		s.err = context.DeadlineExceeded
		return s.err
	}
	s.err = s.send(b, s.trackMessages(b), deadline)
	s.writeFailed = s.err != nil
	return s.err
}

// collect appends b to the collected bytes. The last whole message ends at b[ended], or before b if ended is negative.
func (s *callerSink) collect(b []byte, ended int) {
	w := s.session.workspace
	if ended >= 0 {
		s.wholeEnd, s.partSent = len(w.out)+ended, false
	}
	w.out = append(w.out, b...)
}

// send sends the whole messages that were collected and those that end in b, and collects the rest. A message that is too
// large for the buffer is sent in parts.
func (s *callerSink) send(b []byte, ended int, deadline time.Time) error {
	w := s.session.workspace
	if ended >= 0 && len(w.out)+ended <= 2*outBufferBytes {
		s.collect(b[:ended], ended)
		b, ended = b[ended:], -1
	}
	if err := s.session.write(w.out[:s.wholeEnd], deadline); err != nil {
		return err
	}
	w.out = w.out[:copy(w.out, w.out[s.wholeEnd:])]
	s.wholeEnd = 0
	if len(w.out)+len(b) <= outBufferBytes {
		s.collect(b, ended)
		return nil
	}
	s.partSent = s.inMessage()
	if err := s.session.flushOutput(deadline); err != nil {
		return err
	}
	return s.session.write(b, deadline)
}

// trackMessages tracks the message boundaries of the answer. It returns the end of the last message that ends in b, or -1 if
// none does.
func (s *callerSink) trackMessages(b []byte) (ended int) {
	ended = -1
	for pos := 0; pos < len(b); {
		rest := b[pos:]
		switch {
		case s.bodyLeft > 0:
			n := min(s.bodyLeft, len(rest))
			s.bodyLeft -= n
			pos += n
		case s.headerRead == 0 && len(rest) >= headerBytes:
			s.startMessage(rest[0], binary.BigEndian.Uint32(rest[1:]))
			pos += headerBytes
		default:
			n := copy(s.header[s.headerRead:], rest)
			s.headerRead += n
			pos += n
			if s.headerRead == headerBytes {
				s.headerRead = 0
				s.startMessage(s.header[0], binary.BigEndian.Uint32(s.header[1:]))
			}
		}
		if !s.inMessage() {
			ended = pos
		}
	}
	return ended
}

func (s *callerSink) startMessage(typ byte, length uint32) {
	s.bodyLeft = max(int(length)-4, 0)
	if typ == '1' { // ParseComplete
		s.parseCompletes++
	}
}

// inMessage reports whether the answer so far ends within a message.
func (s *callerSink) inMessage() bool { return s.bodyLeft > 0 || s.headerRead > 0 }

// dropPart drops a message that broke off from the collected bytes. It returns false if a part of it has been sent, so that
// nothing can follow.
func (s *callerSink) dropPart() bool {
	if s.partSent {
		return false
	}
	if s.inMessage() {
		w := s.session.workspace
		w.out = w.out[:s.wholeEnd]
	}
	return true
}

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
	if len(b) == 0 {
		return nil
	}
	writeDeadline := time.Now().Add(c.server.options.WriteTimeout)
	if !deadline.IsZero() && deadline.Before(writeDeadline) {
		writeDeadline = deadline
	}
	_ = c.conn.SetWriteDeadline(writeDeadline)
	_, err := c.conn.Write(b)
	return err
}
