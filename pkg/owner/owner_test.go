package owner

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/scheduler"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

var member = platform.Member{Name: "m1", Service: "s"}

// fakeWatcher is a Watcher with a view that the test sets.
type fakeWatcher struct {
	mu         sync.Mutex // guards view.Primary, which tests change while the owner watches it
	view       group.View
	majority   bool
	appliedErr error
	onWait     func() // called by WaitApplied
	confirmErr error
	changed    chan struct{}

	checks                  int
	memberCalls, knownAfter int // Member has been called memberCalls times; it returns a status from the knownAfter-th call on
}

func newFakeWatcher(primary string) *fakeWatcher {
	return &fakeWatcher{
		view: group.View{Service: "s", Term: 2, Primary: primary, Members: []group.MemberView{{
			Name: "m1", Known: true, Reachable: true, Fresh: true, Age: time.Second,
			Status: platform.Status{AppliedTerm: 2, Applied: 10}}}},
		majority: true, changed: make(chan struct{}),
	}
}

func (w *fakeWatcher) Member(_, member string) (group.MemberView, bool) {
	w.memberCalls++
	if w.memberCalls < w.knownAfter {
		return group.MemberView{}, true
	}
	return w.view.Member(member)
}
func (w *fakeWatcher) Primary(string) (string, platform.Term, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Primary, w.view.Term, true
}

// replacePrimary makes another member the primary. The owner may watch it meanwhile.
func (w *fakeWatcher) replacePrimary() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view.Primary = "m2"
}
func (w *fakeWatcher) ViewChanged(string) <-chan struct{}          { return w.changed }
func (w *fakeWatcher) PollPrimary(string)                          { w.checks++ }
func (w *fakeWatcher) MajorityAnswered(string, time.Duration) bool { return w.majority }
func (w *fakeWatcher) ConfirmPrimary(context.Context, string) (platform.Term, error) {
	return w.view.Term, w.confirmErr
}
func (w *fakeWatcher) WaitAcknowledged(context.Context, string, platform.Term, platform.Position) error {
	return nil
}
func (w *fakeWatcher) WaitApplied(context.Context, string, string, unit.Requirement) error {
	if w.onWait != nil {
		w.onWait()
	}
	return w.appliedErr
}

// fakePool answers units and records them.
type fakePool struct {
	runs              int
	rolledBack        []uint64
	leaveOpen         bool // units leave a transaction open
	runUntilCancelled bool // units run until their context ends
	endUnsent         bool // the context of units ends before they are sent
	admit             AdmitFunc
	beforeAdmit       func() // called before a unit has its connection
}

func (p *fakePool) Run(ctx context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
	if p.beforeAdmit != nil {
		p.beforeAdmit()
	}
	if err := p.admit(u); err != nil {
		return unit.NotRun(err)
	}
	p.runs++
	res := unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
	if p.runUntilCancelled {
		<-ctx.Done()
		res = unit.Failed(errkind.Wrap(errkind.RequestOutcomeUnknown, context.Cause(ctx), "lost"))
	}
	if p.endUnsent {
		res = unit.Result{Outcome: errkind.OutcomeNotRun, Err: errkind.Wrap(errkind.Cancelled, ctx.Err(), "not sent"), TxStatus: 'T'}
	}
	if p.leaveOpen {
		res.TxStatus, res.Tx.ID = 'T', uint64(p.runs)
	}
	return res
}
func (p *fakePool) Rollback(id uint64) { p.rolledBack = append(p.rolledBack, id) }
func (p *fakePool) SetOwned(bool)      {}
func (p *fakePool) WaitingUnits() int  { return 0 }
func (p *fakePool) Close()             {}

func newTestOwner(t *testing.T, w Watcher, p *fakePool, transactions int) *Owner {
	o := New("vm", member, func(_ WaitAcknowledgedFunc, admit AdmitFunc) Pool { p.admit = admit; return p },
		scheduler.New(scheduler.Options{Slots: 2, Transactions: transactions}), w)
	t.Cleanup(o.Close)
	return o
}

