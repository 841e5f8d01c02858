package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// BenchmarkDecision measures one unit from its arrival to its end at a member with 4 slots, while each of a number of classes has a
// unit queued. 39 is the number of classes that routes of any targets share; 64 is the limit; 1,200 is what a queue for each target
// of the two-year size would be.
func BenchmarkDecision(b *testing.B) {
	for _, classes := range []int{3, 39, 64, 1200} {
		b.Run(fmt.Sprintf("classes=%d", classes), func(b *testing.B) {
			now := time.Unix(1, 0)
			p := NewPolicy(Limits{Slots: 4, Transactions: 16, MaxQueue: DefaultMaxQueue}, now)
			request := func(i int) Request {
				return Request{Class: fmt.Sprintf("class-%d", i), Rank: unit.Rank(i % int(unit.RankCount)), Target: time.Hour, Arrived: now}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range classes + 4 {
				if _, err := p.Enqueue(now, request(i%classes)); err != nil {
					b.Fatal(err)
				}
			}
			runtime.ReadMemStats(&after)
			requests := make([]Request, classes)
			for i := range requests {
				requests[i] = request(i)
			}
			var running []*ScheduledUnit
			for su := p.Next(now); su != nil; su = p.Next(now) {
				running = append(running, su)
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				p.Finish(now, running[0], false)
				running = running[1:]
				if _, err := p.Enqueue(now, requests[i%classes]); err != nil {
					b.Fatal(err)
				}
				running = append(running, p.Next(now))
				p.TakeRefused()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(classes), "bytes/class")
		})
	}
}
