package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// viewTTL is how long a view fetched from another VM is used unless a member refuses a unit. With 1,200 services, 30 s
	// cause 40 requests/s per VM. A shorter time would only add to these: primaries change twice a day, and owners refuse
	// units that an outdated view sends to the wrong member.
	viewTTL = 30 * time.Second
	// maxViewTTL limits the time for views that repeated fetches find unchanged: each such fetch doubles it. With 1,200
	// services this reduces the fetches from 40 to 10 a second. A view older than viewTTL that lacks a listed member is
	// not used, so that new members get work as soon as they would with viewTTL alone.
	maxViewTTL = 4 * viewTTL
	// unsettledViewTTL is how long a view is used that shows a fault or lacks information, such as the view of an owner
	// that has just started. With viewTTL, reads would avoid the replicas that the view shows as not fresh for all that
	// time.
	unsettledViewTTL = time.Second
	// minFetchInterval is the minimum time between fetches for one service, which matters while it has no primary.
	minFetchInterval = 50 * time.Millisecond
	// fetchTimeout bounds one request for a view.
	fetchTimeout = 500 * time.Millisecond
)

// LocalViews holds the views of the services that this VM watches.
type LocalViews interface {
	View(service string) (group.View, bool)
	// PollPrimary asks the primary of a watched service at once whether it still answers.
	PollPrimary(service string)
}

// ViewCache implements Views. It returns the view of this VM's watcher if there is one. If there is none, it returns a
// cached view that was fetched from an owner of one of the service's members.
type ViewCache struct {
	local      LocalViews
	directory  Directory
	membership Membership
	fetch      FetchView
	ownership  ownership.Cache

	mu      sync.Mutex
	entries map[string]*viewEntry
}

// viewEntry is the cached view of one service.
type viewEntry struct {
	mu       sync.Mutex // held while a fetch runs, so that concurrent units share it
	view     group.View
	known    bool   // view has been fetched at least once
	from     string // name of the VM that returned the view; "" if unknown
	fetched  time.Time
	ttl      time.Duration // unsettledViewTTL, viewTTL, or viewTTL doubled up to maxViewTTL
	lifetime time.Duration // time since fetched for which the view is used
	stale    bool          // Invalidate was called since the last successful fetch
}

// store records a view fetched from the VM from. Lifetimes are shortened at random by up to a tenth, so that views that
// were fetched at the same time do not expire at the same time.
func (e *viewEntry) store(v group.View, from string, same bool) {
	ttl := baseTTL(v)
	if same && !e.stale && ttl == viewTTL && e.ttl >= viewTTL {
		ttl = min(2*e.ttl, maxViewTTL)
	}
	e.view, e.known, e.stale, e.from, e.ttl = v, true, false, from, ttl
	e.lifetime = ttl - rand.N(ttl/10)
}

// valid reports whether the view may be used without a new fetch.
func (c *ViewCache) valid(e *viewEntry, service string) bool {
	age := time.Since(e.fetched)
	if !e.known || e.stale || age >= e.lifetime {
		return false
	}
	return age < viewTTL || c.hasListedMembers(e.view, service)
}

// hasListedMembers reports whether the view has exactly the members that the service list has now.
func (c *ViewCache) hasListedMembers(v group.View, service string) bool {
	svc, ok := c.directory.Service(service)
	return !ok || slices.EqualFunc(svc.Members, v.Members, func(m platform.Member, mv group.MemberView) bool { return m.Name == mv.Name })
}

// NewViewCache returns an empty cache.
func NewViewCache(local LocalViews, d Directory, m Membership, fetch FetchView) *ViewCache {
	return &ViewCache{local: local, directory: d, membership: m, fetch: fetch, entries: map[string]*viewEntry{}}
}

// View returns the local view, or a cached one that is fetched again from an owner when it has expired.
func (c *ViewCache) View(ctx context.Context, service string) (group.View, bool) {
	if v, ok := c.local.View(service); ok {
		return v, true
	}
	e := c.entry(service)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.valid(e, service) || time.Since(e.fetched) < minFetchInterval {
		return e.view, e.known
	}
	c.refreshEntry(ctx, service, e)
	e.fetched = time.Now()
	return e.view, e.known
}