// If the VM is paused or the primary replaced while a unit waits for its connection, the unit must not be sent. Units
// of open transactions are still sent.
func TestChecksRightBeforeSending(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *fakeWatcher, listsCurrent *bool)
		write  bool
		tx     uint64
		kind   errkind.Kind
		runs   int
	}{
		"paused, write":          {func(_ *fakeWatcher, listsCurrent *bool) { *listsCurrent = false }, true, 0, errkind.NoMember, 0},
		"paused, read":           {func(_ *fakeWatcher, listsCurrent *bool) { *listsCurrent = false }, false, 0, errkind.NoMember, 0},
		"paused, in transaction": {func(_ *fakeWatcher, listsCurrent *bool) { *listsCurrent = false }, true, 7, errkind.Kind{}, 1},
		"replaced, write":        {func(w *fakeWatcher, _ *bool) { w.replacePrimary() }, true, 0, errkind.NoPrimary, 0},
		"no majority, write":     {func(w *fakeWatcher, _ *bool) { w.majority = false }, true, 0, errkind.NoPrimary, 0},
		"replaced, read":         {func(w *fakeWatcher, _ *bool) { w.replacePrimary() }, false, 0, errkind.Kind{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w, p, listsCurrent := newFakeWatcher("m1"), &fakePool{}, true
			o := newTestOwner(t, w, p, 4)
			o.RefuseUnless(func() bool { return listsCurrent })
			p.beforeAdmit = func() { c.change(w, &listsCurrent) }
			res := o.Execute(context.Background(), &unit.Unit{Service: "s", Write: c.write, Tx: unit.TxRef{ID: c.tx}}, nil)
			require.Equal(t, c.runs, p.runs)
			if c.runs == 0 {
				require.True(t, errkind.Is(res.Err, c.kind), "%v", res.Err)
				require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
			}
		})
	}
}

// A unit must not reach a member that may not serve it. Each refusal must be "not run", with nothing sent.
func TestChecks(t *testing.T) {
	for name, c := range map[string]struct {
		unit   unit.Unit
		change func(*fakeWatcher)
		kind   errkind.Kind
	}{
		"write to a replica":         {unit.Unit{Write: true}, func(w *fakeWatcher) { w.view.Primary = "m2" }, errkind.NoPrimary},
		"write without a majority":   {unit.Unit{Write: true}, func(w *fakeWatcher) { w.majority = false }, errkind.NoPrimary},
		"unconfirmed primary":        {unit.Unit{ConfirmPrimary: true}, func(w *fakeWatcher) { w.confirmErr = errors.New("fenced") }, errkind.NoPrimary},
		"unreachable member":         {unit.Unit{}, func(w *fakeWatcher) { w.view.Members[0].Reachable = false }, errkind.NoMember},
		"older than the class takes": {unit.Unit{MaxAge: unit.LimitAge(time.Millisecond)}, func(w *fakeWatcher) { w.view.Primary = "m2" }, errkind.ReadNotCovered},
		"replica, no age accepted":   {unit.Unit{MaxAge: unit.NoAge}, func(w *fakeWatcher) { w.view.Primary, w.view.Members[0].Age = "m2", 0 }, errkind.ReadNotCovered},
		"old primary, unconfirmed":   {unit.Unit{MaxAge: unit.LimitAge(time.Millisecond)}, func(w *fakeWatcher) { w.confirmErr = errors.New("fenced") }, errkind.NoPrimary},
		"age is not known":           {unit.Unit{MaxAge: unit.LimitAge(time.Hour)}, func(w *fakeWatcher) { w.view.Members[0].Fresh = false }, errkind.ReadNotCovered},
		"position not applied":       {unit.Unit{Require: unit.Requirement{Term: 2, Position: 11}}, func(w *fakeWatcher) { w.appliedErr = context.DeadlineExceeded }, errkind.ReadNotCovered},
		"term not applied":           {unit.Unit{Require: unit.Requirement{Term: 3, Position: 1}}, func(w *fakeWatcher) { w.appliedErr = context.DeadlineExceeded }, errkind.ReadNotCovered},
	} {
		t.Run(name, func(t *testing.T) {
			w, p := newFakeWatcher("m1"), &fakePool{}
			c.change(w)
			u := c.unit
			u.Service = "s"
			res := newTestOwner(t, w, p, 4).Execute(context.Background(), &u, nil)
			require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
			require.True(t, errkind.Is(res.Err, c.kind), "%v", res.Err)
			require.Zero(t, p.runs)
		})
	}
}

