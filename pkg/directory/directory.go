// Package directory keeps the last known list of services. It polls the platform's lagging list and keeps the last
// answer while the platform is down; what members report about themselves takes precedence elsewhere.
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
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// Lister is the part of the platform that the directory reads.
type Lister interface {
	Services(ctx context.Context) ([]platform.Service, error)
}

// Directory holds the list.
type Directory struct {
	lister Lister
	log    logrus.FieldLogger
	poller *listpoll.Poller

	current atomic.Pointer[snapshot]
	changed ring.Signal
	cancel  context.CancelFunc
	done    chan struct{}
}

type snapshot struct {
	services  []platform.Service
	byName    map[string]*platform.Service
	databases map[string][]string
	hash      uint32
}

// New returns an empty directory. reader tells whether this VM is one of those that read the list often.
func New(lister Lister, log logrus.FieldLogger, reader func() bool) *Directory {
	d := &Directory{lister: lister, log: log, changed: ring.NewSignal(), done: make(chan struct{})}
	d.poller = listpoll.New(d.poll, reader)
	return d
}

// Hash names the content of the list, 0 before the first read.
func (d *Directory) Hash() uint32 {
	if s := d.current.Load(); s != nil {
		return s.hash
	}
	return 0
}

// RequestRead asks for a read of the list soon.
func (d *Directory) RequestRead() { d.poller.RequestRead() }

// Read reads the list at once, and returns after that or when ctx ends.
func (d *Directory) Read(ctx context.Context) { d.poller.Read(ctx) }

// Changed receives after changes of the list. It has one reader; changes that it has not seen yet are merged.
func (d *Directory) Changed() <-chan struct{} { return d.changed }

// Start begins to poll.
func (d *Directory) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.run(ctx)
	return nil
}

// Stop ends the polls.
func (d *Directory) Stop(context.Context) error {
	d.cancel()
	<-d.done
	return nil
}

func (d *Directory) run(ctx context.Context) {
	defer close(d.done)
	d.poller.Run(ctx)
}

func (d *Directory) poll(ctx context.Context) error {
	list, err := d.lister.Services(ctx)
	if err != nil {
		d.log.WithError(err).Debug("service list not read; keeping the last one")
		return err
	}
	d.install(list)
	return nil
}

// Adopt takes over a peer's list unless this VM has one, also if it gets one at the same moment.
func (d *Directory) Adopt(list []platform.Service) {
	if d.current.CompareAndSwap(nil, newSnapshot(list)) {
		d.changed.Raise()
	}
}

func (d *Directory) install(list []platform.Service) {
	old := d.current.Load()
	if old != nil && reflect.DeepEqual(old.services, list) {
		return
	}
	d.current.Store(newSnapshot(list))
	d.changed.Raise()
}

func newSnapshot(list []platform.Service) *snapshot {
	s := &snapshot{services: list, byName: map[string]*platform.Service{}, databases: map[string][]string{}, hash: listpoll.Hash(list)}
	for i := range list {
		svc := &list[i]
		s.byName[svc.Name] = svc
		s.databases[svc.Database] = append(s.databases[svc.Database], svc.Name)
	}
	for _, names := range s.databases {
		sort.Strings(names)
	}
	return s
}

// Ready reports whether a list has been read since the start, here or by a peer that passed it on.
func (d *Directory) Ready() bool { return d.current.Load() != nil }

// Services returns all services; callers must not change them.
func (d *Directory) Services() []platform.Service {
	if s := d.current.Load(); s != nil {
		return s.services
	}
	return nil
}

// Service returns one service.
func (d *Directory) Service(name string) (platform.Service, bool) {
	s := d.current.Load()
	if s == nil || s.byName[name] == nil {
		return platform.Service{}, false
	}
	return *s.byName[name], true
}

// Member returns one member of a service.
func (d *Directory) Member(service, member string) (platform.Member, bool) {
	svc, _ := d.Service(service)
	for _, m := range svc.Members {
		if m.Name == member {
			return m, true
		}
	}
	return platform.Member{}, false
}

// Resolve returns the service for a startup parameter `database` and a session key. A service name stands for
// itself; a database name with a key gives one of its services by rendezvous hashing, without a key the first.
func (d *Directory) Resolve(database, key string) (string, error) {
	s := d.current.Load()
	if s == nil {
		return "", errkind.New(errkind.NotReady, "the service list has not been read since the start")
	}
	if _, ok := s.byName[database]; ok {
		return database, nil
	}
	names := s.databases[database]
	if len(names) == 0 {
		return "", errkind.New(errkind.UnknownService, "no service or database is named %s", strconv.Quote(database))
	}
	if key == "" {
		return names[0], nil
	}
	return slices.MaxFunc(names, func(a, b string) int {
		x, y := score(key, a), score(key, b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	}), nil
}

func score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + name))
	// FNV leaves the high bits of short inputs alike; a finalizer spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
