// Package group watches the members of services. It keeps a view of each service (term, primary, positions,
// freshness of replicas), tells when writes are acknowledged by a majority, and promotes a new primary when the
// present one is lost, leaving, or to move to another region. The rules are those of packages quorum and placement;
// this package adds polls, clocks and retries, on which speed depends but never safety.
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

// RankWatchOnly is the promoter rank of a VM that watches a service without promoting.
const RankWatchOnly = -1

// Options configure a Watcher.
type Options struct {
	Control platform.MemberControl
	Self    string             // name of this VM; part of the promoter name in fences
	Log     logrus.FieldLogger // nil: the standard logger
	// OnFailover, if set, is called after each promotion by this VM. It must not block.
	OnFailover func(Failover)
	// Relay asks the lead of a service. nil: all members are polled directly.
	Relay RelayFunc
	// QuiesceWrites keeps new writes from a member that this VM owns until release is called, and waits for those in
	// progress. It reports whether none is left. nil: primaries are not moved between regions.
	QuiesceWrites func(ctx context.Context, service, member string) (release func(), quiet bool)
	// PromotionTime is how long a member takes to lead after it was told to, beyond the time of a call. 0: it leads at once.
	PromotionTime time.Duration
	// MinTenure is how long a primary stands before it may be moved, see placement.DefaultMinTenure; 0: for good.
	MinTenure time.Duration
}

// Assignment is a service to watch.
type Assignment struct {
	Service      platform.Service
	PromoterRank int // 0 acts first; RankWatchOnly watches only
	// Owners are the VMs that own the members, in the order of Service.Members; the zero VM for none.
	Owners []platform.VM
}

// Watcher watches services. Its methods are safe for concurrent use.
type Watcher struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	stats  counters
	origin time.Time // of the grid of polls

	logAttempt loglimit.Limiter // by service
	logPrepare loglimit.Limiter // by service

	mu       sync.Mutex
	closed   bool
	services map[string]*service
}

// New returns a Watcher without services.
func New(o Options) *Watcher {
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	w := &Watcher{opts: o, origin: time.Now(), services: map[string]*service{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// SetServices replaces the set of watched services. A service whose members stay the same keeps its view. One that is
// no longer listed is dropped: its waits fail, and its requests have ended when SetServices returns.
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
		if s != nil && s.sameMembers(a.Service) {
			s.update(a)
			delete(old, a.Service.Name)
		} else {
			s = newService(w, a)
		}
		w.services[a.Service.Name] = s
	}
	w.mu.Unlock()
	stopAll(old)
}

// Close drops all services and waits until their goroutines have ended.
func (w *Watcher) Close() {
	w.mu.Lock()
	old := w.services
	w.services, w.closed = nil, true
	w.mu.Unlock()
	w.cancel()
	stopAll(old)
}

func stopAll(services map[string]*service) {
	for _, s := range services {
		s.cancel()
	}
	for _, s := range services {
		s.stop()
	}
}

// service returns a watched service, or an error of kind UnknownService.
func (w *Watcher) service(name string) (*service, error) {
	if s := w.lookup(name); s != nil {
		return s, nil
	}
	return nil, errkind.New(errkind.UnknownService, "service %q is not watched by this VM", name)
}

// lookup returns a watched service or nil.
func (w *Watcher) lookup(name string) *service {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.services[name]
}

// View returns the present view of a service. It reports false for a service that is not watched.
func (w *Watcher) View(name string) (View, bool) {
	s := w.lookup(name)
	if s == nil {
		return View{}, false
	}
	return s.view(time.Now()), true
}

// Member returns the part of View that describes a member, without the cost of the rest.
func (w *Watcher) Member(name, member string) (MemberView, bool) {
	s := w.lookup(name)
	if s == nil {
		return MemberView{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.info.Name == member {
			return m.view(time.Now()), true
		}
	}
	return MemberView{}, false
}

// Primary returns the name of the primary as in View, "" for none, and its term.
func (w *Watcher) Primary(name string) (member string, term platform.Term, ok bool) {
	s := w.lookup(name)
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

// Changed returns a channel that is closed at the next change of a service's view: a member's status or reachability,
// the term or the primary. Ages alone do not count. For a service that is not watched the channel is closed already.
func (w *Watcher) Changed(name string) <-chan struct{} {
	s := w.lookup(name)
	if s == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// sameMembers reports whether the service lists the same members at the same control addresses.
func (s *service) sameMembers(o platform.Service) bool {
	return slices.EqualFunc(s.members, o.Members, func(m *member, p platform.Member) bool {
		return m.info.Name == p.Name && m.info.ControlAddr == p.ControlAddr
	})
}
