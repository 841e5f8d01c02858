// Package router chooses the service member for a unit of work and calls the member's owner, on this VM or through a
// peer. It retries only units that certainly did not run, reads, and units that are safe to repeat. It keeps no
// connections and does not guarantee safety: the owner and the endpoint check terms.
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

// Membership is this VM's view of the entry VMs.
type Membership interface {
	Self() platform.VM
	Live() []platform.VM
	// VM returns a known VM, including one that is draining.
	VM(name string) (platform.VM, bool)
}

// Views gives the last known view of a service.
type Views interface {
	View(ctx context.Context, service string) (group.View, bool)
	// Invalidate marks the view as outdated after a refusal, so that the next View fetches a newer one.
	Invalidate(service string)
	// SuspectPrimary does the same and, if this VM watches the service, checks at once whether the primary still answers.
	SuspectPrimary(service string)
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
	// CountRequest counts a request of the class.
	CountRequest(class string)
	// Allow reports whether a retry of the class is within the budget, and consumes it.
	Allow(class string) bool
}

// Options configures a Router.
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

// Execute runs one unit on a suitable member, with retries where they are safe.
func (r *Router) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if u.Tx.Open() {
		return r.executeInTransaction(ctx, u, sink)
	}
	r.Budget.CountRequest(u.Class)
	svc, ok := r.awaitService(ctx, u.Service)
	if !ok {
		return unit.NotRun(errkind.New(errkind.NoMember, "service %q is not in the service list at present", u.Service))
	}
	res := r.executeWithRetries(ctx, u, svc, sink)
	if res.Outcome == errkind.OutcomeNotRun && errors.Is(ctx.Err(), context.Canceled) {
		// The unit did not run because the caller cancelled it, not because the last member refused it.
		res.Err = errkind.Wrap(errkind.Cancelled, res.Err, "the caller cancelled the request before it started")
	}
	return res
}

// serviceWait is how long a unit waits for its service to be listed. After an outage of the platform its entries come back
// one by one, within 2 s.
const serviceWait = 500 * time.Millisecond

