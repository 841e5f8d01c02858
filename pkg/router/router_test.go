package router

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

var (
	self = platform.VM{Name: "vm-a", DataCentre: "a", Region: "r1"}
	svc  = platform.Service{Name: "s", Members: []platform.Member{
		{Name: "m-far", DataCentre: "c", Region: "r2"},
		{Name: "m-near", DataCentre: "b", Region: "r1"},
		{Name: "m-own", DataCentre: "a", Region: "r1"},
	}}
)

func view(primary string, applied map[string]platform.Position) group.View {
	v := group.View{Service: "s", Term: 1, Primary: primary}
	for _, m := range svc.Members {
		v.Members = append(v.Members, group.MemberView{Name: m.Name, Known: true, Reachable: true, Fresh: true,
			Status: platform.Status{AppliedTerm: 1, Applied: applied[m.Name]}})
	}
	return v
}

func names(members []platform.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// Reads must not cross regions or load the primary without need, and writes must go to the primary only.
func TestCandidates(t *testing.T) {
	all := map[string]platform.Position{"m-far": 9, "m-near": 9, "m-own": 9}
	for name, c := range map[string]struct {
		unit unit.Unit
		view group.View
		want []string
	}{
		"nearest first":                             {unit.Unit{}, view("m-far", all), []string{"m-own", "m-near", "m-far"}},
		"covering before nearest":                   {unit.Unit{Require: unit.Requirement{Term: 1, Position: 9}}, aged(view("m-far", map[string]platform.Position{"m-far": 9, "m-near": 9, "m-own": 8}), "m-own", time.Minute), []string{"m-near", "m-far", "m-own"}},
		"replica about to cover before the primary": {unit.Unit{Require: unit.Requirement{Term: 1, Position: 9}}, view("m-far", map[string]platform.Position{"m-far": 9, "m-near": 8, "m-own": 8}), []string{"m-own", "m-near", "m-far"}},
		"covering replica before one about to":      {unit.Unit{Require: unit.Requirement{Term: 1, Position: 9}}, view("m-far", map[string]platform.Position{"m-far": 9, "m-near": 9, "m-own": 8}), []string{"m-near", "m-own", "m-far"}},
		"replica of the region before the primary":  {unit.Unit{}, view("m-own", all), []string{"m-near", "m-own", "m-far"}},
		"primary before other regions":              {unit.Unit{}, unreachable(view("m-own", all), "m-near"), []string{"m-own", "m-far", "m-near"}},
		"aged read crosses regions for a replica":   {unit.Unit{MaxAge: unit.LimitAge(time.Second)}, unreachable(view("m-own", all), "m-near"), []string{"m-far", "m-own", "m-near"}},
		"aged read stays in the region":             {unit.Unit{MaxAge: unit.LimitAge(time.Second)}, view("m-own", all), []string{"m-near", "m-own", "m-far"}},
		"read that accepts no age":                  {unit.Unit{MaxAge: unit.NoAge}, view("m-far", all), []string{"m-far"}},
		"no age and no primary":                     {unit.Unit{MaxAge: unit.NoAge}, view("", all), nil},
		"age below any replica's":                   {unit.Unit{MaxAge: unit.LimitAge(time.Millisecond)}, aged(aged(view("m-far", all), "m-own", time.Second), "m-near", time.Second), []string{"m-far", "m-own", "m-near"}},
		"write":                                     {unit.Unit{Write: true}, view("m-near", all), []string{"m-near"}},
		"write without primary":                     {unit.Unit{Write: true}, view("", all), nil},
		"confirmed read":                            {unit.Unit{ConfirmPrimary: true}, view("m-near", all), []string{"m-near"}},
		"read without any view":                     {unit.Unit{}, group.View{}, []string{"m-own", "m-near", "m-far"}},
		"read of too old a replica":                 {unit.Unit{MaxAge: unit.LimitAge(time.Second)}, aged(view("m-far", all), "m-own", time.Minute), []string{"m-near", "m-far", "m-own"}},
		"leaving member takes none":                 {unit.Unit{}, leaving(view("m-far", all), "m-own"), []string{"m-near", "m-far"}},
		"unreachable member is last":                {unit.Unit{}, unreachable(view("m-far", all), "m-own"), []string{"m-near", "m-far", "m-own"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, names(candidates(&c.unit, svc, c.view, self, func(string) bool { return false })))
		})
	}
}

