// Package directory holds the list of services. It polls the platform's list, which lags, and keeps the last answer while
// the platform is down. What members report about themselves takes precedence over the list; other packages see to that.
package directory

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/listpoll"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// Lister reads the platform's list of services.
type Lister interface {
	Services(ctx context.Context) ([]platform.Service, error)
}

// VersionedLister is a Lister whose lists have versions. Of two lists the one with the higher version was read later, by
// whichever VM. VMs whose platform offers it get changes from each other, and only the readers read the platform's list.
type VersionedLister interface {
	ServicesAt(ctx context.Context) (list []platform.Service, version uint64, err error)
}

// Options configure a Directory.
type Options struct {
	Lister   Lister
	Log      logrus.FieldLogger
	IsReader func() bool // reports whether this VM is one of those that read the list often
	// AwaitPeers waits for a short time until this VM knows its peers, so that IsReader can tell. If it is nil, the list is
	// read at once.
	AwaitPeers func(ctx context.Context)
	// MissingGrace is the time within which entries that have expired during an outage of the platform are back in its list. A
	// member that vanishes from the list stays in use until a read after that time lacks it too, unless a listed one is its
	// successor. With 0 each list is complete.
	MissingGrace time.Duration
	// IsSuccessor reports whether a listed member has taken the place of a member that is listed no more. If it is nil, one
	// with the same address has.
	IsSuccessor func(old, listed platform.Member) bool
}

// Directory holds the last known list of services. It is safe for concurrent use.
type Directory struct {
	options Options
	poller  *listpoll.Poller
	changed ring.Signal

	skipLogLimit loglimit.Limiter

	current atomic.Pointer[snapshot]

	mu          sync.Mutex
	history     []snapshot           // guarded by mu; earlier lists, the latest last
	missing     map[string]time.Time // guarded by mu; when members in use vanished from the list, by name
	complete    bool                 // guarded by mu; a list has been found complete since the start
	heldSince   time.Time            // guarded by mu; when the first list came, or the first one that was read after a failed read
	readFailed  bool                 // guarded by mu; the last read failed
	lastRead    time.Time            // guarded by mu; when the last successful read of this VM began
	settle      *time.Timer          // guarded by mu; see armRead
	stopped     bool                 // guarded by mu
	confirmedAt time.Time            // guarded by mu; when the list was last known to be current

	cancel context.CancelFunc
	done   chan struct{}
}

// snapshot is one version of the list with its indexes. It is not modified once it is published.
type snapshot struct {
	listed             []platform.Service // as listed
	version            uint64             // of listed; 0 if the platform gives none
	hash               uint32             // of listed
	services           []platform.Service // listed, with the members that have been missing for a short time
	byName             map[string]*platform.Service
	servicesByDatabase map[string][]string // sorted names
}

// New returns an empty directory.
func New(o Options) *Directory {
	if o.IsSuccessor == nil {
		o.IsSuccessor = func(old, listed platform.Member) bool { return old.DataAddr == listed.DataAddr }
	}
	d := &Directory{options: o, changed: ring.NewSignal(), missing: map[string]time.Time{}, done: make(chan struct{})}
	d.poller = listpoll.New(d.readList, o.IsReader)
	if _, ok := o.Lister.(VersionedLister); ok {
		d.poller.SkipWhile(func() bool { return d.recentlyConfirmed() && !d.awaitsRead() })
	}
	return d
}

// ListHash returns the hash of the list, 0 while the directory has none.
func (d *Directory) ListHash() uint32 {
	if s := d.current.Load(); s != nil {
		return s.hash
	}
	return 0
}

// Version returns the version of the list, 0 while the directory has none or the platform gives no versions.
func (d *Directory) Version() uint64 {
	if s := d.current.Load(); s != nil {
		return s.version
	}
	return 0
}

// RequestRead requests a read of the list before the next regular one.
func (d *Directory) RequestRead() { d.poller.RequestRead() }

