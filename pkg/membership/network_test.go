package membership

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

const (
	waitLimit     = 9 * time.Second
	leavingBound  = 3 * time.Second  // P7: news of VMs that take no more work, or take it again
	failoverBound = 16 * time.Second // of a change of primary
	testInterval  = 40 * time.Millisecond
)

var errCut = errors.New("no route")

// network joins views in memory and counts the bytes of their frames. cut says which pairs don't reach each other.
type network struct {
	mu     sync.Mutex
	views  map[string]*View
	cut    func(a, b platform.VM) bool
	bytes  map[string]*atomic.Int64 // sent and received, by VM
	list   []platform.VM
	down   bool
	probes int
	dark   bool          // a VM that is gone does not refuse connections either
	slow   time.Duration // before an answer
}

func (n *network) VMs(context.Context) ([]platform.VM, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, platform.ErrUnavailable
	}
	return slices.Clone(n.list), nil
}

func (n *network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// port is the transport of one VM.
type port struct {
	*network
	self platform.VM
}

func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slow
}

func (p port) target(vm platform.VM) *View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != nil && p.cut(p.self, vm) {
		return nil
	}
	return p.views[vm.Name]
}

func (p port) Probe(ctx context.Context, vm platform.VM) error {
	p.set(func() { p.probes++ })
	if p.target(vm) != nil {
		return nil
	}
	if p.dark {
		<-ctx.Done()
		return ctx.Err()
	}
	return errCut
}

func (p port) Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error) {
	v := p.target(vm)
	if v == nil {
		<-ctx.Done() // a cut route is silent
		return nil, ctx.Err()
	}
	select {
	case <-time.After(p.delay()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	e := wire.NewEncoder()
	head, _ := e.Request(t, 1<<20, body)
	p.count(vm, len(head)+len(body))
	out, err := v.Heartbeat(ctx, p.self, body)
	if err != nil {
		return nil, err
	}
	head, _ = e.Reply(1<<20, nil, out)
	p.count(vm, len(head)+len(out))
	return out, nil
}

func (p port) count(vm platform.VM, n int) {
	p.bytes[p.self.Name].Add(int64(n))
	p.bytes[vm.Name].Add(int64(n))
}

func newNetwork(perDC ...int) *network {
	n := &network{views: map[string]*View{}, bytes: map[string]*atomic.Int64{}}
	for dc, count := range perDC {
		for i := range count {
			n.list = append(n.list, platform.VM{Name: fmt.Sprintf("vm-%d-%02d", dc, i), DataCentre: fmt.Sprintf("dc-%d", dc),
				Region: "r", PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", dc, i), AdminAddr: fmt.Sprintf("10.0.%d.%d:7001", dc, i),
				State: platform.VMLive})
		}
	}
	return n
}

func (n *network) start(t testing.TB, vm platform.VM, interval func(int) time.Duration) *View {
	return n.startWith(t, vm, interval, nil)
}

func (n *network) startWith(t testing.TB, vm platform.VM, interval func(int) time.Duration, canOwn func() bool) *View {
	log := logrus.New()
	log.SetOutput(io.Discard)
	v := New(Options{Self: vm, Lister: n, Transport: port{n, vm}, Log: log, Interval: interval, CanOwn: canOwn,
		State: func() State { return State{ConfigVersion: 1100, ConfigHash: 1 << 31, Owned: 40, Waiting: 300} }})
	n.set(func() {
		n.views[vm.Name] = v
		n.bytes[vm.Name] = &atomic.Int64{}
	})
	return v
}

func (n *network) startAll(t testing.TB, interval func(int) time.Duration) {
	for _, vm := range n.list {
		n.start(t, vm, interval)
	}
	for _, v := range n.views {
		require.NoError(t, v.Start(context.Background()))
		t.Cleanup(func() { _ = v.Stop(context.Background()) })
	}
}

func fast(int) time.Duration { return testInterval }

func names(vms []platform.VM) []string {
	var out []string
	for _, v := range vms {
		out = append(out, v.Name)
	}
	return out
}

// eventually waits until every running view for which keep holds sees exactly want as live.
func (n *network) eventually(t testing.TB, want []string, keep func(*View) bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for _, v := range n.views {
		for keep == nil || keep(v) {
			changed := v.Changed()
			if slices.Equal(names(v.Live()), want) {
				break
			}
			select {
			case <-changed:
			case <-time.After(time.Until(deadline)):
				require.Equal(t, want, names(v.Live()), "view of %s", v.Self().Name)
			}
		}
	}
}

func without(list []string, gone ...string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(gone, s) })
}
