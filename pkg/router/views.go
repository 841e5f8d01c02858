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
	// viewTTL is how long a view fetched from another VM is used without a refusal. Primaries change twice a day, and
	// owners refuse what a stale view sent to the wrong place, so a short life would only cost control traffic: at
	// 1,200 services a life of 30 s is 40 requests/s per VM.
	viewTTL = 30 * time.Second
	// maxViewTTL is the life of a view that lookups find unchanged again and again: each of them doubles it. At 1,200
	// services it takes the lookups from 40 to 10 a second. A view older than viewTTL that lacks a listed member is not
	// used, so that new members get work as early as without the longer life.
	maxViewTTL = 4 * viewTTL
	// unsettledViewTTL is the life of a view in which something is wrong or not known yet, such as that of an owner that
	// has just started. With the long one, all reads would avoid the replicas that it shows as not fresh.
	unsettledViewTTL = time.Second
	// minFetchInterval bounds the requests for one service while it has no primary.
	minFetchInterval = 50 * time.Millisecond
	fetchTimeout     = 500 * time.Millisecond
)

// LocalViews holds the views of the services that this VM watches.
type LocalViews interface {
	View(service string) (group.View, bool)
	// Check asks the primary of a watched service at once whether it still answers.
	Check(service string)
}

// ViewCache implements Views: local views first, else views fetched from an owner of one of the service's members.
type ViewCache struct {
	local      LocalViews
	directory  Directory
	membership Membership
	fetch      FetchView
	ownership  ownership.Cache

	mu      sync.Mutex
	entries map[string]*viewEntry
}

type viewEntry struct {
	mu       sync.Mutex // held while a fetch runs, so that concurrent units share it
	view     group.View
	known    bool
	from     string // VM that gave the view
	fetched  time.Time
	ttl      time.Duration // unsettledTTL, viewTTL or one of its doubles
	lifetime time.Duration // since fetched
	stale    bool
}

// store records an answer. Lives differ by up to a tenth, so that views fetched together are not all fetched together
// again.
func (e *viewEntry) store(v group.View, from string, same bool) {
	step := baseTTL(v)
	if same && !e.stale && step == viewTTL && e.ttl >= viewTTL {
		step = min(2*e.ttl, maxViewTTL)
	}
	e.view, e.known, e.stale, e.from, e.ttl = v, true, false, from, step
	e.lifetime = step - rand.N(step/10)
}

// valid reports whether the view may be used without asking again.
func (c *ViewCache) valid(e *viewEntry, service string) bool {
	age := time.Since(e.fetched)
	if !e.known || e.stale || age >= e.lifetime {
		return false
	}
	return age < viewTTL || c.hasListedMembers(e.view, service)
}

// hasListedMembers reports whether the view has the members that are listed now.
func (c *ViewCache) hasListedMembers(v group.View, service string) bool {
	svc, ok := c.directory.Service(service)
	return !ok || slices.EqualFunc(svc.Members, v.Members, func(m platform.Member, mv group.MemberView) bool { return m.Name == mv.Name })
}

// NewViewCache returns an empty cache.
func NewViewCache(local LocalViews, d Directory, m Membership, fetch FetchView) *ViewCache {
	return &ViewCache{local: local, directory: d, membership: m, fetch: fetch, entries: map[string]*viewEntry{}}
}

// View returns the local view or one fetched from an owner.
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

// baseTTL returns how long a view is used without a refusal.
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

// Latest returns the local view, or asks all owners of the service's members at once for theirs and returns the one of
// the highest term with a primary. It waits for all answers or the end of ctx. Later calls of View use it too.
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

// Refresh makes the next View ask again.
func (c *ViewCache) Refresh(service string) {
	e := c.entry(service)
	e.mu.Lock()
	e.stale = true
	e.mu.Unlock()
}

// Suspect makes the next View ask again and has the local watcher, if any, ask the primary.
func (c *ViewCache) Suspect(service string) {
	c.Refresh(service)
	c.local.Check(service)
}

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

// refreshEntry asks the owners of the service's members, nearest first, until one answers with a primary. Without
// any primary the nearest answer counts: reads go on with it. The caller holds the lock of the entry.
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
	if !found { // the old view is used for as long as a new one
		e.ttl = baseTTL(e.view)
		e.lifetime = e.ttl
	}
}

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
