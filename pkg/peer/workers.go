package peer

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that are kept between units.
const maxIdleWorkers = 32

// workerPool run units. Each unit has a goroutine to itself, but goroutines are kept for later units: the stack of a new
// one has to grow for each unit, which takes 8% of the owner's CPU time.
type workerPool struct {
	handOver chan *unitRun // without a buffer: only an idle worker takes a unit
	closed   <-chan struct{}
	idle     atomic.Int32
}

// start starts a unit. It does not wait.
func (w *workerPool) start(r *unitRun) {
	select {
	case w.handOver <- r:
	default:
		go w.runUnits(r)
	}
}

func (w *workerPool) runUnits(r *unitRun) {
	for r != nil {
		r.execute()
		r = w.nextUnit()
	}
}

// nextUnit returns the next unit, or nil if the worker is to end.
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
