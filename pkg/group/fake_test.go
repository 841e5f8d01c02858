package group

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// roundTrip is how long a control call of the fake takes. The call takes effect after half of it.
const roundTrip = 2 * time.Millisecond

// fakeEntry is a log entry. The id distinguishes entries of the same term and position.
type fakeEntry struct {
	term platform.Term
	id   int
}

// fakeMember is a member of a fakeService; fakeService.mu guards it.
type fakeMember struct {
	info              platform.Member
	status            platform.Status // role, fence, leaving and lost state; reportStatus adds the log fields
	log               []fakeEntry
	unapplied         int // number of entries that were received but not applied
	replicationPaused bool
	down              bool // connections are refused
	frozen            chan struct{}
	primaryName       string // name of the primary that the member follows
}

// fakeService simulates the members of one service and their faults. It checks that each term has at most one
// primary, and that the log of every later primary holds every acknowledged write.
type fakeService struct {
	mu            sync.Mutex
	requests      sync.WaitGroup // in progress
	members       []*fakeMember
	changed       chan struct{}
	cutLinks      map[string]bool // "from>to": requests or log entries sent this way get lost
	ackedWrites   map[platform.Position]fakeEntry
	primaryOfTerm map[platform.Term]string
	startLogs     map[platform.Term][]fakeEntry // log of each primary up to and including its first own entry
	lastID        int
	violations    []string
	unackedWrites int             // writes that were never acknowledged
	onPromote     func(vm string) // called before a request to promote is sent
	writeHolds    int             // calls of quiesceWrites that are not released
	openWrites    int             // 1 while a writer waits for an acknowledgement
}

// newFakeService returns a healthy service of n members. Its cleanup waits for the requests to the service. Cleanups
// run in reverse order, so this happens after all watchers are closed.
func newFakeService(t testing.TB, n int) *fakeService {
	f := &fakeService{
		changed: make(chan struct{}), cutLinks: map[string]bool{}, ackedWrites: map[platform.Position]fakeEntry{},
		primaryOfTerm: map[platform.Term]string{1: "m0"}, startLogs: map[platform.Term][]fakeEntry{},
	}
	for i := range n {
		m := &fakeMember{info: platform.Member{Name: fmt.Sprintf("m%d", i), ControlAddr: fmt.Sprint(i)}, primaryName: "m0"}
		m.status = platform.Status{Role: platform.RoleReplica, FencedTerm: 1}
		f.members = append(f.members, m)
	}
	f.members[0].status.Role = platform.RolePrimary
	t.Cleanup(f.requests.Wait)
	return f
}

func (f *fakeService) service() platform.Service {
	s := platform.Service{Name: "s"}
	for _, m := range f.members {
		s.Members = append(s.Members, m.info)
	}
	return s
}

// watcher returns a Watcher of the service for a VM with the given promoter rank. It is closed when the test ends.
func (f *fakeService) watcher(t testing.TB, vm string, rank int) *Watcher {
	return f.watcherWithRelay(t, vm, rank, nil)
}

// watcherWithRelay returns a Watcher that asks the primary's owner through relay. VM w<i> owns member m<i>.
func (f *fakeService) watcherWithRelay(t testing.TB, vm string, rank int, relay RelayFunc) *Watcher {
	return f.watcherWithOptions(t, rank, Options{Self: vm, Relay: relay})
}

// watcherWithOptions returns a Watcher of the service with the given options. It discards the Watcher's log.
func (f *fakeService) watcherWithOptions(t testing.TB, rank int, o Options) *Watcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Log = log
	if o.Control == nil {
		o.Control = fakeControl{f, o.Self}
	}
	w := New(o)
	a := Assignment{Service: f.service(), PromoterRank: rank}
	for i, m := range f.members {
		a.Owners = append(a.Owners, platform.VM{Name: fmt.Sprintf("w%d", i), Region: m.info.Region})
	}
	w.SetServices([]Assignment{a})
	t.Cleanup(func() {
		f.update(func() { healAll(f) })
		w.Close()
	})
	return w
}

