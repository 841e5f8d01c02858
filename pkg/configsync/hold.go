package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// A VM keeps nothing over a restart. When the table service is down, only its peers can tell which version it has served, so
// they must know of a version before callers are served by it. Enough of them know when no majority without one of them is
// left to vouch for an older version, see majorityVouches.

const (
	// maxHold bounds how long a version waits for peers that do not answer. It exceeds the time that a dial in progress takes
	// to fail and the next one to send its Hello, so that the version has at least been sent to a peer that is frozen.
	// With the interval at which readers read the row it stays below the 3 s until a version must be in force.
	maxHold = 1500 * time.Millisecond
	// tellInterval is the pause before a peer is told again.
	tellInterval = 50 * time.Millisecond
)

// InForce returns the version by which this daemon serves callers, 0 until it is ready.
func (s *Sync) InForce() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready || s.inForce == nil {
		return 0
	}
	return s.inForce.Version
}

// hold puts doc in force, in another goroutine, once enough peers know of its version, or after maxHold.
func (s *Sync) hold(doc *clusterconfig.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.wg.Go(func() {
		if !s.awaitKnown(doc.Version) {
			if s.ctx.Err() != nil {
				return
			}
			if log, ok := s.unconfirmedLogLimit.Allow(s.options.Log, ""); ok {
				log.WithField("version", doc.Version).
					Warn("configuration comes into force although too few VMs of the data centre have confirmed that they know of it")
			}
		}
		s.installMu.Lock()
		defer s.installMu.Unlock()
		s.putInForce(doc)
	})
}

// putInForce makes doc the configuration in force here unless that is as new. The caller holds installMu.
func (s *Sync) putInForce(doc *clusterconfig.Document) {
	s.mu.Lock()
	newer := doc.NewerThan(s.inForce)
	if newer {
		s.inForce = doc
		s.notifyChanged()
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.options.Log.WithField("version", doc.Version).Info("configuration installed")
	if s.options.OnInstall != nil {
		s.options.OnInstall(doc)
	}
}

// awaitKnown tells the other VMs of the data centre of a version until enough of them know of it. It returns false if that
// takes longer than maxHold.
func (s *Sync) awaitKnown(version uint64) bool {
	var told sync.WaitGroup
	defer told.Wait()
	ctx, cancel := context.WithTimeout(s.ctx, maxHold)
	defer cancel()
	others := s.othersInDataCentre()
	known := make(chan struct{}, len(others))
	for _, vm := range others {
		told.Go(func() {
			if s.tell(ctx, vm, version) {
				known <- struct{}{}
			}
		})
	}
	for range requiredToKnow(len(others)) {
		select {
		case <-known:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// requiredToKnow returns how many of a VM's others must know of a version so that fewer than a majority of them do not.
func requiredToKnow(others int) int { return (others + 1) / 2 }

// tell names a version to vm until vm answers, and reports whether vm then knows of it. A VM of an older version does not say.
func (s *Sync) tell(ctx context.Context, vm platform.VM, version uint64) bool {
	for {
		reply, err := s.requestConfig(ctx, vm, 0) // names the newest version known here, which is this one or a later one
		if err == nil {
			return reply.Known >= version
		}
		if !sleep(ctx, tellInterval) {
			return false
		}
	}
}

// othersInDataCentre returns the other listed VMs of the data centre.
func (s *Sync) othersInDataCentre() (others []platform.VM) {
	self := s.options.Membership.Self()
	for _, vm := range s.options.Membership.Listed() {
		if vm.DataCentre == self.DataCentre && vm.Name != self.Name {
			others = append(others, vm)
		}
	}
	return others
}

// ObserveVersion notes a version that a peer knows of. Unlike ObserveAnnouncement it does not fetch it.
func (s *Sync) ObserveVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.highestAnnounced = max(s.highestAnnounced, version)
}
