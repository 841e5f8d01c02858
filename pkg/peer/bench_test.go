package peer

import (
	"context"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// BenchmarkForward measures a forwarded unit over loopback. The connection doesn't pass through the tcpProxy.
func BenchmarkForward(b *testing.B) {
	owner, proxy, _ := serve(b, newExecutor(echo))
	owner.PeerAddr = proxy.target
	pool := newTestPool(b)
	u := &unit.Unit{Service: "orders-db.1", Member: "orders-db.1-a", Class: "order", Messages: make([]byte, 100)}
	h := hdrhistogram.New(1, int64(time.Second), 3)
	discard := sinkFunc(func(context.Context, []byte) error { return nil })
	ctx := within(b, time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		if res := pool.Execute(ctx, owner, u, discard); res.Outcome != errkind.OutcomeDone {
			b.Fatal(res.Err)
		}
		_ = h.RecordValue(int64(time.Since(start)))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-ns")
}
