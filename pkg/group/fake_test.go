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

// roundTrip is the delay of a control call of the fake; half of it passes before the call takes effect.
const roundTrip = 2 * time.Millisecond

// fakeEntry is a log entry; the id tells entries of the same term and position apart.
type fakeEntry struct {
	term platform.Term
	id   int
}

type fakeMember struct {
	info   platform.Member
	status platform.Status // role, fence and leaving flag; the log fields are derived
	log    []fakeEntry
	lag    int // entries received but not applied
	behind bool
	down   bool // refuses connections
	frozen chan struct{}
	source string // primary that it follows
}

// fake implements A5 to A8 for one service, with faults, and checks the promises: one primary per term, and every
// acknowledged write in the log of every later primary.
type fake struct {
	mu        sync.Mutex
	requests  sync.WaitGroup // in flight
	members   []*fakeMember
	changed   chan struct{}
	cut       map[string]bool // "from>to": silent
	acked     map[platform.Position]fakeEntry
	primaries map[platform.Term]string
	starts    map[platform.Term][]fakeEntry // log of each primary with its first entry
	ids       int
	problems  []string
	lost      int             // writes whose acknowledgement did not come
	onPromote func(vm string) // called before the request is sent
	held      int             // holds of writes in force
	writing   int             // writes of clients that are not acknowledged yet
}

// newFake returns a healthy service. Cleanups run last in, first out: its requests end after all watchers.
func newFake(t testing.TB, n int) *fake {
	f := &fake{
		changed: make(chan struct{}), cut: map[string]bool{}, acked: map[platform.Position]fakeEntry{},
		primaries: map[platform.Term]string{1: "m0"}, starts: map[platform.Term][]fakeEntry{},
	}
	for i := range n {
		m := &fakeMember{info: platform.Member{Name: fmt.Sprintf("m%d", i), ControlAddr: fmt.Sprint(i)}, source: "m0"}
		m.status = platform.Status{Role: platform.RoleReplica, FencedTerm: 1}
		f.members = append(f.members, m)
	}
	f.members[0].status.Role = platform.RolePrimary
	t.Cleanup(f.requests.Wait)
	return f
}

func (f *fake) service() platform.Service {
	s := platform.Service{Name: "s"}
	for _, m := range f.members {
		s.Members = append(s.Members, m.info)
	}
	return s
}

// watcher returns a Watcher of the fake's service for a VM with the given promoter rank. It ends with the test.
func (f *fake) watcher(t testing.TB, vm string, rank int) *Watcher {
	return f.relayed(t, vm, rank, nil)
}

// relayed returns a Watcher that asks the lead through relay. The VM w<i> owns m<i>.
func (f *fake) relayed(t testing.TB, vm string, rank int, relay RelayFunc) *Watcher {
	return f.watch(t, rank, Options{Self: vm, Relay: relay})
}

// watch returns a Watcher with the given options, on the fake and without a log.
func (f *fake) watch(t testing.TB, rank int, o Options) *Watcher {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o.Control, o.Log = fakeControl{f, o.Self}, log
	w := New(o)
	a := Assignment{Service: f.service(), PromoterRank: rank}
	for i, m := range f.members {
		a.Owners = append(a.Owners, platform.VM{Name: fmt.Sprintf("w%d", i), Region: m.info.Region})
	}
	w.SetServices([]Assignment{a})
	t.Cleanup(func() {
		f.set(func() { heal(f) })
		w.Close()
	})
	return w
}

// set changes the fake under its lock and lets replication run.
func (f *fake) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.step()
}

// replicate lets replication run a round trip after a write.
func (f *fake) replicate() {
	f.requests.Go(func() {
		time.Sleep(roundTrip)
		f.set(func() {})
	})
}

