// Package configsync keeps this daemon's copy of the configuration. The configuration is one row of the table service,
// which two VMs per data centre poll. Daemons announce their version in heartbeats, and a peer with a lower version fetches
// the newer one at once. A daemon never installs a version lower than its own.
//
// Changes are made by compare-and-set on the row. The row holds the id of the operation that wrote it, so that the
// outcome of an operation whose answer was lost can be found out by reading the row. The package does not interpret a
// configuration; package clusterconfig and the users of the configuration do.
package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// RowKey is the key of the configuration row in the table service.
const RowKey = "configuration"

// Intervals, time-outs and limits. With a poll every second and heartbeats in between, a change is in force on all
// daemons well within 3 s.
const (
	pollInterval   = time.Second
	storeTimeout   = 2 * time.Second
	peerTimeout    = time.Second
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// watchTime is how long one request waits for a change. Together with storeTimeout it bounds how long a connection that
	// has gone silent keeps a reader from learning of changes.
	watchTime = 3 * time.Second
	// watchPause is the pause after a watch, which bounds the requests when changes follow each other.
	watchPause = 100 * time.Millisecond
	// readerStartInterval is the mean time between the reads of a reader from the start until the table service has answered.
	// It bounds how long a fleet that has lost power is down after the table service is back. otherStartInterval is that of
	// the other VMs, which ask the readers: a document may have hundreds of KB, and regions share a slow link. With both, 670
	// VMs make 300 reads/s, of the 2,000 that the platform takes.
	readerStartInterval = 600 * time.Millisecond
	otherStartInterval  = 2400 * time.Millisecond
	// listWait is how long a VM waits at its start for the list that says which VMs are readers.
	listWait = 300 * time.Millisecond
	// askReadersInterval is the mean time between requests to the readers at the start.
	askReadersInterval = 200 * time.Millisecond
	askPeersDelay      = 300 * time.Millisecond // time that the table service has to answer after the start before peers are asked
	maxConcurrentAsks  = 8                      // number of peers asked at the same time
	// offerCapacity limits the offers that wait for fetchOffers. At the target size a VM has 55 peers in its data centre and
	// links with a few other VMs. The ring holds three heartbeats of each while one peer is asked.
	offerCapacity = 256
)

// Store is the table service, which holds the configuration row.
type Store interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
}

// Watcher is a Store that can wait for changes. Readers then learn of a change at once, and with fewer requests.
type Watcher interface {
	// Watch returns the row when it has changed since the last call of Watch or Get. After wait it returns the row as it is.
	Watch(ctx context.Context, key string, wait time.Duration) (platform.Row, error)
}

// Peers sends requests to other daemons.
type Peers interface {
	Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error)
}

// Membership is this VM's view of the entry VMs.
type Membership interface {
	Self() platform.VM
	// IsReader reports whether this VM is one of the two of its data centre that read the table service.
	IsReader() bool
	// Listed returns the other VMs in the platform's last list.
	Listed() []platform.VM
}

// Options configures a Sync.
type Options struct {
	Store      Store
	Peers      Peers
	Membership Membership
	Log        logrus.FieldLogger
	OnInstall  func(*clusterconfig.Document) // called with each document that comes into force here, in the order of versions; may be nil
	OnAnswer   func()                        // called when the table service answers for the first time; must not block; may be nil
	Announce   func()                        // sends heartbeats at once; called with each newer version; may be nil
}

// Sync holds the configuration in force on this daemon. It is safe for concurrent use.
type Sync struct {
	options  Options
	watcher  Watcher // options.Store, or nil if it cannot wait for changes
	started  time.Time
	onDemand readOnDemand
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	offers   *ring.Ring[offer] // put by ObserveAnnouncement, taken by fetchOffers
	readSelf ring.Signal       // raised when this VM need not wait for the readers at its start

	installMu sync.Mutex // held while a document comes into force, so that OnInstall is called in the order of versions

	refusedRowLogLimit, differingContentLogLimit, unconfirmedLogLimit loglimit.Limiter

	mu      sync.Mutex
	copy    LocalConfig             // the newest version known; given to peers
	inForce *clusterconfig.Document // the version by which callers are served; nil for none; see hold
	// highestAnnounced is the highest version that a peer has named in a heartbeat, a handshake or a request.
	highestAnnounced uint64
	lastRead         time.Time // start of the latest successful read of the row
	lastTurnedAway   time.Time // start of the latest read that the table service refused
	ready            bool      // the copy is known not to be older than a version that was in force; see Ready
	changed          chan struct{}
	storeReads       uint64
	refusal          string // why the row that was read last cannot be used; "" if it can
}

