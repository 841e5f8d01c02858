// Command review-standin plays one case of the review: it starts stand-ins for the platform, the members and the clients, and
// the project's own program as processes. It exits with 1 if a rule was broken, with 0 if it held, with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(rec *record, trouble bool) (broken []string, err error){
	"line-end":       lineEnd,
	"zero-staleness": zeroStaleness,
	"empty-replica":  emptyReplica,
	"many-targets":   manyTargets,
	"no-routes":      noRoutes,
}

// limit is the longest time that a case may take.
const limit = 110 * time.Second

// processes holds the processes that the case has started.
var processes struct {
	mu   sync.Mutex
	list []*os.Process
}

// abandon ends the processes that the case has started, by their ids, and exits with 2.
func abandon(reason string) {
	processes.mu.Lock()
	for _, p := range processes.list {
		_ = p.Kill()
	}
	fmt.Println("the case could not run:", reason)
	os.Exit(2)
}

func main() {
	runtime.LockOSThread() // the processes end with the thread that has started them
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			abandon("it was told to stop")
		case <-time.After(limit):
			abandon("it took too long")
		}
	}()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	for _, b := range broken {
		rec.line("BROKEN %s", b)
	}
	rec.line("%d breaks", len(broken))
	if len(broken) > 0 {
		fmt.Printf("broken %d times; the first: %s\n", len(broken), broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
