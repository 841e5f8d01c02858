// Package peer connects daemons: handshake, multiplexed requests, streamed answers with flow control, detection of
// silent connections, and a limit on bytes between regions. A Server accepts connections and runs units through a
// unit.Executor; a Pool dials other daemons and forwards units to them.
//
// Data and control messages use separate connections, so that bulk data never delays heartbeats.
//
// It does not decide which VMs are alive or where a unit runs, and never sends a unit again that may have been received.
package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Default values of Options.
const (
	DefaultDialTimeout  = time.Second
	DefaultWriteTimeout = 2 * time.Second
	DefaultWindow       = 64 << 10 // bytes; at 24 ms round trip between regions one answer gets 2.7 MB/s
	DefaultMaxUnits     = 4096     // units running at once for one peer connection
)

// Timing of silence detection. A data connection with unanswered requests is pinged after pingAfter without a byte
// received, and is suspect after silentAfter, which is three missed pings.
const (
	pingAfter          = 200 * time.Millisecond
	silentAfter        = 4 * pingAfter
	idlePingAfter      = 2 * time.Second        // idle data connections, so that the server notices a peer that vanished
	idleCloseAfter     = 60 * time.Second       // data connections without requests or open transactions
	serverSilenceLimit = 4 * idlePingAfter      // a data connection without a byte received for so long is dead
	answerGrace        = 250 * time.Millisecond // wait for an answer past a request's deadline
	cancelGrace        = time.Second            // wait for the outcome of a cancelled unit
	maxChunkPayload    = 16 << 10               // payload bytes of one chunk
)

// Options of a Server and a Pool.
type Options struct {
	Self    platform.VM
	Cluster string
	TLS     *tls.Config // nil: plain TCP. The Pool uses it as client, the Server as server configuration
	Limiter *Limiter    // shared by Server and Pool; nil: a limiter with the default rate
	Stats   *Stats      // shared by Server and Pool; nil: a new one

	DialTimeout  time.Duration
	WriteTimeout time.Duration
	Window       int // credit in bytes of one answer
	MaxUnits     int

	// Executor runs forwarded units. Only the Server uses it. Rollback of a transaction isn't called while a unit of
	// that transaction runs.
	Executor unit.Executor
	// OnUnreachable is called when no connection to a VM could be opened. It must not block. Only the Pool uses it.
	OnUnreachable func(vm platform.VM)
	// OnConnectionLost is called when an established control connection breaks, so that membership checks the VM at once. It
	// must not block. Connections that this daemon closed itself are not reported.
	OnConnectionLost func(vm platform.VM)

	instance uint64 // identifies one run of a daemon to its peers
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.Window < wire.ChunkCost(maxChunkPayload) || o.Window > maxWindow {
		o.Window = DefaultWindow
	}
	if o.MaxUnits <= 0 {
		o.MaxUnits = DefaultMaxUnits
	}
	if o.Limiter == nil {
		o.Limiter = NewLimiter(0)
	}
	if o.Stats == nil {
		o.Stats = NewStats()
	}
	if o.OnConnectionLost == nil {
		o.OnConnectionLost = func(platform.VM) {}
	}
	o.instance = rand.Uint64()
	return o
}

// Handler answers a request of a registered type. from is the peer as named in its handshake. The body belongs to the
// handler.
type Handler func(ctx context.Context, from platform.VM, body []byte) ([]byte, error)

// Stats counts traffic by region and purpose. It is safe for concurrent use.
type Stats struct {
	mu       sync.Mutex
	traffic  map[TrafficKey]*Traffic
	Dials    atomic.Uint64 // connections dialled
	Suspect  atomic.Uint64 // connections that became suspect
	Replaced atomic.Uint64 // times that a fresh connection replaced older ones
}

// TrafficKey names a counter.
type TrafficKey struct {
	Region  string
	Control bool
}

// Traffic counts bytes and frames on connections with one region.
type Traffic struct {
	SentBytes, ReceivedBytes   atomic.Uint64
	SentWrites, ReceivedFrames atomic.Uint64
}

// NewStats returns zeroed counters.
func NewStats() *Stats { return &Stats{traffic: map[TrafficKey]*Traffic{}} }

// maxTrafficKeys bounds the counters: regions are named by peers, and each one becomes a label of the metrics.
const maxTrafficKeys = 64

// otherRegions names the counters of regions beyond maxTrafficKeys.
const otherRegions = "other"

// Traffic returns the counters of a region, creating them as needed.
func (s *Stats) Traffic(k TrafficKey) *Traffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.traffic[k]
	if t == nil && len(s.traffic) >= maxTrafficKeys {
		k.Region = otherRegions
		t = s.traffic[k]
	}
	if t == nil {
		t = &Traffic{}
		s.traffic[k] = t
	}
	return t
}

// Each calls f for every counter.
func (s *Stats) Each(f func(TrafficKey, *Traffic)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, t := range s.traffic {
		f(k, t)
	}
}
