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
	// slowWriteAge is how long a forwarded write runs before this VM checks whether its primary was replaced, and the
	// interval between checks. Writes normally take a few round trips, so that no check is needed.
	slowWriteAge = 300 * time.Millisecond
	// latestViewTimeout bounds each check, so that an owner that does not answer delays the views of the others no
	// longer.
	latestViewTimeout = 200 * time.Millisecond
)

// forwardedWrites holds the writes that other VMs run for this one. A write whose primary was replaced is never
// acknowledged, and its owner ends it. If the owner was lost or cut off together with the primary, only this VM can end
// the write before the owner is declared gone.
type forwardedWrites struct {
	latestView func(ctx context.Context, service string) (group.View, bool)

	mu       sync.Mutex
	services map[string]*serviceWrites
}

// serviceWrites holds the running writes of one service. One goroutine watches them while any of them is slow.
type serviceWrites struct {
	running  map[*forwardedWrite]struct{}
	watching bool // a goroutine runs watch for the service
}

// forwardedWrite is a write that another VM runs for this one.
type forwardedWrite struct {
	member  string
	term    platform.Term // term of the view from which the member was chosen
	started time.Time
	cancel  context.CancelCauseFunc
}

// add registers a write that is sent to the primary member of the given term. The returned context is cancelled when
// that primary is replaced. The caller calls done when the write has ended.
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

// watch fetches the latest view repeatedly while a write of the service is slow, and cancels the writes whose primary
// was replaced. It returns at once if another goroutine already watches the service.
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

// startWatching marks the service as watched. It reports false if another goroutine already watches it.
func (f *forwardedWrites) startWatching(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	watch := !s.watching
	s.watching = true
	return watch
}

// keepWatching reports whether a write of the service is slow. If none is, it marks the service as no longer watched.
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

// cancelReplaced cancels the writes whose member is not the primary of view. It ignores writes whose member was chosen
// from a view of the same or a later term, since view says nothing newer about these.
func (f *forwardedWrites) cancelReplaced(service string, view group.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.services[service].running {
		if view.Term > w.term && view.Primary != w.member {
			w.cancel(unit.PrimaryReplacedError(w.member, view.Term))
		}
	}
}

// forward executes a unit on the owner vm. A write ends early when its primary, chosen in term, is replaced.
func (r *Router) forward(ctx context.Context, vm platform.VM, u *unit.Unit, term platform.Term, sink unit.Sink) unit.Result {
	if !u.Write {
		return r.Remote.Execute(ctx, vm, u, sink)
	}
	writeCtx, done := r.forwarded.add(ctx, u.Service, u.Member, term)
	defer done()
	return unit.AfterReplacement(ctx, writeCtx, u, r.Remote.Execute(writeCtx, vm, u, sink))
}