// offer is a version that a peer announced.
type offer struct {
	vm      platform.VM
	version uint64
}

// New returns a Sync without a configuration.
func New(o Options) *Sync {
	s := &Sync{options: o, offers: ring.New[offer]("config-offers", offerCapacity, ring.DropOldest, 0), readSelf: ring.NewSignal(),
		changed: make(chan struct{}), started: time.Now()}
	s.watcher, _ = o.Store.(Watcher)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start begins to read the configuration from the table service and from peers.
func (s *Sync) Start(context.Context) error {
	s.wg.Add(4)
	go s.pollStore()
	go s.fetchOffers()
	go s.askReadersUntilReady()
	go s.askPeersUntilReady()
	return nil
}

// OfferStats returns the statistics of the ring between ObserveAnnouncement and the goroutine that asks peers.
func (s *Sync) OfferStats() ring.Stats { return s.offers.Stats() }

// Stop ends the reading of the configuration. The installed one stays available.
func (s *Sync) Stop(context.Context) error {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.offers.Close()
	s.wg.Wait()
	return nil
}

// Installed returns the configuration in force here, or nil if there is none. Callers must not change it.
func (s *Sync) Installed() *clusterconfig.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// newest returns the newest configuration known, which may not be in force here yet, or nil if there is none.
func (s *Sync) newest() *clusterconfig.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Document()
}

// Ready reports whether there is a configuration and it is known not to be older than any that was in force. That is
// known once the table service, or a majority of the other listed VMs of the data centre, has answered since the start.
func (s *Sync) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.inForce != nil
}

// Changed returns a channel that is closed when the configuration or readiness changes next.
func (s *Sync) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// State returns the version and hash to report in heartbeats, which may not be in force here yet. They are 0 until the daemon
// is ready, since before that its configuration may be older than the one in force.
func (s *Sync) State() (version uint64, hash uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, 0
	}
	return s.copy.Version(), s.copy.Hash()
}

// StoreReads returns how often the configuration row has been read.
func (s *Sync) StoreReads() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeReads
}

// Problems returns what an operator should know of the configuration: the entries that are ignored, and that the row which this VM
// has read last is refused as a whole.
func (s *Sync) Problems() (ignored []string, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce != nil {
		ignored = s.inForce.Ignored
	}
	return ignored, s.refusal
}

// noteRow records whether the row that was read can be used. A read that failed for other reasons says nothing about the row.
func (s *Sync) noteRow(err error) {
	if err != nil && !errkind.Is(err, errkind.ConfigInvalid) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = ""
	if err != nil {
		s.refusal = err.Error()
	}
}

// installIfNewer parses the stored form of a document and keeps the document if it is newer than the newest one known. The
// document comes into force at once, or after hold if it replaces one by which callers may be served.
func (s *Sync) installIfNewer(raw []byte) error {
	doc, err := clusterconfig.Parse(raw)
	if err != nil {
		return err
	}
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.mu.Lock()
	installed, err := s.copy.Install(doc, raw)
	replaces := s.ready && s.inForce != nil
	s.mu.Unlock()
	if !installed {
		return err
	}
	if !replaces {
		s.putInForce(doc)
	}
	if s.options.Announce != nil {
		s.options.Announce()
	}
	if replaces {
		s.hold(doc)
	}
	return nil
}

// notifyChanged wakes those who wait on Changed. The caller holds s.mu.
func (s *Sync) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Sync) setReady() {
	s.mu.Lock()
	if !s.ready {
		s.ready = true
		s.notifyChanged()
	}
	s.mu.Unlock()
}

