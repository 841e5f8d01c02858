// Package logqueue writes log lines in a goroutine of its own, so that whoever logs never waits for the reader of the log.
// The queue is bounded: when it is full new lines are dropped, and the next line that fits is preceded by their number.
package logqueue

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// capacity is the number of lines that may wait: 2 s of a VM that refuses 2,000 requests a second, under 2 MB.
const capacity = 4096

// closeWait bounds how long Close waits for a reader that does not read.
const closeWait = time.Second

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64 // since the last line that was written
	done    chan struct{}
}

// New returns a writer to out. Close must be called at the end.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: ring.New[[]byte]("log", capacity, ring.Reject, 0), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It does not block and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Put(context.Background(), append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Stats returns the figures of the queue.
func (w *Writer) Stats() ring.Stats { return w.lines.Stats() }

// Close writes what waits, for a bounded time.
func (w *Writer) Close() {
	w.lines.Close()
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		line, err := w.lines.Take(context.Background())
		if err != nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped, since the log is not read fast enough\",\"lines\":%d}\n", n)
		}
		_, _ = w.out.Write(line) // there is nowhere to report an error of the log
	}
}
