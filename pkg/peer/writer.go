package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// writeBufferBytes is the size of a connection's write buffer in bytes; larger payloads go to the socket without a copy.
const writeBufferBytes = 32 << 10

// frameWriter writes frames from many goroutines. A frame is written by its own goroutine, without a hand-over; when
// others wait for the lock, the flush is left to the last of them, so that frames share a system call.
type frameWriter struct {
	nc      net.Conn
	timeout time.Duration
	onWrite func(n int) // told of bytes handed to the socket
	waiting atomic.Int32

	mu          sync.Mutex
	enc         *wire.Encoder
	buf         []byte
	flushDue    bool   // buf holds a frame that no later frame of its sender flushes
	acceptedEnd uint64 // offset in the stream after the last frame accepted
	writtenEnd  uint64 // offset up to which the socket has taken bytes
	err         error
}

func newFrameWriter(nc net.Conn, timeout time.Duration, count func(int)) *frameWriter {
	return &frameWriter{nc: nc, timeout: timeout, onWrite: count, enc: wire.NewEncoder(),
		buf: make([]byte, 0, writeBufferBytes)}
}

// send encodes and writes one frame and returns the stream offset of its end. The payload that build returns is not
// kept after send returns. A frame that fails to encode leaves the connection usable. With more the frame may stay in
// the buffer, since its sender sends another one without waiting for anything.
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

// appendFrame appends b to the buffer. The caller holds mu.
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

func (w *frameWriter) flush() {
	if len(w.buf) > 0 {
		w.write(w.buf)
		w.buf = w.buf[:0]
	}
	w.flushDue = false
}

// write hands b to the socket. A write blocked past its deadline ends the connection.
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
		_ = w.nc.Close() // the reader of the connection notices and ends it
	}
}

// close makes every later send fail. The socket must be closed before, which unblocks a writer that holds mu.
func (w *frameWriter) close(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
}

// hasWritten reports whether the socket has taken all bytes up to the stream offset end. After close a false answer is
// final: the peer can't have received the complete frame.
func (w *frameWriter) hasWritten(end uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writtenEnd >= end
}
