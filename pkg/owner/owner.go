// Package owner runs units on one member: it admits them through the member's scheduler, checks that the member may
// serve them, runs them on the member's connections and acknowledges writes after a majority. Two owners of one
// member at a time are harmless: the member enforces its connection limit and terms protect writes.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/scheduler"
	"github.com/sycamorehub/sycamorehub/pkg/token"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// majorityWindow is how recently a majority must have answered before a write is sent. It keeps writes from
	// running on a primary that is cut off, where they could only end as unknown.
	majorityWindow = 500 * time.Millisecond
	// coverWaitDivisor is the part of a class's target that a read waits for the member to cover its token.
	coverWaitDivisor = 4
	// firstAgeWait is how long after its start an owner may not have measured the age of its member.
	firstAgeWait = time.Second
	// statusPollInterval is the time between two looks for the first status of the member.
	statusPollInterval = 5 * time.Millisecond
	// answerDivisor is the part of a class's target that is left for the way of the answer to the caller, up to 15 ms at
	// the users', and for error of the estimates. In a flood, units start as late as the target allows, so that all
	// time that is not allowed for makes them late.
	answerDivisor = 10
)

// Watcher is the owner's source of truth about the member's service.
type Watcher interface {
	// Member returns what is known of a member, false while the service is not watched.
	Member(service, member string) (group.MemberView, bool)
	// Primary returns the name of the primary, "" for none, and its term.
	Primary(service string) (member string, term platform.Term, ok bool)
	// Changed returns a channel that is closed at the next change of the view.
	Changed(service string) <-chan struct{}
	// Check asks the primary at once whether it still answers.
	Check(service string)
	MajorityHeard(service string, within time.Duration) bool
	WaitAcknowledged(ctx context.Context, service string, term platform.Term, position platform.Position) error
	ConfirmPrimary(ctx context.Context, service string) (platform.Term, error)
	WaitApplied(ctx context.Context, service, member string, r unit.Requirement) error
}

// Acknowledge waits until a write at (term, position) counts.
type Acknowledge func(ctx context.Context, term platform.Term, position platform.Position) error

// Admit returns nil if a unit that has a connection may be sent to the member, else why not.
type Admit func(u *unit.Unit) error

