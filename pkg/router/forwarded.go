package router

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// slowWriteAge is how long a forwarded write runs before this VM asks whether its primary was replaced, and the
	// interval between questions. Writes take a few round trips in normal work, so that nothing is asked then.
	slowWriteAge = 300 * time.Millisecond
	// latestViewTimeout bounds one question, so that a lost owner delays the answers of the others no further.
	latestViewTimeout = 200 * time.Millisecond
)

// forwardedWrites holds the writes that other VMs run for this one. A write whose primary was replaced is never
// acknowledged. Its owner ends it, unless the owner was lost or cut off together with the primary: then only this VM can
// end it before the owner counts as gone.
type forwardedWrites struct {
	latestView func(ctx context.Context, service string) (group.View, bool)

	mu       sync.Mutex
	services map[string]*serviceWrites
}

// serviceWrites are the running writes of a service. A goroutine watches them while one has become slow.
type serviceWrites struct {
	running  map[*forwardedWrite]struct{}
	watching bool
}

type forwardedWrite struct {
	member  string
	term    platform.Term // of the view that chose the member
	started time.Time
	cancel  context.CancelCauseFunc
}

// add registers a write that goes to the primary member in term. The returned context ends with the replacement of the
// primary; done must be called at the end of the write.
func (f *forwardedWrites) add(ctx context.Context, service, member string, term platform.Term) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &forwardedWrite{member: member, term: term, started: time.Now(), cancel: cancel}
	f.mu.Lock()
	s := f.services[service]
	if s == nil {
		s = &serviceWrites{running: map[*forwardedWrite]struct{}{}}
		f.services[service] = s
	}
	s.running[w] = struct{}{}
	f.mu.Unlock()
	timer := time.AfterFunc(slowWriteAge, func() { f.watch(service) })
	return ctx, func() {
		timer.Stop()
		f.mu.Lock()
		delete(s.running, w)
		f.mu.Unlock()
		cancel(nil)
	}
}

// watch asks for the latest view until no write of the service is slow, and ends the writes of replaced primaries.
func (f *forwardedWrites) watch(service string) {
	if !f.startWatching(service) {
		return
	}
	for f.keepWatching(service) {
		ctx, cancel := context.WithTimeout(context.Background(), latestViewTimeout)
		view, ok := f.latestView(ctx, service)
		cancel()
		if ok && view.Primary != "" {
			f.cancelReplaced(service, view)
		}
		time.Sleep(slowWriteAge)
	}
}

// startWatching reports whether the caller is to watch the service.
func (f *forwardedWrites) startWatching(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	watch := !s.watching
	s.watching = true
	return watch
}

// keepWatching reports whether a write is slow. If none is, the watch has ended.
func (f *forwardedWrites) keepWatching(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	for w := range s.running {
		if time.Since(w.started) >= slowWriteAge {
			return true
		}
	}
	s.watching = false
	return false
}

// cancelReplaced ends the writes that went to another primary in an earlier term. A view of an earlier term than the one
// that chose the member says nothing.
func (f *forwardedWrites) cancelReplaced(service string, view group.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.services[service].running {
		if view.Term > w.term && view.Primary != w.member {
			w.cancel(unit.Replaced(w.member, view.Term))
		}
	}
}

// forward executes a unit on the owner vm.
func (r *Router) forward(ctx context.Context, vm platform.VM, u *unit.Unit, term platform.Term, sink unit.Sink) unit.Result {
	if !u.Write {
		return r.Remote.Execute(ctx, vm, u, sink)
	}
	run, done := r.forwarded.add(ctx, u.Service, u.Member, term)
	defer done()
	return unit.AfterReplacement(ctx, run, u, r.Remote.Execute(run, vm, u, sink))
}
