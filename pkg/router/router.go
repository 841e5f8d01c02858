// Package router chooses the service member for a unit of work and calls the member's owner, on this VM or through
// a peer. It retries only what certainly did not run, reads, and units that are safe to repeat. It keeps no
// connections and decides nothing about safety: the owner and the endpoint check terms.
package router

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/retry"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Directory lists services.
type Directory interface {
	Service(name string) (platform.Service, bool)
}

// Membership is the local view of VMs.
type Membership interface {
	Self() platform.VM
	Live() []platform.VM
	// VM returns a known VM, also one that is draining.
	VM(name string) (platform.VM, bool)
}

// Views gives the last known view of a service. Refresh asks for a newer one after a refusal.
type Views interface {
	View(ctx context.Context, service string) (group.View, bool)
	Refresh(service string)
	// Suspect does so too, and asks the primary of a service that is watched here whether it still answers.
	Suspect(service string)
	// Latest asks all VMs that watch the service and returns the view of the highest term.
	Latest(ctx context.Context, service string) (group.View, bool)
}

// Remote executes units on other VMs.
type Remote interface {
	Execute(ctx context.Context, vm platform.VM, u *unit.Unit, sink unit.Sink) unit.Result
	Rollback(vm platform.VM, tx unit.TxRef)
}

// Budget limits retries per class.
type Budget interface {
	// Request counts a request of the class.
	Request(class string)
	// Allow reports whether a retry of the class is within the budget, and consumes it.
	Allow(class string) bool
}

// Options of a router.
type Options struct {
	Directory  Directory
	Membership Membership
	Views      Views
	Local      unit.Executor
	Remote     Remote
	Budget     Budget
}

// Router implements unit.Executor for the front end.
type Router struct {
	Options
	owners    ownership.Cache
	reads     readsInProgress
	spillover spillover
	forwarded forwardedWrites
}

// New returns a router.
func New(o Options) *Router {
	return &Router{Options: o, forwarded: forwardedWrites{latestView: o.Views.Latest, services: map[string]*serviceWrites{}}}
}

// Execute routes one unit.
func (r *Router) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if u.Tx.Open() {
		return r.executeInTransaction(ctx, u, sink)
	}
	r.Budget.Request(u.Class)
	svc, ok := r.Directory.Service(u.Service)
	if !ok {
		return unit.NotRun(errkind.New(errkind.UnknownService, "service %q is not listed", u.Service))
	}
	res := r.executeWithRetries(ctx, u, svc, sink)
	if res.Outcome == errkind.OutcomeNotRun && errors.Is(ctx.Err(), context.Canceled) {
		// The last member's refusal is not why the unit did not run.
		res.Err = errkind.Wrap(errkind.Cancelled, res.Err, "the caller gave up before the unit started")
	}
	return res
}

// Rollback ends an open transaction whose caller has gone.
func (r *Router) Rollback(tx unit.TxRef) {
	if tx.VM == r.Membership.Self().Name {
		r.Local.Rollback(tx)
		return
	}
	if vm, ok := r.transactionVM(tx); ok {
		r.Remote.Rollback(vm, tx)
	}
}

// transactionVM returns the VM that holds a transaction. A draining VM is no longer live but finishes its transactions.
func (r *Router) transactionVM(tx unit.TxRef) (platform.VM, bool) {
	for _, vm := range r.Membership.Live() { // knows also VMs that only peers have heard
		if vm.Name == tx.VM {
			return vm, true
		}
	}
	return r.Membership.VM(tx.VM)
}

// executeInTransaction sends the unit to the VM that holds the transaction's connection; it is never retried elsewhere.
func (r *Router) executeInTransaction(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	u.Member = u.Tx.Member
	if u.Tx.VM == r.Membership.Self().Name {
		return r.Local.Execute(ctx, u, sink)
	}
	vm, ok := r.transactionVM(u.Tx)
	if !ok {
		return unit.NotRun(errkind.New(errkind.TransactionLost, "entry VM %s, which held the transaction, has left", u.Tx.VM))
	}
	return r.Remote.Execute(ctx, vm, u, sink)
}

// executeWithRetries runs the unit until it ran, its outcome forbids a repeat, the budget is spent or ctx ends.
func (r *Router) executeWithRetries(ctx context.Context, u *unit.Unit, svc platform.Service, sink unit.Sink) unit.Result {
	var res unit.Result
	for n := 0; ; n++ {
		res = combineResults(res, r.tryCandidates(ctx, u, svc, sink))
		if !mayRepeat(u, res) || ctx.Err() != nil {
			return res
		}
		if r.redirectToLaterPrimary(ctx, u, res) {
			continue
		}
		// Waiting for a primary sends nothing to an endpoint, so it needs no budget.
		waiting := awaitsPrimary(u, res)
		if !waiting && !r.Budget.Allow(u.Class) {
			return res
		}
		r.Views.Refresh(u.Service)
		select {
		case <-ctx.Done():
			return res
		case <-time.After(retry.Delay(n)):
		}
		if waiting {
			// The wait for a primary is no sign of overload: a unit that is late for it is served, not refused early.
			u.Arrived = time.Now()
		}
	}
}

// redirectToLaterPrimary sends a read to the primary that no member covers, once the primary of a later term than it requires is
// known. What the session wrote in the former term is in the log of that primary, or was rolled back by its promotion: then
// no member will ever cover it.
func (r *Router) redirectToLaterPrimary(ctx context.Context, u *unit.Unit, res unit.Result) bool {
	if !errkind.Is(res.Err, errkind.StaleRead) || u.ConfirmPrimary || u.Require == (unit.Requirement{}) {
		return false
	}
	v, ok := r.Views.View(ctx, u.Service)
	if !ok || v.Primary == "" || v.Term <= u.Require.Term {
		return false
	}
	u.ConfirmPrimary, u.Require = true, unit.Requirement{}
	return true
}

