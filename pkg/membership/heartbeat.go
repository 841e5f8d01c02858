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

// loop is the heartbeat goroutine of one link. One end of a link sends requests and the other answers; either takes
// over when it hears nothing.
type loop struct {
	cancel context.CancelFunc
	wake   ring.Signal // asks for an exchange at once
}

func (p *peer) stop() {
	if p.loop != nil {
		p.loop.cancel()
		p.loop = nil
	}
}

// link starts the heartbeats with p. The caller holds mu.
func (v *View) link(p *peer) {
	if p.loop != nil || v.stopped {
		return
	}
	ctx, cancel := context.WithCancel(v.ctx)
	l := &loop{cancel: cancel, wake: ring.NewSignal()}
	p.loop = l
	first := rand.N(v.interval() / 2)
	v.wg.Add(1)
	go v.run(ctx, l, p.vm.Name, first)
}

func (v *View) run(ctx context.Context, l *loop, name string, wait time.Duration) {
	defer v.wg.Done()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		pushed := false
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			pushed = true
		case <-timer.C:
		}
		wait = v.beat(ctx, name, pushed)
		timer.Reset(wait)
	}
}

// beat exchanges a heartbeat with a peer if it is due and returns the time to the next check.
func (v *View) beat(ctx context.Context, name string, pushed bool) time.Duration {
	v.mu.Lock()
	p := v.peers[name]
	if p == nil {
		v.mu.Unlock()
		return MinInterval
	}
	interval, vm, heard, gone := v.interval(), p.vm, p.heard, p.gone
	first := v.o.Self.Name < name
	v.mu.Unlock()
	quiet := time.Since(heard)
	if !pushed && !first && quiet < interval*3/2 {
		return interval*3/2 - quiet // the other end sends
	}
	limit := MissedLimit * interval
	if !first {
		limit = MissedLimit*interval - interval*3/2 // half of the time has passed already
	}
	var err error
	if gone {
		err = v.probe(ctx, vm, interval)
	} else {
		err = v.ask(ctx, vm, limit, interval)
	}
	if err != nil && ctx.Err() == nil {
		v.lost(name, heard)
		return goneRetry/2 + rand.N(goneRetry)
	}
	return interval
}

// ask exchanges a heartbeat. When there is no answer after an interval, a fresh connection is tried beside it, so that a VM
// that vanished is found once both have failed. It returns nil if either succeeds.
func (v *View) ask(ctx context.Context, vm platform.VM, limit, interval time.Duration) error {
	answered := make(chan error, 1)
	v.wg.Add(1)
	go func() {
		defer v.wg.Done()
		answered <- v.exchange(ctx, vm, limit)
	}()
	patience := time.NewTimer(interval)
	defer patience.Stop()
	select {
	case err := <-answered:
		if err == nil || ctx.Err() != nil {
			return err
		}
		return v.probe(ctx, vm, interval)
	case <-patience.C:
	}
	if v.probe(ctx, vm, interval) == nil {
		return nil
	}
	return <-answered
}

// probe lets a fresh connection decide, and exchanges a heartbeat over it.
func (v *View) probe(ctx context.Context, vm platform.VM, interval time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, max(probeMinimum, 2*interval))
	defer cancel()
	if err := v.o.Transport.Probe(ctx, vm); err != nil {
		return err
	}
	return v.exchange(ctx, vm, max(probeMinimum, 2*interval))
}

// lost records that a VM counts as gone, unless it was heard meanwhile.
func (v *View) lost(name string, heard time.Time) {
	v.mu.Lock()
	p := v.peers[name]
	news := false
	var vm platform.VM
	if p != nil && !p.heard.After(heard) {
		news, vm = !p.gone, p.vm
		p.gone, p.goneAt = true, time.Now()
		p.seen = 0
		if news {
			v.touch(p)
			v.evaluate()
		}
	}
	v.mu.Unlock()
	if news {
		if log, ok := v.logGone.Allow(v.o.Log, name); ok { // an unsteady network may lose a VM again and again
			log.WithField("vm", name).Warn("entry VM does not answer, also on a fresh connection; it counts as gone")
		}
		if v.o.OnGone != nil {
			v.o.OnGone(vm)
		}
	}
}

// codecs holds encoders and decoders, which keep buffers.
type codec struct {
	enc *wire.Encoder
	dec *wire.Decoder
}

var codecs = sync.Pool{New: func() any { return &codec{wire.NewEncoder(), wire.NewDecoder()} }}

// exchange sends a heartbeat and takes in the reply.
func (v *View) exchange(ctx context.Context, vm platform.VM, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	body, err := v.heartbeat(vm)
	if err != nil {
		return err
	}
	reply, err := v.o.Transport.Request(ctx, vm, wire.TypeHeartbeat, body)
	if err != nil {
		return err
	}
	return v.receive(vm, reply, false)
}

