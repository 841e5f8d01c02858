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

// Process is one started program.
type Process struct {
	Name string

	cmd     *exec.Cmd
	output  *tailBuffer
	exited  chan struct{}
	exitErr error
}

// outputTailBytes is how much of a process's output is kept for error reports.
const outputTailBytes = 16 << 10

// tailBuffer keeps the last bytes written to it.
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

func startProcess(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), output: &tailBuffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	// The process ends with its parent, so that an aborted test leaves none behind.
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

// Output returns the last output of the process.
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

// Kill ends the process at once (SIGKILL).
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Freeze stops the process without its knowledge (SIGSTOP).
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process (SIGCONT).
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks for a graceful shutdown (SIGTERM) without waiting.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Stop asks for a graceful shutdown and waits for the exit; after timeout it kills and reports an error.
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
		return fmt.Errorf("%s did not stop within %v", p.Name, timeout)
	}
}
