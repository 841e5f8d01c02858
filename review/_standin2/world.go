package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "case cannot run:", err)
		if theWorld != nil {
			theWorld.stop()
		}
		os.Exit(2)
	}
}

var theWorld *world

// world holds the processes and the stand-ins of a case.
type world struct {
	dir, bin   string
	started    time.Time
	store      *store
	storeAt    string
	cloudAt    string
	groups     map[string]*group
	vms        []*vm
	zones      map[string]string
	slots      int
	maxConns   int
	workTime   time.Duration
	memoryMB   int
	unfenced   bool         // the platform checks no fence tokens
	staleCalls atomic.Int64 // calls with a lower token than one seen

	recMu sync.Mutex
	rec   *bufio.Writer
	recF  *os.File

	cutMu  sync.Mutex
	cuts   map[string]bool // "VM member" pairs
	healed chan struct{}

	onRead func(id string, m *member, item string, applied int)
	onRun  func(id string, c *memberConn)
}

// vm is an entry VM and its process.
type vm struct {
	w          *world
	name, zone string
	ip         string
	front      string
	ready      string
	ports      [2]int
	cmd        *exec.Cmd
	mu         sync.Mutex
	ended      chan struct{}
}

func newWorld(record string) *world {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	f, err := os.Create(record)
	check(err)
	w := &world{dir: dir, bin: os.Getenv("ENTRY"), started: time.Now(), store: newStore(), groups: map[string]*group{}, zones: map[string]string{},
		slots: 4, maxConns: 60, workTime: 2 * time.Millisecond, memoryMB: 284, rec: bufio.NewWriterSize(f, 1<<16), recF: f,
		cuts: map[string]bool{}, healed: make(chan struct{})}
	theWorld = w
	go func() {
		for {
			time.Sleep(time.Second)
			w.recMu.Lock()
			_ = w.rec.Flush()
			w.recMu.Unlock()
		}
	}()
	if w.bin == "" {
		w.bin = "target/sycamorehub-entry"
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.storeAt = l.Addr().String()
	go w.store.serve(l)
	l, err = net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.cloudAt = l.Addr().String()
	go (&promoter{w: w, fence: map[string]uint64{}}).serve(l)
	return w
}

func (w *world) record(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	_, _ = fmt.Fprintf(w.rec, "%9.4f ", time.Since(w.started).Seconds())
	_, _ = fmt.Fprintf(w.rec, format+"\n", args...)
}

func (w *world) ranRead(id string, m *member, item string, applied int) {
	if w.onRead != nil {
		w.onRead(id, m, item, applied)
	}
}

func (w *world) ran(id string, c *memberConn) {
	if w.onRun != nil {
		w.onRun(id, c)
	}
}

// distance returns the one-way delay between a VM and a zone.
func (w *world) distance(vmName, zone string) time.Duration {
	for _, v := range w.vms {
		if v.name == vmName {
			return w.between(v.zone, zone)
		}
	}
	return 200 * time.Microsecond
}

func (w *world) between(a, b string) time.Duration {
	switch {
	case a == b:
		return 200 * time.Microsecond
	case w.zones[a] == w.zones[b]:
		return 1400 * time.Microsecond
	}
	return 12 * time.Millisecond
}

// cut partitions VMs from a member, or heals all cuts if there is no member.
func (w *world) cut(m *member, vms ...string) {
	w.cutMu.Lock()
	defer w.cutMu.Unlock()
	for _, v := range vms {
		w.cuts[v+" "+m.id] = true
		w.record("cut: %s from %s", v, m.id)
	}
}

func (w *world) heal() {
	w.cutMu.Lock()
	defer w.cutMu.Unlock()
	w.cuts = map[string]bool{}
	close(w.healed)
	w.healed = make(chan struct{})
	w.record("cuts healed")
}

// join heals the cuts between some VMs and a member.
func (w *world) join(m *member, vms ...string) {
	w.cutMu.Lock()
	defer w.cutMu.Unlock()
	for _, v := range vms {
		delete(w.cuts, v+" "+m.id)
	}
	close(w.healed)
	w.healed = make(chan struct{})
	w.record("cut healed: %v and %s", vms, m.id)
}

// waitWhileCut waits while the VM and the member are cut off from each other, at most 3 s. It returns false after that.
func (w *world) waitWhileCut(vmName string, m *member) bool {
	limit := time.After(3 * time.Second)
	for {
		w.cutMu.Lock()
		cut, healed := w.cuts[vmName+" "+m.id], w.healed
		w.cutMu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-limit:
			return false
		}
	}
}

var (
	tableMu    sync.Mutex
	table      []byte
	tableBegan time.Time // when the last reading of the table began
)

// tcpTable returns the system's table of TCP connections, read after the call. Calls at the same time share a reading.
func tcpTable() []byte {
	called := time.Now()
	tableMu.Lock()
	defer tableMu.Unlock()
	if !tableBegan.After(called) {
		tableBegan = time.Now()
		table, _ = os.ReadFile("/proc/net/tcp")
	}
	return table
}

// lookUpVM returns the VM whose process holds the other end of a connection, "" if it is not found.
func (w *world) lookUpVM(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	p, _ := strconv.Atoi(port)
	ip := net.ParseIP(host).To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], p)
	data := tcpTable()
	inode := ""
	if i := bytes.Index(data, []byte(": "+want+" ")); i >= 0 { // the local address; the table may hold many thousand lines
		line, _, _ := bytes.Cut(data[i+2:], []byte("\n"))
		if f := bytes.Fields(line); len(f) > 8 {
			inode = string(f[8])
		}
	}
	if inode == "" {
		return ""
	}
	link := "socket:[" + inode + "]"
	for _, v := range w.vms {
		pid := v.pid()
		if pid == 0 {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		list, _ := os.ReadDir(dir)
		for _, e := range list {
			if l, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && l == link {
				return v.name
			}
		}
	}
	return ""
}

