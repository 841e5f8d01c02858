package daemon

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/burn"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

func newConfig(k *kernel.Kernel) (any, error) {
	vmView := kernel.MustLookup[*membership.View](k, nameMembership)
	recorder := kernel.MustLookup[*burn.Recorder](k, nameBurn)
	return configsync.New(configsync.Options{
		Store: kernel.MustLookup[Platform](k, namePlatform), Peers: kernel.MustLookup[*peers](k, namePeers).Pool,
		Membership: vmView, Log: logger(k, nameConfig),
		OnInstall: func(doc *clusterconfig.Document) { recorder.Configure(burnClasses(doc)) },
		OnAnswer:  func() { go readMissingLists(k) },
		Announce:  vmView.Announce,
	}), nil
}

// classesInForce returns the classes for the front end, or nil while documentInForce returns nil.
func classesInForce(configSync *configsync.Sync) frontend.ClassTable {
	if doc := documentInForce(configSync); doc != nil {
		return classTable{doc}
	}
	return nil
}

// documentInForce returns the configuration by which the daemon may serve callers. It returns nil while there is none, or
// while it is not known whether a newer one has been in force.
func documentInForce(configSync *configsync.Sync) *clusterconfig.Document {
	if !configSync.Ready() {
		return nil
	}
	return configSync.Installed()
}

func newBurn(k *kernel.Kernel) (any, error) {
	return burn.NewRecorder(kernel.MustLookup[platform.VM](k, nameSelf).Name, time.Now), nil
}

// burnClasses returns the classes of doc with the targets that the burn recorder measures against.
func burnClasses(doc *clusterconfig.Document) []burn.Class {
	out := make([]burn.Class, len(doc.Classes))
	for i, c := range doc.Classes {
		out[i] = burn.Class{Name: c.Name, Rank: c.Rank, Latency: time.Duration(c.Target.Latency), Reliability: c.Target.Reliability}
	}
	return out
}
