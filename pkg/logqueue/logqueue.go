// Package logqueue writes log lines in a goroutine of its own, so that code that logs never waits for the reader of the
// log. The queue is bounded. While it is full, new lines are dropped, and a line with their number is written before the
// next line.
package logqueue

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// maxQueuedLines is the number of lines that may wait to be written. A VM that refuses 2,000 requests per second logs that
// many in 2 s, and they take less than 2 MB.
const maxQueuedLines = 4096

// closeTimeout limits how long Close waits for the output to take the queued lines.
const closeTimeout = time.Second

// Writer is an io.Writer that queues lines for its output. Each call of Write must pass one whole line. Writer is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	queue   *ring.Ring[[]byte]
	dropped atomic.Uint64 // lines dropped since their number was last written
	stopped chan struct{}
}

// New returns a Writer to out and starts its goroutine, which runs until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: ring.New[[]byte]("log", maxQueuedLines, ring.Reject, 0), stopped: make(chan struct{})}
	go w.writeQueuedLines()
	return w
}

// Write queues a line, or drops it if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.queue.Put(context.Background(), append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Stats returns the statistics of the queue.
func (w *Writer) Stats() ring.Stats { return w.queue.Stats() }

// Close stops taking lines and waits at most closeTimeout until the queued ones are written.
func (w *Writer) Close() {
	w.queue.Close()
	select {
	case <-w.stopped:
	case <-time.After(closeTimeout):
	}
}

// writeQueuedLines writes lines to the output until the queue is closed and empty.
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
		_, _ = w.out.Write(line) // an error of the log itself cannot be reported anywhere
	}
}
