// Package directory holds the list of services. It polls the platform's list, which lags, and keeps the last answer while
// the platform is down. What members report about themselves takes precedence over the list; other packages see to that.
package directory

import (
	"context"
	"hash/fnv"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"sync/atomic"

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

// Directory holds the last known list of services. It is safe for concurrent use.
type Directory struct {
	lister Lister
	log    logrus.FieldLogger
	poller *listpoll.Poller

	current atomic.Pointer[snapshot]
	changed ring.Signal

	skipLogLimit loglimit.Limiter

	cancel context.CancelFunc
	done   chan struct{}
}

// snapshot is one version of the list with its indexes. It is not modified once it is published.
type snapshot struct {
	services           []platform.Service
	byName             map[string]*platform.Service
	servicesByDatabase map[string][]string // sorted names
	hash               uint32
}

// New returns an empty directory. isReader reports whether this VM is one of those that read the list often.
func New(lister Lister, log logrus.FieldLogger, isReader func() bool) *Directory {
	d := &Directory{lister: lister, log: log, changed: ring.NewSignal(), done: make(chan struct{})}
	d.poller = listpoll.New(d.readList, isReader)
	return d
}

// ListHash returns the hash of the list, 0 while the directory has none.
func (d *Directory) ListHash() uint32 {
	if s := d.current.Load(); s != nil {
		return s.hash
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
	return nil
}

func (d *Directory) runPoller(ctx context.Context) {
	defer close(d.done)
	d.poller.Run(ctx)
}

func (d *Directory) readList(ctx context.Context) (err error) {
	defer panics.Confine(d.log, "read of the service list", func() { err = errkind.New(errkind.Internal, "service list could not be handled") })
	list, err := d.lister.Services(ctx)
	if err != nil {
		d.log.WithError(err).Debug("cannot read the service list; keeping the last one")
		return err
	}
	d.applyList(d.withoutInvalid(list))
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
	if log, ok := d.skipLogLimit.Allow(d.log, m.Name); ok {
		log.WithError(err).WithField("member", m.Name).Warn("member in the service list cannot be used; ignoring it")
	}
}

// Adopt uses a list received from a peer, unless this VM has one already. A list that is read at the same time takes
// precedence.
func (d *Directory) Adopt(list []platform.Service) {
	if d.current.CompareAndSwap(nil, newSnapshot(d.withoutInvalid(list))) {
		d.changed.Raise()
	}
}

func (d *Directory) applyList(list []platform.Service) {
	old := d.current.Load()
	if old != nil && reflect.DeepEqual(old.services, list) {
		return
	}
	d.current.Store(newSnapshot(list))
	d.changed.Raise()
}

func newSnapshot(list []platform.Service) *snapshot {
	s := &snapshot{services: list, byName: map[string]*platform.Service{}, servicesByDatabase: map[string][]string{},
		hash: listpoll.Hash(list)}
	for i := range list {
		svc := &list[i]
		s.byName[svc.Name] = svc
		s.servicesByDatabase[svc.Database] = append(s.servicesByDatabase[svc.Database], svc.Name)
	}
	for _, names := range s.servicesByDatabase {
		sort.Strings(names)
	}
	return s
}

// Ready reports whether the directory has a list that was read since the start, by this VM or by a peer that passed it on.
func (d *Directory) Ready() bool { return d.current.Load() != nil }

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