func (s *Sync) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// pollStore reads the row until this daemon is ready, and after that while this VM is a reader. The delays have a random
// part, so that the VMs do not all read at the same moment when the table service is reachable again.
func (s *Sync) pollStore() {
	defer s.wg.Done()
	s.awaitList()
	startInterval := readerStartInterval
	if !s.options.Membership.IsReader() {
		startInterval = otherStartInterval
		if !s.awaitReaders(startInterval/2 + rand.N(startInterval/2)) {
			return
		}
	}
	retryBackoff := backoff{last: startInterval}
	answered := false
	for {
		wait := jitter(pollInterval)
		if !s.isReady() || s.options.Membership.IsReader() {
			watched := s.isReady() && s.watcher != nil
			err := s.pollOnce(watched)
			switch {
			case err == nil:
				retryBackoff = backoff{}
				if watched {
					wait = jitter(watchPause)
				}
				if !answered && s.options.OnAnswer != nil {
					s.options.OnAnswer()
				}
				answered = true
			case answered || errors.Is(err, platform.ErrRateLimited):
				wait = retryBackoff.next()
				s.logReadError(err)
			default:
				wait = startInterval/2 + rand.N(startInterval)
				s.logReadError(err)
			}
		}
		if !sleep(s.ctx, wait) {
			return
		}
	}
}

// pollOnce reads the row, or watches it for a change. Requests that want a read wait for this one instead of making another.
func (s *Sync) pollOnce(watch bool) error {
	if !watch {
		s.onDemand.mu.Lock()
		defer s.onDemand.mu.Unlock()
	}
	return s.readAndInstall(s.ctx, watch)
}

// logReadError logs a warning about a row that cannot be used. A table service that does not answer is logged at debug
// level only, since every read fails while it is down.
func (s *Sync) logReadError(err error) {
	if errkind.Is(err, errkind.ConfigInvalid) {
		if log, ok := s.refusedRowLogLimit.Allow(s.options.Log, ""); ok {
			log.WithError(err).Warn("configuration row cannot be used; keeping the installed configuration")
		}
		return
	}
	s.options.Log.WithError(err).Debug("configuration row could not be read; trying again after a delay")
}

// readAndInstall reads the row, or watches it for a change, and installs its document if it is newer. A table service that
// answers that there is no row has answered, too, so that the daemon becomes ready.
func (s *Sync) readAndInstall(ctx context.Context, watch bool) (err error) {
	defer panics.Confine(s.options.Log, "read of the configuration", func() {
		err = errkind.New(errkind.Internal, "configuration row could not be handled")
	})
	start := time.Now()
	row, err := s.readRow(ctx, watch)
	if err != nil {
		s.noteRow(err)
		s.noteFailedRead(start, err)
		return err
	}
	if row.Value != nil {
		err = s.installIfNewer(row.Value)
	}
	if s.noteRow(err); err != nil {
		return err
	}
	s.mu.Lock()
	if start.After(s.lastRead) {
		s.lastRead = start
	}
	s.mu.Unlock()
	s.setReady()
	return nil
}

// readRow reads the row from the table service, or watches it for a change. It returns the zero Row if there is none.
func (s *Sync) readRow(ctx context.Context, watch bool) (platform.Row, error) {
	s.mu.Lock()
	s.storeReads++
	s.mu.Unlock()
	timeout, read := storeTimeout, s.options.Store.Get
	if watch {
		timeout += watchTime
		read = func(ctx context.Context, key string) (platform.Row, error) {
			return s.watcher.Watch(ctx, key, watchTime)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	row, err := read(ctx, RowKey)
	if isNotFound(err) {
		return platform.Row{}, nil
	}
	return row, err
}

// backoff yields random delays between half and all of a limit, which doubles from initialBackoff to maxBackoff. last is the
// latest limit.
type backoff struct{ last time.Duration }

// next returns the next delay.
func (b *backoff) next() time.Duration {
	b.last = min(max(initialBackoff, 2*b.last), maxBackoff)
	return b.last/2 + rand.N(b.last/2)
}

// jitter returns d, changed at random by up to a tenth.
func jitter(d time.Duration) time.Duration { return d - d/10 + rand.N(d/5) }

// sleep waits for d and reports whether it has passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// storeUnavailableError returns the error of an operation that needs the table service and could not reach it.
func storeUnavailableError(cause error) error {
	return errkind.Wrap(errkind.StoreUnavailable, cause, "the configuration row could not be read or written")
}
