package group

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/quorum"
)

// What is known of a service and its members must outlive a change of the platform's list: the primary, its term, how old replicas
// are, and since when a member has been leaving.
func TestKnowledgeOutlivesAChangeOfTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		f.update(func() { f.member("m2").status.Leaving = true })
		w := f.watcher(t, "w0", RankWatchOnly)
		time.Sleep(maxLeavingPromotable + time.Second)
		w.SetServices([]Assignment{{Service: f.only("m0", "m2"), PromoterRank: RankWatchOnly}})
		v, _ := w.View("s")
		require.Equal(t, "m0", v.Primary)
		require.EqualValues(t, 1, v.Term)
		require.Len(t, v.Members, 2, "a member that is not listed gets no work")
		require.True(t, v.Members[1].Fresh)
		s := w.findService("s")
		s.mu.Lock()
		require.True(t, s.member("m2").leavingLong(time.Now()))
		s.mu.Unlock()

		f.update(func() { f.member("m1").down = true })
		time.Sleep(time.Second)
		w.SetServices([]Assignment{{Service: f.only("m0", "m2"), PromoterRank: RankWatchOnly}})
		require.Nil(t, w.findService("s").member("m1"), "it does not answer any more and holds no write that others lack")
	})
}

// Members that the platform lists no more must count while they answer, also those that are silent where they may hold acknowledged
// writes, and must be promoted no more.
func TestMembersThatAreNotListedCount(t *testing.T) {
	for name, c := range map[string]struct {
		syncReplicas int
		cut          []string // links to members that the VM does not reach any more, or between members
		history      map[platform.Term]string
	}{
		"all answer: planned change":                             {0, nil, map[platform.Term]string{1: "m0", 2: "m1"}},
		"all answer, and the last one receives nothing":          {0, []string{"m0>m1"}, map[platform.Term]string{1: "m0"}},
		"one may hold writes and answers":                        {1, []string{"w0>m0"}, map[platform.Term]string{1: "m0", 2: "m1"}},
		"two are silent":                                         {0, []string{"w0>m0", "w0>m2"}, map[platform.Term]string{1: "m0", 2: "m1"}},
		"two are silent and may hold writes that the last lacks": {1, []string{"w0>m0", "w0>m2"}, map[platform.Term]string{1: "m0"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeService(t, 3)
				for _, m := range f.members {
					m.info.SyncReplicas = c.syncReplicas
				}
				w := f.promoterOf(t, f.service(), Options{})
				time.Sleep(2 * time.Second)
				f.update(func() {
					for _, link := range c.cut {
						f.cutLinks[link] = true
					}
				})
				f.write("m0")
				for range 10 {
					w.SetServices([]Assignment{{Service: f.only("m1")}})
					time.Sleep(time.Second)
				}
				require.Equal(t, c.history, f.history())
			})
		})
	}
}

// A member that is gone for good must not be missed for ever: once the others are seen to hold all acknowledged writes, the next loss
// of a primary needs only them.
func TestMemberThatIsGoneIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService(t, 3)
		for _, m := range f.members {
			m.info.SyncReplicas = 1
		}
		w := f.promoterOf(t, f.service(), Options{})
		time.Sleep(2 * time.Second)
		f.update(func() { f.member("m2").down = true })
		for range 5 {
			w.SetServices([]Assignment{{Service: f.only("m0", "m1")}})
			time.Sleep(time.Second)
		}
		require.Nil(t, w.findService("s").member("m2"))
		f.update(func() { f.member("m0").down = true })
		for range 10 {
			w.SetServices([]Assignment{{Service: f.only("m1")}})
			time.Sleep(time.Second)
		}
		require.Equal(t, map[platform.Term]string{1: "m0", 2: "m1"}, f.history())
	})
}

// Members that are silent and not listed must be missed only where they may hold acknowledged writes.
func TestAbsentMembers(t *testing.T) {
	for _, c := range []struct {
		syncReplicas int
		absent       []string
		chosen       string
	}{
		{0, nil, ""},
		{0, []string{"a", "c"}, "b"},
		{1, []string{"a"}, ""},
		{1, []string{"a", "c"}, ""},
		{2, []string{"a", "c"}, "b"},
	} {
		p, _ := quorum.NewPromoter(quorum.Attempt{Term: 2, ID: "x", Members: []string{"a", "b", "c"}, Absent: c.absent,
			SyncReplicas: c.syncReplicas})
		p.Step(quorum.Input{Kind: quorum.FenceAnswered, Member: "b", Status: platform.Status{FencedTerm: 2, FencedBy: "x"}})
		p.SkipUnanswered()
		require.Equal(t, c.chosen, p.Chosen(), c)
	}
}