func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return 0
	}
	return v.cmd.Process.Pid
}

// freePorts returns n consecutive free ports on an address.
func freePorts(ip string, n int) int {
	for {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		ok := first+n < 65000
		for i := 0; ok && i < n; i++ {
			t, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if ok = err == nil; ok {
				_ = t.Close()
			}
		}
		if ok {
			return first
		}
	}
}

func (w *world) addVM(name, zone string) *vm {
	ip := fmt.Sprintf("127.0.0.%d", 11+len(w.vms))
	p := freePorts(ip, 5)
	v := &vm{w: w, name: name, zone: zone, ip: ip, front: fmt.Sprintf("%s:%d", ip, p), ready: fmt.Sprintf("%s:%d", ip, p+1), ports: [2]int{p + 2, p + 4}}
	w.vms = append(w.vms, v)
	return v
}

func (v *vm) settings() string {
	zones := ""
	for z, r := range v.w.zones {
		zones += fmt.Sprintf("%s = %q\n", z, r)
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
front = %q
ready = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = %d
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 5000
drain_ms = 7000
grace_s = 6
config_apply_ms = 3000
recovery_s = 12
fencing = %v
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
[cloud_api]
address = %q
duties = ["promotion"]
duty_per_s = 50.0
`, v.name, v.ip, v.zone, v.w.zones[v.zone], v.ports[0], v.ports[1], zones, v.front, v.ready, v.w.memoryMB, !v.w.unfenced, v.w.storeAt, v.w.cloudAt)
}

func (v *vm) start() {
	path := filepath.Join(v.w.dir, v.name+".toml")
	check(os.WriteFile(path, []byte(v.settings()), 0o600))
	logFile, err := os.OpenFile(filepath.Join(v.w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(v.w.bin)
	cmd.Env = append(os.Environ(), "SYCAMOREHUB_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	_ = logFile.Close()
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	v.mu.Lock()
	v.cmd, v.ended = cmd, ended
	v.mu.Unlock()
	v.w.record("started %s pid=%d", v.name, cmd.Process.Pid)
}

func (v *vm) signal(s syscall.Signal) { _ = syscall.Kill(v.pid(), s) }

func (w *world) stop() {
	for _, v := range w.vms {
		if v.pid() != 0 {
			v.signal(syscall.SIGKILL)
		}
	}
	for _, v := range w.vms {
		if v.ended != nil {
			select {
			case <-v.ended:
			case <-time.After(3 * time.Second):
			}
		}
	}
	w.recMu.Lock()
	_ = w.rec.Flush()
	_ = w.recF.Close()
	w.recMu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

func (w *world) addGroup(name string, syncReplicas int) *group {
	g := &group{w: w, name: name, sync: syncReplicas, promoteTime: time.Second, term: 1, ended: make(chan struct{})}
	w.groups[name] = g
	go g.catchUp()
	return g
}

// addMember adds a member; the first one is the primary.
func (g *group) addMember(id, zone string, lag time.Duration) *member {
	m := &member{g: g, id: id, zone: zone, born: time.Now().UnixMilli(), logTerm: 1, state: "ready", lag: lag, conns: map[*memberConn]bool{}}
	g.mu.Lock()
	g.members = append(g.members, m)
	if g.primary == nil {
		g.primary = m
	}
	m.delay = g.w.between(g.primary.zone, zone)
	g.mu.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	m.addr, m.listener = l.Addr().String(), l
	go m.accept(l)
	go func() {
		for {
			m.beat(g.w.store)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return m
}

type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Type      string `json:"route_type"`
	Timeout   int    `json:"timeout_ms"`
	Target    int    `json:"target_latency_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Staleness *int   `json:"max_staleness_ms,omitempty"`
}

func (w *world) putConfig(version int, routes []route) {
	var services []map[string]any
	for _, g := range w.groups {
		services = append(services, map[string]any{"name": g.name, "health_path": "/health", "max_conns": w.maxConns, "protocol": "h1", "tls": false, "sync_replicas": g.sync})
	}
	v, err := json.Marshal(map[string]any{"config_version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000}})
	check(err)
	w.store.put(row{Table: "op", Key: "config", Value: v})
}

// client is a session of a caller.
type client struct {
	nc net.Conn
	r  *bufio.Reader
}

func (v *vm) connect(database string) (*client, error) {
	nc, err := net.DialTimeout("tcp", v.front, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{nc, bufio.NewReaderSize(nc, 16<<10)}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(nc, "STARTUP %s u1\r\n", database); err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY") {
			err = fmt.Errorf("%s", strings.TrimSpace(line))
		}
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

type answer struct {
	rows     []string
	complete string
	err      string
	ready    string
}

func (c *client) query(id, text string, limit time.Duration) (answer, error) {
	var a answer
	_ = c.nc.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.nc, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.complete = rest
		case "ERROR":
			a.err = rest
		case "READY":
			a.ready = rest
			return a, nil
		}
	}
}

// awaitService waits until a write through each VM succeeds.
func (w *world) awaitService(database string) {
	end := time.Now().Add(25 * time.Second)
	for _, v := range w.vms {
		for {
			c, err := v.connect(database)
			if err == nil {
				a, err2 := c.query("0", "READ warmup", 2*time.Second)
				_ = c.nc.Close()
				if err2 == nil && a.complete != "" {
					break
				}
			}
			if time.Now().After(end) {
				check(fmt.Errorf("%s does not serve %s: %v", v.name, database, err))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
