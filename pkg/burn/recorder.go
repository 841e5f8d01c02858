// Package burn counts for each class of work how many requests met the class's target and why the others did not, over
// sliding windows of 5 minutes, 1 hour and 6 hours. The snapshots of several daemons are merged into one report, which
// shows how fast the error budget burns.
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Cause is the reason why a request was bad, that is, why it failed or missed the target of its class.
type Cause uint8

// Causes of bad requests. CauseOther, the zero value, is used when the cause is not known.
const (
	CauseOther    Cause = iota
	CauseQueue          // waited too long for a slot
	CauseMember         // the member was slow or failed
	CauseLink           // the link between daemons or regions was slow or lost
	CauseFailover       // no primary or no majority
	CauseRefused        // the request was refused because of overload or too many connections
	causeCount
)

var causeNames = [causeCount]string{"other", "queue", "member", "link", "failover", "refused"}

// String returns the name of the cause in reports.
func (c Cause) String() string {
	if c < causeCount {
		return causeNames[c]
	}
	return causeNames[CauseOther]
}

// window describes a sliding window, which is kept as a ring of buckets. The ring holds one bucket more than bucketCount,
// because the current bucket is only partly filled; so it always covers the whole window.
type window struct {
	name        string
	length      time.Duration
	bucketCount int
}

var windows = [...]window{
	{"5m", 5 * time.Minute, 10},
	{"1h", time.Hour, 12},
	{"6h", 6 * time.Hour, 12},
}

func (w window) bucketLength() time.Duration { return w.length / time.Duration(w.bucketCount) }

const (
	// Latencies are recorded in units of 50 us up to one minute with one significant digit. With these values quantiles
	// are at most 6% too high, and a histogram takes less than 3 KB. The share of requests that met the target does not
	// depend on the histogram and is exact.
	latencyUnit   = 50 * time.Microsecond
	latencyMax    = time.Minute
	latencyDigits = 1
	maxClasses    = 128 // limits memory; requests of further classes are not counted
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(latencyMax/latencyUnit), latencyDigits)
}

// counts holds the counts of one bucket or the sum of several buckets. A request is good if it succeeded within the
// target of its class, and bad otherwise. latency is nil until the first request is added.
type counts struct {
	total, good uint64
	badByCause  [causeCount]uint64
	latency     *hdrhistogram.Histogram
}

func (c *counts) add(latency time.Duration, good bool, cause Cause) {
	if c.latency == nil {
		c.latency = newHistogram()
	}
	c.total++
	if good {
		c.good++
	} else {
		c.badByCause[min(cause, causeCount-1)]++
	}
	units := min(max(latency, 0), latencyMax) / latencyUnit
	// RecordValue cannot fail, because the value lies within the histogram's range.
	_ = c.latency.RecordValue(int64(units))
}

func (c *counts) merge(other *counts) {
	c.total += other.total
	c.good += other.good
	for i := range c.badByCause {
		c.badByCause[i] += other.badByCause[i]
	}
	if other.latency == nil {
		return
	}
	if c.latency == nil {
		c.latency = newHistogram()
	}
	c.latency.Merge(other.latency)
}

// reset sets all counts to zero and keeps the histogram's memory for reuse.
func (c *counts) reset() {
	histogram := c.latency
	*c = counts{latency: histogram}
	if histogram != nil {
		histogram.Reset()
	}
}

// ring holds the buckets of one window. Buckets are numbered by the time since the recorder's start divided by the bucket
// length. Bucket number n is stored at index n modulo the number of buckets in the ring.
type ring struct {
	window        window
	currentNumber int64
	buckets       []counts
}

func newRing(w window) ring { return ring{window: w, buckets: make([]counts, w.bucketCount+1)} }

// advance makes the bucket at elapsed, the time since the recorder's start, the current one. It empties the buckets that
// have left the window by then.
func (r *ring) advance(elapsed time.Duration) {
	number := int64(elapsed / r.window.bucketLength())
	if number <= r.currentNumber {
		return
	}
	size := int64(len(r.buckets))
	for i := max(r.currentNumber+1, number-size+1); i <= number; i++ {
		r.buckets[i%size].reset()
	}
	r.currentNumber = number
}

func (r *ring) currentBucket() *counts { return &r.buckets[r.currentNumber%int64(len(r.buckets))] }

func (r *ring) sum() counts {
	var total counts
	for i := range r.buckets {
		total.merge(&r.buckets[i])
	}
	return total
}

// Class is a class of work with its target.
type Class struct {
	Name        string        `json:"name"`
	Rank        string        `json:"rank"`
	Latency     time.Duration `json:"latency"`
	Reliability float64       `json:"reliability"`
}

// classState holds the counts of one class. Each call of Record holds the lock for a few hundred nanoseconds.
type classState struct {
	mu      sync.Mutex
	class   Class
	removed bool // the class is no longer configured, and is kept while a window holds counts of it
	rings   [len(windows)]ring
}

// Recorder counts the requests of one daemon. It is safe for concurrent use.
type Recorder struct {
	vm      string
	now     func() time.Time
	started time.Time

	mu      sync.RWMutex
	classes map[string]*classState
}

// NewRecorder returns a recorder for the daemon of the VM. now returns the current time; nil means time.Now.
func NewRecorder(vm string, now func() time.Time) *Recorder {
	if now == nil {
		now = time.Now
	}
	return &Recorder{vm: vm, now: now, started: now(), classes: map[string]*classState{}}
}

// Configure sets the classes and their targets. The counts of a class that is no longer configured stay in the report
// until they leave the longest window. A changed target applies to later requests only.
func (r *Recorder) Configure(classes []Class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	configured := map[string]Class{}
	for _, c := range classes {
		configured[c.Name] = c
	}
	for name, state := range r.classes {
		_, kept := configured[name]
		state.mu.Lock()
		state.removed = !kept
		state.mu.Unlock()
	}
	r.dropUnusedClasses()
	for name, c := range configured {
		state := r.classes[name]
		if state == nil {
			if len(r.classes) >= maxClasses {
				continue
			}
			state = newClassState()
			r.classes[name] = state
		}
		state.mu.Lock()
		state.class = c
		state.mu.Unlock()
	}
}

func newClassState() *classState {
	state := &classState{}
	for i, w := range windows {
		state.rings[i] = newRing(w)
	}
	return state
}

// dropUnusedClasses deletes the state of removed classes that have no counts left. The caller holds r.mu.
func (r *Recorder) dropUnusedClasses() {
	elapsed := r.now().Sub(r.started)
	for name, state := range r.classes {
		longest := &state.rings[len(state.rings)-1]
		longest.advance(elapsed)
		if sum := longest.sum(); state.removed && sum.total == 0 {
			delete(r.classes, name)
		}
	}
}

// Record counts one request with the target that it has; 0 stands for that of its class, in which other requests may have others.
// ok is false if the request failed; cause is used only if the request failed or its latency missed the target. Requests of
// classes that are not configured are not counted.
func (r *Recorder) Record(class string, target, latency time.Duration, ok bool, cause Cause) {
	r.mu.RLock()
	state := r.classes[class]
	r.mu.RUnlock()
	if state == nil {
		return
	}
	elapsed := r.now().Sub(r.started)
	state.mu.Lock()
	defer state.mu.Unlock()
	if target <= 0 {
		target = state.class.Latency
	}
	good := ok && latency <= target
	for i := range state.rings {
		state.rings[i].advance(elapsed)
		state.rings[i].currentBucket().add(latency, good, cause)
	}
}
