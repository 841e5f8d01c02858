package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// When the primary is replaced, a write that was forwarded to the former one must end as unknown and not wait for the
// owner, which may be lost as well. A write must not be cancelled if its member was chosen from a newer view than the
// latest one, or is still the primary.
func TestForwardedWritesEndWithTheirPrimary(t *testing.T) {
	latest := view("m-near", nil)
	latest.Term = 5
	f := forwardedWrites{services: map[string]*serviceWrites{},
		latestView: func(context.Context, string) (group.View, bool) { return latest, true }}
	replaced, done := f.add(context.Background(), "s", "m-own", 4)
	defer done()
	later, doneLater := f.add(context.Background(), "s", "m-own", 6)
	defer doneLater()
	same, doneSame := f.add(context.Background(), "s", "m-near", 4)
	defer doneSame()

	select {
	case <-replaced.Done():
	case <-time.After(4 * slowWriteAge):
	}
	require.True(t, errkind.Is(context.Cause(replaced), errkind.RequestOutcomeUnknown))
	require.NoError(t, later.Err())
	require.NoError(t, same.Err())
}

// neverSendingRemote is a Remote that waits until ctx ends and sends no unit.
type neverSendingRemote struct{}

func (neverSendingRemote) Execute(ctx context.Context, _ platform.VM, _ *unit.Unit, _ unit.Sink) unit.Result {
	<-ctx.Done()
	return unit.NotRun(errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "unit was not sent"))
}
func (neverSendingRemote) Rollback(platform.VM, unit.TxRef) {}

// A write that still waits for a connection to the owner when the primary is replaced must end as not run for lack of a
// primary, not as cancelled. The router may then send it to the next primary.
func TestUnsentWriteGoesToTheNextPrimary(t *testing.T) {
	latest := view("m-near", nil)
	latest.Term = 5
	r := &Router{Options: Options{Remote: neverSendingRemote{}}, forwarded: forwardedWrites{services: map[string]*serviceWrites{},
		latestView: func(context.Context, string) (group.View, bool) { return latest, true }}}
	ctx, cancel := context.WithTimeout(context.Background(), 4*slowWriteAge)
	defer cancel()
	res := r.forward(ctx, self, &unit.Unit{Write: true, Service: "s", Member: "m-own"}, 4, nil)
	require.True(t, errkind.Is(res.Err, errkind.NoPrimary), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
}
