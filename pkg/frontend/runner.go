package frontend

import (
	"context"
	"iter"
	"sync"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxIdleRunners bounds the stacks that are kept between units.
const maxIdleRunners = 64

// runnerPool execute units on coroutines, whose stacks are kept for the units of other sessions. On its own goroutine each
// session's stack would grow for a unit and shrink again while the session is idle.
type runnerPool struct {
	executor unit.Executor

	mu     sync.Mutex
	idle   []*runner // at most maxIdleRunners
	closed bool      // none is kept any more
}

// runner is a coroutine that executes one unit after the other.
type runner struct {
	ctx    context.Context
	unit   *unit.Unit
	sink   unit.Sink
	result unit.Result
	next   func() (struct{}, bool)
	stop   func()
}

func newRunner(e unit.Executor) *runner {
	r := &runner{}
	r.next, r.stop = iter.Pull(func(yield func(struct{}) bool) {
		for {
			r.result = e.Execute(r.ctx, r.unit, r.sink)
			if !yield(struct{}{}) {
				return
			}
		}
	})
	return r
}

// execute is unit.Executor.Execute on another stack.
func (p *runnerPool) execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	r := p.take()
	r.ctx, r.unit, r.sink = ctx, u, sink
	r.next()
	res := r.result
	r.ctx, r.unit, r.sink, r.result = nil, nil, nil, unit.Result{}
	p.put(r)
	return res
}

// take returns the runner that was used last.
func (p *runnerPool) take() *runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle) - 1
	if n < 0 {
		return newRunner(p.executor)
	}
	r := p.idle[n]
	p.idle[n], p.idle = nil, p.idle[:n]
	return r
}

func (p *runnerPool) put(r *runner) {
	p.mu.Lock()
	kept := len(p.idle) < maxIdleRunners && !p.closed
	if kept {
		p.idle = append(p.idle, r)
	}
	p.mu.Unlock()
	if !kept {
		r.stop()
	}
}

// close ends the idle runners. Units still run afterwards.
func (p *runnerPool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, r := range idle {
		r.stop()
	}
}