// ReadNow reads the list at once. It returns when the read has ended or ctx is done.
func (d *Directory) ReadNow(ctx context.Context) { d.poller.ReadNow(ctx) }

// Changed returns a channel that receives a value after the list has changed. It is meant for a single receiver. Changes
// since its last receive are merged into one value.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// Start starts polling the list.
func (d *Directory) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.runPoller(ctx)
	return nil
}

// Stop ends polling and waits for the poller.
func (d *Directory) Stop(context.Context) error {
	d.cancel()
	<-d.done
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.armRead()
	return nil
}

func (d *Directory) runPoller(ctx context.Context) {
	defer close(d.done)
	if _, ok := d.options.Lister.(VersionedLister); ok && d.options.AwaitPeers != nil {
		d.options.AwaitPeers(ctx)
		if !d.options.IsReader() {
			d.awaitAdoption(ctx, startWait/2+rand.N(startWait/2))
		}
	}
	d.poller.Run(ctx)
}

// startWait is the longest time that a VM which is no reader waits at its start for a list from a peer.
const startWait = time.Second

// awaitAdoption waits until there is a list, for the given time at most.
func (d *Directory) awaitAdoption(ctx context.Context, wait time.Duration) {
	const checkInterval = 20 * time.Millisecond
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for end := time.Now().Add(wait); !d.Ready() && time.Now().Before(end); {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Directory) readList(ctx context.Context) (err error) {
	log := d.options.Log
	defer panics.Confine(log, "read of the service list", func() { err = errkind.New(errkind.Internal, "service list could not be handled") })
	var list []platform.Service
	var version uint64
	began := time.Now()
	if lister, ok := d.options.Lister.(VersionedLister); ok {
		list, version, err = lister.ServicesAt(ctx)
	} else {
		list, err = d.options.Lister.Services(ctx)
	}
	if err != nil {
		log.WithError(err).Debug("cannot read the service list; keeping the last one")
		d.noteFailedRead()
		return err
	}
	d.apply(list, version, began)
	return nil
}

// withoutInvalid returns the list without the members that cannot be used. It returns the list itself if all can be used.
func (d *Directory) withoutInvalid(list []platform.Service) []platform.Service {
	isInvalid := func(m platform.Member) bool { return m.Validate() != nil }
	hasInvalid := func(s platform.Service) bool { return slices.ContainsFunc(s.Members, isInvalid) }
	if !slices.ContainsFunc(list, hasInvalid) {
		return list
	}
	out := slices.Clone(list)
	for i := range out {
		for _, m := range out[i].Members {
			if err := m.Validate(); err != nil {
				d.logSkipped(m, err)
			}
		}
		out[i].Members = slices.DeleteFunc(slices.Clone(out[i].Members), isInvalid)
	}
	return out
}

func (d *Directory) logSkipped(m platform.Member, err error) {
	if log, ok := d.skipLogLimit.Allow(d.options.Log, m.Name); ok {
		log.WithError(err).WithField("member", m.Name).Warn("member in the service list cannot be used; ignoring it")
	}
}

// Adopt uses a list received from a peer if it is newer than the present one, or if there is none.
func (d *Directory) Adopt(list []platform.Service, version uint64) {
	if current := d.current.Load(); current == nil || version > current.version {
		d.apply(list, version, time.Time{})
	}
}

// Confirm records that the present list was still the platform's at a later version.
func (d *Directory) Confirm(hash uint32, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	if current == nil || current.hash != hash || version <= current.version {
		return
	}
	confirmed := *current
	confirmed.version = version
	d.current.Store(&confirmed)
	d.confirmedAt = time.Now()
}

// recentlyConfirmed reports whether the list was current within the last listpoll.NonReaderInterval.
func (d *Directory) recentlyConfirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.confirmedAt.IsZero() && time.Since(d.confirmedAt) < listpoll.NonReaderInterval
}