// Pool runs units on the connections to the member. It calls the owner's Acknowledge with a context derived from
// that of Run, and its Admit right before it sends a unit.
type Pool interface {
	Run(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result
	Rollback(id uint64)
	SetOwned(owned bool)
	// Waiting returns the number of units that wait for a connection.
	Waiting() int
	Close()
}

// Scheduler decides when a unit may run.
type Scheduler interface {
	Acquire(ctx context.Context, r scheduler.Request) (*scheduler.Grant, error)
	Stats() scheduler.Stats
	Close()
}

// Owner runs units on one member.
type Owner struct {
	self      string
	member    platform.Member
	pool      Pool
	scheduler Scheduler
	watcher   Watcher

	writes       runningWrites
	hold         writeHold
	listsCurrent func() bool // nil: always
	guarantees   platform.Guarantees
	ackTime      ackTime
	created      time.Time
	cancel       context.CancelFunc
	watchDone    chan struct{} // closed when watchPrimary has ended

	mu      sync.Mutex
	openTxs map[uint64]openTx // by transaction id of the pool
}

// openTx is an open transaction with its place in the scheduler.
type openTx struct {
	*scheduler.Transaction
	write bool
}

// New returns the owner of a member on the VM self. newPool gets the owner's Acknowledge and Admit.
func New(self string, m platform.Member, newPool func(Acknowledge, Admit) Pool, s Scheduler, w Watcher) *Owner {
	o := &Owner{self: self, member: m, scheduler: s, watcher: w, openTxs: map[uint64]openTx{},
		writes: runningWrites{cancels: map[uint64]context.CancelCauseFunc{}}, created: time.Now(), watchDone: make(chan struct{})}
	o.pool = newPool(o.Acknowledge, o.admit)
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go o.watchPrimary(ctx)
	return o
}

// OnlyWhile makes the owner refuse units outside open transactions as not run while settled reports false. It must be
// called before the first unit.
func (o *Owner) OnlyWhile(settled func() bool) { o.listsCurrent = settled }

// Assured tells what the member assures by itself. It must be called before the first unit.
func (o *Owner) Assured(g platform.Guarantees) { o.guarantees = g }

// checkListsCurrent refuses new work on a VM that was paused and does not know yet what has changed meanwhile.
func (o *Owner) checkListsCurrent(u *unit.Unit) error {
	if u.Tx.Open() || o.listsCurrent == nil || o.listsCurrent() {
		return nil
	}
	return errkind.New(errkind.NoMember, "entry VM %s was paused and reads the lists again", o.self)
}

// Execute runs one unit.
func (o *Owner) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if err := o.checkOnArrival(ctx, u); err != nil {
		return o.refusedResult(u, err)
	}
	if !u.Tx.Open() && executesNothing(u.Messages) {
		return o.prepare(ctx, u, sink)
	}
	grant, err := o.scheduler.Acquire(ctx, o.request(ctx, u))
	if err != nil {
		return o.refusedResult(u, err)
	}
	defer grant.Release()
	// Queueing takes time: what held at arrival must hold when the unit starts.
	if err := o.checkListsCurrent(u); err != nil {
		return o.refusedResult(u, err)
	}
	if u.Write && !u.Tx.Open() {
		if err := o.checkPrimary(u.Service); err != nil {
			return unit.NotRun(err)
		}
		if err := o.hold.begin(); err != nil {
			return unit.NotRun(err)
		}
		defer o.hold.end()
	}
	if err := o.checkAge(u); err != nil {
		return o.refusedResult(u, err)
	}
	res := o.run(context.WithValue(ctx, grantKey{}, grant), u, sink)
	o.recordResult(u, &res, grant)
	return res
}

// admit repeats the checks of a unit that has its slot once it has a connection too: a VM that was paused in between must
// not send what it finds half done.
func (o *Owner) admit(u *unit.Unit) error {
	if err := o.checkListsCurrent(u); err != nil {
		return err
	}
	if u.Write && !u.Tx.Open() {
		return o.checkPrimary(u.Service)
	}
	return nil
}

func (o *Owner) run(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if !u.Write {
		return o.pool.Run(ctx, u, sink)
	}
	run, done := o.writes.add(ctx)
	defer done()
	res := o.pool.Run(run, u, sink)
	after := unit.AfterReplacement(ctx, run, u, res)
	if errkind.Is(after.Err, errkind.TransactionLost) {
		o.pool.Rollback(u.Tx.ID)
	}
	return after
}

// request describes the unit to the scheduler.
func (o *Owner) request(ctx context.Context, u *unit.Unit) scheduler.Request {
	deadline, _ := ctx.Deadline()
	target := u.Target - u.Target/answerDivisor
	if u.Write && !u.Tx.Open() {
		target = o.ackTime.remainingTarget(target)
	}
	return scheduler.Request{
		Class: u.Class, Rank: u.Rank, Target: target, Deadline: deadline,
		Arrived:        u.Arrived,
		NewTransaction: u.Begin && !u.Tx.Open(), InTransaction: u.Tx.Open(),
	}
}

// Rollback ends an open transaction whose caller has gone.
func (o *Owner) Rollback(tx unit.TxRef) {
	o.pool.Rollback(tx.ID)
	o.recordEnded(tx.ID)
}

// Transactions returns the number of open transactions.
func (o *Owner) Transactions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.openTxs)
}

// Stats returns the scheduler's state.
func (o *Owner) Stats() scheduler.Stats { return o.scheduler.Stats() }

// Waiting returns the number of units that wait for a connection to the member.
func (o *Owner) Waiting() int { return o.pool.Waiting() }

// SetOwned tells whether this VM owns the member. Without it unused connections to the member are closed.
func (o *Owner) SetOwned(owned bool) { o.pool.SetOwned(owned) }

