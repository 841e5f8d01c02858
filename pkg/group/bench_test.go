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

// instant answers every request at once, so that the benchmark measures the Watcher without any transport.
type instant struct{ platform.MemberControl }

func (instant) Status(_ context.Context, m platform.Member, _ platform.StatusWait) (platform.Status, error) {
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

func benchWatcher(b *testing.B, services int, active bool) {
	const members, span = 3, 2 * time.Second
	w := New(Options{Control: instant{}, Self: "w0"})
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
				w.MajorityAnswered(list[i].Service.Name, majorityWithin)
			}
		}
		rounds++
	}
	runtime.ReadMemStats(&after)
	per := 1 / (float64(rounds*services*members) * span.Seconds())
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())*per, "cpu-us/member/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)*per, "allocs/member/s")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)*per, "B/member/s")
	b.ReportMetric(float64(w.Stats().Polls-polls)*per, "polls/member/s")
	b.ReportMetric(0, "ns/op")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
