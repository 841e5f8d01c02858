//go:build race

package sockio

import "syscall"

// The race detector learns from package syscall what one end of a connection has done before the other one reads.

func sysRead(fd int, b []byte) (int, syscall.Errno) { return countAndErrno(syscall.Read(fd, b)) }

func sysWrite(fd int, b []byte) (int, syscall.Errno) { return countAndErrno(syscall.Write(fd, b)) }

func countAndErrno(n int, err error) (int, syscall.Errno) {
	errno, _ := err.(syscall.Errno)
	return max(n, 0), errno
}
