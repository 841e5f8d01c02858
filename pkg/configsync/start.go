package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// At the start of a fleet the readers of each data centre read the row, and the other VMs ask them. A reader answers with a
// copy that it has read after the requester's start, so that the requester needs no read of its own to be ready. If the table
// service turns all readers away, it may serve the others, which then read at once.

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
		readers, turnedAway := s.startReaders(), 0
		for _, vm := range readers {
			if vm.Name == self.Name || s.isReady() {
				continue
			}
			switch s.askReader(vm) {
			case readerCurrent:
				s.setReady()
			case readerTurnedAway:
				turnedAway++
			}
		}
		if turnedAway > 0 && turnedAway == len(readers) {
			s.readSelf.Raise()
		}
		if !sleep(s.ctx, askReadersInterval/2+rand.N(askReadersInterval)) {
			return
		}
	}
}

// awaitReaders waits for d, and returns sooner if the table service turns the readers away. It returns false when s stops.
func (s *Sync) awaitReaders(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-t.C:
	case <-s.readSelf:
	}
	return true
}

// readerAnswer is what a reader says to a VM that starts.
type readerAnswer uint8

const (
	readerSilent     readerAnswer = iota // no answer, or its read has not ended or timed out
	readerCurrent                        // this daemon now holds a version that the reader has read after this daemon's start
	readerTurnedAway                     // the table service refuses the reader's reads
)

// askReader requests the configuration of vm.
func (s *Sync) askReader(vm platform.VM) readerAnswer {
	reply, err := s.requestConfig(s.ctx, vm, time.Since(s.started))
	switch {
	case err != nil:
		return readerSilent
	case reply.TurnedAway:
		return readerTurnedAway
	case reply.Current && s.holdsNewestOf(reply):
		return readerCurrent
	}
	return readerSilent
}

// holdsNewestOf reports whether no later version than the one held here is known, to this daemon or to the sender of reply.
func (s *Sync) holdsNewestOf(reply wire.ConfigReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(reply.Version, s.highestAnnounced) <= s.copy.Version()
}

// noteFailedRead records that the table service refused a read that began at start, if err says so. A read that timed out or
// was one too many tells nothing about other VMs' reads, but that they would add to the load.
func (s *Sync) noteFailedRead(start time.Time, err error) {
	refused := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
	var timeout interface{ Timeout() bool }
	if !refused || errors.Is(err, platform.ErrRateLimited) || errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if start.After(s.lastTurnedAway) {
		s.lastTurnedAway = start
	}
}

// wasTurnedAwayWithin reports whether the table service has refused a read that started no longer than age ago, and has
// answered none since.
func (s *Sync) wasTurnedAwayWithin(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastTurnedAway.After(s.lastRead) && time.Since(s.lastTurnedAway) < age
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
