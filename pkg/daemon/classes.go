package daemon

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
)

// classTable implements frontend.ClassTable for one version of the configuration.
type classTable struct{ doc *clusterconfig.Document }

// Default returns the class of sessions that name no class.
func (t classTable) Default() frontend.Class {
	c, _ := t.Lookup("")
	return c
}

// Lookup returns the class with the given name.
func (t classTable) Lookup(name string) (frontend.Class, bool) {
	c, ok := t.doc.Class(name)
	if !ok {
		return frontend.Class{}, false
	}
	return frontend.Class{
		Name: c.Name, Rank: c.RankValue(), Write: c.HasWriteAccess(), Target: time.Duration(c.Target.Latency),
		MaxAge: c.MaxAge, Repeatable: c.Repeatable,
	}, true
}
