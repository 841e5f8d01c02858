package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of the case: the sessions of one VM, and what each prepares. All sessions prepare the same statements, as those of one
// application do. A message may have 1 MiB.
const (
	preparingSessions  = 40
	preparedStatements = 1000
	longShape          = 12 << 10
	shortShape         = 16
)

// casePrepared has the sessions of each of two VMs prepare statements. The platform kills a process that exceeds memory_mb.
func casePrepared(w *world, trouble bool) bool {
	w.zones = map[string]string{"kurume-yard": "chikugo", "omuta-annex": "chikugo", "yukuhashi-depot": "buzen"}
	w.addVM("front-kurume-yard-1", "kurume-yard")
	w.addVM("front-omuta-annex-1", "omuta-annex")
	g := w.addGroup("plates-a", 0)
	g.addMember("i-0c0ffee1", "kurume-yard", 20*time.Millisecond)
	g.addMember("i-0a11ce01", "yukuhashi-depot", 20*time.Millisecond)
	g.addMember("i-0beef001", "omuta-annex", 20*time.Millisecond)
	w.putConfig(1, []route{{Name: "r-1", Host: "db-plates-a", Prefix: "/", Type: "primary", Timeout: 800, Target: 400, Service: "plates-a", Attempts: 2}})
	for _, v := range w.vms {
		v.start()
	}
	w.awaitService("db-plates-a")
	w.record("served")
	size := shortShape
	if trouble {
		size = longShape
	}
	stop := make(chan struct{})
	time.AfterFunc(60*time.Second, func() { close(stop) })
	var kills [2]atomic.Int64
	var peak [2]atomic.Int64
	var all sync.WaitGroup
	for i, v := range w.vms {
		all.Add(1)
		go func() {
			defer all.Done()
			for !closed(stop) {
				rss := v.residentBytes()
				peak[i].Store(max(peak[i].Load(), rss))
				if rss > int64(w.memoryMB)<<20 {
					w.record("%s takes %d MB of memory, over its limit of %d MB; the platform kills it", v.name, rss>>20, w.memoryMB)
					kills[i].Add(1)
					v.signal(syscall.SIGKILL)
					<-v.ended
					time.Sleep(300 * time.Millisecond)
					v.start()
				}
				if kills[i].Load() >= 3 {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		for n := range preparingSessions {
			all.Add(1)
			go func() {
				defer all.Done()
				for !closed(stop) && kills[i].Load() < 3 {
					err := v.prepareAndStay(fmt.Sprintf("%d-%d", i, n), size, stop)
					if err != nil && n == 0 {
						w.record("session %d-%d at %s ended: %v", i, n, v.name, err)
					}
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
	}
	all.Wait()
	held := true
	for i, v := range w.vms {
		w.record("%s: peak %d MB, killed %d times", v.name, peak[i].Load()>>20, kills[i].Load())
		fmt.Printf("%s: peak %d MB of %d MB, killed over its limit %d times\n", v.name, peak[i].Load()>>20, w.memoryMB, kills[i].Load())
	}
	if kills[0].Load() >= 3 && kills[1].Load() >= 3 {
		held = false
		w.record("rule Fault broken: processes of two machines ended three times over their memory")
	}
	return held
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// prepareAndStay opens a session, prepares its statements and keeps the session, which writes now and then.
func (v *vm) prepareAndStay(name string, size int, stop chan struct{}) error {
	c, err := v.connect("db-plates-a")
	if err != nil {
		return err
	}
	defer c.nc.Close()
	for n := range preparedStatements {
		shape := fmt.Sprintf("q%d-", n)
		shape += strings.Repeat("x", max(size-len(shape), 0))
		a, err := c.query(fmt.Sprintf("p%s-%d", name, n), fmt.Sprintf("PREPARE s%d WRITE %s", n, shape), 5*time.Second)
		if err != nil {
			return err
		}
		if a.err != "" {
			return fmt.Errorf("PREPARE is answered %s", a.err)
		}
		time.Sleep(time.Millisecond)
	}
	v.w.record("session %s at %s has prepared %d statements", name, v.name, preparedStatements)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return nil
		case <-time.After(time.Second):
		}
		if _, err := c.query(fmt.Sprintf("w%s-%d", name, n), fmt.Sprintf("EXECUTE s%d item%d d", n%preparedStatements, n), 3*time.Second); err != nil {
			return err
		}
	}
}

// residentBytes returns the memory of the VM's process.
func (v *vm) residentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n << 10
		}
	}
	return 0
}
