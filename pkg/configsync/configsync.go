// Package configsync keeps this daemon's copy of the configuration. Two VMs per data centre poll the row of the table
// service; versions travel in heartbeats and peers fetch a newer one at once. A daemon never installs a lower version.
//
// Changes are made by compare-and-set on the row, with an operation id inside it, so that a lost answer is decided by
// reading back. It does not judge what a configuration means: that is for clusterconfig, and for those who use it.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// RowKey is the key of the configuration row in the table service.
const RowKey = "configuration"

// Timing. With polls every second and heartbeats in between a change is in force everywhere well within 3 s.
const (
	pollInterval   = time.Second
	storeTimeout   = 2 * time.Second
	peerTimeout    = time.Second
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// startBackoff is the least first wait of a daemon that finds no store at its start; it is spread up to twice as much. A
	// fleet that starts at once would otherwise read several times in the first second.
	startBackoff      = time.Second
	askPeersDelay     = 300 * time.Millisecond // time that the store gets at start before peers are asked
	maxConcurrentAsks = 8                      // peers asked at the same time
	// offerCapacity bounds the offers that wait for fetchOffers. At the target size a VM has 55 peers in its data centre and a
	// few links, so that it holds three heartbeats of each while one peer is asked.
	offerCapacity = 256
)

// Store is the part of the platform that holds the configuration.
type Store interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
}

// Peers sends requests to other daemons.
type Peers interface {
	Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error)
}

// Membership is the local view of VMs.
type Membership interface {
	Self() platform.VM
	Live() []platform.VM
	// Listed returns the other VMs in the platform's last list.
	Listed() []platform.VM
}

// Options of a Sync.
type Options struct {
	Store      Store
	Peers      Peers
	Membership Membership
	Log        logrus.FieldLogger
	OnInstall  func(*clusterconfig.Document) // called after each change, in order
	Announce   func()                        // sends heartbeats at once
}

// Sync holds the configuration in force here. It is safe for concurrent use.
type Sync struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	offers  *ring.Ring[offer] // from heartbeats to fetchOffers

	installMu sync.Mutex // orders calls of OnInstall

	refusedLog, differingLog loglimit.Limiter

	mu   sync.Mutex
	copy LocalConfig
	// highestAnnounced is the highest version that a peer was heard to have in force.
	highestAnnounced uint64
	ready            bool
	changed          chan struct{}
	storeReads       uint64
}

// offer is a version that a peer announced.
type offer struct {
	vm      platform.VM
	version uint64
}

// New returns a Sync without a configuration.
func New(o Options) *Sync {
	s := &Sync{options: o, offers: ring.New[offer]("config-offers", offerCapacity, ring.DropOldest, 0), changed: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start begins to read the store and peers.
func (s *Sync) Start(context.Context) error {
	s.wg.Add(3)
	go s.pollStore()
	go s.fetchOffers()
	go s.askPeersUntilReady()
	return nil
}

// OfferStats returns the figures of the ring between heartbeats and the goroutine that asks peers.
func (s *Sync) OfferStats() ring.Stats { return s.offers.Stats() }

// Stop ends the goroutines.
func (s *Sync) Stop(context.Context) error {
	s.cancel()
	s.offers.Close()
	s.wg.Wait()
	return nil
}

// Current returns the configuration in force, or nil. Callers must not change it.
func (s *Sync) Current() *clusterconfig.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copy.Document()
}

// Ready reports whether there is a configuration and it is known not to be older than one that was in force: the
// store has answered since the start, or a majority of the other listed VMs of the data centre has.
func (s *Sync) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.copy.Document() != nil
}

// Changed returns a channel that is closed when the configuration or readiness changes next.
func (s *Sync) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// State returns the version and hash for heartbeats. A daemon that isn't ready vouches for no version.
func (s *Sync) State() (version uint64, hash uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return 0, 0
	}
	return s.copy.Version(), s.copy.Hash()
}

// StoreReads returns the number of reads of the store.
func (s *Sync) StoreReads() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeReads
}

// installIfNewer takes over stored bytes unless they are not newer.
func (s *Sync) installIfNewer(raw []byte) error {
	doc, err := clusterconfig.Parse(raw)
	if err != nil {
		return err
	}
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.mu.Lock()
	installed, err := s.copy.Install(doc, raw)
	if installed {
		s.notifyChanged()
	}
	s.mu.Unlock()
	if !installed {
		return err
	}
	s.options.Log.WithField("version", doc.Version).Info("configuration installed")
	if s.options.OnInstall != nil {
		s.options.OnInstall(doc)
	}
	if s.options.Announce != nil {
		s.options.Announce()
	}
	return nil
}

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

// isReader reports whether this VM is one of the two of its data centre that poll the store.
func (s *Sync) isReader() bool {
	return ownership.IsReader(s.options.Membership.Self(), s.options.Membership.Live())
}

// pollStore reads the row at start until the store answers, and in steady state when this VM is a reader. Delays are
// jitter, so that the fleet doesn't read in step when the store returns.
func (s *Sync) pollStore() {
	defer s.wg.Done()
	retryBackoff := backoff{last: startBackoff}
	for {
		wait := jitter(pollInterval)
		if !s.isReady() || s.isReader() {
			if err := s.readAndInstall(s.ctx); err != nil {
				wait = retryBackoff.next()
				s.logReadError(err)
			} else {
				retryBackoff = backoff{}
			}
		}
		if !sleep(s.ctx, wait) {
			return
		}
	}
}

// logReadError warns of a row that can't be used. A store that doesn't answer is normal while it is down.
func (s *Sync) logReadError(err error) {
	if errkind.Is(err, errkind.ConfigInvalid) {
		if log, ok := s.refusedLog.Allow(s.options.Log, ""); ok {
			log.WithError(err).Warn("configuration row refused; keeping the configuration in force")
		}
		return
	}
	s.options.Log.WithError(err).Debug("configuration row not read")
}

// readAndInstall reads and installs the row. A store that answers without a row counts as an answer.
func (s *Sync) readAndInstall(ctx context.Context) error {
	row, err := s.readRow(ctx)
	if err != nil {
		return err
	}
	if row.Value != nil {
		if err := s.installIfNewer(row.Value); err != nil {
			return err
		}
	}
	s.setReady()
	return nil
}

// readRow returns the row, the zero row if there is none.
func (s *Sync) readRow(ctx context.Context) (platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.mu.Lock()
	s.storeReads++
	s.mu.Unlock()
	row, err := s.options.Store.Get(ctx, RowKey)
	if isNotFound(err) {
		return platform.Row{}, nil
	}
	return row, err
}

// backoff is an exponential delay with full jitter in its upper half.
type backoff struct{ last time.Duration }

func (b *backoff) next() time.Duration {
	b.last = min(max(initialBackoff, 2*b.last), maxBackoff)
	return b.last/2 + rand.N(b.last/2)
}

// jitter varies d by a tenth.
func jitter(d time.Duration) time.Duration { return d - d/10 + rand.N(d/5) }

// sleep returns false when ctx ends first.
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

// storeUnavailableError is the error of an operation that needs the store.
func storeUnavailableError(cause error) error {
	return errkind.Wrap(errkind.StoreUnavailable, cause, "the configuration row could not be read or written")
}