// update changes the service's state under its lock, then replicates.
func (f *fakeService) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.stepReplication()
}

// replicate replicates once, a round trip from now.
func (f *fakeService) replicate() {
	f.requests.Go(func() {
		time.Sleep(roundTrip)
		f.update(func() {})
	})
}

// stepReplication copies the primaries' logs to their replicas as far as faults allow, and wakes long polls.
func (f *fakeService) stepReplication() {
	replicated := false
	for _, m := range f.members {
		i := slices.IndexFunc(f.members, func(o *fakeMember) bool { return o.info.Name == m.primaryName })
		p := f.members[i]
		up := !m.down && m.frozen == nil && !p.down && p.frozen == nil && !m.replicationPaused
		follows := m.status.Role == platform.RoleReplica && p.status.Role == platform.RolePrimary
		if !up || !follows || p.status.FencedTerm != m.status.FencedTerm || f.cutLinks[p.info.Name+">"+m.info.Name] {
			continue
		}
		n := len(m.log)
		replicated = replicated || n != len(p.log) || n > 0 && m.log[n-1] != p.log[n-1]
		m.log = p.log[:len(p.log):len(p.log)] // drops a tail that differs from the primary's log
	}
	if replicated {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// reportStatus returns the status that the member reports.
func (m *fakeMember) reportStatus() platform.Status {
	s := m.status
	s.Member, s.LastPosition = m.info.Name, platform.Position(len(m.log))
	n := max(len(m.log)-m.unapplied, 0)
	s.Applied = platform.Position(n)
	if n > 0 {
		s.AppliedTerm = m.log[n-1].term
	}
	if len(m.log) > 0 {
		s.LastTerm = m.log[len(m.log)-1].term
	}
	return s
}

// write appends an entry to a member's log, as a write on a data connection does, and returns the entry and its
// position. It reports false if the member takes no writes.
func (f *fakeService) write(name string) (e fakeEntry, pos platform.Position, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.member(name)
	if m == nil || m.status.Role != platform.RolePrimary || m.down || m.frozen != nil {
		return e, 0, false
	}
	f.lastID++
	e = fakeEntry{m.status.FencedTerm, f.lastID}
	m.log = append(m.log, e)
	f.replicate()
	return e, platform.Position(len(m.log)), true
}

// recordAck records an acknowledged write and checks that all later primaries hold it.
func (f *fakeService) recordAck(e fakeEntry, pos platform.Position) {
	f.update(func() {
		if old, ok := f.ackedWrites[pos]; ok && old != e {
			f.violations = append(f.violations, fmt.Sprintf("two different acknowledged writes at position %d", pos))
		}
		f.ackedWrites[pos] = e
		for t := range f.startLogs {
			f.checkStart(t, pos, e)
		}
	})
}

// checkStart checks that the primary of term t started with the acknowledged write e, if that is of an earlier term.
func (f *fakeService) checkStart(t platform.Term, pos platform.Position, e fakeEntry) {
	if log := f.startLogs[t]; e.term < t && (int(pos) > len(log) || log[pos-1] != e) {
		f.violations = append(f.violations, fmt.Sprintf("primary of term %d lacks the acknowledged write of term %d at position %d", t, e.term, pos))
	}
}

func (f *fakeService) member(name string) *fakeMember {
	for _, m := range f.members {
		if m.info.Name == name {
			return m
		}
	}
	return nil
}

// announcePromotion calls onPromote, which a test may set at any time.
func (f *fakeService) announcePromotion(vm string) {
	f.mu.Lock()
	announce := f.onPromote
	f.mu.Unlock()
	if announce != nil {
		announce(vm)
	}
}

// history returns the primary of each term so far.
func (f *fakeService) history() map[platform.Term]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.primaryOfTerm)
}

// foundViolations returns the violations that were found so far.
func (f *fakeService) foundViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// fakeControl implements platform.MemberControl for one VM.
type fakeControl struct {
	f  *fakeService
	vm string
}

