package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// At the start of a fleet the readers of each data centre read the row, and the other VMs ask them. A reader answers with a
// copy that it has read after the requester's start, so that the requester needs no read of its own to be ready.

// awaitList waits until this VM knows other VMs from the platform's list, for listWait at most.
func (s *Sync) awaitList() {
	const checkInterval = 10 * time.Millisecond
	for range listWait / checkInterval {
		if len(s.options.Membership.Listed()) > 0 || !sleep(s.ctx, checkInterval) {
			return
		}
	}
}

// startReaders returns the readers of this data centre among the listed VMs, whether they are alive or not.
func (s *Sync) startReaders() []platform.VM {
	self := s.options.Membership.Self()
	return ownership.StoreReaders(self.DataCentre, append(s.options.Membership.Listed(), self))
}

// askReadersUntilReady asks the readers of the data centre, in turn, until this daemon is ready.
func (s *Sync) askReadersUntilReady() {
	defer s.wg.Done()
	s.awaitList()
	self := s.options.Membership.Self()
	for !s.isReady() {
		for _, vm := range s.startReaders() {
			if vm.Name != self.Name && !s.isReady() && s.isCurrentAt(vm) {
				s.setReady()
			}
		}
		if !sleep(s.ctx, askReadersInterval/2+rand.N(askReadersInterval)) {
			return
		}
	}
}

// isCurrentAt requests the configuration of vm, and reports whether this daemon now holds one that vm has read after the start
// of this daemon.
func (s *Sync) isCurrentAt(vm platform.VM) bool {
	reply, err := s.requestConfig(s.ctx, vm, time.Since(s.started))
	if err != nil || !reply.Current {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(reply.Version, s.highestAnnounced) <= s.copy.Version()
}

// readOnDemand makes requests share one read of the row.
type readOnDemand struct {
	mu         sync.Mutex // held during the read
	lastFailed time.Time  // guarded by mu
}

// failedReadPause is the time after a failed read on demand during which no other is made.
const failedReadPause = 300 * time.Millisecond

// ensureReadWithin reports whether the row was read successfully, by a read that started no longer than age ago. A reader reads
// it if it was not.
func (s *Sync) ensureReadWithin(ctx context.Context, age time.Duration) bool {
	if s.wasReadWithin(age) {
		return true
	}
	if !s.options.Membership.IsReader() {
		return false
	}
	arrived := time.Now()
	s.onDemand.mu.Lock()
	defer s.onDemand.mu.Unlock()
	age += time.Since(arrived) // the requester has grown older meanwhile
	if s.wasReadWithin(age) {
		return true
	}
	if ctx.Err() != nil || time.Since(s.onDemand.lastFailed) < failedReadPause {
		return false
	}
	if err := s.readAndInstall(ctx, false); err != nil {
		s.onDemand.lastFailed = time.Now()
		return false
	}
	return true
}

// wasReadWithin reports whether the latest successful read of the row started no longer than age ago.
func (s *Sync) wasReadWithin(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastRead.IsZero() && time.Since(s.lastRead) < age
}
