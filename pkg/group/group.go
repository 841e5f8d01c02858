// Package group watches the members of services. For each service it keeps a view of the term, the primary, the log
// positions, and the freshness of the replicas. It tells when a majority has acknowledged a write, and promotes a new
// primary when the present one is lost, is leaving, or is to move to another region. Packages quorum and placement hold
// the rules that make this safe; this package adds polls, clocks and retries, which affect speed but never safety.
//
// The VM that owns the primary of a service polls all members, and other watchers of the service ask the primary's owner
// for what it has learnt.
package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// RankWatchOnly is the promoter rank of a VM that watches a service but never promotes a member.
const RankWatchOnly = -1

// Options configure a Watcher.
type Options struct {
	Control platform.MemberControl
	Self    string             // name of this VM; begins the promoter ID that fences carry
	Log     logrus.FieldLogger // nil: the standard logger
	// OnFailover, if set, is called after each promotion by this VM. It must not block.
	OnFailover func(Failover)
	// Relay asks the owner of a service's primary for its view. If it is nil, this VM polls all members itself.
	Relay RelayFunc
	// QuiesceWrites holds back new writes to a member that this VM owns until release is called, and waits for the writes
	// in progress. It reports whether all of these have ended. If it is nil, primaries are not moved between regions.
	QuiesceWrites func(ctx context.Context, service, member string) (release func(), ended bool)
	// PromotionTime is how long a promoted member takes to become primary, beyond the time of an ordinary call. With 0 it
	// is primary when the call returns.
	PromotionTime time.Duration
	// FencesIgnored means that a member may be promoted after another promoter has fenced it, see platform.Guarantees.
	FencesIgnored bool
	// MembersComplete reports whether the members of the assignments are all members of their services. Before that no majority
	// counts, and this VM promotes no member. If it is nil, they always are.
	MembersComplete func() bool
	// ReadMembers reads the platform's list again and returns the members of a service, and false if it cannot be read. If it is
	// nil, attempts go by the members of the assignment.
	ReadMembers func(ctx context.Context, service string) ([]platform.Member, bool)
	// MinTenure is how long a primary stays in place before it may be moved, see placement.DefaultMinTenure. With 0 it is never
	// moved.
	MinTenure time.Duration
}

// Assignment is a service to watch and the part that this VM takes in it.
type Assignment struct {
	Service      platform.Service
	PromoterRank int // 0 acts first; RankWatchOnly only watches
	// Owners are the VMs that own the members, in the order of Service.Members. The zero VM stands for no owner.
	Owners []platform.VM
}

// Watcher watches services. Its methods are safe for concurrent use.
type Watcher struct {
	opts       Options
	ctx        context.Context
	cancel     context.CancelFunc
	stats      counters
	pollOrigin time.Time // origin of the time grid that polls are aligned to

	attemptLogLimit loglimit.Limiter // keyed by service
	claimLogLimit   loglimit.Limiter // keyed by service

	mu       sync.Mutex
	closed   bool
	services map[string]*service
}

// New returns a Watcher that watches no service yet.
func New(o Options) *Watcher {
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	w := &Watcher{opts: o, pollOrigin: time.Now(), services: map[string]*service{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// SetServices replaces the set of watched services. A service keeps what is known of it and of its members. If these change, its
// waiters get an error, and its requests have ended when SetServices returns. So have those of a service that is no longer listed,
// which is dropped.
func (w *Watcher) SetServices(list []Assignment) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	old := w.services
	w.services = make(map[string]*service, len(list))
	for _, a := range list {
		s := old[a.Service.Name]
		if s != nil && s.sameMembers(a.Service) && !s.dropsUnlisted(time.Now()) {
			s.updateAssignment(a)
			delete(old, a.Service.Name)
		} else {
			s = newService(w, a, s)
		}
		w.services[a.Service.Name] = s
	}
	w.mu.Unlock()
	stopServices(old)
}

// Close drops all services and waits until their goroutines have ended.
func (w *Watcher) Close() {
	w.mu.Lock()
	old := w.services
	w.services, w.closed = nil, true
	w.mu.Unlock()
	w.cancel()
	stopServices(old)
}

func stopServices(services map[string]*service) {
	for _, s := range services {
		s.cancel()
	}
	for _, s := range services {
		s.stop()
	}
}

// service returns a watched service, or an error of kind UnknownService.
func (w *Watcher) service(name string) (*service, error) {
	if s := w.findService(name); s != nil {
		return s, nil
	}
	return nil, errkind.New(errkind.UnknownService, "service %q is not watched by this entry VM", name)
}

// findService returns a watched service or nil.
func (w *Watcher) findService(name string) *service {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.services[name]
}

// View returns the current view of a service. It reports false for a service that is not watched.
func (w *Watcher) View(name string) (View, bool) {
	s := w.findService(name)
	if s == nil {
		return View{}, false
	}
	return s.view(time.Now()), true
}

// Member returns the entry of a single member in View, without the cost of building the other entries.
func (w *Watcher) Member(name, member string) (MemberView, bool) {
	s := w.findService(name)
	if s == nil {
		return MemberView{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.listed() {
		if m.info.Name == member {
			return m.view(time.Now()), true
		}
	}
	return MemberView{}, false
}

// Primary returns the name and the term of the primary as in View. The name is "" if there is no primary.
func (w *Watcher) Primary(name string) (member string, term platform.Term, ok bool) {
	s := w.findService(name)
	if s == nil {
		return "", 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary != nil {
		member = s.primary.info.Name
	}
	return member, s.term, true
}

// ViewChanged returns a channel that is closed at the next change of a service's view: a member's status or reachability,
// the term or the primary. A change of ages alone does not count. For a service that is not watched the channel is
// already closed.
func (w *Watcher) ViewChanged(name string) <-chan struct{} {
	s := w.findService(name)
	if s == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viewChanged
}

// sameMembers reports whether the service lists the same members at the same control addresses.
func (s *service) sameMembers(o platform.Service) bool {
	return slices.EqualFunc(s.listed(), o.Members, func(m *member, p platform.Member) bool {
		return m.info.Name == p.Name && m.info.ControlAddr == p.ControlAddr
	})
}
