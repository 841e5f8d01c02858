// Package membership holds a daemon's view of the entry VMs. It combines the platform's list, which lags, with
// heartbeats: a heartbeat and its draining flag take precedence over the list. All VMs of a data centre exchange
// heartbeats with each other. Each pair of data centres has two links, and the VMs at the ends of a link tell their own
// data centre which VMs of the other one are alive. They do so in sections: a section names the VMs of one data centre
// that are alive, and those of them that are draining. What the list, heartbeats, sections and failed attempts to reach a
// VM say about it is called the evidence on the VM.
//
// The view decides which VM does which work. Correctness does not depend on it: a wrong view only costs time. The view
// sends no work and closes no connections; Options.OnGone is called so that the daemon can.
package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/listpoll"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// The heartbeat interval is MinHeartbeatInterval, or HeartbeatIntervalPerPeer for each peer in the data centre if that is
// longer. A VM's heartbeat traffic therefore stays constant as the data centre grows.
const (
	MinHeartbeatInterval     = 200 * time.Millisecond
	HeartbeatIntervalPerPeer = 20 * time.Millisecond
	MissedHeartbeatLimit     = 3 // missed heartbeats after which a VM counts as gone, if a new connection to it fails too
)

// Timing of probes, and ages at which what is known of a VM or of a data centre expires.
const (
	minProbeTimeout     = 500 * time.Millisecond // shortest timeout of a probe
	goneRetryInterval   = 500 * time.Millisecond // mean time between attempts to reach a VM that is gone or unreachable
	minHoldOff          = time.Second            // time after a failed probe of a VM for which no link to it is chosen
	holdOffIntervals    = 2                      // minHoldOff or this many heartbeat intervals applies, whichever is longer
	unlistedRetention   = time.Minute            // time without heartbeats after which an unlisted VM is removed
	minStaleAfter       = 3 * time.Second        // time without a section after which a data centre is stale
	staleAfterIntervals = 10                     // minStaleAfter or this many heartbeat intervals applies, whichever is longer
	evaluationInterval  = 500 * time.Millisecond // between regular evaluations, which find expired evidence
	// evaluationDelay is the time between a message that changes the evidence and the evaluation, so that one evaluation
	// covers many messages. While a fleet starts or a data centre fails, almost every message changes something, and an
	// evaluation per message takes more time than the messages themselves.
	evaluationDelay = 20 * time.Millisecond
)

// Lister reads the platform's list of entry VMs.
type Lister interface {
	VMs(ctx context.Context) ([]platform.VM, error)
}

// Transport connects to other daemons. peer.Pool implements it.
type Transport interface {
	Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error)
	// Probe opens a new connection, which replaces connections that are silent. It returns an error if the VM cannot be
	// reached.
	Probe(ctx context.Context, vm platform.VM) error
}

// State is what a daemon reports to its peers in each heartbeat, besides that it is alive.
type State struct {
	ConfigVersion uint64
	ConfigHash    uint32
	OwnedMembers  uint64 // number of members owned
	QueuedUnits   uint64 // number of units queued at the owned members
	ListsHash     uint32 // hash of the platform's lists as last read; a peer whose hash differs gets or reads them again
	ListVersion   uint64 // version of the service list, 0 if the platform gives none
	ListComplete  bool   // the service list lacks no member that runs, see directory.Directory.ListComplete
}

// Options configure a View.
type Options struct {
	Self          platform.VM
	Lister        Lister
	Transport     Transport
	Log           logrus.FieldLogger
	State         func() State                              // state to report to peers; nil: the zero State
	CanOwnMembers func() bool                               // reports whether this VM can own members; nil: always
	OnHeartbeat   func(from platform.VM, s State)           // called for each heartbeat received; must not block
	OnGone        func(vm platform.VM)                      // called when a VM becomes gone, see Peer.Gone; must not block
	Interval      func(peersInDataCentre int) time.Duration // heartbeat interval; nil: the function Interval
}

// Interval returns the heartbeat interval for the given number of peers in the data centre.
func Interval(peers int) time.Duration {
	return max(MinHeartbeatInterval, time.Duration(peers)*HeartbeatIntervalPerPeer)
}

