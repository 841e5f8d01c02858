package frontend

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerCheckInterval is the interval at which running units are checked for callers that have closed their
// connections. Checking in each unit would add to the cost of every statement, while one scan of all sessions takes
// microseconds. Drain checks the sessions at the same interval once its context has ended.
const callerCheckInterval = 100 * time.Millisecond

// watchCallers cancels units whose callers have closed their connections. It returns at the end of Drain.
func (s *Server) watchCallers() {
	t := time.NewTicker(callerCheckInterval)
	defer t.Stop()
	var longRunning []*session
	for {
		select {
		case <-s.drained:
			return
		case <-t.C:
		}
		startedBefore := time.Now().Add(-callerCheckInterval).UnixNano()
		longRunning = longRunning[:0]
		s.mu.Lock()
		for _, c := range s.sessions {
			if started := c.unitStarted.Load(); started != 0 && started < startedBefore {
				longRunning = append(longRunning, c)
			}
		}
		s.mu.Unlock()
		for _, c := range longRunning {
			if isConnectionClosed(c.rawConn) {
				c.cancelUnit()
			}
		}
	}
}

// rawConn returns the raw connection of a TCP connection, also of one below TLS, or nil.
func rawConn(conn net.Conn) syscall.RawConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// isConnectionClosed reports whether the other side has closed the connection, even when unread bytes are left.
func isConnectionClosed(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	closed := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || closed
}
