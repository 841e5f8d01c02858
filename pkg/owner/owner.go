// Package owner runs units on one member: it admits them through the member's scheduler, checks that the member may
// serve them, runs them on the member's connections and acknowledges writes after a majority. Two simultaneous owners
// of a member are harmless: the member enforces its connection limit, and terms protect writes.
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
	// majorityWindow is how recently a majority must have answered before a write is sent. It keeps writes from running
	// on a primary that is cut off from the other members, where their outcome could only become unknown.
	majorityWindow = 500 * time.Millisecond
	// coverWaitDivisor limits how long a read waits for the member's status or its required position, to
	// target/coverWaitDivisor each.
	coverWaitDivisor = 4
	// firstAgeWait is the time after the owner's start during which the age of the member may not have been measured
	// yet.
	firstAgeWait = time.Second
	// statusPollInterval is the time between two checks for the first status of the member.
	statusPollInterval = 5 * time.Millisecond
	// answerDivisor sets the part of a class's target, target/answerDivisor, that is reserved for sending the answer to
	// the caller, which takes up to 15 ms in the users' network, and for errors of the estimates. Under overload, units
	// start as late as the target allows, so any time that is not reserved makes them late.
	answerDivisor = 10
)

// Watcher gives the owner's knowledge of the member's service.
type Watcher interface {
	// Member returns what is known of a member, or false if the service is not watched.
	Member(service, member string) (group.MemberView, bool)
	// Primary returns the name of the primary ("" if there is none) and its term, or false if the service is not
	// watched.
	Primary(service string) (member string, term platform.Term, ok bool)
	// ViewChanged returns a channel that is closed when the view of the service next changes.
	ViewChanged(service string) <-chan struct{}
	// PollPrimary asks the primary at once whether it still answers.
	PollPrimary(service string)
	// MajorityAnswered reports whether a majority of the members has answered within the given time.
	MajorityAnswered(service string, within time.Duration) bool
	// WaitAcknowledged waits until a majority of the members holds the write at (term, position).
	WaitAcknowledged(ctx context.Context, service string, term platform.Term, position platform.Position) error
	// ConfirmPrimary asks the members whether the primary has not been replaced, and returns its term.
	ConfirmPrimary(ctx context.Context, service string) (platform.Term, error)
	// WaitApplied waits until the member has applied what r requires.
	WaitApplied(ctx context.Context, service, member string, r unit.Requirement) error
}

// WaitAcknowledgedFunc waits until a write at (term, position) is acknowledged.
type WaitAcknowledgedFunc func(ctx context.Context, term platform.Term, position platform.Position) error

// AdmitFunc is called for a unit that has a connection. It returns nil if the unit may be sent to the member, or the
// reason why not.
type AdmitFunc func(u *unit.Unit) error