func change(v group.View, member string, f func(*group.MemberView)) group.View {
	for i := range v.Members {
		if v.Members[i].Name == member {
			f(&v.Members[i])
		}
	}
	return v
}

func aged(v group.View, member string, age time.Duration) group.View {
	return change(v, member, func(m *group.MemberView) { m.Age = age })
}

func leaving(v group.View, member string) group.View {
	return change(v, member, func(m *group.MemberView) { m.Leaving = true })
}

func unreachable(v group.View, member string) group.View {
	return change(v, member, func(m *group.MemberView) { m.Reachable = false })
}

// fakeCluster answers units with scripted results and records the units and the members that they were sent to.
type fakeCluster struct {
	results   []unit.Result
	sent      []string
	budget    int
	refreshes int // calls of Invalidate and SuspectPrimary
	term      platform.Term
	units     []unit.Unit
}

func (f *fakeCluster) Service(string) (platform.Service, bool) { return svc, true }
func (f *fakeCluster) Self() platform.VM                       { return self }
func (f *fakeCluster) Live() []platform.VM                     { return []platform.VM{self} }
func (f *fakeCluster) VM(string) (platform.VM, bool)           { return platform.VM{}, false }
func (f *fakeCluster) View(context.Context, string) (group.View, bool) {
	v := view("m-own", nil)
	v.Term = max(v.Term, f.term)
	return v, true
}
func (f *fakeCluster) Latest(context.Context, string) (group.View, bool) {
	return view("m-own", nil), true
}
func (f *fakeCluster) Invalidate(string)     { f.refreshes++ }
func (f *fakeCluster) SuspectPrimary(string) { f.refreshes++ }
func (f *fakeCluster) CountRequest(string)   {}
func (f *fakeCluster) Rollback(unit.TxRef)   {}
func (f *fakeCluster) Allow(string) bool     { f.budget--; return f.budget >= 0 }
func (f *fakeCluster) Execute(_ context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
	f.sent = append(f.sent, u.Member)
	f.units = append(f.units, *u)
	res := f.results[0]
	if len(f.results) > 1 {
		f.results = f.results[1:]
	}
	return res
}

// runTimeout is the deadline of the unit that run executes.
const runTimeout = 300 * time.Millisecond

// run executes u on a new router with the given retry budget. The attempts get the results in turn, then the last one.
func run(t *testing.T, u unit.Unit, budget int, results ...unit.Result) (unit.Result, *fakeCluster) {
	t.Helper()
	f := &fakeCluster{results: results, budget: budget}
	r := New(Options{Directory: f, Membership: f, Views: f, Local: f, Budget: f})
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	return r.Execute(ctx, &u, nil), f
}

var (
	done            = unit.Result{Outcome: errkind.OutcomeDone}
	unknown         = unit.Failed(errkind.New(errkind.RequestOutcomeUnknown, "lost"))
	notRun          = unit.NotRun(errkind.New(errkind.PeerUnreachable, "refused"))
	noPrimary       = unit.NotRun(errkind.New(errkind.NoPrimary, "failover"))
	overloadRefusal = unit.NotRun(errkind.New(errkind.Overload, "queue"))
)

// A write that is not repeatable must not be sent again after its outcome became unknown.
func TestUnknownWriteIsNotRepeated(t *testing.T) {
	res, f := run(t, unit.Unit{Write: true}, 9, unknown, done)
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
	require.Len(t, f.sent, 1)
}

// If an attempt of a write with an idempotency key has an unknown outcome and a later attempt is refused, the write
// must be reported as unknown, not as "not run".
func TestRefusalAfterUnknownStaysUnknown(t *testing.T) {
	for name, second := range map[string]unit.Result{"no primary": noPrimary, "overload": overloadRefusal} {
		t.Run(name, func(t *testing.T) {
			res, f := run(t, unit.Unit{Write: true, IdempotencyKey: "k"}, 9, unknown, second)
			require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
			require.Greater(t, len(f.sent), 1)
		})
	}
}

