// Package membership holds a daemon's view of the entry VMs. It combines the platform's lagging list with heartbeats:
// heartbeats and draining flags beat the list. All VMs of a data centre exchange heartbeats with each other; data
// centres learn of each other over two links per pair, whose ends pass on which VMs are alive.
//
// The view decides who does the work, never what counts: a wrong view costs time, not correctness. It sends no work
// and closes no connection itself; Options.OnGone tells who does.
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

// Heartbeat interval: MinInterval, and at least IntervalPerPeer for each peer in the data centre, so that the cost of
// a node stays the same as the data centre grows.
const (
	MinInterval     = 200 * time.Millisecond
	IntervalPerPeer = 20 * time.Millisecond
	MissedLimit     = 3 // heartbeats missed before a VM may count as gone; a fresh connection decides too
)

// Timing of the list and of evidence.
const (
	probeMinimum  = 500 * time.Millisecond // time that a fresh connection gets
	goneRetry     = 500 * time.Millisecond // mean time between attempts to reach a VM that counts as gone
	goneMinimum   = time.Second            // a VM of another data centre that failed isn't chosen for a link for so long
	goneIntervals = 2                      // or for so many heartbeat intervals
	forgetAfter   = time.Minute            // an unlisted VM that counts as gone is dropped from the view
	staleMinimum  = 3 * time.Second        // a data centre of which nothing was heard for so long has no live VMs
	staleInterval = 10                     // or for so many heartbeat intervals
	checkInterval = 500 * time.Millisecond // between evaluations of what time alone changes
	// gatherTime passes between a message with news and its evaluation, so that one evaluation covers many messages.
	// While a fleet starts or a data centre fails almost every message brings news, and an evaluation for each takes
	// more time than the messages themselves.
	gatherTime = 20 * time.Millisecond
)

// Lister is the part of the platform that membership reads.
type Lister interface {
	VMs(ctx context.Context) ([]platform.VM, error)
}

// Transport reaches other daemons; peer.Pool implements it.
type Transport interface {
	Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error)
	// Probe dials a fresh connection, which replaces silent ones. An error means that the VM counts as gone.
	Probe(ctx context.Context, vm platform.VM) error
}

// State is what this daemon tells its peers besides its liveness.
type State struct {
	ConfigVersion uint64
	ConfigHash    uint32
	Owned         uint64 // members owned
	Waiting       uint64 // units queued at the owned members
	Lists         uint32 // content of the platform's lists as last read; a peer with other content reads them again
}

// Options of a view.
type Options struct {
	Self        platform.VM
	Lister      Lister
	Transport   Transport
	Log         logrus.FieldLogger
	State       func() State                              // nil: zero state
	CanOwn      func() bool                               // false: this VM cannot serve members yet; nil: it can
	OnHeartbeat func(from platform.VM, s State)           // called for each heartbeat; must not block
	OnGone      func(vm platform.VM)                      // called when a VM counts as gone; must not block
	Interval    func(peersInDataCentre int) time.Duration // nil: Interval
}

// Interval returns the heartbeat interval for a number of peers in the data centre.
func Interval(peers int) time.Duration { return max(MinInterval, time.Duration(peers)*IntervalPerPeer) }

// peer is what is known of another VM.
type peer struct {
	vm        platform.VM
	told      string // address that the VM's own requests last named
	moved     bool   // they named another address than before: the VM was replaced and the list lags
	listed    bool
	heard     time.Time // last message; zero: never
	gone      bool      // neither the last connection nor a fresh one answered
	goneAt    time.Time
	unreached bool // no connection could be opened to it, which is in another data centre; see View.MarkUnreachable
	retrying  bool // a goroutine tries to reach it again
	draining  bool
	state     State
	sections  []wire.Section // as last received
	digest    uint32         // names their content
	seen      uint32         // digest of this daemon's sections that the peer has
	offered   uint32         // digest of those that it was sent last, if any were
	sent      bool
	deltas    bool  // it takes deltas
	loop      *loop // nil when there is no heartbeat link

	dc                  *dataCentre // set by touch, as are the next three
	contact             bool        // heard or tried since it was added
	reachable, unlisted bool        // counted in the view
	// As of the last evaluation; usable is fresh and not gone.
	wasFresh, wasHeld, usable bool
}

// View is the local view of VMs. It is safe for concurrent use.
type View struct {
	o        Options
	draining atomic.Bool
	leaving  atomic.Bool // the list marks this VM as leaving
	listHash atomic.Uint32
	poller   *listpoll.Poller
	live     atomic.Pointer[[]platform.VM]
	sent     atomic.Uint64 // heartbeats sent, requests and replies
	sentSize atomic.Uint64 // their bytes without frame headers
	logGone  loglimit.Limiter

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	peers    map[string]*peer
	started  time.Time
	sections map[string]time.Time // when a data centre's section was last held
	changed  chan struct{}
	news     ring.Signal // messages have changed what is known
	// dataCentres and links are those of the last evaluation.
	dataCentres  map[string]*dataCentre
	links        []platform.VM
	contacts     []*peer       // peers heard or tried, by name
	ownReachable int           // peers of the own data centre that are not gone
	unlisted     int           // peers that the list does not name
	placed       bool          // VMs were added or removed since links were last checked
	inDirty      bool          // in may have changed
	wasAway      bool          // as of the last evaluation, this VM took no work
	list         []platform.VM // as last read or adopted, with this VM
	out, in      digest        // for other data centres and for the own one
	outPast      past          // earlier ones
	inPast       past
	stopped      bool
}

