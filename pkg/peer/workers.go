package peer

import "sync/atomic"

// maxIdleWorkers bounds the idle goroutines that are kept for later units.
const maxIdleWorkers = 32

// workerPool runs each unit in a goroutine of its own, and keeps the goroutines for later units. The stack of a new
// goroutine has to grow for each unit, which takes 8% of the owner's CPU time.
type workerPool struct {
	handOver chan *unitRun // unbuffered, so that a unit is handed over only to an idle worker
	closed   <-chan struct{}
	idle     atomic.Int32 // workers in nextUnit
}

// start runs a unit in an idle worker or in a new one, without waiting for it.
func (w *workerPool) start(r *unitRun) {
	select {
	case w.handOver <- r:
	default:
		go w.runUnits(r)
	}
}

// runUnits is a worker: it runs r and the units that are handed over later.
func (w *workerPool) runUnits(r *unitRun) {
	for r != nil {
		r.execute()
		r = w.nextUnit()
	}
}

// nextUnit waits for the next unit. It returns nil if the worker is to end.
func (w *workerPool) nextUnit() (r *unitRun) {
	if w.idle.Add(1) <= maxIdleWorkers {
		select {
		case r = <-w.handOver:
		case <-w.closed:
		}
	}
	w.idle.Add(-1)
	return r
}
