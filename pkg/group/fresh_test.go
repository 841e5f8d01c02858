package group

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// The age of a member that has started again without its log must not be taken for that of before. A later term may hold fewer
// entries, since a promotion rolls back what only the former primary had.
func TestAgeEndsWithTheLog(t *testing.T) {
	for name, c := range map[string]struct {
		after platform.Status
		kept  bool
	}{
		"more of the log":   {platform.Status{AppliedTerm: 2, Applied: 12}, true},
		"the same":          {platform.Status{AppliedTerm: 2, Applied: 10}, true},
		"empty log":         {platform.Status{}, false},
		"part of the log":   {platform.Status{AppliedTerm: 2, Applied: 4}, false},
		"log of later term": {platform.Status{AppliedTerm: 3, Applied: 8}, true},
	} {
		m := &member{known: true, status: platform.Status{AppliedTerm: 2, Applied: 10}, freshAt: time.Now()}
		m.setStatus(c.after, time.Now())
		require.Equal(t, c.kept, !m.freshAt.IsZero(), name)
		require.Equal(t, c.after, m.status)
	}
}