// Close ends all connections.
func (o *Owner) Close() {
	o.cancel()
	<-o.watchDone
	o.scheduler.Close()
	o.pool.Close()
}

// refusedResult keeps an open transaction usable after a refusal of one of its units.
func (o *Owner) refusedResult(u *unit.Unit, err error) unit.Result {
	res := unit.NotRun(err)
	if u.Tx.Open() {
		res.Tx, res.TxStatus = u.Tx, 'T'
	}
	return res
}

// recordResult records transactions that the unit opened or ended and names the VM that holds them.
func (o *Owner) recordResult(u *unit.Unit, res *unit.Result, grant *scheduler.Grant) {
	o.setReplica(u, res)
	if u.Write && connectionFailed(res.Err) {
		o.watcher.Check(u.Service)
	}
	if u.Tx.Open() && res.Tx.ID != u.Tx.ID {
		o.recordEnded(u.Tx.ID)
	}
	if !res.Tx.Open() {
		return
	}
	res.Tx.VM, res.Tx.Member = o.self, o.member.Name
	if res.Tx.ID != u.Tx.ID {
		o.recordOpened(res.Tx.ID, u.Write, grant)
	}
}

// connectionFailed reports whether a unit failed because its connection was refused or lost, as when the member is killed.
func connectionFailed(err error) bool {
	return errkind.Is(err, errkind.NoMember) || errkind.Is(err, errkind.Unknown)
}

func (o *Owner) setReplica(u *unit.Unit, res *unit.Result) {
	primary, _, ok := o.watcher.Primary(u.Service)
	res.Replica = ok && primary != o.member.Name
}

// recordOpened keeps the transaction's place in the scheduler. Without a free place the transaction is rolled back; its
// next statement is refused with TransactionLost.
func (o *Owner) recordOpened(id uint64, write bool, grant *scheduler.Grant) {
	tx := grant.ReleaseOpen()
	if tx == nil {
		o.pool.Rollback(id)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openTxs[id] = openTx{tx, write}
}

func (o *Owner) recordEnded(id uint64) {
	o.mu.Lock()
	tx, ok := o.openTxs[id]
	delete(o.openTxs, id)
	o.mu.Unlock()
	if ok {
		tx.End()
	}
}

// grantKey is the context key under which Acknowledge finds the grant of the running unit.
type grantKey struct{}

// Acknowledge waits until a write counts. It frees the slot first: the member has answered, and the wait for a
// majority needs none.
func (o *Owner) Acknowledge(ctx context.Context, term platform.Term, position platform.Position) error {
	if o.guarantees.Acknowledged {
		return nil
	}
	if grant, ok := ctx.Value(grantKey{}).(*scheduler.Grant); ok {
		grant.Release()
	}
	start := time.Now()
	err := o.watcher.WaitAcknowledged(ctx, o.member.Service, term, position)
	if err == nil {
		o.ackTime.add(time.Since(start))
	}
	return err
}

func (o *Owner) checkOnArrival(ctx context.Context, u *unit.Unit) error {
	if err := o.checkListsCurrent(u); err != nil {
		return err
	}
	switch {
	case u.Tx.Open():
		return nil
	case u.Write:
		if err := o.hold.refusal(); err != nil {
			return err
		}
		return o.checkPrimary(u.Service)
	case u.ConfirmPrimary:
		return o.confirmPrimary(ctx, u)
	}
	return o.checkRead(ctx, u)
}

// checkPrimary refuses a write that could not be acknowledged.
func (o *Owner) checkPrimary(service string) error {
	primary, _, ok := o.watcher.Primary(service)
	if !ok || primary != o.member.Name {
		return errkind.New(errkind.NoPrimary, "member %q is not the primary of %q", o.member.Name, service)
	}
	if !o.guarantees.Acknowledged && !o.watcher.MajorityHeard(service, majorityWindow) {
		return errkind.New(errkind.NoPrimary, "no majority of %q answered within %v", service, majorityWindow)
	}
	return nil
}

// confirmPrimary checks, in requests sent after the read arrived, that no majority is fenced above the primary's term. From
// then on the primary holds every write acknowledged before the read.
func (o *Owner) confirmPrimary(ctx context.Context, u *unit.Unit) error {
	if err := o.checkPrimary(u.Service); err != nil || o.guarantees.Primary {
		return err
	}
	term, err := o.watcher.ConfirmPrimary(ctx, u.Service)
	if err != nil {
		return errkind.Wrap(errkind.NoPrimary, err, "primary of %q not confirmed", u.Service)
	}
	u.Require.Term = max(u.Require.Term, term)
	return o.checkPrimary(u.Service)
}

// awaitStatus returns what is known of the member. A VM that has just become an owner begins to watch the service; the
// unit waits a bounded time for the member's first status, and if its class states an age for the first measured one,
// since the other members may be just as unknown here.
func (o *Owner) awaitStatus(ctx context.Context, u *unit.Unit) (group.MemberView, bool) {
	m, ok := o.watcher.Member(u.Service, o.member.Name)
	if o.statusSuffices(u, m) {
		return m, ok
	}
	ctx, cancel := context.WithTimeout(ctx, u.Target/coverWaitDivisor)
	defer cancel()
	for !o.statusSuffices(u, m) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(statusPollInterval):
		}
		m, ok = o.watcher.Member(u.Service, o.member.Name)
	}
	return m, ok
}

