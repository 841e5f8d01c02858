// Package sockio reads and writes TCP connections with system calls that the Go scheduler isn't told of. The calls don't
// block: the descriptors are in non-blocking mode, and waits go through the runtime's network poller with its deadlines.
//
// A system call that the scheduler knows of wakes the scheduler's monitor thread when all processors were idle before, and
// that thread then polls every 20 µs for a while. A daemon that is mostly idle would spend CPU time on this with each
// statement.
package sockio

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// maxCallBytes bounds the bytes that one system call copies. Copying more takes so long that the scheduler must know of the
// call, so that it can run other goroutines meanwhile: Write leaves such writes to package net.
const maxCallBytes = 64 << 10

// Conn is a TCP connection whose reads and writes don't involve the scheduler unless they wait.
type Conn struct {
	*net.TCPConn
	raw  syscall.RawConn
	r, w direction
}

// direction is the reading or the writing side of a connection. Its fields belong to the goroutine that holds mu.
type direction struct {
	mu      sync.Mutex
	buf     []byte
	n       int // bytes read or written by the present call of transfer
	errno   syscall.Errno
	attempt func(fd uintptr) bool // tryRead or tryWrite; kept, since a new closure would be allocated for each call
}

// Wrap returns nc as a Conn if it is a TCP connection, and unchanged otherwise.
func Wrap(nc net.Conn) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nc
	}
	c := &Conn{TCPConn: tcp, raw: raw}
	c.r.attempt, c.w.attempt = c.r.tryRead, c.w.tryWrite
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := c.r.transfer(c.raw.Read, b, "read")
	if err == nil && n == 0 {
		err = io.EOF
	}
	return n, c.opError("read", err)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if len(b) > maxCallBytes {
		return c.TCPConn.Write(b)
	}
	n, err := c.w.transfer(c.raw.Write, b, "write")
	return n, c.opError("write", err)
}

// opError describes a failed system call as package net does. Errors of raw already have that form.
func (c *Conn) opError(op string, err error) error {
	if _, ok := err.(*os.SyscallError); !ok {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// transfer reads into b or writes b. callWhenReady is the method of the raw connection that calls attempt, and again each
// time that the descriptor is ready, until attempt returns true.
func (d *direction) transfer(callWhenReady func(func(fd uintptr) bool) error, b []byte, syscallName string) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.buf, d.n, d.errno = b, 0, 0
	err := callWhenReady(d.attempt)
	d.buf = nil
	if err == nil && d.errno != 0 {
		err = os.NewSyscallError(syscallName, d.errno)
	}
	return d.n, err
}

// tryRead reads what has arrived. It returns false if nothing has, so that the call is repeated once the descriptor is
// readable.
func (d *direction) tryRead(fd uintptr) bool {
	d.n, d.errno = Read(int(fd), d.buf)
	return d.errno != syscall.EAGAIN
}

// tryWrite writes what is left of buf. It returns false if the socket takes no more bytes for now, so that the call is
// repeated once the descriptor is writable.
func (d *direction) tryWrite(fd uintptr) bool {
	for d.n < len(d.buf) {
		n, errno := sysWrite(int(fd), d.buf[d.n:])
		d.n += n
		if d.errno = errno; errno != 0 && errno != syscall.EINTR {
			return errno != syscall.EAGAIN
		}
	}
	return true
}

// Read reads at most 64 KiB from a descriptor in non-blocking mode. It returns EAGAIN if nothing has arrived.
func Read(fd int, b []byte) (int, syscall.Errno) {
	for {
		n, errno := sysRead(fd, b[:min(len(b), maxCallBytes)])
		if errno != syscall.EINTR {
			return n, errno
		}
	}
}
