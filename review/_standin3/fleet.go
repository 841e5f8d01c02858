package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what happens to record.txt, each line with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) logf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// vm is an entry VM: a process of the project with its settings file.
type vm struct {
	name, zone, ip string
	settings       string
	rec            *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	lost    bool // it is not started again
	ended   int  // how often its process ended without a disruption here
	peakMB  int
	killing bool
}

// addresses of the stand-ins, and ports of the VMs, which are the same on all of them.
type network struct{ store, cloud, front, ready, control, internal int }

func freePorts(n int) ([]int, error) {
	// Ports that are free on one loopback address are free on the others of this program.
	return pickPorts(n)
}

// settingsFile returns a settings file like those of a small deployment.
func settingsFile(v *vm, n network, zones map[string]string, memoryMB int) string {
	var z strings.Builder
	for zone, region := range zones {
		fmt.Fprintf(&z, "%s = %q\n", zone, region)
	}
	return fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = %q
zone = %q
region = %q
internal_ports = [%d,%d]
seeds = []
first_start = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
%s[listen_addrs]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = %d
max_fds = 4300
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 5000
ack_ms = 6000
catch_up_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
outer_ms = 15000
recovery_s = 12
fencing = true
thaw_slack_ms = 300
[platform]
address = "127.0.0.1:%d"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 6.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud_api]
address = "127.0.0.1:%d"
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
`, v.name, v.ip, v.zone, zones[v.zone], n.internal, n.internal+15, z.String(), v.ip, n.front, v.ip, n.ready, memoryMB, n.store, n.cloud)
}

// start starts the process with the command of the deploy file.
func (v *vm) start(program string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lost {
		return nil
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SYCAMOREHUB_CONFIG=" + v.settings}
	out, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited, v.killing = cmd, exited, false
	v.rec.logf("%s starts as process %d", v.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// running reports whether the process runs.
func (v *vm) running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return false
	}
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once, and waits for its end.
func (v *vm) kill(why string) {
	v.mu.Lock()
	cmd, exited := v.cmd, v.exited
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	v.rec.logf("%s: SIGKILL, %s", v.name, why)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// lose removes the VM for good.
func (v *vm) lose() {
	v.mu.Lock()
	v.lost = true
	v.mu.Unlock()
	v.kill("the machine is lost")
}

// residentMB returns the resident memory of the process in MB, 0 if it does not run.
func (v *vm) residentMB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(v.cmd.Process.Pid), "statm"))
	f := strings.Fields(string(data))
	if err != nil || len(f) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(f[1])
	return pages * os.Getpagesize() >> 20
}

// watch is the platform's part for the VM: it ends a process whose memory exceeds the limit, and starts a process that has ended
// again after a short delay. It returns when stop is closed.
func (v *vm) watch(program string, memoryMB int, stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		v.mu.Lock()
		lost := v.lost
		v.mu.Unlock()
		if lost {
			return
		}
		if v.running() {
			mb := v.residentMB()
			v.peakMB = max(v.peakMB, mb)
			if mb <= memoryMB {
				continue
			}
			v.kill(fmt.Sprintf("its memory of %d MB exceeds memory_mb = %d", mb, memoryMB))
		}
		v.mu.Lock()
		if v.lost {
			v.mu.Unlock()
			return
		}
		v.ended++
		n := v.ended
		v.mu.Unlock()
		v.rec.logf("%s: its process has ended %d times without a disruption here", v.name, n)
		time.Sleep(500 * time.Millisecond)
		if err := v.start(program); err != nil {
			v.rec.logf("%s cannot be started: %v", v.name, err)
		}
	}
}

// ready asks the VM's readiness address.
func (v *vm) ready(port int) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", v.ip, port))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
