package session

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// A fleet that starts, for example after a loss of power, gets its callers back before it has the configuration. A caller that
// is refused then tries the next VM, which knows no more, and soon has used up its attempts. Callers therefore wait for the
// configuration, for about as long as they wait for the answer to a startup, and each VM lets a bounded number wait.
const (
	startupWait = 1500 * time.Millisecond
	// waitingDivisor is the part of all connections that may wait, so that callers who come in vain do not fill the VM.
	waitingDivisor = 2
)

// awaitConfiguration waits until this VM has a configuration, at most startupWait. It returns at once if it has one, if too
// many callers wait already, or if the server drains.
func (s *Server) awaitConfiguration() {
	if s.opts.Changed == nil || s.opts.Document() != nil || !s.beginWait() {
		return
	}
	defer s.waiting.Add(-1)
	timer := time.NewTimer(startupWait)
	defer timer.Stop()
	for {
		changed := s.opts.Changed()
		if s.opts.Document() != nil || drainPhase(s.phase.Load()).mustEnd(false) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// beginWait counts a caller that waits, and reports whether it may.
func (s *Server) beginWait() bool {
	if s.waiting.Add(1) > int64(max(s.opts.MaxConnections/waitingDivisor, 1)) {
		s.waiting.Add(-1)
		return false
	}
	return true
}

// errNotReady is the error for callers of a VM without a configuration. Waiting has not helped, so that they are told to come
// back when another attempt of this VM may have ended.
func (s *Server) errNotReady() error {
	return errkind.New(errkind.NotReady, "entry VM %s has no configuration yet; retry in %d ms", s.opts.VMName, startupWait.Milliseconds())
}
