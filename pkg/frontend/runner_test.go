package frontend

import (
	"context"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// positionExecutor answers each unit with the position that its service states, once all units have begun.
type positionExecutor struct {
	unit.Executor
	begun sync.WaitGroup
}

func (p *positionExecutor) Execute(_ context.Context, u *unit.Unit, _ unit.Sink) unit.Result {
	p.begun.Done()
	p.begun.Wait()
	n, _ := strconv.Atoi(u.Service)
	return unit.Result{Position: platform.Position(n)}
}

// Results must reach the session that waits for them. The number of runners that are kept is bounded, and none is kept
// after close.
func TestRunners(t *testing.T) {
	const callers = 2 * maxIdleRunners
	e := &positionExecutor{}
	r := runnerPool{executor: e}
	for _, kept := range []int{maxIdleRunners, 0} {
		e.begun.Add(callers)
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				res := r.execute(t.Context(), &unit.Unit{Service: strconv.Itoa(i)}, nil)
				if res.Position != platform.Position(i) {
					t.Errorf("unit %d got the result of %d", i, res.Position)
				}
			})
		}
		wg.Wait()
		require.Len(t, r.idle, kept)
		r.close()
	}
}
