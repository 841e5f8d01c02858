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

// maxQueuedLines is the number of lines that may wait: 2 s of a VM that refuses 2,000 requests a second, under 2 MB.
const maxQueuedLines = 4096

// closeTimeout bounds how long Close waits for a reader that does not read.
const closeTimeout = time.Second

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	queue   *ring.Ring[[]byte]
	dropped atomic.Uint64 // since the last line that was written
	stopped chan struct{}
}

// New returns a writer to out. Close must be called at the end.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: ring.New[[]byte]("log", maxQueuedLines, ring.Reject, 0), stopped: make(chan struct{})}
	go w.writeQueuedLines()
	return w
}

// Write takes a line. It does not block and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.queue.Put(context.Background(), append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Stats returns the figures of the queue.
func (w *Writer) Stats() ring.Stats { return w.queue.Stats() }

// Close writes what waits, for a bounded time.
func (w *Writer) Close() {
	w.queue.Close()
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) writeQueuedLines() {
	defer close(w.stopped)
	for {
		line, err := w.queue.Take(context.Background())
		if err != nil {
			return
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped, since the log is not read fast enough\",\"lines\":%d}\n", dropped)
		}
		_, _ = w.out.Write(line) // there is nowhere to report an error of the log
	}
}
