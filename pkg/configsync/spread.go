package configsync

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// ObserveAnnouncement handles the version and hash that a peer has announced in a heartbeat. A newer version is fetched
// from the peer at once, in another goroutine. ObserveAnnouncement does not block.
func (s *Sync) ObserveAnnouncement(from platform.VM, version uint64, hash uint32) {
	s.mu.Lock()
	s.highestAnnounced = max(s.highestAnnounced, version)
	newer := version > s.copy.Version()
	differs := version != 0 && version == s.copy.Version() && hash != s.copy.Hash()
	s.mu.Unlock()
	if differs {
		s.reportDifferingContent(from, version)
	}
	if newer {
		// If the ring is full, the oldest offer is dropped. Its peer offers again with its next heartbeat.
		_ = s.offers.Put(s.ctx, offer{from, version})
	}
}

// reportDifferingContent logs an error about a peer that has other content under the version installed here. The error is
// limited per peer, since each heartbeat of the peer shows the difference.
func (s *Sync) reportDifferingContent(from platform.VM, version uint64) {
	if log, ok := s.differingContentLogLimit.Allow(s.options.Log, from.Name); ok {
		log.WithField("vm", from.Name).WithField("version", version).
			Error("entry VM holds different content under the configuration version installed here; apply the configuration again")
	}
}

// fetchOffers requests the offered versions from peers. While it waits for one peer, it keeps only the latest offer of
// each other peer.
func (s *Sync) fetchOffers() {
	defer s.wg.Done()
	pending := map[string]offer{} // by name of the VM
	for {
		first, err := s.offers.Take(s.ctx)
		if err != nil {
			return
		}
		pending[first.vm.Name] = first
		for o, ok := s.takeBestOffer(pending); ok; o, ok = s.takeBestOffer(pending) {
			if _, err := s.requestConfig(s.ctx, o.vm, 0); err != nil {
				s.options.Log.WithError(err).WithField("vm", o.vm.Name).Debug("configuration could not be fetched from a peer; its next heartbeat offers it again")
			}
		}
	}
}

// takeBestOffer moves the queued offers to pending, drops those that are not above the installed version, and removes and
// returns the offer with the highest version. An offer whose request fails need not be kept, since the peer offers again
// with its next heartbeat.
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

// requestConfig requests a peer's configuration and installs it if it is newer. It names the newest version known here, which
// the peer notes. The reply holds the highest version that the peer knows to have been in force, or 0 while the peer is not
// ready and so cannot vouch for any version. With an uptime it also says whether the peer's copy was read after the start of
// this daemon.
func (s *Sync) requestConfig(ctx context.Context, vm platform.VM, uptime time.Duration) (wire.ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.mu.Lock()
	installed := s.copy.Version()
	s.mu.Unlock()
	body, err := wire.NewEncoder().ConfigRequestBody(wire.ConfigRequest{Have: installed, Uptime: uptime, TakesPacked: true})
	if err != nil {
		return wire.ConfigReply{}, err
	}
	answer, err := s.options.Peers.Request(ctx, vm, wire.TypeConfigRequest, body)
	if err != nil {
		return wire.ConfigReply{}, err
	}
	reply, err := wire.NewDecoder().ConfigReply(answer)
	if err != nil {
		return wire.ConfigReply{}, err
	}
	if len(reply.Packed) > 0 {
		if reply.Document, err = wire.Unpack(reply.Packed, clusterconfig.MaxDocumentBytes); err != nil {
			return wire.ConfigReply{}, err
		}
	}
	if len(reply.Document) == 0 || !s.isNews(reply.Document) {
		return reply, nil
	}
	if err := checkCopy(reply); err != nil {
		return wire.ConfigReply{}, err
	}
	return reply, s.installIfNewer(reply.Document)
}

// isNews reports whether the stored form of a document differs from that of the installed one. Several peers may answer with
// the same document, and parsing a large one takes a small VM longer than receiving it.
func (s *Sync) isNews(raw []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !bytes.Equal(raw, s.copy.Raw())
}

// checkCopy refuses a copy of a peer of an earlier build that may say something else than the document of its author, which the
// table service has: an absent age may stand for an age of 0, and routes beyond the limit of classes may be left out.
func checkCopy(reply wire.ConfigReply) error {
	if reply.AgesStated && reply.AllRoutes {
		return nil
	}
	doc, err := clusterconfig.Parse(reply.Document)
	if err != nil {
		return err
	}
	if !reply.AllRoutes && len(doc.Routes) > 0 && len(doc.Classes) == clusterconfig.MaxClasses {
		return errkind.New(errkind.ConfigInvalid, "the copy of a peer of an earlier build may lack routes")
	}
	for _, c := range doc.Classes {
		if !reply.AgesStated && c.Access == clusterconfig.AccessStatement && c.Consistency != clusterconfig.ConsistencyPrimary && !c.MaxAge.Stated() {
			return errkind.New(errkind.ConfigInvalid, "the copy of a peer of an earlier build leaves the maximum age of class %q open", c.Name)
		}
	}
	return nil
}

// HandleConfigRequest handles a request of wire.TypeConfigRequest. The daemon registers it with its peer.Server.
func (s *Sync) HandleConfigRequest(ctx context.Context, _ platform.VM, body []byte) ([]byte, error) {
	request, err := wire.NewDecoder().ConfigRequest(body)
	if err != nil {
		return nil, err
	}
	s.ObserveVersion(request.Have)
	reply := wire.ConfigReply{AgesStated: true, AllRoutes: true}
	reply.Current = request.Uptime > 0 && s.ensureReadWithin(ctx, request.Uptime)
	reply.TurnedAway = request.Uptime > 0 && !reply.Current && s.wasTurnedAwayWithin(request.Uptime)
	s.mu.Lock()
	reply.Known = max(s.copy.Version(), s.highestAnnounced)
	if s.ready {
		reply.Version = reply.Known
		if s.copy.Version() > request.Have {
			reply.Document, reply.Packed = s.copy.For(request.TakesPacked)
		}
	}
	s.mu.Unlock()
	return wire.NewEncoder().ConfigReplyBody(reply)
}

// askPeersUntilReady asks the other listed VMs of the data centre while the table service does not answer after the
// start. This daemon becomes ready when a majority of them vouches for a version, unless one of them has heard of a
// later version that none of them has. This daemon may have served that later version before its restart, so it waits
// for the table service. It also waits for the table service if no other VM is listed.
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

// majorityVouches asks all other listed VMs of the data centre, and reports whether more than half of them vouch for a
// version and none is known that is newer than the installed one.
func (s *Sync) majorityVouches() bool {
	others := s.othersInDataCentre()
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
			if reply, err := s.requestConfig(s.ctx, vm, 0); err == nil && reply.Version > 0 {
				mu.Lock()
				vouching++
				highestVersion = max(highestVersion, reply.Version)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return vouching > len(others)/2 && max(highestVersion, s.highestAnnounced) <= s.copy.Version()
}
