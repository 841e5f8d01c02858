package fault

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// writeDocumentWithoutAge writes the example configuration with a maximum age of 0 for the class lookup to a file, as an operator
// writes it, and returns its path.
func (c *cluster) writeDocumentWithoutAge() string {
	doc, err := clusterconfig.Parse(examples.Kitakata)
	require.NoError(c.t, err)
	for i := range doc.Classes {
		if doc.Classes[i].Name == "lookup" {
			doc.Classes[i].MaxAge = unit.NoAge
		}
	}
	raw, err := json.Marshal(doc)
	require.NoError(c.t, err)
	raw = bytes.Replace(raw, []byte(`"maxAge":"1ns"`), []byte(`"maxAge":"0s"`), 1)
	require.Contains(c.t, string(raw), `"maxAge":"0s"`)
	path := filepath.Join(c.Dir, "no-age.config.json")
	require.NoError(c.t, os.WriteFile(path, raw, 0o600))
	return path
}

// noAgeReader reads the counter over one session that stays open, by itself and in read transactions by turns.
type noAgeReader struct {
	served    atomic.Int64
	violation atomic.Pointer[string] // the first one
}

func (r *noAgeReader) run(c *cluster, vm string, row *counterRow, binding *atomic.Bool, stop <-chan struct{}) {
	session := &callerSession{cluster: c, vm: vm}
	defer session.close()
	n := 0
	repeatUntil(requestPause, stop, func() {
		n++
		bound, oldest := binding.Load(), row.newestAckedBefore(time.Now())
		if n%2 == 0 {
			if _, err := session.run("lookup", "BEGIN READ ONLY", callTimeout); err != nil {
				return
			}
		}
		value, member, err := session.read("lookup", "counter")
		if n%2 == 0 {
			_, _ = session.run("lookup", "ROLLBACK", callTimeout)
		}
		got, parseErr := strconv.Atoi(value)
		switch {
		case err != nil:
		case parseErr == nil && got >= oldest:
			r.served.Add(1)
		case bound:
			text := fmt.Sprintf("read through %s, served by %s: %q, at least %d is acknowledged", vm, member, value, oldest)
			r.violation.CompareAndSwap(nil, &text)
		}
	})
}

// TestNoAgeHoldsForStandingSessions covers a class whose maximum age is changed to 0 while sessions stand open. From then on
// none of its reads may lack an acknowledged write: with replicas that apply nothing, after the restart of each daemon, and while
// and after the primary is replaced. It guards against a limit of 0 that is taken for no limit.
func TestNoAgeHoldsForStandingSessions(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	versions := c.watchVersions()
	old, _ := c.primary()
	row := &counterRow{}
	run, end := c.startBackground()
	run(func(stop <-chan struct{}) { row.write(c, c.vmIn(c.replicas(old)[0].DataCentre), stop) })
	var binding atomic.Bool
	readers := map[string]*noAgeReader{}
	for _, vm := range c.vmsExcept() {
		readers[vm] = &noAgeReader{}
		run(func(stop <-chan struct{}) { readers[vm].run(c, vm, row, &binding, stop) })
	}
	allServe := func(what string) {
		t.Helper()
		before := map[string]int64{}
		for vm, r := range readers {
			before[vm] = r.served.Load()
		}
		eventually(t, func() bool {
			for vm, r := range readers {
				if r.violation.Load() == nil && r.served.Load() < before[vm]+6 {
					return false
				}
			}
			return true
		}, primaryChangeBound, 10*time.Millisecond, "reads are not served %s", what)
		for _, r := range readers {
			if text := r.violation.Load(); text != nil {
				require.Fail(t, *text, what)
			}
		}
	}
	allServe("before the change")
	begin := time.Now()
	res := c.ctl(c.vmsExcept(), "config", "apply", "--if-version", "1", c.writeDocumentWithoutAge())
	require.Equal(t, 0, res.exitCode, res.stderr)
	versions.waitInForce(2, begin)
	binding.Store(true)
	faultReplicas(emember.Faults{PauseApply: true}, 2)(c, old)
	allServe("while replicas apply nothing")
	for _, vm := range c.vmsExcept() {
		c.killAndStart(vm)
	}
	allServe("after the restart of all daemons")
	faultReplicas(emember.Faults{}, 2)(c, old)
	c.setMemberFaults(old, emember.Faults{ControlOutage: true})
	c.awaitNewPrimary(old)
	allServe("after the primary was replaced")
	c.setMemberFaults(old, emember.Faults{})
	allServe("after the former primary is back")
	end()
}
