package group

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// takeoverTime is how long a member of the fake takes to become the primary after a request to promote that ignores fences.
const takeoverTime = time.Second

// overridingControl is the control of one VM on a platform that promotes a member whoever has fenced it.
type overridingControl struct{ fakeControl }

// Fence implements platform.MemberControl. It changes nothing at the member.
func (c overridingControl) Fence(ctx context.Context, info platform.Member, t platform.Term, promoterID string) (platform.Status, error) {
	st, err := c.Status(ctx, info, platform.StatusWait{})
	if err == nil && st.FencedTerm < t {
		st.FencedTerm, st.FencedBy = t, promoterID
	}
	return st, err
}

// Promote implements platform.MemberControl. It returns once the member is the primary.
func (c overridingControl) Promote(ctx context.Context, info platform.Member, _ platform.Term, _ string) (platform.Status, error) {
	c.f.announcePromotion(c.vm)
	c.f.requests.Go(func() {
		time.Sleep(takeoverTime)
		c.f.update(func() { c.f.takeOver(info.Name) })
	})
	for {
		st, err := c.Status(ctx, info, platform.StatusWait{})
		if ctx.Err() != nil || err == nil && st.Role == platform.RolePrimary {
			return st, ctx.Err()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// takeOver makes a member the primary of the next term with the log that it has. The old primary stops being one at that moment.
func (f *fakeService) takeOver(name string) {
	m, term := f.member(name), platform.Term(0)
	if m.down || m.status.Role == platform.RolePrimary {
		return
	}
	for _, o := range f.members {
		term = max(term, o.status.FencedTerm)
		if o.status.Role == platform.RolePrimary {
			o.status.Role = platform.RoleReplica
		}
	}
	f.lastID++
	m.status.Role, m.status.FencedTerm, m.primaryName = platform.RolePrimary, term+1, name
	m.log = append(slices.Clip(m.log), fakeEntry{term + 1, f.lastID})
	f.primaryOfTerm[term+1] = name
}

// overridingWatcher returns a Watcher for a VM on a platform that ignores fences.
func (f *fakeService) overridingWatcher(t *testing.T, vm string, rank int) *Watcher {
	return f.watcherWithOptions(t, rank, Options{
		Self: vm, Control: overridingControl{fakeControl{f, vm}}, FencesIgnored: true, PromotionTime: 4 * takeoverTime,
	})
}

// Guards against an attempt that chooses the old primary, which answers again, by what the others said before another VM's
// promotion took effect. What the new primary has acknowledged would be lost, and what it has rolled back would be in force again.
func TestOldPrimaryIsNotPromotedAfterAnotherPromotion(t *testing.T) {
	for _, healed := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
		t.Run(healed.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeService(t, 3)
				f.overridingWatcher(t, "w0", 0)
				f.overridingWatcher(t, "w1", 1)
				time.Sleep(time.Second)
				f.update(func() {
					for _, link := range []string{"m0>m1", "m0>m2", "w0>m0", "w1>m0"} {
						f.cutLinks[link] = true
					}
				})
				for range 3 {
					f.write("m0")
				}
				requested := make(chan struct{}, 10)
				f.update(func() { f.onPromote = func(string) { requested <- struct{}{} } })
				<-requested
				f.update(func() { f.member("m2").down = true })
				time.Sleep(healed)
				f.update(func() { delete(f.cutLinks, "w1>m0") })
				time.Sleep(8 * time.Second)
				require.Equal(t, map[platform.Term]string{1: "m0", 2: "m1"}, f.history())
			})
		})
	}
}

// A promotion whose first attempt found too few members must be made once they answer, without the pause that follows an attempt
// that failed.
func TestPromotionOnceMembersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		f.overridingWatcher(t, "w0", 0)
		time.Sleep(time.Second)
		f.update(func() { f.member("m0").down = true })
		time.Sleep(refusalDetectionTime + 100*time.Millisecond)
		f.update(func() { f.member("m2").down = true })
		time.Sleep(10 * time.Second)
		f.update(func() { f.member("m2").down = false })
		time.Sleep(detectionTime + takeoverTime)
		require.Len(t, f.history(), 2)
	})
}
