package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// writeBufferBytes is the size of a connection's write buffer. Larger payloads go to the socket without a copy.
const writeBufferBytes = 32 << 10

// frameWriter writes the frames of many goroutines to a connection. Each goroutine writes its own frames, without a
// hand-over to another one. While other senders wait for the lock, the flush is left to the last of them, so that frames
// share a system call.
type frameWriter struct {
	nc      net.Conn
	timeout time.Duration
	onWrite func(n int)  // called with the number of bytes that the socket has taken
	waiting atomic.Int32 // senders that wait for mu

	mu          sync.Mutex
	enc         *wire.Encoder
	buf         []byte
	flushDue    bool   // buf holds a frame that must not wait for another frame of its sender
	acceptedEnd uint64 // stream offset after the last accepted frame
	writtenEnd  uint64 // stream offset up to which the socket has taken bytes
	err         error  // first failure, or the reason given to close
}

func newFrameWriter(nc net.Conn, timeout time.Duration, onWrite func(int)) *frameWriter {
	return &frameWriter{nc: nc, timeout: timeout, onWrite: onWrite, enc: wire.NewEncoder(),
		buf: make([]byte, 0, writeBufferBytes)}
}

// send encodes and writes one frame and returns the stream offset of its end; on a connection that has failed before, that
// is an offset that is never written. The payload that build returns is not kept after send returns. A frame that fails to
// encode leaves the connection usable. With moreFollows the frame may stay in the buffer, since its sender sends another
// one without waiting for anything.
func (w *frameWriter) send(moreFollows bool, build buildFunc) (end uint64, err error) {
	w.waiting.Add(1)
	w.mu.Lock()
	w.waiting.Add(-1)
	defer w.mu.Unlock()
	if w.err != nil {
		return w.acceptedEnd + 1, w.err
	}
	head, payload, encErr := build(w.enc)
	if encErr == nil {
		w.acceptedEnd += uint64(len(head) + len(payload))
		w.appendFrame(head)
		w.appendFrame(payload)
	}
	end = w.acceptedEnd
	w.flushDue = w.flushDue || !moreFollows
	if w.flushDue && w.waiting.Load() == 0 {
		w.flush()
	}
	if encErr != nil {
		return end, encErr
	}
	return end, w.err
}

// appendFrame appends b, a part of a frame, to the buffer, which it flushes first if there is no room. The caller holds mu.
func (w *frameWriter) appendFrame(b []byte) {
	if len(w.buf)+len(b) > cap(w.buf) {
		w.flush()
	}
	if len(b) > cap(w.buf) {
		w.write(b)
		return
	}
	w.buf = append(w.buf, b...)
}

// flush writes the buffer to the socket. The caller holds mu.
func (w *frameWriter) flush() {
	if len(w.buf) > 0 {
		w.write(w.buf)
		w.buf = w.buf[:0]
	}
	w.flushDue = false
}

// write hands b to the socket. A write that is blocked past its deadline ends the connection. The caller holds mu.
func (w *frameWriter) write(b []byte) {
	if w.err != nil {
		return
	}
	if w.err = w.nc.SetWriteDeadline(time.Now().Add(w.timeout)); w.err != nil {
		return
	}
	n, err := w.nc.Write(b)
	w.writtenEnd += uint64(n)
	w.onWrite(n)
	if err != nil {
		w.err = err
		_ = w.nc.Close() // makes the reading goroutine fail, which ends the connection
	}
}

// close makes every later send fail. The socket must be closed before, which unblocks a sender that holds mu.
func (w *frameWriter) close(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

// hasWritten reports whether the socket has taken all bytes up to the stream offset end. After close, false is final: the
// peer can't have received the complete frame.
func (w *frameWriter) hasWritten(end uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writtenEnd >= end
}