// step replicates as far as faults allow and wakes long polls.
func (f *fake) step() {
	moved := false
	for _, m := range f.members {
		i := slices.IndexFunc(f.members, func(o *fakeMember) bool { return o.info.Name == m.source })
		p := f.members[i]
		up := !m.down && m.frozen == nil && !p.down && p.frozen == nil && !m.behind
		follows := m.status.Role == platform.RoleReplica && p.status.Role == platform.RolePrimary
		if !up || !follows || p.status.FencedTerm != m.status.FencedTerm || f.cut[p.info.Name+">"+m.info.Name] {
			continue
		}
		n := len(m.log)
		moved = moved || n != len(p.log) || n > 0 && m.log[n-1] != p.log[n-1]
		m.log = p.log[:len(p.log):len(p.log)] // discards a diverging tail
	}
	if moved {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (m *fakeMember) report() platform.Status {
	s := m.status
	s.Member, s.LastPosition = m.info.Name, platform.Position(len(m.log))
	n := max(len(m.log)-m.lag, 0)
	s.Applied = platform.Position(n)
	if n > 0 {
		s.AppliedTerm = m.log[n-1].term
	}
	if len(m.log) > 0 {
		s.LastTerm = m.log[len(m.log)-1].term
	}
	return s
}

// write adds an entry at a member as its data connection would, and returns its place.
func (f *fake) write(name string) (e fakeEntry, pos platform.Position, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.member(name)
	if m == nil || m.status.Role != platform.RolePrimary || m.down || m.frozen != nil {
		return e, 0, false
	}
	f.ids++
	e = fakeEntry{m.status.FencedTerm, f.ids}
	m.log = append(m.log, e)
	f.replicate()
	return e, platform.Position(len(m.log)), true
}

// ack notes an acknowledged write and compares it with all later primaries.
func (f *fake) ack(e fakeEntry, pos platform.Position) {
	f.set(func() {
		if old, ok := f.acked[pos]; ok && old != e {
			f.problems = append(f.problems, fmt.Sprintf("two acknowledged writes at %d", pos))
		}
		f.acked[pos] = e
		for t := range f.starts {
			f.checkStart(t, pos, e)
		}
	})
}

func (f *fake) checkStart(t platform.Term, pos platform.Position, e fakeEntry) {
	if log := f.starts[t]; e.term < t && (int(pos) > len(log) || log[pos-1] != e) {
		f.problems = append(f.problems, fmt.Sprintf("primary of term %d lacks write %d/%d", t, e.term, pos))
	}
}

func (f *fake) member(name string) *fakeMember {
	for _, m := range f.members {
		if m.info.Name == name {
			return m
		}
	}
	return nil
}

// history returns the primary of each term so far.
func (f *fake) history() map[platform.Term]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.primaries)
}

// found returns the broken promises.
func (f *fake) found() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.problems)
}

// fakeControl is the control access of one VM.
type fakeControl struct {
	f  *fake
	vm string
}

// call delivers a request after half a round trip. A frozen member handles it when it thaws, even if the caller has
// given up; a cut swallows it.
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
		if c.f.cut[c.vm+">"+info.Name] {
			return
		}
		if m.down {
			done <- reply{err: fmt.Errorf("%w: %w", platform.ErrUnavailable, platform.ErrRefused)}
			return
		}
		err := handle(m)
		c.f.step()
		done <- reply{m.report(), err}
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
func (c fakeControl) Fence(ctx context.Context, info platform.Member, t platform.Term, id string) (platform.Status, error) {
	return c.call(ctx, info, func(m *fakeMember) error {
		s := &m.status
		if t < s.FencedTerm || t == s.FencedTerm && id != s.FencedBy {
			return platform.ErrFenced
		}
		if t > s.FencedTerm {
			s.FencedTerm, s.FencedBy, s.Role = t, id, platform.RoleFenced
		}
		return nil
	})
}

// Promote implements platform.MemberControl.
func (c fakeControl) Promote(ctx context.Context, info platform.Member, t platform.Term, id string) (platform.Status, error) {
	if c.f.onPromote != nil {
		c.f.onPromote(c.vm)
	}
	return c.call(ctx, info, func(m *fakeMember) error {
		s := &m.status
		if t != s.FencedTerm || id != s.FencedBy || s.LostState {
			return platform.ErrFenced
		}
		if s.Role == platform.RolePrimary {
			return nil
		}
		if p, ok := c.f.primaries[t]; ok && p != info.Name {
			c.f.problems = append(c.f.problems, fmt.Sprintf("two primaries in term %d", t))
		}
		c.f.ids++
		m.log = append(m.log, fakeEntry{t, c.f.ids})
		s.Role, m.source = platform.RolePrimary, info.Name
		c.f.primaries[t], c.f.starts[t] = info.Name, m.log
		for pos, e := range c.f.acked {
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
		s.Role, m.source = platform.RoleReplica, p.Name
		return nil
	})
}
