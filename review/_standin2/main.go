package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(os.Args[2])
	run, ok := map[string]func(*world, bool) bool{"lost": caseLost, "prepared": casePrepared, "stale": caseStale, "pinned": casePinned, "one": caseOne, "back": caseBack}[os.Args[1]]
	if !ok {
		check(fmt.Errorf("no case %q", os.Args[1]))
	}
	held := run(w, trouble)
	w.record("rule held: %v", held)
	w.stop()
	if !held {
		os.Exit(1)
	}
}
