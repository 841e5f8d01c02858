//go:build !race

package sockio

import (
	"syscall"
	"unsafe"
)

func sysRead(fd int, b []byte) (int, syscall.Errno) { return rawCall(syscall.SYS_READ, fd, b) }

func sysWrite(fd int, b []byte) (int, syscall.Errno) { return rawCall(syscall.SYS_WRITE, fd, b) }

// rawCall makes a system call that the scheduler isn't told of. trap is the number of the system call.
func rawCall(trap uintptr, fd int, b []byte) (int, syscall.Errno) {
	n, _, errno := syscall.RawSyscall(trap, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(b))), uintptr(len(b)))
	if errno != 0 {
		return 0, errno
	}
	return int(n), 0
}
