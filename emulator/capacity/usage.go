package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// clockTick is the unit of the CPU times in /proc/PID/stat. The kernel calls its rate USER_HZ.
	clockTick = 10 * time.Millisecond
	pageBytes = 4096
	kib       = 1024
)

// selfCPU returns the CPU time that this process has used in user and system mode.
func selfCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// selfMemory returns the bytes of heap and stack in use after garbage collection.
func selfMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// processCPU returns the CPU time that a process has used in user and system mode.
func processCPU(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	const utime, stime = 11, 12 // indexes of the fields after the command name
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= stime {
		return 0, fmt.Errorf("the stat file of process %d has too few fields", pid)
	}
	var ticks int64
	for _, s := range []string{fields[utime], fields[stime]} {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// processRSS returns the resident memory of a process in bytes, or 0 if it cannot be read.
func processRSS(pid int) float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	n, _ := strconv.ParseFloat(f[1], 64)
	return n * pageBytes
}

// threadSleeps returns how often the threads of a process have gone to sleep, which are their voluntary context switches.
// Unlike CPU time, the count hardly depends on other processes.
func threadSleeps(pid int) (sleeps float64) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	for _, file := range files {
		b, _ := os.ReadFile(file)
		_, rest, _ := strings.Cut(string(b), "\nvoluntary_ctxt_switches:")
		line, _, _ := strings.Cut(rest, "\n")
		n, _ := strconv.ParseFloat(strings.TrimSpace(line), 64)
		sleeps += n
	}
	return sleeps
}

// socketMemory returns the size in bytes of the pages that TCP sockets of the network namespace hold in buffers. It counts
// the sockets of all processes.
func socketMemory() float64 {
	b, _ := os.ReadFile("/proc/net/sockstat")
	for _, line := range strings.Split(string(b), "\n") {
		if _, rest, ok := strings.Cut(line, "TCP:"); ok {
			f := strings.Fields(rest)
			for i := 0; i+1 < len(f); i += 2 {
				if f[i] == "mem" {
					n, _ := strconv.ParseFloat(f[i+1], 64)
					return n * pageBytes
				}
			}
		}
	}
	return 0
}

// readMetrics reads a daemon's metrics and returns their values by name, with the labels as part of the name.
func readMetrics(ctx context.Context, adminAddr string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddr+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the daemon answered the request for /metrics with status %s", resp.Status)
	}
	values := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		separator := strings.LastIndexByte(lines.Text(), ' ') // the last space, since labels may contain spaces
		if v, err := strconv.ParseFloat(lines.Text()[separator+1:], 64); separator >= 0 && err == nil {
			values[lines.Text()[:separator]] = v
		}
	}
	return values, lines.Err()
}

// byteCounter counts the bytes of the connections that it dials, without TCP and IP headers.
type byteCounter struct{ sent, received, dials atomic.Int64 }

// totalBytes returns the bytes sent and received.
func (w *byteCounter) totalBytes() float64 { return float64(w.sent.Load() + w.received.Load()) }

// Dial opens a connection whose bytes are counted.
func (w *byteCounter) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	w.dials.Add(1)
	return &countingConn{c, w}, nil
}

// countingConn is a connection that adds its bytes to a counter.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