// A VM that is cut off together with the primary reaches no majority, so it cannot measure the age of the primary's
// data. A read at the primary must then be served if the member confirms that it is the primary. Where the platform does not
// confirm this, or at a replica, the read is refused.
func TestPrimaryOfUnknownAgeConfirmsItself(t *testing.T) {
	for name, c := range map[string]struct {
		primary string
		assured bool
		begin   bool
		runs    int
	}{
		"primary":                       {"m1", true, false, 1},
		"replica":                       {"m2", true, false, 0},
		"platform does not confirm":     {"m1", false, false, 0},
		"transaction, which stays open": {"m1", true, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w, p := newFakeWatcher(c.primary), &fakePool{}
			w.view.Members[0].Fresh = false
			o := newTestOwner(t, w, p, 4)
			o.SetGuarantees(platform.Guarantees{Primary: c.assured})
			u := unit.Unit{Service: "s", MaxAge: unit.LimitAge(time.Second), Begin: c.begin}
			res := o.Execute(context.Background(), &u, nil)
			require.Equal(t, c.runs, p.runs)
			require.Equal(t, c.runs == 1, u.ConfirmPrimary)
			if c.runs == 0 {
				require.True(t, errkind.Is(res.Err, errkind.ReadNotCovered), "%v", res.Err)
			}
		})
	}
}

// A limit that no measured age meets must be kept by the primary, not refused everywhere. A transaction that begins there
// must not lose its confirmation.
func TestConfirmedPrimaryKeepsShortLimits(t *testing.T) {
	for _, limit := range []unit.AgeLimit{unit.NoAge, unit.LimitAge(time.Millisecond)} {
		for _, begin := range []bool{false, true} {
			for _, confirmsItself := range []bool{false, true} {
				w, p := newFakeWatcher("m1"), &fakePool{}
				o := newTestOwner(t, w, p, 4)
				o.SetGuarantees(platform.Guarantees{Primary: confirmsItself})
				u := unit.Unit{Service: "s", MaxAge: limit, Begin: begin, Target: time.Second}
				require.NoError(t, o.Execute(context.Background(), &u, nil).Err)
				require.True(t, u.ConfirmPrimary, "limit %v, begin %v", limit, begin)
				require.Equal(t, 1, p.runs)
			}
		}
	}
}

// A read must not be refused only because the owner has just begun to watch the service.
func TestReadWaitsForFirstStatus(t *testing.T) {
	w, p := newFakeWatcher("m2"), &fakePool{}
	w.knownAfter = 4
	u := unit.Unit{Service: "s", MaxAge: unit.LimitAge(5 * time.Second), Target: time.Second}
	res := newTestOwner(t, w, p, 4).Execute(context.Background(), &u, nil)
	require.NoError(t, res.Err)
	require.Equal(t, 1, p.runs)
}

// If a read waits in the queue or for the session's position, the data may become too old meanwhile. Its age must be
// checked when the read runs, not when it arrives.
func TestAgeIsCheckedWhenTheReadRuns(t *testing.T) {
	w, p := newFakeWatcher("m2"), &fakePool{}
	w.onWait = func() { w.view.Members[0].Age = 6 * time.Second }
	u := unit.Unit{Service: "s", MaxAge: unit.LimitAge(5 * time.Second), Target: time.Second, Require: unit.Requirement{Term: 2, Position: 11}}
	res := newTestOwner(t, w, p, 4).Execute(context.Background(), &u, nil)
	require.True(t, errkind.Is(res.Err, errkind.ReadNotCovered), "%v", res.Err)
	require.Zero(t, p.runs)
}

// A transaction without a place in the scheduler must be rolled back: such transactions could use up the member's
// connections.
func TestTransactionsBeyondTheLimitAreRolledBack(t *testing.T) {
	w, p := newFakeWatcher("m1"), &fakePool{leaveOpen: true}
	o := newTestOwner(t, w, p, 1)
	withoutBegin := unit.Unit{Service: "s", Write: true}
	first := o.Execute(context.Background(), &withoutBegin, nil)
	require.Equal(t, unit.TxRef{VM: "vm", Member: "m1", ID: 1}, first.Tx)
	require.Equal(t, 1, o.Transactions())
	o.Execute(context.Background(), &withoutBegin, nil)
	require.Equal(t, []uint64{2}, p.rolledBack)
	o.Rollback(first.Tx)
	require.Zero(t, o.Transactions())
}