// Retries must be safe, stay within the budget and not add to an overload. A unit must not fail if a safe retry would
// succeed.
func TestRetries(t *testing.T) {
	t.Run("not run is retried", func(t *testing.T) {
		res, f := run(t, unit.Unit{Write: true}, 9, notRun, done)
		require.Equal(t, errkind.OutcomeDone, res.Outcome)
		require.Len(t, f.sent, 2)
	})
	t.Run("waiting for a primary needs no budget", func(t *testing.T) {
		res, _ := run(t, unit.Unit{Write: true}, 0, noPrimary, noPrimary, done)
		require.Equal(t, errkind.OutcomeDone, res.Outcome)
	})
	t.Run("a write that cannot connect to the primary waits for the next one", func(t *testing.T) {
		refused := unit.NotRun(errkind.New(errkind.NoMember, "connection refused"))
		res, _ := run(t, unit.Unit{Write: true}, 0, refused, refused, done)
		require.Equal(t, errkind.OutcomeDone, res.Outcome)
	})
	t.Run("the budget bounds retries", func(t *testing.T) {
		res, f := run(t, unit.Unit{Write: true}, 2, notRun)
		require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
		require.Len(t, f.sent, 3)
	})
	t.Run("overload is final for a write", func(t *testing.T) {
		_, f := run(t, unit.Unit{Write: true}, 9, overloadRefusal, done)
		require.Len(t, f.sent, 1)
	})
	t.Run("an overloaded read tries the members of its region once, then one elsewhere", func(t *testing.T) {
		_, f := run(t, unit.Unit{}, 9, overloadRefusal)
		require.Equal(t, []string{"m-near", "m-own", "m-far"}, f.sent)
	})
	t.Run("an overloaded read stays in its region when the others are too old", func(t *testing.T) {
		f := &fakeCluster{}
		r := New(Options{Membership: f, Views: f})
		u := &unit.Unit{MaxAge: unit.LimitAge(time.Second)}
		far := svc.Members[0]
		require.True(t, r.mayTryNext(far, u, overloadRefusal, view("m-own", nil)))
		require.False(t, r.mayTryNext(far, u, overloadRefusal, aged(view("m-own", nil), far.Name, time.Minute)))
		require.False(t, r.mayTryNext(far, &unit.Unit{Write: true}, overloadRefusal, view(far.Name, nil)))
	})
	t.Run("a read goes to the next member", func(t *testing.T) {
		_, f := run(t, unit.Unit{}, 0, notRun, done)
		require.Equal(t, []string{"m-near", "m-own"}, f.sent)
	})
	t.Run("overload stays final when the next member cannot serve the read", func(t *testing.T) {
		res, f := run(t, unit.Unit{}, 9, overloadRefusal, notRun)
		require.True(t, errkind.Is(res.Err, errkind.Overload), "%v", res.Err)
		require.Equal(t, []string{"m-near", "m-own", "m-far"}, f.sent)
	})
	t.Run("a cancelled unit is not reported as refused", func(t *testing.T) {
		f := &fakeCluster{results: []unit.Result{notRun}, budget: 9}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		res := New(Options{Directory: f, Membership: f, Views: f, Local: f, Budget: f}).Execute(ctx, &unit.Unit{}, nil)
		require.True(t, errkind.Is(res.Err, errkind.Cancelled), "%v", res.Err)
	})
	t.Run("a pause between attempts ends at the deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			res, f := run(t, unit.Unit{Write: true}, 0, noPrimary)
			require.True(t, errkind.Is(res.Err, errkind.NoPrimary), "%v", res.Err)
			require.Equal(t, runTimeout, time.Since(start))
			require.Len(t, f.sent, 5, "attempts at 0, 10, 30, 70 and 150 ms")
		})
	})
	t.Run("a partly streamed read is not repeated", func(t *testing.T) {
		lost := unit.Failed(errkind.New(errkind.ReadFailed, "lost"))
		lost.Streamed = true
		_, f := run(t, unit.Unit{}, 9, lost, done)
		require.Len(t, f.sent, 1)
	})
}

// After a promotion, a router must not keep its outdated view: it would send replica reads to the new primary.
func TestAnswerInOtherRoleRefreshesView(t *testing.T) {
	replica := unit.Result{Outcome: errkind.OutcomeDone, Replica: true}
	for _, c := range []struct {
		write  bool // a write goes to m-own, the primary of the view, and a read to m-near
		result unit.Result
		want   int
	}{{false, replica, 0}, {false, done, 1}, {true, done, 0}, {true, replica, 1}} {
		_, f := run(t, unit.Unit{Write: c.write}, 0, c.result)
		require.Equal(t, c.want, f.refreshes, "%+v", c)
	}
}