// Pool runs units on the connections to the member. It calls the owner's WaitAcknowledgedFunc with a context derived
// from that of Run, and its AdmitFunc immediately before it sends a unit.
type Pool interface {
	// Run sends a unit on one of the connections and passes the answer to sink.
	Run(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result
	// Rollback rolls back the open transaction with the given id.
	Rollback(id uint64)
	// SetOwned tells the pool whether this VM owns the member.
	SetOwned(owned bool)
	// WaitingUnits returns the number of units that wait for a connection.
	WaitingUnits() int
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
	listsCurrent func() bool // nil means always
	guarantees   platform.Guarantees
	teams        func(name string) scheduler.Team // nil: only names are known
	ackTime      ackTime
	created      time.Time
	cancel       context.CancelFunc
	watchDone    chan struct{} // closed when watchPrimary has returned

	mu      sync.Mutex
	openTxs map[uint64]openTx // by the pool's transaction id
}

// openTx is an open transaction and its place in the scheduler.
type openTx struct {
	*scheduler.Transaction
	write bool
}

// New returns the owner of member m on the VM named self. newPool is called with the owner's WaitAcknowledgedFunc and
// AdmitFunc.
func New(self string, m platform.Member, newPool func(WaitAcknowledgedFunc, AdmitFunc) Pool, s Scheduler, w Watcher) *Owner {
	o := &Owner{self: self, member: m, scheduler: s, watcher: w, openTxs: map[uint64]openTx{},
		writes: runningWrites{cancels: map[uint64]context.CancelCauseFunc{}}, created: time.Now(), watchDone: make(chan struct{})}
	o.pool = newPool(o.WaitAcknowledged, o.admit)
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go o.watchPrimary(ctx)
	return o
}

// RefuseUnless makes the owner refuse units outside open transactions, as not run, while upToDate reports false. It
// must be called before the first unit.
func (o *Owner) RefuseUnless(upToDate func() bool) { o.listsCurrent = upToDate }

// SetTeams sets what is known of teams in the configuration in force. It must be called before the first unit.
func (o *Owner) SetTeams(teams func(name string) scheduler.Team) { o.teams = teams }

// teamOf returns the scheduler's description of a team.
func (o *Owner) teamOf(name string) scheduler.Team {
	if name == "" || o.teams == nil {
		return scheduler.Team{Name: name}
	}
	return o.teams(name)
}

// SetGuarantees sets what the platform of the member guarantees by itself. It must be called before the first unit.
func (o *Owner) SetGuarantees(g platform.Guarantees) { o.guarantees = g }

// checkListsCurrent refuses new work on a VM that was paused and has not yet reloaded its lists, which may have changed
// during the pause.
func (o *Owner) checkListsCurrent(u *unit.Unit) error {
	if u.Tx.Open() || o.listsCurrent == nil || o.listsCurrent() {
		return nil
	}
	return errkind.New(errkind.NoMember, "entry VM %s was paused and has not reloaded its lists of services and VMs yet", o.self)
}

// Execute implements unit.Executor for units of the owner's member.
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
	// The unit may have queued for some time, so conditions that may have changed since its arrival are checked again.
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
	if err := o.checkAge(ctx, u); err != nil {
		return o.refusedResult(u, err)
	}
	res := o.run(context.WithValue(ctx, grantKey{}, grant), u, sink)
	o.recordResult(u, &res, grant)
	return res
}

// admit is the owner's AdmitFunc. It repeats the checks that are made when the unit gets its slot: if the VM was paused
// while the unit waited for a connection, the unit must not be sent on outdated knowledge.
func (o *Owner) admit(u *unit.Unit) error {
	if err := o.checkListsCurrent(u); err != nil {
		return err
	}
	if u.Write && !u.Tx.Open() {
		return o.checkPrimary(u.Service)
	}
	return nil
}

// run executes the unit on the pool. A write ends early when the member is replaced as primary; if it belongs to an
// open transaction that is lost thereby, the transaction is rolled back.
func (o *Owner) run(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	if !u.Write {
		return o.pool.Run(ctx, u, sink)
	}
	writeCtx, done := o.writes.add(ctx)
	defer done()
	res := o.pool.Run(writeCtx, u, sink)
	after := unit.AfterReplacement(ctx, writeCtx, u, res)
	if errkind.Is(after.Err, errkind.TransactionLost) {
		o.pool.Rollback(u.Tx.ID)
	}
	return after
}

// request returns the scheduler's request for the unit.
func (o *Owner) request(ctx context.Context, u *unit.Unit) scheduler.Request {
	deadline, _ := ctx.Deadline()
	target := u.Target - u.Target/answerDivisor
	if u.Write && !u.Tx.Open() {
		target = o.ackTime.remainingTarget(target)
	}
	return scheduler.Request{
		Class: u.Class, Rank: u.Rank, Target: target, Deadline: deadline,
		Arrived: u.Arrived, Team: o.teamOf(u.Team),
		NewTransaction: u.Begin && !u.Tx.Open(), InTransaction: u.Tx.Open(),
	}
}

// Rollback ends an open transaction whose caller has disconnected.
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

// WaitingUnits returns the number of units that wait for a connection to the member.
func (o *Owner) WaitingUnits() int { return o.pool.WaitingUnits() }

// SetOwned tells the owner whether this VM owns the member. If it does not, unused connections to the member are
// closed.
func (o *Owner) SetOwned(owned bool) { o.pool.SetOwned(owned) }

