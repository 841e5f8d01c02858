package frontend

import (
	"context"
	"iter"
	"sync"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxIdleRunners bounds the runners, each with a stack, that are kept between units.
const maxIdleRunners = 64

// runnerPool executes units on coroutines, whose stacks are kept for units of other sessions. On the goroutine of a
// session, the stack would grow for each unit and shrink again while the session is idle.
type runnerPool struct {
	executor unit.Executor

	mu     sync.Mutex
	idle   []*runner // at most maxIdleRunners
	closed bool      // runners are no longer kept
}

// runner is a coroutine that executes one unit after another.
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

// execute is unit.Executor.Execute on the stack of a runner.
func (p *runnerPool) execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	r := p.take()
	r.ctx, r.unit, r.sink = ctx, u, sink
	r.next()
	res := r.result
	r.ctx, r.unit, r.sink, r.result = nil, nil, nil, unit.Result{}
	p.put(r)
	return res
}

// take returns the runner that was used last, or a new one.
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

// put keeps the runner for later units, or ends it.
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

// close ends the idle runners. Units can still be executed afterwards.
func (p *runnerPool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, r := range idle {
		r.stop()
	}
}
