package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorehub/sycamorehub/pkg/burn"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

const (
	// observationCapacity limits the observations that wait to be recorded. It holds 6 s of 1,313 statements/s, the load
	// of one VM.
	observationCapacity = 8192
	// recordInterval is the time between two batches. With observationCapacity it lets a VM serve 400,000 requests/s
	// before observations are dropped.
	recordInterval = 20 * time.Millisecond
)

// observation is one finished request of a caller.
type observation struct {
	class   string
	target  time.Duration // target latency of the request, which may be that of its route
	outcome errkind.Outcome
	code    string
	latency time.Duration
}

// unitMetrics records the requests of callers. Sessions put observations into a ring and one goroutine records them, so
// that sessions do not wait for histograms. When the ring is full, new observations are dropped and counted.
type unitMetrics struct {
	latency  *prometheus.HistogramVec
	recorder *burn.Recorder
	ring     *ring.Ring[observation]
	stop     chan struct{}
	done     chan struct{}
}

func newUnitMetrics(k *kernel.Kernel) (any, error) {
	return &unitMetrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds",
			Help:    "Time from a complete request of a caller to its answer, by class, outcome and error code.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
		}, []string{"class", "outcome", "code"}),
		recorder: kernel.MustLookup[*burn.Recorder](k, nameBurn),
		ring:     ring.New[observation]("observations", observationCapacity, ring.Reject, 0),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}, nil
}

func newRequestLog(k *kernel.Kernel) (any, error) {
	return requestlog.New(logger(k, nameFrontend)), nil
}

// observe queues the observation of one request. It does not block.
func (m *unitMetrics) observe(class string, target time.Duration, outcome errkind.Outcome, code string, latency time.Duration) {
	_ = m.ring.Put(context.Background(), observation{class, target, outcome, code, latency})
}

// Start begins to record observations.
func (m *unitMetrics) Start(context.Context) error {
	go m.run()
	return nil
}

// Stop records the queued observations and ends.
func (m *unitMetrics) Stop(context.Context) error {
	m.ring.Close()
	close(m.stop)
	<-m.done
	return nil
}

// run records observations in batches, since a goroutine that waits for each one would cost every request a wake-up.
func (m *unitMetrics) run() {
	defer close(m.done)
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			m.drain()
			return
		case <-tick.C:
			m.drain()
		}
	}
}

// drain records all queued observations.
func (m *unitMetrics) drain() {
	for {
		o, ok := m.ring.TryTake()
		if !ok {
			return
		}
		m.record(o)
	}
}

// record adds one request to the latency histogram and, if its code counts, to the burn report.
func (m *unitMetrics) record(o observation) {
	m.latency.WithLabelValues(o.class, o.outcome.String(), o.code).Observe(o.latency.Seconds())
	if cause, counted := burn.CauseOf(o.code); counted {
		m.recorder.Record(o.class, o.target, o.latency, o.outcome == errkind.OutcomeDone, cause)
	}
}