// statusSuffices reports whether waiting tells no more about the member.
func (o *Owner) statusSuffices(u *unit.Unit, m group.MemberView) bool {
	if u.MaxAge > 0 && !m.Fresh && time.Since(o.created) < firstAgeWait {
		return false
	}
	return m.Known
}

// checkRead waits a bounded time for the member to cover the session token and checks the stated age.
func (o *Owner) checkRead(ctx context.Context, u *unit.Unit) error {
	m, ok := o.awaitStatus(ctx, u)
	if !ok {
		return errkind.New(errkind.StaleRead, "service %q is not watched here yet", u.Service)
	}
	if !m.Reachable {
		return errkind.New(errkind.NoMember, "member %q does not answer", o.member.Name)
	}
	if m.Leaving { // routers that see it later than the owner choose another member
		return errkind.New(errkind.NoMember, "member %q is leaving", o.member.Name)
	}
	if err := o.checkAge(u); err != nil {
		return err
	}
	if o.guarantees.Position || token.Covers(u.Require, m.Status.AppliedTerm, m.Status.Applied) {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, u.Target/coverWaitDivisor)
	defer cancel()
	if err := o.watcher.WaitApplied(wait, u.Service, o.member.Name, u.Require); err != nil {
		return errkind.Wrap(errkind.StaleRead, err, "member %q does not cover the session token", o.member.Name)
	}
	return nil
}

// checkAge refuses a read that accepts no data as old as the member's. Within a transaction the age at its start
// counts, and a confirmed primary held all that was acknowledged before the read. The primary may have to confirm itself.
func (o *Owner) checkAge(u *unit.Unit) error {
	if u.Write || u.MaxAge == 0 || u.Tx.Open() || u.ConfirmPrimary {
		return nil
	}
	if m, ok := o.watcher.Member(u.Service, o.member.Name); ok && m.Fresh && m.Age <= u.MaxAge {
		return nil
	}
	if o.canConfirmItself(u) {
		u.ConfirmPrimary = true
		return nil
	}
	return errkind.New(errkind.StaleRead, "member %q is older than the %v that the class accepts", o.member.Name, u.MaxAge)
}

// canConfirmItself reports whether the member can show by itself that its data is of no age: as the primary it refuses the unit
// unless it still leads. Its age is not known to a VM that reaches no majority of the members, such as one that is cut off
// from the others together with the primary.
func (o *Owner) canConfirmItself(u *unit.Unit) bool {
	if !o.guarantees.Primary || u.Begin {
		return false
	}
	primary, _, ok := o.watcher.Primary(u.Service)
	return ok && primary == o.member.Name
}
