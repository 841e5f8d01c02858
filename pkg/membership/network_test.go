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
	waitLimit        = 9 * time.Second
	drainNoticeLimit = 3 * time.Second  // time in which all VMs must learn that a VM takes no more work, or takes it again
	failoverLimit    = 16 * time.Second // time that a change of primary may take
	testInterval     = 40 * time.Millisecond
)

var errBlocked = errors.New("no route")

// network connects views in memory and counts the bytes of their frames.
type network struct {
	mu           sync.Mutex
	views        map[string]*View
	blocked      func(a, b platform.VM) bool // reports whether a cannot reach b; nil: all pairs are connected
	frameBytes   map[string]*atomic.Int64    // sent and received, by VM
	list         []platform.VM
	platformDown bool
	probes       int
	probesHang   bool          // a probe of a VM that is gone times out instead of failing at once
	replyDelay   time.Duration // time before each reply
}

func (n *network) VMs(context.Context) ([]platform.VM, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.platformDown {
		return nil, platform.ErrUnavailable
	}
	return slices.Clone(n.list), nil
}

// locked calls f with mu held.
func (n *network) locked(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// memoryTransport is the in-memory transport of one VM.
type memoryTransport struct {
	*network
	self platform.VM
}

func (n *network) currentReplyDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replyDelay
}

func (p memoryTransport) reachableView(vm platform.VM) *View {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked != nil && p.blocked(p.self, vm) {
		return nil
	}
	return p.views[vm.Name]
}

func (p memoryTransport) Probe(ctx context.Context, vm platform.VM) error {
	p.locked(func() { p.probes++ })
	if p.reachableView(vm) != nil {
		return nil
	}
	if p.probesHang {
		<-ctx.Done()
		return ctx.Err()
	}
	return errBlocked
}

func (p memoryTransport) Request(ctx context.Context, vm platform.VM, t wire.Type, body []byte) ([]byte, error) {
	v := p.reachableView(vm)
	if v == nil {
		<-ctx.Done() // a request to an unreachable VM gets no answer
		return nil, ctx.Err()
	}
	select {
	case <-time.After(p.currentReplyDelay()):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	e := wire.NewEncoder()
	head, _ := e.Request(t, 1<<20, body)
	p.countFrame(vm, len(head)+len(body))
	out, err := v.Heartbeat(ctx, p.self, body)
	if err != nil {
		return nil, err
	}
	head, _ = e.Reply(1<<20, nil, out)
	p.countFrame(vm, len(head)+len(out))
	return out, nil
}

func (p memoryTransport) countFrame(vm platform.VM, size int) {
	p.frameBytes[p.self.Name].Add(int64(size))
	p.frameBytes[vm.Name].Add(int64(size))
}

func newNetwork(vmsPerDC ...int) *network {
	n := &network{views: map[string]*View{}, frameBytes: map[string]*atomic.Int64{}}
	for dc, count := range vmsPerDC {
		for i := range count {
			n.list = append(n.list, platform.VM{Name: fmt.Sprintf("vm-%d-%02d", dc, i), DataCentre: fmt.Sprintf("dc-%d", dc),
				Region: "r", PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", dc, i), AdminAddr: fmt.Sprintf("10.0.%d.%d:7001", dc, i),
				State: platform.VMLive})
		}
	}
	return n
}

// addView adds a view for vm to the network, without starting it.
func (n *network) addView(t testing.TB, vm platform.VM, interval func(int) time.Duration) *View {
	return n.addViewWith(t, vm, interval, nil)
}

func (n *network) addViewWith(t testing.TB, vm platform.VM, interval func(int) time.Duration, canOwn func() bool) *View {
	log := logrus.New()
	log.SetOutput(io.Discard)
	v := New(Options{Self: vm, Lister: n, Transport: memoryTransport{n, vm}, Log: log, Interval: interval,
		CanOwnMembers: canOwn, State: func() State {
			return State{ConfigVersion: 1100, ConfigHash: 1 << 31, OwnedMembers: 40, QueuedUnits: 300}
		}})
	n.locked(func() {
		n.views[vm.Name] = v
		n.frameBytes[vm.Name] = &atomic.Int64{}
	})
	return v
}

func (n *network) startAll(t testing.TB, interval func(int) time.Duration) {
	for _, vm := range n.list {
		n.addView(t, vm, interval)
	}
	for _, v := range n.views {
		require.NoError(t, v.Start(context.Background()))
		t.Cleanup(func() { _ = v.Stop(context.Background()) })
	}
}

func fixedInterval(int) time.Duration { return testInterval }

func names(vms []platform.VM) []string {
	var out []string
	for _, v := range vms {
		out = append(out, v.Name)
	}
	return out
}

// waitForLive waits until every running view for which include returns true has exactly want as its live VMs.
func (n *network) waitForLive(t testing.TB, want []string, include func(*View) bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for _, v := range n.views {
		for include == nil || include(v) {
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

func without(list []string, excluded ...string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(excluded, s) })
}
