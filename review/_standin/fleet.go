package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// vm is an entry VM: a process of the project's own program.
type vm struct {
	name, zone, front, ready, settings string
	log                                *os.File
	cmd                                *exec.Cmd
	exited                             chan struct{}
}

// deployment is a small deployment: a store, one service with a member in each zone, and entry VMs.
type deployment struct {
	dir   string
	store *store
	svc   *service
	vms   []*vm
	stop  chan struct{}

	mu         sync.Mutex
	version    uint64 // of the configuration
	fenceToken uint64 // highest one seen at the duty service
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newDeployment starts the stand-ins, writes the first configuration and starts one VM in each zone.
func newDeployment(lag time.Duration, routes []route) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, stop: make(chan struct{})}
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	if d.svc, err = newService("svc1", zones, lag); err != nil {
		return nil, err
	}
	cloud, err := d.serveDuties()
	if err != nil {
		return nil, err
	}
	d.configure(routes)
	for _, m := range d.svc.members {
		go d.heartbeat(m)
	}
	for _, z := range zones {
		v, err := d.newVM(fmt.Sprintf("front-%s-1", z), z, cloud)
		if err != nil {
			return nil, err
		}
		if err := v.start(); err != nil {
			return nil, err
		}
		d.vms = append(d.vms, v)
	}
	return d, d.awaitReady(30 * time.Second)
}

// heartbeatInterval is the interval at which members renew their entries.
const heartbeatInterval = 1200 * time.Millisecond

func (d *deployment) heartbeat(m *member) {
	for {
		d.store.put("servers", m.id, m.entry())
		select {
		case <-time.After(heartbeatInterval):
		case <-d.stop:
			return
		}
	}
}

// register writes the entry of a member at once, as a member does that has just started.
func (d *deployment) register(m *member) { d.store.put("servers", m.id, m.entry()) }

// promoteTime is how long a member takes to become the primary.
const promoteTime = 500 * time.Millisecond

func (d *deployment) serveDuties() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		token, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
		var body struct{ Service, ID string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		d.mu.Lock()
		refused := token < d.fenceToken
		d.fenceToken = max(d.fenceToken, token)
		d.mu.Unlock()
		if refused {
			w.WriteHeader(409)
			return
		}
		for _, m := range d.svc.members {
			if m.id == body.ID {
				time.AfterFunc(promoteTime, func() { d.promote(m) })
			}
		}
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

func (d *deployment) promote(m *member) {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	if d.svc.primary != m {
		received, _ := m.positions(time.Now())
		d.svc.log, d.svc.primary = d.svc.log[:received.number], m
		d.svc.term++
	}
}

// route is a route of the operator's configuration.
type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Type      string  `json:"route_type"`
	Timeout   float64 `json:"timeout_ms"`
	Target    float64 `json:"target_latency_ms"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"attempts"`
	Staleness float64 `json:"max_staleness_ms"`
}

func primaryRoute(host string) map[string]any {
	return map[string]any{"name": "r-" + host, "host": host, "prefix": "/", "route_type": "primary", "timeout_ms": 800,
		"target_latency_ms": 400, "priority": 0, "service": "svc1", "attempts": 2}
}

func (d *deployment) nextVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 2
	return d.version
}

// configure writes the next version of the configuration and returns it. The write is acknowledged when configure returns.
func (d *deployment) configure(routes []route) uint64 {
	version := d.nextVersion()
	list := []any{primaryRoute("orders")}
	for _, r := range routes {
		list = append(list, r)
	}
	return d.write(version, list)
}

// write writes a configuration with the given routes.
func (d *deployment) write(version uint64, list []any) uint64 {
	d.store.put("op", "config", map[string]any{"config_version": version, "routes": list,
		"services": []any{map[string]any{"name": "svc1", "max_conns": memberMaxConns}}, "limits": map[string]any{"tx_idle_ms": 2000}})
	return version
}

// freePorts returns n consecutive free ports.
func freePorts(n int) (int, error) {
	for try := 0; try < 200; try++ {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		base := first.Addr().(*net.TCPAddr).Port
		list := []net.Listener{first}
		for i := 1; i < n && err == nil; i++ {
			var l net.Listener
			if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i)); err == nil {
				list = append(list, l)
			}
		}
		for _, l := range list {
			_ = l.Close()
		}
		if err == nil {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (d *deployment) newVM(name, zone, cloud string) (*vm, error) {
	p, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, zone: zone, front: fmt.Sprintf("127.0.0.1:%d", p), ready: fmt.Sprintf("127.0.0.1:%d", p+1),
		settings: filepath.Join(d.dir, name+".toml")}
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "region-1"
internal_ports = [%d,%d]
seeds = []
first_start = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen_addrs]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4200
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
address = %q
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
address = %q
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
`, name, zone, p+2, p+4, heartbeatInterval.Milliseconds(), v.front, v.ready, d.store.addr, cloud)
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file, in the root of the repository.
func (v *vm) start() error {
	log, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.log = log
	v.cmd = exec.Command("target/sycamorehub-entry")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SYCAMOREHUB_CONFIG=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	processes.mu.Lock()
	defer processes.mu.Unlock()
	if err := v.cmd.Start(); err != nil {
		return err
	}
	processes.list = append(processes.list, v.cmd.Process)
	v.exited = make(chan struct{})
	go func() { _ = v.cmd.Wait(); close(v.exited) }()
	return nil
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func (d *deployment) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range d.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(d.vms) {
			time.Sleep(2 * time.Second) // the VMs learn of each other and of the primary
			return nil
		}
	}
	return errors.New("the entry VMs are not ready")
}

// close ends all processes that the deployment started and removes its files.
func (d *deployment) close() {
	close(d.stop)
	for _, v := range d.vms {
		_ = v.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, v := range d.vms {
		select {
		case <-v.exited:
		case <-time.After(8 * time.Second):
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
		_ = v.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}
