package daemon

import (
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// membershipState returns what heartbeats carry besides liveness. The services that know it start after membership,
// so they are looked up at each call.
func membershipState(k *kernel.Kernel) membership.State {
	var s membership.State
	if cfg, err := kernel.Lookup[*configsync.Sync](k, nameConfig); err == nil {
		s.ConfigVersion, s.ConfigHash = cfg.State()
	}
	s.Lists = listsHash(k)
	return s
}

// observePeer passes on what a peer's heartbeat tells: a newer configuration is fetched, lists of other content are
// read again.
func observePeer(k *kernel.Kernel, from platform.VM, s membership.State) {
	if cfg, err := kernel.Lookup[*configsync.Sync](k, nameConfig); err == nil {
		cfg.Observe(from, s.ConfigVersion, s.ConfigHash)
	}
	own := listsHash(k)
	if s.Lists == 0 || s.Lists == own {
		return
	}
	if lists, err := kernel.Lookup[*listFetcher](k, nameLists); err == nil && own == 0 {
		lists.offer(from)
	}
	if list, err := kernel.Lookup[*directory.Directory](k, nameDirectory); err == nil {
		list.RequestRead()
	}
	if view, err := kernel.Lookup[*membership.View](k, nameMembership); err == nil {
		view.RequestRead()
	}
}

// rotation keeps equal changes of both lists from cancelling out.
const rotation = 16

// listsHash names the content of both lists, 0 while one has not been read.
func listsHash(k *kernel.Kernel) uint32 {
	list, err1 := kernel.Lookup[*directory.Directory](k, nameDirectory)
	view, err2 := kernel.Lookup[*membership.View](k, nameMembership)
	if err1 != nil || err2 != nil || list.Hash() == 0 || view.ListHash() == 0 {
		return 0
	}
	h := list.Hash()
	return max((h<<rotation|h>>(32-rotation))^view.ListHash(), 1)
}