// A view without a primary, or in which a member is unreachable or not fresh, must be kept only for unsettledViewTTL.
// An owner that has just started answers with such views, which would otherwise keep reads away from replicas for a
// long time.
func TestUnsettledViewsAreShortLived(t *testing.T) {
	settled := view("m-own", nil)
	require.Equal(t, viewTTL, baseTTL(settled))
	require.Equal(t, unsettledViewTTL, baseTTL(unreachable(view("m-own", nil), "m-far")))
	require.Equal(t, unsettledViewTTL, baseTTL(change(view("m-own", nil), "m-near", func(m *group.MemberView) { m.Fresh = false })))
	require.Equal(t, unsettledViewTTL, baseTTL(view("", nil)))
}

// Guards against reads that queue at a replica while the slots of the region's primary are free.
func TestBusyMembersComeLater(t *testing.T) {
	membersWhenBusy := func(busy ...string) []string {
		isBusy := func(member string) bool { return slices.Contains(busy, member) }
		return names(candidates(&unit.Unit{MaxAge: unit.LimitAge(time.Second)}, svc, view("m-own", nil), self, isBusy))
	}
	require.Equal(t, []string{"m-near", "m-own", "m-far"}, membersWhenBusy())
	require.Equal(t, []string{"m-own", "m-near", "m-far"}, membersWhenBusy("m-near"))
	require.Equal(t, []string{"m-near", "m-own", "m-far"}, membersWhenBusy("m-near", "m-own"))

	var p readsInProgress
	var ends []func()
	for range busyReads {
		require.False(t, p.busy("m"))
		ends = append(ends, p.add("m"))
	}
	require.True(t, p.busy("m"))
	for _, end := range ends {
		end()
	}
	require.Empty(t, p.counts)
}

// If a promotion rolled back the last write of a session, no log will ever hold the position of that write. The
// session's reads must then not all fail. Within one term, reads must keep waiting for a replica instead.
func TestRolledBackPosition(t *testing.T) {
	stale := unit.NotRun(errkind.New(errkind.ReadNotCovered, "behind"))
	done := unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I'}
	for _, c := range []struct {
		term    platform.Term
		primary bool
	}{{1, false}, {2, true}} {
		f := &fakeCluster{results: []unit.Result{stale, stale, stale, done}, budget: 9, term: c.term}
		r := New(Options{Directory: f, Membership: f, Views: f, Local: f, Budget: f})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		u := unit.Unit{Service: "s", Target: time.Second, Require: unit.Requirement{Term: 1, Position: 50}}
		require.NoError(t, r.Execute(ctx, &u, nil).Err)
		last := f.units[len(f.units)-1]
		require.Equal(t, c.primary, last.ConfirmPrimary)
		if c.primary {
			require.Equal(t, "m-own", last.Member)
			require.Zero(t, last.Require)
		}
	}
}

// lateDirectory lists the service only from a moment on.
type lateDirectory struct {
	*fakeCluster
	listedAt time.Time
}

func (d lateDirectory) Service(name string) (platform.Service, bool) {
	if time.Now().Before(d.listedAt) {
		return platform.Service{}, false
	}
	return d.fakeCluster.Service(name)
}

// After an outage of the platform the services are listed one by one. A unit must wait a moment for its service, and the
// refusal of one that does not appear must ask for a retry: its caller must not be told that the database does not exist.
func TestServiceThatIsNotListedYet(t *testing.T) {
	for delay, served := range map[time.Duration]bool{300 * time.Millisecond: true, 2 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeCluster{results: []unit.Result{{Outcome: errkind.OutcomeDone}}}
			directory := lateDirectory{f, time.Now().Add(delay)}
			r := New(Options{Directory: directory, Membership: f, Views: f, Local: f, Budget: f})
			res := r.Execute(t.Context(), &unit.Unit{Service: "svc"}, nil)
			if served {
				require.Equal(t, errkind.OutcomeDone, res.Outcome)
				return
			}
			require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
			require.True(t, errkind.Is(res.Err, errkind.NoMember), "%v", res.Err)
		})
	}
}
