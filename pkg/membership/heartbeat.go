package membership

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// heartbeatLoop controls the goroutine that exchanges heartbeats with one peer. The end of a link whose VM name sorts
// first sends requests and the other end replies. The other end sends requests too when it has heard nothing.
type heartbeatLoop struct {
	cancel context.CancelFunc
	wake   ring.Signal // requests a heartbeat at once
}

func (p *peer) stopHeartbeats() {
	if p.loop != nil {
		p.loop.cancel()
		p.loop = nil
	}
}

// startHeartbeats starts the heartbeat loop of p unless it is running. The caller holds mu.
func (v *View) startHeartbeats(p *peer) {
	if p.loop != nil || v.stopped {
		return
	}
	ctx, cancel := context.WithCancel(v.ctx)
	l := &heartbeatLoop{cancel: cancel, wake: ring.NewSignal()}
	p.loop = l
	firstWait := rand.N(v.interval() / 2)
	v.wg.Add(1)
	go v.runHeartbeats(ctx, l, p.vm.Name, firstWait)
}

func (v *View) runHeartbeats(ctx context.Context, l *heartbeatLoop, name string, wait time.Duration) {
	defer v.wg.Done()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			requested = true
		case <-timer.C:
		}
		wait = v.heartbeatIfDue(ctx, name, requested)
		timer.Reset(wait)
	}
}

// heartbeatIfDue exchanges a heartbeat with a peer if one is due or requested, and returns the time until the next call.
func (v *View) heartbeatIfDue(ctx context.Context, name string, requested bool) time.Duration {
	v.mu.Lock()
	p := v.peers[name]
	if p == nil {
		v.mu.Unlock()
		return MinHeartbeatInterval
	}
	interval, vm, lastHeard, gone := v.interval(), p.vm, p.lastHeard, p.gone
	sendsRequests := v.options.Self.Name < name
	v.mu.Unlock()
	silence := time.Since(lastHeard)
	if !requested && !sendsRequests && silence < interval*3/2 {
		return interval*3/2 - silence // the other end sends the requests
	}
	replyTimeout := MissedHeartbeatLimit * interval
	if !sendsRequests {
		replyTimeout = MissedHeartbeatLimit*interval - interval*3/2 // one and a half intervals have passed without a message
	}
	var err error
	if gone {
		err = v.probe(ctx, vm, interval)
	} else {
		err = v.exchangeOrProbe(ctx, vm, replyTimeout, interval)
	}
	if err != nil && ctx.Err() == nil {
		v.recordFailure(name, lastHeard)
		return goneRetryInterval/2 + rand.N(goneRetryInterval)
	}
	return interval
}

// exchangeOrProbe exchanges a heartbeat. If there is no reply within an interval, it also probes the VM with a new
// connection while it waits for the reply, so that a VM that has vanished is detected as soon as both have failed. It
// returns nil if either succeeds.
func (v *View) exchangeOrProbe(ctx context.Context, vm platform.VM, replyTimeout, interval time.Duration) error {
	answered := make(chan error, 1)
	v.wg.Add(1)
	go func() {
		defer v.wg.Done()
		answered <- v.exchange(ctx, vm, replyTimeout)
	}()
	probeTimer := time.NewTimer(interval)
	defer probeTimer.Stop()
	select {
	case err := <-answered:
		if err == nil || ctx.Err() != nil {
			return err
		}
		return v.probe(ctx, vm, interval)
	case <-probeTimer.C:
	}
	if v.probe(ctx, vm, interval) == nil {
		return nil
	}
	return <-answered
}

// probe opens a new connection to a VM and exchanges a heartbeat over it.
func (v *View) probe(ctx context.Context, vm platform.VM, interval time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, max(minProbeTimeout, 2*interval))
	defer cancel()
	if err := v.options.Transport.Probe(ctx, vm); err != nil {
		return err
	}
	return v.exchange(ctx, vm, max(minProbeTimeout, 2*interval))
}

// recordFailure marks a VM as gone, unless a message from it has arrived since lastHeard.
func (v *View) recordFailure(name string, lastHeard time.Time) {
	v.mu.Lock()
	p := v.peers[name]
	newlyGone := false
	var vm platform.VM
	if p != nil && !p.lastHeard.After(lastHeard) {
		newlyGone, vm = !p.gone, p.vm
		p.gone, p.lastFailed = true, time.Now()
		p.confirmedDigest = 0
		if newlyGone {
			v.markChanged(p)
			v.evaluate()
		}
	}
	v.mu.Unlock()
	if newlyGone {
		// Limited, since in an unstable network a VM may fail repeatedly.
		if log, ok := v.failureLogLimit.Allow(v.options.Log, name); ok {
			log.WithField("vm", name).Warn("entry VM does not answer, not even on a new connection; it counts as gone, and other VMs take over its members")
		}
		if v.options.OnGone != nil {
			v.options.OnGone(vm)
		}
	}
}

// codec is an encoder and a decoder. They are pooled in codecs, since they keep buffers.
type codec struct {
	enc *wire.Encoder
	dec *wire.Decoder
}

var codecs = sync.Pool{New: func() any { return &codec{wire.NewEncoder(), wire.NewDecoder()} }}

// exchange sends a heartbeat and handles the reply.
func (v *View) exchange(ctx context.Context, vm platform.VM, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := v.encodeHeartbeat(vm)
	if err != nil {
		return err
	}
	reply, err := v.options.Transport.Request(ctx, vm, wire.TypeHeartbeat, body)
	if err != nil {
		return err
	}
	return v.handleHeartbeat(vm, reply, false)
}

