package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/test/timing"
)

// A stopping VM must not wait for a silent owner longer than its caller can still be answered.
func TestSilentOwnerWhileVMStops(t *testing.T) {
	started := make(chan struct{})
	owner, proxy, _ := serve(t, newExecutor(func(ctx context.Context, _ *unit.Unit, _ unit.Sink) unit.Result {
		close(started)
		<-ctx.Done()
		return unit.Failed(ctx.Err())
	}))
	ctx, cancel := context.WithCancelCause(within(t, waitLimit))
	cancelled := make(chan time.Time, 1)
	go func() {
		<-started
		proxy.silence(t)
		cancelled <- time.Now()
		cancel(&unit.StopError{AnswerBefore: time.Now().Add(100 * time.Millisecond)})
	}()
	res := newTestPool(t).Execute(ctx, owner, &unit.Unit{Write: true}, &buffer{})
	require.Less(timing.Checks(t), time.Since(<-cancelled), 500*time.Millisecond)
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
}