// awaitsPrimary reports whether a unit that did not run only waits for a primary. One that the primary alone may
// serve, and to which no connection could be opened, does so too: until its loss is detected, a killed primary refuses
// connections, and a budget would turn away nearly all writes of that time.
func awaitsPrimary(u *unit.Unit, res unit.Result) bool {
	primaryOnly := u.Write || u.ConfirmPrimary
	return errkind.Is(res.Err, errkind.NoPrimary) || primaryOnly && errkind.Is(res.Err, errkind.NoMember)
}

// tryCandidates tries each candidate once, best first.
func (r *Router) tryCandidates(ctx context.Context, u *unit.Unit, svc platform.Service, sink unit.Sink) unit.Result {
	view, _ := r.Views.View(ctx, u.Service)
	members := candidates(u, svc, view, r.Membership.Self(), r.reads.busy)
	if len(members) == 0 {
		return unit.NotRun(noCandidateError(u))
	}
	var res unit.Result
	for i, m := range members {
		last := r.sendToOwner(ctx, u, m, view.Term, sink)
		switch noMember := errkind.Is(last.Err, errkind.NoMember); {
		case u.Write && (noMember || errkind.Is(last.Err, errkind.Unknown)):
			r.Views.Suspect(u.Service) // the primary may have been killed
		case noMember || servedInOtherRole(view, m, last):
			r.Views.Refresh(u.Service) // the view that chose this member is old
		}
		res = combineResults(res, last)
		if refusedForOverload(last) && distance(m, r.Membership.Self()) == otherRegion {
			r.spillover.recordRefusal(m.Name, u.Class, time.Now())
		}
		if ctx.Err() != nil || i+1 == len(members) || !r.mayTryNext(members[i+1], u, res, view) {
			return res
		}
	}
	return res
}

// servedInOtherRole reports whether a member answered in another role than the view gives it. After a change of primary reads are
// not refused: without this the new primary would serve those meant for a replica until the view's life ends.
func servedInOtherRole(view group.View, m platform.Member, res unit.Result) bool {
	return res.Err == nil && res.Outcome == errkind.OutcomeDone && res.Replica == (view.Primary == m.Name)
}

// mayTryNext reports whether the unit goes to the next candidate of the pass. A read that one member refused for overload
// may find another one idle, in its region first and then elsewhere.
func (r *Router) mayTryNext(next platform.Member, u *unit.Unit, res unit.Result, view group.View) bool {
	if !refusedForOverload(res) {
		return mayRepeat(u, res)
	}
	self := r.Membership.Self()
	if u.Write || distance(next, self) < otherRegion {
		return !u.Write
	}
	return assess(u, next, view, self).coversOnArrival() && r.spillover.mayAsk(next.Name, u.Class, time.Now())
}

func refusedForOverload(res unit.Result) bool {
	return errkind.Is(res.Err, errkind.Overload) && res.Outcome == errkind.OutcomeNotRun
}

func noCandidateError(u *unit.Unit) error {
	if u.Write || u.ConfirmPrimary {
		return errkind.New(errkind.NoPrimary, "service %q has no known primary", u.Service)
	}
	return errkind.New(errkind.NoMember, "service %q has no member that takes reads", u.Service)
}

func (r *Router) sendToOwner(ctx context.Context, u *unit.Unit, m platform.Member, term platform.Term, sink unit.Sink) unit.Result {
	vm, ok := r.owners.Owner(m, r.Membership.Live())
	if !ok {
		return unit.NotRun(errkind.New(errkind.NoMember, "member %q has no owner: no entry VM is live", m.Name))
	}
	addressed := *u
	addressed.Member = m.Name
	if !u.Write {
		defer r.reads.add(m.Name)()
	}
	if vm.Name == r.Membership.Self().Name {
		return r.Local.Execute(ctx, &addressed, sink)
	}
	return r.forward(ctx, vm, &addressed, term, sink)
}

// combineResults returns the result of a unit after one more attempt. An attempt of unknown outcome may have run, so a later
// refusal of another attempt does not make the unit "not run". A refusal for overload stays final when the other members
// could not serve the unit either.
func combineResults(before, last unit.Result) unit.Result {
	if before.Err == nil || last.Outcome != errkind.OutcomeNotRun {
		return last
	}
	if before.Outcome == errkind.OutcomeUnknown || errkind.Is(before.Err, errkind.Overload) {
		return before
	}
	return last
}

// mayRepeat reports whether the unit can be sent again after res. A refusal for overload is final: a repeat would
// add to the flood. Unknown writes are repeated only with an idempotency key or in a repeatable class.
func mayRepeat(u *unit.Unit, res unit.Result) bool {
	if res.Err == nil || res.Streamed || res.Outcome == errkind.OutcomeDone {
		return false
	}
	if k := errkind.Of(res.Err); finalCodes[k.Code] {
		return false
	}
	if res.Outcome == errkind.OutcomeNotRun {
		return true
	}
	return !u.Write || u.Repeatable || u.IdempotencyKey != ""
}

var finalCodes = map[string]bool{
	errkind.Overload.Code:     true,
	errkind.Unsupported.Code:  true,
	errkind.BadParameter.Code: true,
	errkind.Protocol.Code:     true,
	errkind.Cancelled.Code:    true,
	errkind.Deadline.Code:     true,
}
