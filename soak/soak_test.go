package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
)

// ciSeeds are the seeds of TestSoak.
var ciSeeds = []uint64{1, 2, 3}

// TestSoak guards against a broken promise to callers or operators under faults that meet: a few seeds of the soak, whose
// plans are those of `go run ./soak --seed N`.
func TestSoak(t *testing.T) {
	log.SetOutput(io.Discard)
	dir := t.TempDir()
	require.NoError(t, launch.Build(context.Background(), dir))
	keepDir, err := os.MkdirTemp("", "sycamorehub-soak-")
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.Remove(keepDir) }) // which keeps the logs of failed seeds
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			res, err := runSeed(context.Background(), seed, dir, keepDir, false)
			require.NoError(t, err)
			t.Logf("%d steps, %d requests, %d acknowledged", res.steps, res.requests, res.ledger.Acknowledged)
			require.Empty(t, res.violations, "plan and logs are in %s", res.kept)
			require.Positive(t, res.ledger.Acknowledged)
			require.Positive(t, res.stops)
		})
	}
}
