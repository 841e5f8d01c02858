package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/scheduler"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// idleTimeout is how long an owner is kept after its last unit when its member belongs to another VM. It covers the
	// time in which the VMs' views differ.
	idleTimeout = 10 * time.Second
	// sweepInterval is the time between sweeps. It bounds how long such an owner keeps idle connections, which the new
	// owner needs: together the two owners may not exceed the member's connection limit.
	sweepInterval = 100 * time.Millisecond
)

// SetOptions configures a Set.
type SetOptions struct {
	Self   string
	Member func(service, member string) (platform.Member, bool)
	Owned  func(m platform.Member) bool // reports whether this VM owns m by its current view of the VMs
	New    func(m platform.Member) *Owner
	OnAdd  func() // called after an owner was created, so that its service gets watched; must not block
}

// Set holds the owners on this VM and implements unit.Executor for units that name a member.
type Set struct {
	opts SetOptions

	mu     sync.Mutex
	owners map[string]*setEntry
	closed bool

	cancel context.CancelFunc
	done   chan struct{}
}

// setEntry is an owner and its use.
type setEntry struct {
	owner    *Owner
	member   platform.Member
	users    int // running units and holds of writes
	lastUsed time.Time
}

// NewSet returns an empty set.
func NewSet(o SetOptions) *Set {
	return &Set{opts: o, owners: map[string]*setEntry{}, done: make(chan struct{})}
}

// Start starts the periodic sweep that closes unused owners.
func (s *Set) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.sweepLoop(ctx)
	return nil
}

// Stop ends the sweep and closes all owners. The set accepts no units afterwards.
func (s *Set) Stop(context.Context) error {
	s.cancel()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for name, e := range s.owners {
		e.owner.Close()
		delete(s.owners, name)
	}
	return nil
}

// Execute runs the unit on the owner of u.Member. It accepts the unit even when this VM does not own the member by its
// own view: views differ briefly when VMs join or leave, and a second owner is harmless.
func (s *Set) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	e, err := s.acquire(u)
	if err != nil {
		return unit.NotRun(err)
	}
	defer s.release(e)
	return e.owner.Execute(ctx, u, sink)
}

// Rollback ends an open transaction.
func (s *Set) Rollback(tx unit.TxRef) {
	s.mu.Lock()
	e := s.owners[tx.Member]
	s.mu.Unlock()
	if e != nil {
		e.owner.Rollback(tx)
	}
}

// acquire returns the entry of the unit's member, which it creates if needed, and keeps it from being closed until
// release.
func (s *Set) acquire(u *unit.Unit) (*setEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errkind.New(errkind.Draining, "the owner's daemon is stopping")
	}
	e := s.owners[u.Member]
	if e == nil {
		m, ok := s.opts.Member(u.Service, u.Member)
		if !ok {
			return nil, errkind.New(errkind.NoMember, "member %q of service %q is not in the service list", u.Member, u.Service)
		}
		e = &setEntry{owner: s.opts.New(m), member: m}
		s.owners[u.Member] = e
		s.opts.OnAdd()
	}
	e.users++
	return e, nil
}

func (s *Set) release(e *setEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.users--
	e.lastUsed = time.Now()
}

// Stats returns the schedulers' states by member.
func (s *Set) Stats() map[string]scheduler.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]scheduler.Stats, len(s.owners))
	for name, e := range s.owners {
		out[name] = e.owner.Stats()
	}
	return out
}

// WaitingUnits returns the number of units that wait for a connection to their member.
func (s *Set) WaitingUnits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.owners {
		n += e.owner.WaitingUnits()
	}
	return n
}

// Services returns the services whose members have an owner on this VM, including owners whose member has moved to
// another VM and that are not closed yet.
func (s *Set) Services() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]bool, len(s.owners))
	for _, e := range s.owners {
		out[e.member.Service] = true
	}
	return out
}

// InProgress returns the number of running units, holds and open transactions.
func (s *Set) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.owners {
		n += e.users + e.owner.Transactions()
	}
	return n
}

// sweepLoop sweeps every sweepInterval until ctx ends.
func (s *Set) sweepLoop(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			s.sweep(now)
		}
	}
}

// sweep closes unused owners of members that this VM no longer owns, and tells the others whether this VM owns their
// member, so that those that are still in use close their idle connections.
func (s *Set) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, e := range s.owners {
		owned := s.opts.Owned(e.member)
		if owned || e.users > 0 || e.owner.Transactions() > 0 || now.Sub(e.lastUsed) < idleTimeout {
			e.owner.SetOwned(owned)
			continue
		}
		e.owner.Close()
		delete(s.owners, name)
	}
}
