package daemon

import (
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// heartbeatState returns the state that this VM reports in its heartbeats. The kernel services that hold it start after
// membership, so they are looked up at each call.
func heartbeatState(k *kernel.Kernel) membership.State {
	var s membership.State
	if configSync, err := kernel.Lookup[*configsync.Sync](k, nameConfig); err == nil {
		s.ConfigVersion, s.ConfigHash = configSync.State()
	}
	s.ListsHash = listsHash(k)
	if dir, err := kernel.Lookup[*directory.Directory](k, nameDirectory); err == nil {
		s.ListVersion, s.ListComplete = dir.Version(), dir.ListComplete()
	}
	return s
}

// observeHeartbeat handles the state in a peer's heartbeat. A newer configuration is fetched from the peer, and so are lists
// that are newer or that this VM lacks. If the platform gives no versions, it is asked for lists that differ.
func observeHeartbeat(k *kernel.Kernel, from platform.VM, s membership.State) {
	if configSync, err := kernel.Lookup[*configsync.Sync](k, nameConfig); err == nil {
		configSync.ObserveAnnouncement(from, s.ConfigVersion, s.ConfigHash)
	}
	if s.ListsHash != 0 {
		observeLists(k, from, s)
	}
}

// observeLists handles what a peer's heartbeat says about the lists that the peer holds.
func observeLists(k *kernel.Kernel, from platform.VM, s membership.State) {
	dir, dirErr := kernel.Lookup[*directory.Directory](k, nameDirectory)
	vmView, vmViewErr := kernel.Lookup[*membership.View](k, nameMembership)
	fetcher, fetcherErr := kernel.Lookup[*listFetcher](k, nameListFetcher)
	if dirErr != nil || vmViewErr != nil || fetcherErr != nil {
		return // still starting; the next heartbeat says the same
	}
	ownHash := listsHash(k)
	switch {
	case s.ListsHash == ownHash && s.ListComplete:
		dir.ConfirmComplete(dir.ListHash(), s.ListVersion)
		return
	case s.ListsHash == ownHash:
		dir.Confirm(dir.ListHash(), s.ListVersion)
		return
	case ownHash == 0:
		fetcher.offer(from, s.ListVersion)
	case s.ListVersion != 0 && dir.Version() != 0:
		if s.ListVersion > dir.Version() {
			fetcher.offer(from, s.ListVersion)
		}
		return
	}
	dir.RequestRead()
	vmView.RequestRead()
}

// hashRotation is the number of bits by which one list's hash is rotated before it is combined with the other by XOR.
// Without it, equal changes of both hashes would cancel out.
const hashRotation = 16

// listsHash returns a hash of the content of both lists, never 0, or 0 while one of them has not been read.
func listsHash(k *kernel.Kernel) uint32 {
	dir, dirErr := kernel.Lookup[*directory.Directory](k, nameDirectory)
	vmView, vmViewErr := kernel.Lookup[*membership.View](k, nameMembership)
	if dirErr != nil || vmViewErr != nil || dir.ListHash() == 0 || vmView.ListHash() == 0 {
		return 0
	}
	dirHash := dir.ListHash()
	return max((dirHash<<hashRotation|dirHash>>(32-hashRotation))^vmView.ListHash(), 1)
}