// Heartbeat handles wire.TypeHeartbeat requests. The daemon registers it with its peer.Server.
func (v *View) Heartbeat(_ context.Context, from platform.VM, body []byte) ([]byte, error) {
	if err := v.handleHeartbeat(from, body, true); err != nil {
		return nil, err
	}
	return v.encodeHeartbeat(from)
}

// encodeHeartbeat encodes the current state for a peer. Sections that the peer holds are left out, and a peer that holds
// an earlier version of them is sent only the changes.
func (v *View) encodeHeartbeat(to platform.VM) ([]byte, error) {
	s := v.options.State()
	h := wire.Heartbeat{Draining: v.unavailable(), ConfigVersion: s.ConfigVersion, ConfigHash: s.ConfigHash,
		Owned: s.OwnedMembers, Waiting: s.QueuedUnits, Lists: s.ListsHash, ListVersion: s.ListVersion,
		ListComplete: s.ListComplete, TakesDelta: true}
	v.mu.Lock()
	sections, history := v.sectionsFor(to)
	h.Digest = sections.digest
	if p := v.peers[to.Name]; p != nil {
		h.Seen = p.receivedDigest
		h.Sections, h.Delta = p.missingSections(sections, history)
		p.sentDigest, p.heartbeatSent = sections.digest, true
	}
	v.mu.Unlock()
	c := codecs.Get().(*codec)
	defer codecs.Put(c)
	body, err := c.enc.HeartbeatBody(&h)
	if err != nil {
		return nil, err
	}
	v.heartbeatsSent.Add(1)
	v.heartbeatBytesSent.Add(uint64(len(body)))
	return bytes.Clone(body), nil
}

// missingSections returns what the peer lacks of the current sections: nothing, a delta or all sections. It returns all
// sections while the peer has not confirmed those that it was sent last, since it may hold these or the ones before. A
// delta to the wrong ones would leave the peer without the sections until the next heartbeat.
func (p *peer) missingSections(current sectionSet, history sectionHistory) ([]wire.Section, wire.Delta) {
	confirmed := !p.heartbeatSent || p.sentDigest == p.confirmedDigest
	if current.digest == 0 || confirmed && p.confirmedDigest == current.digest {
		return nil, wire.Delta{}
	}
	if confirmed && p.takesDeltas {
		if delta, ok := history.deltaSince(p.confirmedDigest, current); ok {
			return nil, delta
		}
	}
	return current.sections, wire.Delta{}
}

// updateVM stores what a VM says about itself in the handshake. For a listed VM two things are taken from the list
// instead: whether it is leaving, and the address at which it is reached from here. Once the VM gives a new address
// for itself, that address is newer than the list's and is used.
func (p *peer) updateVM(from platform.VM) {
	if p.announcedAddr != "" && p.announcedAddr != from.PeerAddr {
		p.addrChanged = true
	}
	p.announcedAddr = from.PeerAddr
	state, addr := p.vm.State, p.vm.PeerAddr
	p.vm = from
	if p.listed {
		p.vm.State = state
		if !p.addrChanged {
			p.vm.PeerAddr = addr
		}
	}
}

// handleHeartbeat stores the state that a peer has sent. If selfReported is true, from is what the peer says about itself
// in a request; otherwise the message is a reply, and from is what was known about the peer when the request was sent.
func (v *View) handleHeartbeat(from platform.VM, body []byte, selfReported bool) error {
	c := codecs.Get().(*codec)
	h, err := c.dec.Heartbeat(body)
	codecs.Put(c)
	if err != nil {
		return err
	}
	s := State{h.ConfigVersion, h.ConfigHash, h.Owned, h.Waiting, h.Lists, h.ListVersion, h.ListComplete}
	v.mu.Lock()
	p := v.peers[from.Name]
	changed := p == nil || p.gone || p.unreachable || p.lastHeard.IsZero() || p.draining != h.Draining
	if p == nil {
		p = &peer{vm: from}
		v.peers[from.Name] = p
	}
	before := p.vm
	if selfReported {
		p.updateVM(from)
	}
	p.lastHeard, p.gone, p.draining, p.state, p.confirmedDigest = time.Now(), false, h.Draining, s, h.Seen
	if !selfReported { // a request from the peer does not show that this VM can reach the peer
		p.unreachable = false
	}
	p.takesDeltas = h.TakesDelta
	if changed || p.vm != before {
		v.markChanged(p)
	}
	changed = v.receiveSections(p, &h) || changed
	known := p.vm
	v.mu.Unlock()
	if changed {
		v.evidenceChanged.Raise()
	}
	if v.options.OnHeartbeat != nil {
		// The known address is passed on: a request to another one would replace the connections to the VM and roll back the
		// transactions begun over them.
		v.options.OnHeartbeat(known, s)
	}
	return nil
}

// receiveSections stores the sections of a heartbeat and reports whether they have changed. A delta whose result does not
// have the sender's digest is dropped. The digest 0 in the next heartbeat then requests all sections.
func (v *View) receiveSections(p *peer, h *wire.Heartbeat) bool {
	switch {
	case h.Digest == 0:
		p.receivedDigest = 0
		return v.setSections(p, nil)
	case h.Digest == p.receivedDigest:
		return false
	case h.Sections != nil:
		p.receivedDigest = h.Digest
		return v.setSections(p, h.Sections)
	case h.Delta.Base == 0 || h.Delta.Base != p.receivedDigest:
		return false
	}
	updated := applyDelta(p.sections, h.Delta)
	if updated.digest != h.Digest {
		p.receivedDigest = 0
		return false
	}
	p.receivedDigest = updated.digest
	return v.setSections(p, updated.sections)
}
