// Package listpoll schedules the reads of the platform's lists. Two VMs of each data centre, its readers, read often. The
// others read seldom, and soon after a heartbeat shows that a peer's list differs from theirs. The package is independent
// of the content of the lists.
package listpoll

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

// Mean times between reads. Each interval is random, within half of the mean to either side, so that the VMs of a fleet
// do not read at the same time.
const (
	// ReaderInterval ensures that VMs and members which the list marks as leaving get no new work after 3 s: a reader reads
	// the change within 2.25 s, and its heartbeats then have the other VMs read it.
	ReaderInterval = 1500 * time.Millisecond
	// SharedReaderInterval takes its place where VMs get the list from each other: the readers of all data centres then read
	// for everyone, and those of a data centre that is cut off still read every 1.5 s on average.
	SharedReaderInterval = 3 * time.Second
	// NonReaderInterval limits how long a VM without peers keeps an old list. With 670 VMs and 2 readers in each of 12 data
	// centres it results in 60 reads/s per list; the platform takes 2,000 reads/s.
	NonReaderInterval = 15 * time.Second
)

const (
	readTimeout = 4 * time.Second
	// initialInterval is the mean time between reads until one has succeeded. It keeps a fleet that starts while the platform
	// is down below the 2,000 reads/s that the platform takes; with shorter intervals 672 VMs made 6,345 in the first second.
	initialInterval = 2 * time.Second
	// minRequestDelay is the least time between a read and a requested read after it, and doubles up to maxRequestDelay with
	// each requested read. It limits the reads while two VMs get different content from a lagging platform. It doubles, since
	// a VM that has read new content receives a request for each peer that has not: with a constant delay 672 VMs made 2,364
	// reads in the second after a change, and the platform takes 2,000.
	minRequestDelay = 500 * time.Millisecond
	maxRequestDelay = time.Second
	// requestSpread is the range of a random delay that spreads the reads of VMs which learn of a change at the same time.
	// 0.5 s remain for it of the 3 s after which VMs and members that the list marks as leaving must get no new work.
	requestSpread = 250 * time.Millisecond
)

// Poller calls a function that reads one list, at intervals and on request. It is safe for concurrent use.
type Poller struct {
	read      func(ctx context.Context) error
	isReader  func() bool
	requested ring.Signal
	immediate chan chan struct{} // requests a read at once; the channel sent is closed after the read
	hasRead   atomic.Bool
	skip      func() bool // reports whether a VM that is no reader leaves out its reads; nil: never
}

// New returns a poller that calls read. isReader reports whether this VM is one of the readers, which read often.
func New(read func(ctx context.Context) error, isReader func() bool) *Poller {
	return &Poller{read: read, isReader: isReader, requested: ring.NewSignal(), immediate: make(chan chan struct{})}
}

// SkipWhile leaves out the reads of a VM that is no reader while current reports that its list is current, but for those that
// ReadNow requests. SkipWhile must be called before Run.
func (p *Poller) SkipWhile(current func() bool) { p.skip = current }

// HasRead reports whether a read has succeeded.
func (p *Poller) HasRead() bool { return p.hasRead.Load() }

// RequestRead requests a read before the next regular one. It does not block.
func (p *Poller) RequestRead() { p.requested.Raise() }

// ReadNow requests a read at once. It returns when the read has ended or ctx is done.
func (p *Poller) ReadNow(ctx context.Context) {
	done := make(chan struct{})
	select {
	case p.immediate <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run reads the list until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	requestDelay := minRequestDelay
	var done chan struct{}
	for ctx.Err() == nil {
		if done != nil || p.skip == nil || p.isReader() || !p.skip() {
			p.readOnce(ctx)
		}
		if done != nil {
			close(done)
		}
		var requested bool
		if requested, done = p.wait(ctx, requestDelay); requested {
			requestDelay = min(2*requestDelay, maxRequestDelay)
		} else {
			requestDelay = minRequestDelay
		}
	}
}

func (p *Poller) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if p.read(ctx) == nil {
		p.hasRead.Store(true)
	}
}

// wait waits until the next read is due or ctx is done. It reports whether the read was requested by RequestRead, and
// returns the channel to close after a read that ReadNow requested. Requests of RequestRead are taken only after
// requestDelay.
func (p *Poller) wait(ctx context.Context, requestDelay time.Duration) (requested bool, done chan struct{}) {
	delay := time.NewTimer(requestDelay)
	defer delay.Stop()
	due := time.NewTimer(p.randomInterval())
	defer due.Stop()
	var requests <-chan struct{}
	var spread <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return false, nil
		case done = <-p.immediate:
			return false, done
		case <-due.C:
			return spread != nil, nil
		case <-delay.C:
			requests = p.requested
		case <-requests:
			requests = nil
			timer := time.NewTimer(rand.N(requestSpread))
			defer timer.Stop()
			spread = timer.C
		case <-spread:
			return true, nil
		}
	}
}

func (p *Poller) randomInterval() time.Duration {
	mean := NonReaderInterval
	switch {
	case !p.HasRead():
		mean = initialInterval
	case p.isReader() && p.skip != nil:
		mean = SharedReaderInterval
	case p.isReader():
		mean = ReaderInterval
	}
	return mean/2 + rand.N(mean)
}

// Hash returns a hash of the content of a list, which is the same on all VMs that read the same content. It is never 0.
func Hash(list any) uint32 {
	data, err := json.Marshal(list)
	if err != nil {
		return 1
	}
	return max(crc32.ChecksumIEEE(data), 1)
}
