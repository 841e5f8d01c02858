package configsync

import (
	"context"
	"sync"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// Observe takes note of the version that a peer announced in a heartbeat. A newer one is fetched at once. It doesn't
// block.
func (s *Sync) Observe(from platform.VM, version uint64, hash uint32) {
	s.mu.Lock()
	s.highestAnnounced = max(s.highestAnnounced, version)
	newer := version > s.copy.Version()
	differs := version != 0 && version == s.copy.Version() && hash != s.copy.Hash()
	s.mu.Unlock()
	if differs {
		s.reportDifferingContent(from, version)
	}
	if newer {
		_ = s.offers.Put(s.ctx, offer{from, version}) // when full, the oldest offer goes: its peer offers again with its next heartbeat
	}
}

// reportDifferingContent tells operators of a peer with another content of the version in force. Each heartbeat of it shows it.
func (s *Sync) reportDifferingContent(from platform.VM, version uint64) {
	if log, ok := s.differingLog.Allow(s.options.Log, from.Name); ok {
		log.WithField("vm", from.Name).WithField("version", version).
			Error("entry VM holds another configuration of the same version; apply the configuration again")
	}
}

// fetchOffers gets offered versions from peers. A peer that offers again while another is asked counts once.
func (s *Sync) fetchOffers() {
	defer s.wg.Done()
	pending := map[string]offer{} // by VM
	for {
		first, err := s.offers.Take(s.ctx)
		if err != nil {
			return
		}
		pending[first.vm.Name] = first
		for o, ok := s.takeBestOffer(pending); ok; o, ok = s.takeBestOffer(pending) {
			if _, err := s.requestConfig(s.ctx, o.vm); err != nil {
				s.options.Log.WithError(err).WithField("vm", o.vm.Name).Debug("configuration not fetched from peer")
			}
		}
	}
}

// takeBestOffer takes in the offers that wait, and removes and returns the one of the highest version above the installed
// one. A peer that fails offers again with its next heartbeat.
func (s *Sync) takeBestOffer(pending map[string]offer) (best offer, ok bool) {
	for o, more := s.offers.TryTake(); more; o, more = s.offers.TryTake() {
		pending[o.vm.Name] = o
	}
	s.mu.Lock()
	installed := s.copy.Version()
	s.mu.Unlock()
	for name, o := range pending {
		switch {
		case o.version <= installed:
			delete(pending, name)
		case o.version > best.version:
			best, ok = o, true
		}
	}
	delete(pending, best.vm.Name)
	return best, ok
}

// requestConfig requests a peer's configuration and installs it if it is newer. It returns the highest version that the peer knows
// to have been in force, 0 while it vouches for none.
func (s *Sync) requestConfig(ctx context.Context, vm platform.VM) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.mu.Lock()
	installed := s.copy.Version()
	s.mu.Unlock()
	body, err := wire.NewEncoder().ConfigRequestBody(wire.ConfigRequest{Have: installed})
	if err != nil {
		return 0, err
	}
	answer, err := s.options.Peers.Request(ctx, vm, wire.TypeConfigRequest, body)
	if err != nil {
		return 0, err
	}
	reply, err := wire.NewDecoder().ConfigReply(answer)
	if err != nil {
		return 0, err
	}
	if len(reply.Document) > 0 {
		err = s.installIfNewer(reply.Document)
	}
	return reply.Version, err
}

// ConfigRequest is the handler of wire.TypeConfigRequest; the daemon registers it with its peer.Server.
func (s *Sync) ConfigRequest(_ context.Context, _ platform.VM, body []byte) ([]byte, error) {
	request, err := wire.NewDecoder().ConfigRequest(body)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	var reply wire.ConfigReply
	if s.ready {
		reply.Version = max(s.copy.Version(), s.highestAnnounced)
		if s.copy.Version() > request.Have {
			reply.Document = s.copy.Raw()
		}
	}
	s.mu.Unlock()
	return wire.NewEncoder().ConfigReplyBody(reply)
}

// askPeersUntilReady asks the other listed VMs of the data centre while the store doesn't answer after the start. A majority
// of them that vouches for a version makes this daemon ready, unless one has heard of a later version that none of them
// has: then this daemon may have served that before its restart, and waits for the store. So it does without other
// listed VMs.
func (s *Sync) askPeersUntilReady() {
	defer s.wg.Done()
	wait := askPeersDelay
	var retryBackoff backoff
	for sleep(s.ctx, wait) && !s.isReady() {
		if s.majorityVouches() {
			s.setReady()
			return
		}
		wait = retryBackoff.next()
	}
}

func (s *Sync) majorityVouches() bool {
	self := s.options.Membership.Self()
	var others []platform.VM
	for _, vm := range s.options.Membership.Listed() {
		if vm.DataCentre == self.DataCentre && vm.Name != self.Name {
			others = append(others, vm)
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	vouching, highestVersion := 0, uint64(0)
	slots := make(chan struct{}, maxConcurrentAsks)
	for _, vm := range others {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			if version, err := s.requestConfig(s.ctx, vm); err == nil && version > 0 {
				mu.Lock()
				vouching++
				highestVersion = max(highestVersion, version)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return vouching > len(others)/2 && max(highestVersion, s.highestAnnounced) <= s.copy.Version()
}
