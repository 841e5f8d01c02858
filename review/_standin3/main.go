// Command standin3 runs the cases of the third review that are scripts. It starts the project's program as separate processes,
// and plays the platform, the members and the callers itself. All addresses are loopback addresses.
//
// Usage: standin3 CASE FOLDER PROGRAM, with TROUBLE=0 in the environment to leave out the disruption. The exit status is 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// limit ends the program before the 120 seconds that a script may take.
const limit = 112 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER PROGRAM")
		os.Exit(statusNotRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	w, err := newWorld(rec, os.Args[3])
	if err != nil {
		rec.logf("the case cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	status := statusNotRun
	switch os.Args[1] {
	case "memory":
		status = w.memoryCase(trouble)
	case "lapse":
		status = w.lapseCase(trouble)
	case "late":
		status = w.lateCase(trouble)
	case "names":
		status = w.namesCase(trouble)
	}
	w.close()
	rec.logf("exit status %d", status)
	fmt.Printf("exit status %d\n", status)
	os.Exit(status)
}

// pickPorts returns ports that are free now.
func pickPorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// world is a small deployment.
type world struct {
	rec     *record
	program string
	dir     string
	net     network
	store   *store
	cloud   atomic.Pointer[http.ServeMux] // the platform's other calls
	vms     []*vm
	stop    chan struct{}
}

// zones of the deployment and their regions.
var zones = map[string]string{"zg-a": "zagreb", "zg-b": "zagreb", "st-a": "split"}

func newWorld(rec *record, program string) (*world, error) {
	w := &world{rec: rec, program: program, stop: make(chan struct{})}
	var err error
	if w.dir, err = os.MkdirTemp("", "standin3-"); err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	p, err := pickPorts(5)
	if err != nil {
		return nil, err
	}
	internal := p[4]
	if internal > 60000 {
		internal -= 2000
	}
	w.net = network{store: p[0], cloud: p[1], front: p[2], ready: p[3], internal: internal}
	if w.store, err = newStore(fmt.Sprintf("127.0.0.1:%d", w.net.store)); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", w.net.cloud))
	if err != nil {
		return nil, err
	}
	w.cloud.Store(http.NewServeMux()) // refuses all calls
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) { w.cloud.Load().ServeHTTP(a, r) }))
	}()
	return w, nil
}

// startVMs starts the entry VMs, two in each zone, and waits until they are ready.
func (w *world) startVMs(memoryMB int) bool {
	for i, zone := range []string{"zg-a", "zg-b", "st-a", "zg-a", "zg-b", "st-a"} {
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i/3+1), zone: zone, ip: fmt.Sprintf("127.0.3.%d", 11+i), rec: w.rec}
		v.settings = filepath.Join(w.dir, v.name+".toml")
		if err := os.WriteFile(v.settings, []byte(settingsFile(v, w.net, zones, memoryMB)), 0o600); err != nil {
			w.rec.logf("%v", err)
			return false
		}
		w.vms = append(w.vms, v)
		if err := v.start(w.program); err != nil {
			w.rec.logf("%s cannot be started: %v", v.name, err)
			return false
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, v := range w.vms {
		for !v.ready(w.net.ready) {
			if time.Now().After(end) {
				w.rec.logf("%s is not ready in time", v.name)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, v := range w.vms {
		go v.watch(w.program, memoryMB, w.stop)
	}
	return true
}

// close ends all processes that the program has started.
func (w *world) close() {
	close(w.stop)
	time.Sleep(600 * time.Millisecond) // a watch may be about to start a process
	for _, v := range w.vms {
		v.lose()
	}
	_ = os.RemoveAll(w.dir)
}
