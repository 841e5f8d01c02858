//go:build race

package sockio

import "syscall"

// Under the race detector, reads and writes go through package syscall. It tells the detector that what one end of a
// connection does before a write happens before the read at the other end.

func sysRead(fd int, b []byte) (int, syscall.Errno) { return countAndErrno(syscall.Read(fd, b)) }

func sysWrite(fd int, b []byte) (int, syscall.Errno) { return countAndErrno(syscall.Write(fd, b)) }

// countAndErrno converts the results of package syscall to those of rawCall.
func countAndErrno(n int, err error) (int, syscall.Errno) {
	errno, _ := err.(syscall.Errno)
	return max(n, 0), errno
}