// Close stops the owner and closes its scheduler and its connections.
func (o *Owner) Close() {
	o.cancel()
	<-o.watchDone
	o.scheduler.Close()
	o.pool.Close()
}

// refusedResult returns the result of a refused unit. A transaction that the unit belongs to stays open and usable.
func (o *Owner) refusedResult(u *unit.Unit, err error) unit.Result {
	res := unit.NotRun(err)
	if u.Tx.Open() {
		res.Tx, res.TxStatus = u.Tx, 'T'
	}
	return res
}

// recordResult records transactions that the unit opened or ended, and adds the names of this VM and the member to the
// result. After a write that lost its connection, it has the primary checked.
func (o *Owner) recordResult(u *unit.Unit, res *unit.Result, grant *scheduler.Grant) {
	o.setReplica(u, res)
	if u.Write && connectionFailed(res.Err) {
		o.watcher.PollPrimary(u.Service)
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

// connectionFailed reports whether a unit failed because its connection was refused or lost, as when the member is
// killed.
func connectionFailed(err error) bool {
	return errkind.Is(err, errkind.NoMember) || errkind.Is(err, errkind.RequestOutcomeUnknown)
}

// setReplica records in the result whether the member served the unit as a replica.
func (o *Owner) setReplica(u *unit.Unit, res *unit.Result) {
	primary, _, ok := o.watcher.Primary(u.Service)
	res.Replica = ok && primary != o.member.Name
}

// recordOpened keeps the transaction's place in the scheduler. If no place is free, the transaction is rolled back, and
// its next statement is refused with TransactionLost.
func (o *Owner) recordOpened(id uint64, write bool, grant *scheduler.Grant) {
	tx := grant.ReleaseKeepingTransaction()
	if tx == nil {
		o.pool.Rollback(id)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openTxs[id] = openTx{tx, write}
}

// recordEnded gives back the transaction's place in the scheduler.
func (o *Owner) recordEnded(id uint64) {
	o.mu.Lock()
	tx, ok := o.openTxs[id]
	delete(o.openTxs, id)
	o.mu.Unlock()
	if ok {
		tx.End()
	}
}

// grantKey is the context key under which WaitAcknowledged finds the grant of the running unit.
type grantKey struct{}

// WaitAcknowledged waits until a write is acknowledged by a majority. It first releases the unit's slot, which is not
// needed any more since the member has answered.
func (o *Owner) WaitAcknowledged(ctx context.Context, term platform.Term, position platform.Position) error {
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

// checkOnArrival refuses a unit that the member may not serve. For reads it may wait for the member's status.
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

// checkPrimary refuses a write that could not be acknowledged: the member is not the primary, or the platform relies on
// a majority for acknowledgements and no majority has answered recently.
func (o *Owner) checkPrimary(service string) error {
	primary, _, ok := o.watcher.Primary(service)
	if !ok || primary != o.member.Name {
		return errkind.New(errkind.NoPrimary, "member %q is not the primary of service %q", o.member.Name, service)
	}
	if !o.guarantees.Acknowledged && !o.watcher.MajorityAnswered(service, majorityWindow) {
		return errkind.New(errkind.NoPrimary, "no majority of the members of service %q answered within the last %v", service, majorityWindow)
	}
	return nil
}

// confirmPrimary checks, with requests that are sent after the read arrived, that no majority is fenced above the
// primary's term. If so, the primary holds every write that was acknowledged before the read.
func (o *Owner) confirmPrimary(ctx context.Context, u *unit.Unit) error {
	if err := o.checkPrimary(u.Service); err != nil || o.guarantees.Primary {
		return err
	}
	term, err := o.watcher.ConfirmPrimary(ctx, u.Service)
	if err != nil {
		return errkind.Wrap(errkind.NoPrimary, err, "the primary of service %q could not be confirmed", u.Service)
	}
	u.Require.Term = max(u.Require.Term, term)
	return o.checkPrimary(u.Service)
}

// awaitStatus returns what is known of the member. A VM that has just become an owner has only started to watch the
// service, so the unit waits a bounded time for the member's first status and, if its class has a maximum age, for the
// first measured age. Another member would not be a better choice: its status may be just as unknown here.
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

// statusSuffices reports whether the unit need not wait for more knowledge of the member.
func (o *Owner) statusSuffices(u *unit.Unit, m group.MemberView) bool {
	if u.MaxAge.Stated() && u.MaxAge != unit.NoAge && !m.Fresh && time.Since(o.created) < firstAgeWait {
		return false
	}
	return m.Known
}

// checkRead refuses a read that the member may not serve. It waits a bounded time for the member to apply the position
// that the session token requires, and checks the maximum age of the unit's class.
func (o *Owner) checkRead(ctx context.Context, u *unit.Unit) error {
	m, ok := o.awaitStatus(ctx, u)
	if !ok {
		return errkind.New(errkind.ReadNotCovered, "the entry VM that owns the member does not watch service %q yet", u.Service)
	}
	if !m.Reachable {
		return errkind.New(errkind.NoMember, "member %q does not answer the entry VM that owns it", o.member.Name)
	}
	if m.Leaving { // The router has not noticed this yet; it chooses another member after the refusal.
		return errkind.New(errkind.NoMember, "member %q is leaving", o.member.Name)
	}
	if err := o.checkAge(ctx, u); err != nil {
		return err
	}
	if o.guarantees.Position || token.CoveredBy(u.Require, m.Status.AppliedTerm, m.Status.Applied) {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, u.Target/coverWaitDivisor)
	defer cancel()
	if err := o.watcher.WaitApplied(waitCtx, u.Service, o.member.Name, u.Require); err != nil {
		return errkind.Wrap(errkind.ReadNotCovered, err, "member %q has not applied the position that the session token requires", o.member.Name)
	}
	return nil
}

// checkAge refuses a read whose maximum age the member's data exceeds. Within a transaction the age at its start
// counts, and a confirmed primary holds all that was acknowledged before the read. If the age of a primary is not good
// enough or not known, the unit may be changed so that the primary confirms itself. A primary whose age is known but above
// the limit is confirmed in any case, by itself or by a majority: a limit may be shorter than any age that can be measured.
func (o *Owner) checkAge(ctx context.Context, u *unit.Unit) error {
	if u.Write || !u.MaxAge.Stated() || u.Tx.Open() || u.ConfirmPrimary {
		return nil
	}
	m, ok := o.watcher.Member(u.Service, o.member.Name)
	if ok && m.Fresh && u.MaxAge.Allows(m.Age) {
		o.requireKnownLog(u, m)
		return nil
	}
	if o.canConfirmItself(u) {
		u.ConfirmPrimary = true
		return nil
	}
	if ok && m.Fresh && o.checkPrimary(u.Service) == nil {
		u.ConfirmPrimary = true
		return o.confirmPrimary(ctx, u)
	}
	return errkind.New(errkind.ReadNotCovered, "data of member %q is older than the %v that the class accepts, or of unknown age", o.member.Name, u.MaxAge)
}

// requireKnownLog makes a member that refuses reads beyond its log refuse this one unless it still has the log from which its
// age is known. A member may start again under its name without a log, and its age would be taken for that of before.
func (o *Owner) requireKnownLog(u *unit.Unit, m group.MemberView) {
	known := unit.Requirement{Term: m.Status.AppliedTerm, Position: m.Status.Applied}
	if o.guarantees.Position && (known.Term > u.Require.Term || known.Term == u.Require.Term && known.Position > u.Require.Position) {
		u.Require = known
	}
}

// canConfirmItself reports whether the member can prove by itself that its data is current: as primary, it refuses the
// unit unless it still is the primary. This serves VMs that do not know its age because they reach no majority of the
// members, such as one that is cut off from the others together with the primary.
func (o *Owner) canConfirmItself(u *unit.Unit) bool {
	if !o.guarantees.Primary || u.Begin {
		return false
	}
	primary, _, ok := o.watcher.Primary(u.Service)
	return ok && primary == o.member.Name
}