// peer holds what is known about another VM.
type peer struct {
	vm              platform.VM
	announcedAddr   string // address that the VM gave for itself in its last request
	addrChanged     bool   // the VM has given a new address: it was replaced, and the list may still hold the old address
	listed          bool
	lastHeard       time.Time // time of the last message; zero: none
	gone            bool      // neither the existing connection nor a new one answered
	lastFailed      time.Time
	unreachable     bool // no connection can be opened to it; only for VMs of other data centres, see View.MarkUnreachable
	retrying        bool // retryUnreachable runs for it
	draining        bool
	state           State
	sections        []wire.Section // the peer's sections, as last received
	receivedDigest  uint32         // digest of sections
	confirmedDigest uint32         // digest of this daemon's sections that the peer holds, by its own account
	sentDigest      uint32         // digest of this daemon's sections as of the last heartbeat sent to the peer
	heartbeatSent   bool           // sentDigest is set
	takesDeltas     bool           // the peer's version understands wire.Delta
	loop            *heartbeatLoop // nil when this VM exchanges no heartbeats with the peer

	dc                                *dataCentre // set by markChanged, as are the next three fields
	contacted                         bool        // a message from it has arrived, or an attempt to reach it has failed
	countedReachable, countedUnlisted bool        // included in View.reachableInOwnDC and View.unlistedPeers
	// Results of the last evaluation. usable: heard recently and not gone.
	wasHeardRecently, wasHeldOff, usable bool
}

// View is this daemon's view of the entry VMs. It is safe for concurrent use.
type View struct {
	options            Options
	draining           atomic.Bool
	leaving            atomic.Bool // the platform's list marks this VM as leaving
	listHash           atomic.Uint32
	poller             *listpoll.Poller
	live               atomic.Pointer[[]platform.VM]
	heartbeatsSent     atomic.Uint64 // requests and replies
	heartbeatBytesSent atomic.Uint64 // without frame headers
	failureLogLimit    loglimit.Limiter

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu              sync.Mutex
	peers           map[string]*peer
	started         time.Time
	sectionLastHeld map[string]time.Time // by data centre: when a usable peer last held a section of it
	changed         chan struct{}
	evidenceChanged ring.Signal // raised when a message has changed the evidence
	// dataCentres and links hold the results of the last evaluation.
	dataCentres                map[string]*dataCentre
	links                      []platform.VM
	contactedPeers             []*peer        // peers with contacted set, sorted by name
	reachableInOwnDataCentre   int            // number of peers in the own data centre that are not gone
	unlistedPeers              int            // number of peers that the list does not contain
	peersChanged               bool           // peers were added, removed or moved since the last updateLinks
	remoteSectionsDirty        bool           // remoteSections may be out of date
	wasUnavailable             bool           // result of unavailable in the last evaluation
	list                       []platform.VM  // as last read or adopted, including this VM
	ownSection, remoteSections sectionSet     // sent to other data centres and to the own one
	ownSectionHistory          sectionHistory // earlier values
	remoteSectionsHistory      sectionHistory
	stopped                    bool
}

// New returns a view that contains only its own VM until Start is called.
func New(o Options) *View {
	if o.State == nil {
		o.State = func() State { return State{} }
	}
	if o.CanOwnMembers == nil {
		o.CanOwnMembers = func() bool { return true }
	}
	if o.Interval == nil {
		o.Interval = Interval
	}
	v := &View{options: o, peers: map[string]*peer{}, sectionLastHeld: map[string]time.Time{}, changed: make(chan struct{}),
		evidenceChanged: ring.NewSignal(), started: time.Now(), dataCentres: map[string]*dataCentre{}}
	v.poller = listpoll.New(v.readList, v.IsReader)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evaluate()
	return v
}

// Start starts reading the list and exchanging heartbeats.
func (v *View) Start(context.Context) error {
	v.wg.Add(2)
	go v.runPoller()
	go v.runEvaluations()
	return nil
}

// Stop ends the view's goroutines and waits for them.
func (v *View) Stop(context.Context) error {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.cancel()
	v.wg.Wait()
	return nil
}

// Self returns this daemon's VM.
func (v *View) Self() platform.VM { return v.options.Self }

// Live returns the VMs that take work, sorted by name. Callers must not change the slice.
func (v *View) Live() []platform.VM { return *v.live.Load() }