// A planned move of the primary must not interrupt a running write or an open write transaction. After the move is
// abandoned, writes must be served again.
func TestHoldWrites(t *testing.T) {
	w, p := newFakeWatcher("m1"), &fakePool{leaveOpen: true}
	o := newTestOwner(t, w, p, 4)
	write, read := unit.Unit{Service: "s", Write: true}, unit.Unit{Service: "s"}
	o.Execute(context.Background(), &read, nil)
	tx := o.Execute(context.Background(), &write, nil).Tx
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	release, ended := o.QuiesceWrites(ctx)
	require.False(t, ended, "a write transaction is open")
	require.True(t, errkind.Is(o.Execute(context.Background(), &write, nil).Err, errkind.NoPrimary))
	p.leaveOpen = false
	require.NoError(t, o.Execute(context.Background(), &unit.Unit{Service: "s", Write: true, Tx: tx}, nil).Err, "the unit that ends the open transaction")
	release()
	require.NoError(t, o.Execute(context.Background(), &write, nil).Err)
	release, ended = o.QuiesceWrites(context.Background())
	require.True(t, ended, "a read transaction may go on")
	require.True(t, errkind.Is(o.hold.begin(), errkind.NoPrimary), "a write that passed its checks before the hold")
	release()
	p.runUntilCancelled = true
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go o.Execute(runCtx, &write, nil)
	require.Eventually(t, func() bool { return !o.hold.idle() }, 5*time.Second, time.Millisecond)
	ctx, cancel = context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	release, ended = o.QuiesceWrites(ctx)
	release()
	require.False(t, ended, "a write runs")
}

// QuiesceWrites must hold writes until its release is called. On a VM that no longer owns the member, it must not crash
// and must report that the writes have not ended.
func TestSetHoldsWrites(t *testing.T) {
	w, owned := newFakeWatcher("m1"), true
	s := NewSet(SetOptions{
		Member: func(string, string) (platform.Member, bool) { return member, true },
		Owned:  func(platform.Member) bool { return owned },
		New:    func(platform.Member) *Owner { return newTestOwner(t, w, &fakePool{}, 4) },
		OnAdd:  func() {},
	})
	u := unit.Unit{Service: "s", Member: "m1", Write: true}
	for _, owned = range []bool{true, false} {
		release, ended := s.QuiesceWrites(context.Background(), "s", "m1")
		require.Equal(t, owned, ended)
		require.Equal(t, 1, s.InProgress())
		require.True(t, errkind.Is(s.Execute(context.Background(), &u, nil).Err, errkind.NoPrimary))
		release()
		require.Zero(t, s.InProgress())
		require.NoError(t, s.Execute(context.Background(), &u, nil).Err)
	}
}

// When the primary is replaced, a write that runs on it must end then and not at the caller's deadline.
func TestRunningWriteEndsWithReplacement(t *testing.T) {
	w, p := newFakeWatcher("m1"), &fakePool{runUntilCancelled: true}
	o := newTestOwner(t, w, p, 4)
	go func() {
		time.Sleep(20 * time.Millisecond)
		o.writes.cancelAll(errkind.New(errkind.RequestOutcomeUnknown, "replaced"))
	}()
	u := unit.Unit{Service: "s", Write: true}
	res := o.Execute(context.Background(), &u, nil)
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
	require.Equal(t, 1, w.checks, "the primary is checked at once")
}

// A unit that had not been sent when the primary was replaced must not end with SQLSTATE 57014. Its caller must not
// remain in a transaction of that primary, in which each later statement fails.
func TestUnsentWriteEndsWithReplacement(t *testing.T) {
	for _, c := range []struct {
		tx         uint64
		kind       errkind.Kind
		rolledBack []uint64
	}{{0, errkind.NoPrimary, nil}, {7, errkind.TransactionLost, []uint64{7}}} {
		w, p := newFakeWatcher("m1"), &fakePool{runUntilCancelled: true, endUnsent: true}
		o := newTestOwner(t, w, p, 4)
		go func() {
			time.Sleep(20 * time.Millisecond)
			o.writes.cancelAll(errkind.New(errkind.RequestOutcomeUnknown, "replaced"))
		}()
		res := o.Execute(context.Background(), &unit.Unit{Service: "s", Write: true, Tx: unit.TxRef{ID: c.tx}}, nil)
		require.True(t, errkind.Is(res.Err, c.kind), "%v", res.Err)
		require.False(t, res.Tx.Open())
		require.Equal(t, byte('I'), res.TxStatus)
		require.Equal(t, c.rolledBack, p.rolledBack)
	}
}