// call delivers a request after half a round trip. A frozen member handles it once it runs again, even if the caller no
// longer waits. A request over a cut link gets lost.
func (c fakeControl) call(ctx context.Context, info platform.Member, handle func(*fakeMember) error) (platform.Status, error) {
	type reply struct {
		s   platform.Status
		err error
	}
	done := make(chan reply, 1)
	c.f.requests.Go(func() {
		time.Sleep(roundTrip / 2)
		c.f.mu.Lock()
		defer c.f.mu.Unlock()
		m := c.f.member(info.Name)
		for m.frozen != nil && !m.down {
			thawed := m.frozen
			c.f.mu.Unlock()
			<-thawed
			c.f.mu.Lock()
		}
		if c.f.cutLinks[c.vm+">"+info.Name] {
			return
		}
		if m.down {
			done <- reply{err: fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrRefused)}
			return
		}
		err := handle(m)
		c.f.stepReplication()
		done <- reply{m.reportStatus(), err}
	})
	select {
	case r := <-done:
		time.Sleep(roundTrip / 2)
		return r.s, r.err
	case <-ctx.Done():
		return platform.Status{}, platform.ErrOutcomeUnknown
	}
}

// Status implements platform.MemberControl.
func (c fakeControl) Status(ctx context.Context, info platform.Member, w platform.StatusWait) (platform.Status, error) {
	timeout := time.NewTimer(w.Timeout)
	defer timeout.Stop()
	for waiting := w.Timeout > 0; waiting; {
		c.f.mu.Lock()
		m, changed := c.f.member(info.Name), c.f.changed
		waiting = !m.down && platform.Position(len(m.log)) <= w.After
		c.f.mu.Unlock()
		if waiting {
			select {
			case <-changed:
			case <-timeout.C:
				waiting = false
			case <-ctx.Done():
				return platform.Status{}, platform.ErrOutcomeUnknown
			}
		}
	}
	return c.call(ctx, info, func(*fakeMember) error { return nil })
}

// Fence implements platform.MemberControl.
func (c fakeControl) Fence(ctx context.Context, info platform.Member, t platform.Term, promoterID string) (platform.Status, error) {
	return c.call(ctx, info, func(m *fakeMember) error {
		s := &m.status
		if t < s.FencedTerm || t == s.FencedTerm && promoterID != s.FencedBy {
			return platform.ErrFenced
		}
		if t > s.FencedTerm {
			s.FencedTerm, s.FencedBy, s.Role = t, promoterID, platform.RoleFenced
		}
		return nil
	})
}

// Promote implements platform.MemberControl.
func (c fakeControl) Promote(ctx context.Context, info platform.Member, t platform.Term, promoterID string) (platform.Status, error) {
	c.f.announcePromotion(c.vm)
	return c.call(ctx, info, func(m *fakeMember) error {
		s := &m.status
		if t != s.FencedTerm || promoterID != s.FencedBy || s.LostState {
			return platform.ErrFenced
		}
		if s.Role == platform.RolePrimary {
			return nil
		}
		if p, ok := c.f.primaryOfTerm[t]; ok && p != info.Name {
			c.f.violations = append(c.f.violations, fmt.Sprintf("two primaries in term %d", t))
		}
		c.f.lastID++
		m.log = append(m.log, fakeEntry{t, c.f.lastID})
		s.Role, m.primaryName = platform.RolePrimary, info.Name
		c.f.primaryOfTerm[t], c.f.startLogs[t] = info.Name, m.log
		for pos, e := range c.f.ackedWrites {
			c.f.checkStart(t, pos, e)
		}
		return nil
	})
}

// Follow implements platform.MemberControl.
func (c fakeControl) Follow(ctx context.Context, info platform.Member, t platform.Term, p platform.Member) (platform.Status, error) {
	return c.call(ctx, info, func(m *fakeMember) error {
		s := &m.status
		if t < s.FencedTerm || t == s.FencedTerm && s.Role == platform.RolePrimary {
			return platform.ErrFenced
		}
		if t > s.FencedTerm {
			s.FencedTerm, s.FencedBy = t, ""
		}
		s.Role, m.primaryName = platform.RoleReplica, p.Name
		return nil
	})
}