// awaitService returns a service, and waits up to serviceWait if it is not listed. The configuration names the service, so
// that a list without it is not complete yet.
func (r *Router) awaitService(ctx context.Context, name string) (platform.Service, bool) {
	svc, ok := r.Directory.Service(name)
	if ok {
		return svc, true
	}
	ctx, cancel := context.WithTimeout(ctx, serviceWait)
	defer cancel()
	for attempt := 0; !ok && ctx.Err() == nil; attempt++ {
		select {
		case <-ctx.Done():
		case <-time.After(retry.Delay(attempt)):
		}
		svc, ok = r.Directory.Service(name)
	}
	return svc, ok
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

// transactionVM returns the VM that holds an open transaction. A draining VM is no longer live but finishes its
// transactions.
func (r *Router) transactionVM(tx unit.TxRef) (platform.VM, bool) {
	for _, vm := range r.Membership.Live() { // includes VMs of which only peers have had a heartbeat
		if vm.Name == tx.VM {
			return vm, true
		}
	}
	return r.Membership.VM(tx.VM)
}

// executeInTransaction sends the unit to the VM that holds the transaction's connection. It never retries.
func (r *Router) executeInTransaction(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	u.Member = u.Tx.Member
	if u.Tx.VM == r.Membership.Self().Name {
		return r.Local.Execute(ctx, u, sink)
	}
	vm, ok := r.transactionVM(u.Tx)
	if !ok {
		return unit.NotRun(errkind.New(errkind.TransactionLost, "entry VM %s, which held the transaction's connection, is no longer known", u.Tx.VM))
	}
	return r.Remote.Execute(ctx, vm, u, sink)
}

// executeWithRetries runs the unit until it has run, its outcome forbids a repeat, the retry budget is spent or ctx
// ends.
func (r *Router) executeWithRetries(ctx context.Context, u *unit.Unit, svc platform.Service, sink unit.Sink) unit.Result {
	var res unit.Result
	for attempt := 0; ; attempt++ {
		res = combineResults(res, r.tryCandidates(ctx, u, svc, sink))
		if !mayRepeat(u, res) || ctx.Err() != nil {
			return res
		}
		if r.redirectToLaterPrimary(ctx, u, res) {
			continue
		}
		// A unit that waits for a primary adds no load to endpoints, so it uses no retry budget.
		waiting := awaitsPrimary(u, res)
		if !waiting && !r.Budget.Allow(u.Class) {
			return res
		}
		r.Views.Invalidate(u.Service)
		select {
		case <-ctx.Done():
			return res
		case <-time.After(retry.Delay(attempt)):
		}
		if waiting {
			// Waiting for a primary is no sign of overload, so this time does not count against the unit's target.
			u.Arrived = time.Now()
		}
	}
}

// redirectToLaterPrimary makes u a confirmed read when no member covered its required position and a primary of a later
// term than the required one is known. That primary's log either holds what the session wrote in the earlier term, or
// lacks it because the promotion rolled it back; in the second case no member will ever cover the position. It reports
// whether u was changed and is to be tried again.
func (r *Router) redirectToLaterPrimary(ctx context.Context, u *unit.Unit, res unit.Result) bool {
	if !errkind.Is(res.Err, errkind.ReadNotCovered) || u.ConfirmPrimary || u.Require == (unit.Requirement{}) {
		return false
	}
	v, ok := r.Views.View(ctx, u.Service)
	if !ok || v.Primary == "" || v.Term <= u.Require.Term {
		return false
	}
	u.ConfirmPrimary, u.Require = true, unit.Requirement{}
	return true
}

// awaitsPrimary reports whether a unit did not run only because it waits for a primary. This includes a unit that only
// the primary may serve and for which no connection to the primary could be opened: a killed primary refuses
// connections until its loss is detected, and a retry budget would refuse nearly all writes of that time.
func awaitsPrimary(u *unit.Unit, res unit.Result) bool {
	return errkind.Is(res.Err, errkind.NoPrimary) || u.PrimaryOnly() && errkind.Is(res.Err, errkind.NoMember)
}

// tryCandidates sends the unit to the candidates, best first and each at most once, until a result is final.
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
		case u.Write && (noMember || errkind.Is(last.Err, errkind.RequestOutcomeUnknown)):
			r.Views.SuspectPrimary(u.Service) // the primary may have been killed
		case noMember || servedInOtherRole(view, m, last):
			r.Views.Invalidate(u.Service) // the view from which this member was chosen is outdated
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

// servedInOtherRole reports whether a member served the unit in another role, primary or replica, than the view gives
// it. Reads are not refused after a change of primary: without this check, the new primary would get reads meant for a
// replica until the cached view expires.
func servedInOtherRole(view group.View, m platform.Member, res unit.Result) bool {
	return res.Err == nil && res.Outcome == errkind.OutcomeDone && res.Replica == (view.Primary == m.Name)
}

// mayTryNext reports whether the unit may be sent to the next candidate after res. A read that one member refused for
// overload may go to the other members of this VM's region, and then to members in other regions that are expected to
// satisfy its bounds and have not refused reads of its class recently.
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

// refusedForOverload reports whether the unit was refused for overload and did not run.
func refusedForOverload(res unit.Result) bool {
	return errkind.Is(res.Err, errkind.Overload) && res.Outcome == errkind.OutcomeNotRun
}

// noCandidateError returns the error for a unit that no member may serve.
func noCandidateError(u *unit.Unit) error {
	if u.PrimaryOnly() {
		return errkind.New(errkind.NoPrimary, "service %q has no known primary", u.Service)
	}
	return errkind.New(errkind.NoMember, "service %q has no member available for reads", u.Service)
}

// sendToOwner executes the unit on the owner of member m. term is the term of the view from which m was chosen.
func (r *Router) sendToOwner(ctx context.Context, u *unit.Unit, m platform.Member, term platform.Term, sink unit.Sink) unit.Result {
	vm, ok := r.owners.Owner(m, r.Membership.Live())
	if !ok {
		return unit.NotRun(errkind.New(errkind.NoMember, "no live entry VM can own member %q", m.Name))
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

// combineResults returns the result of a unit after one more attempt. An attempt of unknown outcome may have run, so a
// refusal of a later attempt does not make the unit "not run". A refusal for overload is kept when the other members
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

// mayRepeat reports whether the unit may be sent again after res. A refusal for overload is final, because a repeat
// would add to the overload. A write of unknown outcome is repeated only with an idempotency key or in a repeatable
// class.
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

// finalCodes holds the codes of errors after which a unit is not repeated.
var finalCodes = map[string]bool{
	errkind.Overload.Code:          true,
	errkind.Unsupported.Code:       true,
	errkind.BadParameter.Code:      true,
	errkind.ProtocolViolation.Code: true,
	errkind.Cancelled.Code:         true,
	errkind.DeadlineExceeded.Code:  true,
}
