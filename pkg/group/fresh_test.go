package group

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
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

// Guards against reads at a replica that has started again without its log, after the VM that owns the primary was frozen and then
// relays what it knew before: the age must not be taken over without the log that it belongs to.
func TestRelayedAgeOfALogThatIsGone(t *testing.T) {
	now := time.Now()
	before := platform.Status{AppliedTerm: 2, Applied: 10}
	relayed := &RelayedMember{Heard: 50, Sent: 50, Fresh: 60, Status: &before}
	for name, c := range map[string]struct {
		present platform.Status
		want    bool
	}{
		"started again without its log": {platform.Status{}, false},
		"has part of its log again":     {platform.Status{AppliedTerm: 2, Applied: 9}, false},
		"has its log again":             {platform.Status{AppliedTerm: 2, Applied: 12}, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := &member{}
			m.setStatus(before, now.Add(-2*time.Second))
			m.setStatus(platform.Status{}, now.Add(-200*time.Millisecond))
			m.setStatus(c.present, now.Add(-100*time.Millisecond))
			(&service{members: []*member{m}}).recordRelayedMember(m, relayed, now)
			require.Equal(t, c.present, m.status)
			require.Equal(t, c.want, !m.freshAt.IsZero())
		})
	}
}

// A leaving primary must hand over to a replica that has received its log and only applies it late, and must not hand over to
// one that has not received it.
func TestLeavingPrimaryHandsOverToReplicaThatAppliesLate(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		received, applied time.Duration // ages of what the replica has received and applied
		want              bool
	}{
		"applies at once":            {100 * time.Millisecond, 100 * time.Millisecond, true},
		"applies 1.2 s late":         {100 * time.Millisecond, 1200 * time.Millisecond, true},
		"has not received for 1.2 s": {1200 * time.Millisecond, 1300 * time.Millisecond, false},
	} {
		primary := &member{known: true, status: platform.Status{LastTerm: 2, LastPosition: 100, Leaving: true}}
		replica := &member{known: true}
		s := &service{primary: primary, members: []*member{primary, replica}, samples: []positionSample{
			{at: now.Add(-c.applied), term: 2, logEnd: unit.Requirement{Term: 2, Position: 80}, confirmed: true},
			{at: now.Add(-c.received), term: 2, logEnd: unit.Requirement{Term: 2, Position: 90}, confirmed: true},
			{at: now, term: 2, logEnd: unit.Requirement{Term: 2, Position: 100}, confirmed: true},
		}}
		replica.status = platform.Status{LastTerm: 2, LastPosition: 95, AppliedTerm: 2, Applied: 85}
		replica.advanceFreshAt(s.samples)
		require.Equal(t, c.want, s.hasFreshSuccessor(now), name)
	}
}

// A member that has just begun to leave may still be promoted where no other can be; one that has been leaving for seconds must
// not, and one that is not leaving any more counts as before.
func TestMemberThatLeavesForLongIsBarred(t *testing.T) {
	begin := time.Now()
	m := &member{}
	m.setStatus(platform.Status{Leaving: true}, begin)
	m.setStatus(platform.Status{Leaving: true}, begin.Add(2*time.Second))
	require.False(t, m.leavingLong(begin.Add(maxLeavingPromotable-time.Millisecond)))
	require.True(t, m.leavingLong(begin.Add(maxLeavingPromotable)))
	m.setStatus(platform.Status{}, begin.Add(4*time.Second))
	require.False(t, m.leavingLong(begin.Add(5*time.Second)))
	m.setStatus(platform.Status{Leaving: true}, begin.Add(6*time.Second))
	require.False(t, m.leavingLong(begin.Add(7*time.Second)))
}