// A unit that only prepares a statement and loses its primary must end as not run, not as unknown. Otherwise callers
// would have to check for an effect that cannot exist.
func TestPrepareEndsAsNotRunWithReplacement(t *testing.T) {
	w, p := newFakeWatcher("m1"), &fakePool{runUntilCancelled: true}
	o := newTestOwner(t, w, p, 4)
	go func() {
		time.Sleep(20 * time.Millisecond)
		o.writes.cancelAll(errkind.New(errkind.RequestOutcomeUnknown, "replaced"))
	}()
	u := unit.Unit{Service: "s", Write: true, Messages: []byte{'P', 0, 0, 0, 4, 'S', 0, 0, 0, 4}}
	res := o.Execute(context.Background(), &u, nil)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.True(t, errkind.Is(res.Err, errkind.NoMember))
}

// A write must not start so late that its acknowledgement misses the target. A slow majority must not cause all writes
// to be refused.
func TestTargetLeavesTimeForAcknowledgement(t *testing.T) {
	var a ackTime
	require.Equal(t, time.Second, a.remainingTarget(time.Second), "no acknowledgement was measured yet")
	for range 100 {
		a.add(100 * time.Millisecond)
	}
	require.InDelta(t, 0.9, a.remainingTarget(time.Second).Seconds(), 0.01)
	for range 100 {
		a.add(10 * time.Second)
	}
	require.Equal(t, time.Second/ackMaxDivisor, a.remainingTarget(time.Second))
}

// A unit that executes statements must not be taken for one that only prepares: it would run without a slot.
func TestOnlyPrepares(t *testing.T) {
	encode := func(types string) (b []byte) {
		for _, typ := range types {
			b = append(b, byte(typ), 0, 0, 0, 6, 'x', 0)
		}
		return b
	}
	for types, want := range map[string]bool{"PDS": true, "CPDS": true, "PBDES": false, "Q": false, "BES": false, "": false} {
		require.Equal(t, want, executesNothing(encode(types)), types)
	}
	require.False(t, executesNothing(append(encode("PD"), 'S', 0, 0)), "truncated message")
	require.False(t, executesNothing([]byte{'P', 0, 0, 0, 0}), "malformed length")
}

// A read of a stated age must be refused by a member that no longer has the log from which its age is known, as after a start
// without its log. A session's own, later position must stay required. Members that do not refuse such reads get none.
func TestReadRequiresTheLogOfItsAge(t *testing.T) {
	for name, c := range map[string]struct {
		guaranteed bool
		limit      unit.AgeLimit
		required   unit.Requirement
		want       unit.Requirement
	}{
		"stated age":             {true, unit.LimitAge(5 * time.Second), unit.Requirement{}, unit.Requirement{Term: 2, Position: 10}},
		"later write of its own": {true, unit.LimitAge(5 * time.Second), unit.Requirement{Term: 2, Position: 11}, unit.Requirement{Term: 2, Position: 11}},
		"no age stated":          {true, 0, unit.Requirement{}, unit.Requirement{}},
		"member does not refuse": {false, unit.LimitAge(5 * time.Second), unit.Requirement{}, unit.Requirement{}},
	} {
		w, p := newFakeWatcher("m2"), &fakePool{}
		w.view.Members[0].Status.AppliedTerm, w.view.Members[0].Status.Applied = 2, 10
		o := newTestOwner(t, w, p, 4)
		o.SetGuarantees(platform.Guarantees{Position: c.guaranteed})
		u := unit.Unit{Service: "s", MaxAge: c.limit, Require: c.required, Target: time.Second}
		require.NoError(t, o.Execute(context.Background(), &u, nil).Err, name)
		require.Equal(t, c.want, u.Require, name)
	}
}