// Ready reports whether the view has a list that was read since the start, by this VM or by a peer that passed it on.
func (v *View) Ready() bool { return v.listHash.Load() != 0 }

// Changed returns a channel that is closed when Live changes next.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// VM returns the named VM if it is known, even if it is draining or gone.
func (v *View) VM(name string) (platform.VM, bool) {
	if name == v.options.Self.Name {
		return v.options.Self, true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[name]; p != nil {
		return p.vm, true
	}
	return platform.VM{}, false
}

// Listed returns the VMs in the platform's last list, without this VM and those that are leaving.
func (v *View) Listed() []platform.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []platform.VM
	for _, p := range v.peers {
		if p.listed && p.vm.State != platform.VMLeaving {
			out = append(out, p.vm)
		}
	}
	sortVMs(out)
	return out
}

// Peer describes a VM for operators.
type Peer struct {
	VM             platform.VM
	Listed         bool
	Live           bool
	Linked         bool // this VM exchanges heartbeats with it
	Gone           bool // neither the existing connection nor a new one answered
	Draining       bool
	SinceHeartbeat time.Duration // time since the last heartbeat; negative: none was received
	State          State
}

// Peers returns all known VMs except this one, sorted by name.
func (v *View) Peers() []Peer {
	live := v.Live()
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		age := time.Duration(-1)
		if !p.lastHeard.IsZero() {
			age = time.Since(p.lastHeard)
		}
		isLive := slices.ContainsFunc(live, func(l platform.VM) bool { return l.Name == p.vm.Name })
		out = append(out, Peer{p.vm, p.listed, isLive, p.loop != nil, p.gone, p.draining, age, p.state})
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return out
}

// Draining reports whether this VM takes no new work, because SetDraining was called or the list marks it as leaving.
func (v *View) Draining() bool { return v.draining.Load() || v.leaving.Load() }

// unavailable reports whether this VM takes no work, because it is draining or cannot own members yet. Heartbeats
// report both as draining.
func (v *View) unavailable() bool { return v.Draining() || !v.options.CanOwnMembers() }

// UpdateCanOwnMembers evaluates the view again after Options.CanOwnMembers may have changed. If this VM's availability
// has changed, all peers are sent a heartbeat at once.
func (v *View) UpdateCanOwnMembers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.wasUnavailable
	v.evaluate()
	if v.wasUnavailable != was {
		v.requestHeartbeats()
	}
}

// SetDraining removes this VM from Live and sends all peers a heartbeat at once. Heartbeats continue.
func (v *View) SetDraining() {
	v.draining.Store(true)
	v.mu.Lock()
	v.evaluate()
	v.mu.Unlock()
	v.Announce()
}

// Announce sends the current state to all peers at once instead of with their next heartbeat.
func (v *View) Announce() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requestHeartbeats()
}

// requestHeartbeats has the loop of each linked peer send a heartbeat at once. The caller holds mu.
func (v *View) requestHeartbeats() {
	for _, p := range v.peers {
		if p.loop != nil {
			p.loop.wake.Raise()
		}
	}
}

// ConnectionLost tells the view that a control connection with a VM has ended, so that the VM is sent a heartbeat at once.
func (v *View) ConnectionLost(vm platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[vm.Name]; p != nil && p.loop != nil {
		p.loop.wake.Raise()
	}
}

// HeartbeatTraffic returns the number of heartbeats sent and their size without frame headers.
func (v *View) HeartbeatTraffic() (messages, bytes uint64) {
	return v.heartbeatsSent.Load(), v.heartbeatBytesSent.Load()
}

func sortVMs(vms []platform.VM) {
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
}

// runEvaluations evaluates the view evaluationDelay after a change of the evidence, and regularly since evidence expires.
func (v *View) runEvaluations() {
	defer v.wg.Done()
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	delay, delayed := time.NewTimer(evaluationDelay), true
	defer delay.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case <-v.evidenceChanged:
			if !delayed { // counted from the first change: a steady stream of messages must not postpone it
				delay.Reset(evaluationDelay)
				delayed = true
			}
			continue
		case <-delay.C:
			delayed = false
		case <-ticker.C:
		}
		v.mu.Lock()
		v.evaluate()
		v.mu.Unlock()
	}
}