// baseTTL returns how long a view is used, unless a member refuses a unit, before it has been found unchanged.
func baseTTL(v group.View) time.Duration {
	for _, m := range v.Members {
		if !m.Reachable || !m.Fresh || m.Age > catchUpAge {
			return unsettledViewTTL
		}
	}
	if v.Primary == "" {
		return unsettledViewTTL
	}
	return viewTTL
}

// Latest returns the local view, or else asks all owners of the service's members at once and returns the view of the
// highest term that has a primary. It waits for all answers or the end of ctx. Later calls of View use the result too.
func (c *ViewCache) Latest(ctx context.Context, service string) (group.View, bool) {
	if v, ok := c.local.View(service); ok {
		return v, true
	}
	svc, ok := c.directory.Service(service)
	if !ok {
		return group.View{}, false
	}
	v, ok := c.fetchLatest(ctx, c.ownerVMs(svc), service)
	if ok {
		e := c.entry(service)
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.known || v.Term > e.view.Term {
			e.store(v, "", false)
			e.fetched = time.Now()
		}
	}
	return v, ok
}

// fetchLatest asks all vms at once and returns the view of the highest term that has a primary.
func (c *ViewCache) fetchLatest(ctx context.Context, vms []platform.VM, service string) (latest group.View, found bool) {
	answers := make(chan group.View, len(vms))
	for _, vm := range vms {
		go func() {
			v, _, err := c.fetchWithTimeout(ctx, vm, service, group.View{})
			if err != nil {
				v = group.View{}
			}
			answers <- v
		}()
	}
	for range vms {
		if v := <-answers; v.Primary != "" && (!found || v.Term > latest.Term) {
			latest, found = v, true
		}
	}
	return latest, found
}

// Invalidate makes the next View fetch the view again.
func (c *ViewCache) Invalidate(service string) {
	e := c.entry(service)
	e.mu.Lock()
	e.stale = true
	e.mu.Unlock()
}

// SuspectPrimary makes the next View fetch the view again. If this VM watches the service, it checks the primary at
// once.
func (c *ViewCache) SuspectPrimary(service string) {
	c.Invalidate(service)
	c.local.PollPrimary(service)
}

// entry returns the cache entry of the service, which it creates if needed.
func (c *ViewCache) entry(service string) *viewEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[service]
	if e == nil {
		e = &viewEntry{}
		c.entries[service] = e
	}
	return e
}

// refreshEntry asks the owners of the service's members, nearest member first, until one returns a view with a primary.
// If none does, the first answer is kept, so that reads go on. The caller holds the entry's lock.
func (c *ViewCache) refreshEntry(ctx context.Context, service string, e *viewEntry) {
	svc, ok := c.directory.Service(service)
	if !ok {
		return
	}
	held, from, found := e.view, e.from, false
	for _, vm := range c.ownerVMs(svc) {
		var base group.View
		if vm.Name == from {
			base = held
		}
		v, same, err := c.fetchWithTimeout(ctx, vm, service, base)
		if err != nil || v.Primary == "" && found {
			continue
		}
		e.store(v, vm.Name, same)
		found = true
		if v.Primary != "" {
			return
		}
	}
	if !found { // No owner answered: the old view is used for as long as a newly fetched one.
		e.ttl = baseTTL(e.view)
		e.lifetime = e.ttl
	}
}

// fetchWithTimeout fetches the view from vm within fetchTimeout.
func (c *ViewCache) fetchWithTimeout(ctx context.Context, vm platform.VM, service string, held group.View) (group.View, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return c.fetch(ctx, vm, service, held)
}

// ownerVMs returns the distinct VMs that own a member of the service, nearest member first, without this VM.
func (c *ViewCache) ownerVMs(svc platform.Service) []platform.VM {
	self, live := c.membership.Self(), c.membership.Live()
	var out []platform.VM
	seen := map[string]bool{self.Name: true}
	for d := range otherRegion + 1 {
		for _, m := range svc.Members {
			if distance(m, self) != d {
				continue
			}
			if vm, ok := c.ownership.Owner(m, live); ok && !seen[vm.Name] {
				seen[vm.Name] = true
				out = append(out, vm)
			}
		}
	}
	return out
}
