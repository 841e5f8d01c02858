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
	return s
}

// observeHeartbeat handles the state in a peer's heartbeat. A newer configuration is fetched. If the peer's lists differ
// from this VM's, the platform is asked for both, and a VM that has none may take those of the peer.
func observeHeartbeat(k *kernel.Kernel, from platform.VM, s membership.State) {
	if configSync, err := kernel.Lookup[*configsync.Sync](k, nameConfig); err == nil {
		configSync.ObserveAnnouncement(from, s.ConfigVersion, s.ConfigHash)
	}
	ownHash := listsHash(k)
	if s.ListsHash == 0 || s.ListsHash == ownHash {
		return
	}
	if fetcher, err := kernel.Lookup[*listFetcher](k, nameListFetcher); err == nil && ownHash == 0 {
		fetcher.offer(from)
	}
	if dir, err := kernel.Lookup[*directory.Directory](k, nameDirectory); err == nil {
		dir.RequestRead()
	}
	if vmView, err := kernel.Lookup[*membership.View](k, nameMembership); err == nil {
		vmView.RequestRead()
	}
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
