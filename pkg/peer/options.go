// Package peer implements the connections between daemons: the handshake, multiplexed requests, streamed answers with flow
// control, the detection of silent connections, and a limit on the bytes sent between regions. A Server accepts
// connections and runs units through a unit.Executor. A Pool dials other daemons and forwards units to them.
//
// Data and control messages use separate connections, so that bulk data never delays heartbeats.
//
// The package does not decide which VMs are alive or where a unit runs, and never sends a unit a second time if the peer may
// have received it.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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

// Times of silence detection and of waits for late answers, and the size of chunks. A data connection with unanswered
// requests is pinged after pingAfter without a byte received, and is suspect after silentAfter, which is three missed pings.
const (
	pingAfter          = 200 * time.Millisecond
	silentAfter        = 4 * pingAfter
	idlePingAfter      = 2 * time.Second        // pings an idle data connection, so that the server can tell a vanished client
	idleCloseAfter     = 60 * time.Second       // closes a connection without requests or open transactions
	serverSilenceLimit = 4 * idlePingAfter      // the server closes a data connection without a byte received for so long
	answerGrace        = 250 * time.Millisecond // how long to wait for an answer past a request's deadline
	cancelGrace        = time.Second            // how long to wait for the outcome of a cancelled unit
	maxChunkPayload    = 16 << 10               // bytes
)

// Options of a Server and a Pool.
type Options struct {
	Self    platform.VM
	Cluster string
	TLS     *tls.Config        // client configuration of a Pool, server configuration of a Server; nil for plain TCP
	Limiter *Limiter           // shared by Server and Pool; nil for a limiter with the default rate
	Stats   *Stats             // shared by Server and Pool; nil for new counters
	Log     logrus.FieldLogger // nil for none

	DialTimeout  time.Duration
	WriteTimeout time.Duration
	Window       int // credit in bytes of one answer
	MaxUnits     int // units, and also control messages, that run at once for one peer connection

	// Executor runs forwarded units. Only the Server uses it. Its Rollback isn't called while a unit of the transaction
	// runs.
	Executor unit.Executor
	// OnUnreachable is called when a connection to a VM could not be opened. It must not block. Only the Pool uses it.
	OnUnreachable func(vm platform.VM)
	// OnConnectionLost is called when an established control connection breaks, so that membership checks the VM at once. It
	// must not block. Connections that this daemon closed itself are not reported.
	OnConnectionLost func(vm platform.VM)
	// ConfigVersion returns the version of the configuration that a Hello names; nil: 0. A peer that is frozen finds the Hello
	// when it resumes, also if this daemon has given the connection up or has ended.
	ConfigVersion func() uint64
	// OnHello is called with the version of the configuration that a peer's Hello names. It must not block; nil: nothing.
	OnHello func(configVersion uint64)

	instance uint64 // identifies one run of a daemon to its peers
}

// withDefaults returns o with defaults for unset and unusable values, and with a new instance.
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
	if o.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		o.Log = log
	}
	if o.OnConnectionLost == nil {
		o.OnConnectionLost = func(platform.VM) {}
	}
	if o.ConfigVersion == nil {
		o.ConfigVersion = func() uint64 { return 0 }
	}
	if o.OnHello == nil {
		o.OnHello = func(uint64) {}
	}
	o.instance = rand.Uint64()
	return o
}

// Handler answers a request of the type that it is registered for. from is the peer as named in its Hello. body belongs to
// the handler.
type Handler func(ctx context.Context, from platform.VM, body []byte) ([]byte, error)

// Stats counts traffic by region and purpose, and events of connections. It is safe for concurrent use.
type Stats struct {
	mu       sync.Mutex
	traffic  map[TrafficKey]*Traffic
	Dials    atomic.Uint64 // connections dialled
	Suspect  atomic.Uint64 // connections that became suspect
	Replaced atomic.Uint64 // connections that were replaced by a new one
}

// TrafficKey names the counters of one region and purpose.
type TrafficKey struct {
	Region  string
	Control bool // true for control connections, false for data connections
}

// Traffic counts bytes, calls of the socket's write and received frames on the connections that a TrafficKey names.
type Traffic struct {
	SentBytes, ReceivedBytes   atomic.Uint64
	SentWrites, ReceivedFrames atomic.Uint64
}

// NewStats returns zeroed counters.
func NewStats() *Stats { return &Stats{traffic: map[TrafficKey]*Traffic{}} }

// maxTrafficKeys bounds the number of counters. A peer states its own region in the handshake, and each region becomes a
// label of the metrics, so without a bound a faulty peer could create any number of them.
const maxTrafficKeys = 64

// otherRegions is the region under which traffic is counted once there are maxTrafficKeys counters.
const otherRegions = "other"

// Traffic returns the counters that k names, and creates them if needed.
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

// Each calls f for the counters of every key.
func (s *Stats) Each(f func(TrafficKey, *Traffic)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, t := range s.traffic {
		f(k, t)
	}
}