// apply publishes a list unless a newer one is in use. readAt is when this VM began to read it, or zero if it comes from a peer.
func (d *Directory) apply(list []platform.Service, version uint64, readAt time.Time) {
	list = d.withoutInvalid(list)
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.armRead()
	if !readAt.IsZero() {
		d.noteRead(readAt)
	}
	old := d.current.Load()
	if old != nil && version < old.version {
		return
	}
	d.confirmedAt = time.Now()
	if old != nil && !reflect.DeepEqual(old.listed, list) {
		d.history = append(d.history, *old)
		d.history = slices.Clone(d.history[max(0, len(d.history)-historyLimit):])
	}
	if d.heldSince.IsZero() {
		d.heldSince = d.confirmedAt
	}
	d.publish(list, version, readAt)
}

// publish publishes a list, as it was at the time readAt, with the members that it lacks and that are still in use. The caller
// holds mu.
func (d *Directory) publish(list []platform.Service, version uint64, readAt time.Time) {
	old := d.current.Load()
	services := list
	if old != nil && d.options.MissingGrace > 0 {
		services = d.withMissing(list, old.services, readAt)
	}
	next := newSnapshot(list, version, services)
	d.current.Store(next)
	if old == nil || !reflect.DeepEqual(old.services, services) {
		d.changed.Raise()
	}
}

// newSnapshot returns a snapshot with its indexes.
func newSnapshot(listed []platform.Service, version uint64, services []platform.Service) *snapshot {
	s := &snapshot{listed: listed, version: version, hash: listpoll.Hash(listed), services: services,
		byName: map[string]*platform.Service{}, servicesByDatabase: map[string][]string{}}
	for i := range services {
		svc := &services[i]
		s.byName[svc.Name] = svc
		s.servicesByDatabase[svc.Database] = append(s.servicesByDatabase[svc.Database], svc.Name)
	}
	for _, names := range s.servicesByDatabase {
		sort.Strings(names)
	}
	return s
}

// Ready reports whether the directory has a list that was read since the start, by this VM or by a peer that passed it on.
// An empty list does not count: entries may be missing after an outage of the platform.
func (d *Directory) Ready() bool { return len(d.Services()) > 0 }

// Services returns all services. Callers must not change them.
func (d *Directory) Services() []platform.Service {
	if s := d.current.Load(); s != nil {
		return s.services
	}
	return nil
}

// Service returns the named service.
func (d *Directory) Service(name string) (platform.Service, bool) {
	s := d.current.Load()
	if s == nil || s.byName[name] == nil {
		return platform.Service{}, false
	}
	return *s.byName[name], true
}

// Member returns the named member of a service.
func (d *Directory) Member(service, member string) (platform.Member, bool) {
	svc, _ := d.Service(service)
	for _, m := range svc.Members {
		if m.Name == member {
			return m, true
		}
	}
	return platform.Member{}, false
}

// Resolve returns the name of the service for the startup parameter database and a session key. A service name resolves
// to itself. A database name resolves to one of the database's services: with a key to the one chosen by rendezvous
// hashing, without a key to the first by name.
func (d *Directory) Resolve(database, key string) (string, error) {
	s := d.current.Load()
	if s == nil {
		return "", errkind.New(errkind.NotReady, "the service list has not been read since the daemon started")
	}
	if _, ok := s.byName[database]; ok {
		return database, nil
	}
	names := s.servicesByDatabase[database]
	if len(names) == 0 {
		return "", errkind.New(errkind.UnknownService, "no service or database is named %s", strconv.Quote(database))
	}
	if key == "" {
		return names[0], nil
	}
	return slices.MaxFunc(names, func(a, b string) int {
		scoreA, scoreB := rendezvousScore(key, a), rendezvousScore(key, b)
		switch {
		case scoreA < scoreB:
			return -1
		case scoreA > scoreB:
			return 1
		}
		return 0
	}), nil
}

func rendezvousScore(key, service string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + service))
	// The high bits of FNV hashes of short inputs are similar. This finalizer mixes them.
	sum := h.Sum64()
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	return sum
}