// New returns a view that knows only its own VM until Start.
func New(o Options) *View {
	if o.State == nil {
		o.State = func() State { return State{} }
	}
	if o.CanOwn == nil {
		o.CanOwn = func() bool { return true }
	}
	if o.Interval == nil {
		o.Interval = Interval
	}
	v := &View{o: o, peers: map[string]*peer{}, sections: map[string]time.Time{}, changed: make(chan struct{}),
		news: ring.NewSignal(), started: time.Now(), dataCentres: map[string]*dataCentre{}}
	v.poller = listpoll.New(v.pollList, v.IsReader)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evaluate()
	return v
}

// Start begins to read the list and to exchange heartbeats.
func (v *View) Start(context.Context) error {
	v.wg.Add(2)
	go v.readList()
	go v.watchTime()
	return nil
}

// Stop ends the view's goroutines.
func (v *View) Stop(context.Context) error {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.cancel()
	v.wg.Wait()
	return nil
}

// Self returns this daemon's VM.
func (v *View) Self() platform.VM { return v.o.Self }

// Live returns the VMs that take work, sorted by name. Callers must not change the slice.
func (v *View) Live() []platform.VM { return *v.live.Load() }

// Ready reports whether the list has been read since the start, here or by a peer that passed it on.
func (v *View) Ready() bool { return v.listHash.Load() != 0 }

// Changed returns a channel that is closed at the next change of Live.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// VM returns a known VM, also one that is draining or gone.
func (v *View) VM(name string) (platform.VM, bool) {
	if name == v.o.Self.Name {
		return v.o.Self, true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[name]; p != nil {
		return p.vm, true
	}
	return platform.VM{}, false
}

// Listed returns the VMs other than this one that the platform listed last, leaving ones excepted.
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
	VM       platform.VM
	Listed   bool
	Live     bool
	Linked   bool // heartbeats are exchanged with it
	Gone     bool
	Draining bool
	Age      time.Duration // since the last heartbeat; negative: none
	State    State
}

// Peers returns all known VMs but this one, sorted by name.
func (v *View) Peers() []Peer {
	live := v.Live()
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		age := time.Duration(-1)
		if !p.heard.IsZero() {
			age = time.Since(p.heard)
		}
		isLive := slices.ContainsFunc(live, func(l platform.VM) bool { return l.Name == p.vm.Name })
		out = append(out, Peer{p.vm, p.listed, isLive, p.loop != nil, p.gone, p.draining, age, p.state})
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return out
}

// Draining reports whether this VM takes no new work: SetDraining was called, or the list marks it as leaving.
func (v *View) Draining() bool { return v.draining.Load() || v.leaving.Load() }

// away reports whether this VM takes no work: it drains, or it cannot serve members yet. Its peers see both as draining.
func (v *View) away() bool { return v.Draining() || !v.o.CanOwn() }

// UpdateCanOwn evaluates what Options.CanOwn answers. If it has changed, all peers are told at once.
func (v *View) UpdateCanOwn() {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := v.wasAway
	v.evaluate()
	if v.wasAway != was {
		v.pushAll()
	}
}

// SetDraining takes this VM out of Live here and tells all peers at once. Heartbeats go on.
func (v *View) SetDraining() {
	v.draining.Store(true)
	v.mu.Lock()
	v.evaluate()
	v.mu.Unlock()
	v.Announce()
}

// Announce sends the present state to all peers without waiting for their next heartbeat.
func (v *View) Announce() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pushAll()
}

// pushAll asks for a heartbeat to each linked peer at once. The caller holds mu.
func (v *View) pushAll() {
	for _, p := range v.peers {
		if p.loop != nil {
			p.loop.wake.Raise()
		}
	}
}

// ConnectionLost tells the view that a control connection with a VM has ended, so that it is checked at once.
func (v *View) ConnectionLost(vm platform.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p := v.peers[vm.Name]; p != nil && p.loop != nil {
		p.loop.wake.Raise()
	}
}

// Traffic returns the heartbeats sent and their bytes, frame headers excepted.
func (v *View) Traffic() (messages, bytes uint64) { return v.sent.Load(), v.sentSize.Load() }

func sortVMs(vms []platform.VM) {
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
}

// watchTime evaluates news, and what time alone changes: evidence that gets stale.
func (v *View) watchTime() {
	defer v.wg.Done()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	gather, gathering := time.NewTimer(gatherTime), true
	defer gather.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return
		case <-v.news:
			if !gathering { // counts from the first message: a steady stream must not put it off
				gather.Reset(gatherTime)
				gathering = true
			}
			continue
		case <-gather.C:
			gathering = false
		case <-t.C:
		}
		v.mu.Lock()
		v.evaluate()
		v.mu.Unlock()
	}
}
