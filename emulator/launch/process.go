package launch

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a program that was started and may have exited.
type Process struct {
	Name string

	cmd     *exec.Cmd
	output  *tailBuffer
	exited  chan struct{} // closed when the process has exited
	exitErr error         // result of cmd.Wait, valid once exited is closed
}

// outputTailBytes is how much of the latest output of a process is kept for error messages.
const outputTailBytes = 16 << 10

// tailBuffer is a writer that keeps the last outputTailBytes written to it. It is safe for concurrent use.
type tailBuffer struct {
	mu  sync.Mutex
	buf []byte
}

func (t *tailBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, p...)
	if n := len(t.buf) - outputTailBytes; n > 0 {
		t.buf = append(t.buf[:0], t.buf[n:]...)
	}
	return len(p), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.Clone(t.buf))
}

// startProcess starts a program and collects its output. name stands for the process in error messages.
func startProcess(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), output: &tailBuffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	// The operating system kills the process when its parent dies, so that an aborted test leaves none behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns the last outputTailBytes of what the process wrote to its standard output and standard error.
func (p *Process) Output() string { return p.output.String() }

// Alive reports whether the process has not exited.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill kills the process (SIGKILL) and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Freeze suspends the process without its noticing (SIGSTOP), until Resume.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a process that Freeze suspended (SIGCONT).
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully (SIGTERM) and does not wait for its exit.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop asks the process to shut down gracefully and waits for its exit. It returns the exit error of the process. A
// process that has not exited after timeout is killed, and Stop returns an error that says so.
func (p *Process) Stop(timeout time.Duration) error {
	if !p.Alive() {
		return p.exitErr
	}
	if err := p.Terminate(); err != nil && !os.IsNotExist(err) {
		return err
	}
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s did not exit within %v of SIGTERM and was killed", p.Name, timeout)
	}
}
