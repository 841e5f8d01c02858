package sockio

import (
	"net"
	"syscall"
)

// Reusable reports whether an idle connection can be used again: the other side hasn't closed it, and no bytes wait on it
// that nobody asked for. The check costs one system call.
func Reusable(nc net.Conn) bool {
	sysConn, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = err == syscall.EAGAIN
		return true
	})
	return err == nil && noInput
}
