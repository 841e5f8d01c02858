package group

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// instantControl answers every status request at once, so that the benchmark measures the Watcher without any
// transport.
type instantControl struct{ platform.MemberControl }

func (instantControl) Status(_ context.Context, m platform.Member, _ platform.StatusWait) (platform.Status, error) {
	s := platform.Status{Member: m.Name, Role: platform.RoleReplica, FencedTerm: 1, LastTerm: 1, AppliedTerm: 1}
	if m.Name == "m0" {
		s.Role = platform.RolePrimary
	}
	return s, nil
}

// BenchmarkWatcher measures CPU time and allocations per watched member and second, for capacity planning.
func BenchmarkWatcher(b *testing.B) {
	for _, active := range []bool{false, true} {
		for _, services := range []int{10, 40, 160} {
			b.Run(fmt.Sprintf("active=%v/services=%d", active, services), func(b *testing.B) {
				benchWatcher(b, services, active)
			})
		}
	}
}

// benchWatcher runs one case of BenchmarkWatcher. If active is set, every service has traffic.
func benchWatcher(b *testing.B, services int, active bool) {
	const members, span = 3, 2 * time.Second
	w := New(Options{Control: instantControl{}, Self: "w0"})
	defer w.Close()
	var list []Assignment
	for i := range services {
		s := platform.Service{Name: fmt.Sprint(i)}
		for j := range members {
			s.Members = append(s.Members, platform.Member{Name: fmt.Sprintf("m%d", j)})
		}
		list = append(list, Assignment{Service: s})
	}
	w.SetServices(list)
	time.Sleep(time.Second)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, polls, rounds := cpuTime(b), w.Stats().Polls, 0
	for b.Loop() {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(span / 4) {
			for i := 0; active && i < services; i++ {
				w.MajorityAnswered(list[i].Service.Name, majorityWindow)
			}
		}
		rounds++
	}
	runtime.ReadMemStats(&after)
	perMemberSecond := 1 / (float64(rounds*services*members) * span.Seconds())
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())*perMemberSecond, "cpu-us/member/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)*perMemberSecond, "allocs/member/s")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)*perMemberSecond, "B/member/s")
	b.ReportMetric(float64(w.Stats().Polls-polls)*perMemberSecond, "polls/member/s")
	b.ReportMetric(0, "ns/op")
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