// Heartbeat is the handler of wire.TypeHeartbeat requests; the daemon registers it with its peer.Server.
func (v *View) Heartbeat(_ context.Context, from platform.VM, body []byte) ([]byte, error) {
	if err := v.receive(from, body, true); err != nil {
		return nil, err
	}
	return v.heartbeat(from)
}

// heartbeat encodes the present state for a peer. Sections are left out when the peer has them, and only what changed
// is sent to one that has earlier ones.
func (v *View) heartbeat(to platform.VM) ([]byte, error) {
	s := v.o.State()
	h := wire.Heartbeat{Draining: v.away(), ConfigVersion: s.ConfigVersion, ConfigHash: s.ConfigHash,
		Owned: s.Owned, Waiting: s.Waiting, Lists: s.Lists, TakesDelta: true}
	v.mu.Lock()
	d, earlier := v.digestFor(to)
	h.Digest = d.id
	if p := v.peers[to.Name]; p != nil {
		h.Seen = p.digest
		h.Sections, h.Delta = p.sectionsFor(d, earlier)
		p.offered, p.sent = d.id, true
	}
	v.mu.Unlock()
	c := codecs.Get().(*codec)
	defer codecs.Put(c)
	body, err := c.enc.HeartbeatBody(&h)
	if err != nil {
		return nil, err
	}
	v.sent.Add(1)
	v.sentSize.Add(uint64(len(body)))
	return bytes.Clone(body), nil
}

// sectionsFor returns what the peer lacks of the sections: nothing, what changed, or all. It gets all while it has not
// confirmed what it was sent last: it may hold that or what it had before, and would have to wait for the next heartbeat
// if that were guessed wrong.
func (p *peer) sectionsFor(d digest, earlier past) ([]wire.Section, wire.Delta) {
	confirmed := !p.sent || p.offered == p.seen
	if d.id == 0 || confirmed && p.seen == d.id {
		return nil, wire.Delta{}
	}
	if confirmed && p.deltas {
		if delta, ok := earlier.delta(p.seen, d); ok {
			return nil, delta
		}
	}
	return d.sections, wire.Delta{}
}

// identify takes over what a handshake says of a listed VM, but for two things that the list knows better: who leaves,
// and the address at which the VM is reached from here. A change of the address that the VM names itself is newer than
// the list.
func (p *peer) identify(from platform.VM) {
	if p.told != "" && p.told != from.PeerAddr {
		p.moved = true
	}
	p.told = from.PeerAddr
	state, addr := p.vm.State, p.vm.PeerAddr
	p.vm = from
	if p.listed {
		p.vm.State = state
		if !p.moved {
			p.vm.PeerAddr = addr
		}
	}
}

// receive takes in a peer's state. named tells that from is what the peer says of itself; else it is what was known of
// it when it was asked.
func (v *View) receive(from platform.VM, body []byte, named bool) error {
	c := codecs.Get().(*codec)
	h, err := c.dec.Heartbeat(body)
	codecs.Put(c)
	if err != nil {
		return err
	}
	s := State{h.ConfigVersion, h.ConfigHash, h.Owned, h.Waiting, h.Lists}
	v.mu.Lock()
	p := v.peers[from.Name]
	news := p == nil || p.gone || p.unreached || p.heard.IsZero() || p.draining != h.Draining
	if p == nil {
		p = &peer{vm: from}
		v.peers[from.Name] = p
	}
	before := p.vm
	if named {
		p.identify(from)
	}
	p.heard, p.gone, p.draining, p.state, p.seen = time.Now(), false, h.Draining, s, h.Seen
	if !named { // a request of the peer does not show that this VM reaches it
		p.unreached = false
	}
	p.deltas = h.TakesDelta
	if news || p.vm != before {
		v.touch(p)
	}
	news = v.takeSections(p, &h) || news
	known := p.vm
	v.mu.Unlock()
	if news {
		v.news.Raise()
	}
	if v.o.OnHeartbeat != nil {
		// A request to another address than the known one would replace the connections with the VM, and roll back the
		// transactions begun over them.
		v.o.OnHeartbeat(known, s)
	}
	return nil
}

// takeSections takes over what a heartbeat says of other VMs and reports whether it brought news. A delta that does not
// lead to the sender's content is dropped; the digest 0 in the next heartbeat then asks for all of it.
func (v *View) takeSections(p *peer, h *wire.Heartbeat) bool {
	switch {
	case h.Digest == 0:
		p.digest = 0
		return v.setSections(p, nil)
	case h.Digest == p.digest:
		return false
	case h.Sections != nil:
		p.digest = h.Digest
		return v.setSections(p, h.Sections)
	case h.Delta.Base == 0 || h.Delta.Base != p.digest:
		return false
	}
	d := apply(p.sections, h.Delta)
	if d.id != h.Digest {
		p.digest = 0
		return false
	}
	p.digest = d.id
	return v.setSections(p, d.sections)
}
