package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// viewOwner is an owner that answers view requests as the present release does or, with oldRelease, as the one before.
type viewOwner struct {
	fakeCluster
	t          *testing.T
	oldRelease bool
	view       group.View
	bytes      int // size of the last answer
	requests   int
}

func (o *viewOwner) Live() []platform.VM {
	return []platform.VM{{Name: "vm-b", DataCentre: "b", Region: "r1"}}
}

func (o *viewOwner) request(_ context.Context, _ platform.VM, r wire.ViewRequest) (body []byte, err error) {
	o.requests++
	req, err := wire.NewEncoder().ViewRequestBody(r)
	require.NoError(o.t, err)
	got, err := wire.NewDecoder().ViewRequest(req)
	require.NoError(o.t, err)
	switch {
	case !o.oldRelease:
		body, err = group.EncodeLookupAnswer(o.view, got.Have)
	case got.Have != 0: // the release before takes any request with a second field for a relay request
		body, err = (&group.RelayedView{}).Encode()
	default:
		body, err = msgpack.Marshal(&o.view)
	}
	o.bytes = len(body)
	return body, err
}

// A lookup of an unchanged view must cost fewer bytes than the first one and still return new positions. A changed view
// must not be taken for an unchanged one, and lookups must also work on a daemon of the release before.
func TestLookup(t *testing.T) {
	const maxUnchangedBytes, lag = 40, 50 * time.Millisecond // maxUnchangedBytes: size of an answer without changes
	o := &viewOwner{t: t, view: view("m-own", nil)}
	c := NewViewCache(noViews{}, o, o, NewViewFetcher(o.request))
	e := c.entry("s")
	next := func() group.View {
		e.fetched = time.Now().Add(-maxViewTTL)
		v, ok := c.View(t.Context(), "s")
		require.True(t, ok)
		v.Version = 0
		return v
	}
	position := platform.Position(1)
	for _, step := range []struct {
		name     string
		change   func()
		small    bool
		requests int
		ttl      time.Duration
	}{
		{"first", func() {}, false, 1, viewTTL},
		{"unchanged", func() {}, true, 1, 2 * viewTTL},
		{"positions and ages", func() { aged(o.view, "m-far", lag).Members[0].Status.Applied = 7 }, true, 1, maxViewTTL},
		{"refused", func() { c.Invalidate("s") }, true, 1, viewTTL},
		{"primary", func() { o.view.Primary, o.view.Term = "m-near", 2 }, false, 1, viewTTL},
		{"unreachable", func() { unreachable(o.view, "m-far") }, false, 1, unsettledViewTTL},
		{"older version", func() { o.oldRelease = true }, false, 2, unsettledViewTTL},
		{"still older", func() {}, false, 1, unsettledViewTTL},
		{"new again", func() { o.oldRelease = false }, false, 1, unsettledViewTTL},
		{"reachable", func() { o.view = view("m-far", nil) }, false, 1, viewTTL},
	} {
		step.change()
		o.requests = 0
		position++
		change(o.view, "m-near", func(m *group.MemberView) { m.Status.LastPosition = position })
		got := next()
		for i := range got.Members { // lookups round ages up
			require.InDelta(t, o.view.Members[i].Age, got.Members[i].Age, float64(10*time.Millisecond))
			got.Members[i].Age = o.view.Members[i].Age
		}
		require.Equal(t, o.view, got, step.name)
		require.Equal(t, step.small, o.bytes < maxUnchangedBytes, "%s: %d bytes", step.name, o.bytes)
		require.Equal(t, step.requests, o.requests, step.name)
		require.Equal(t, step.ttl, e.ttl, step.name)
	}
	o.requests = 0
	e.fetched, e.lifetime = time.Now().Add(-2*viewTTL), maxViewTTL
	_, _ = c.View(t.Context(), "s")
	require.Zero(t, o.requests)
	e.view.Members = e.view.Members[1:] // the service list now has a member that the view lacks
	_, _ = c.View(t.Context(), "s")
	require.NotZero(t, o.requests)
}

// noViews is a LocalViews that watches no service.
type noViews struct{}

func (noViews) View(string) (group.View, bool) { return group.View{}, false }
func (noViews) PollPrimary(string)             {}
