package peer

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// DefaultRegionRate is the bandwidth between regions in bytes per second: 30 Mbit/s.
const DefaultRegionRate = 30_000_000 / 8

// burstTime limits what may be sent at once after a pause to the traffic of that time. It is short, so that a burst adds
// little delay.
const burstTime = 20 * time.Millisecond

// maxUndelayedControl is the size in bytes up to which control messages are charged to the bucket but don't wait for it: a
// heartbeat must not be late because a large unit has overdrawn the bucket.
const maxUndelayedControl = 4 << 10

// Priority levels of the limiter, highest first: control messages, then the ranks.
const (
	levelControl = iota
	levelRanks
	levelCount = levelRanks + int(unit.RankCount)
)

// rankLevel returns the level of frames of rank r.
func rankLevel(r unit.Rank) int { return levelRanks + min(int(r), int(unit.RankCount)-1) }

// Limiter is a token bucket that limits the bytes per second sent to other regions. Waiting frames are sent in the order of
// their rank, and in order of arrival within a rank. All connections of a daemon to other regions share one Limiter.
type Limiter struct {
	rate, burst float64 // bytes per second; bytes that the bucket holds

	mu         sync.Mutex
	tokens     float64   // bytes that may be sent; negative while overdrawn
	refilledAt time.Time // when tokens was last brought up to date
	queues     [levelCount][]*waitingFrame
	waiting    int
	timer      *time.Timer // nil unless armed
}

// waitingFrame is a frame that waits for the bucket. granted is closed when it may be sent.
type waitingFrame struct {
	bytes   float64
	granted chan struct{}
}

// NewLimiter returns a limiter with the given rate, or with DefaultRegionRate if it is 0.
func NewLimiter(bytesPerSecond float64) *Limiter {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultRegionRate
	}
	burst := bytesPerSecond * burstTime.Seconds()
	return &Limiter{rate: bytesPerSecond, burst: burst, tokens: burst, refilledAt: time.Now()}
}

// Waiting returns the number of waiting frames.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// wait blocks until a frame of n bytes may be sent at the given level, or until ctx ends. A frame may overdraw the bucket,
// so that one larger than the burst can be sent at all.
func (l *Limiter) wait(ctx context.Context, level, n int) error {
	l.mu.Lock()
	l.refill()
	if l.waiting == 0 && l.tokens > 0 || level == levelControl && n <= maxUndelayedControl {
		l.tokens -= float64(n)
		l.mu.Unlock()
		return nil
	}
	f := &waitingFrame{bytes: float64(n), granted: make(chan struct{})}
	l.queues[level] = append(l.queues[level], f)
	l.waiting++
	l.armTimer()
	l.mu.Unlock()
	select {
	case <-f.granted:
		return nil
	case <-ctx.Done():
		return l.stopWaiting(ctx, level, f)
	}
}

// stopWaiting removes f after ctx has ended. It returns nil if f has been granted meanwhile.
func (l *Limiter) stopWaiting(ctx context.Context, level int, f *waitingFrame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, queued := range l.queues[level] {
		if queued == f {
			l.queues[level] = append(l.queues[level][:i], l.queues[level][i+1:]...)
			l.waiting--
			return ctx.Err()
		}
	}
	return nil // granted before it could be removed
}

// refill adds the tokens for the time since the last refill. The caller holds mu.
func (l *Limiter) refill() {
	now := time.Now()
	l.tokens = min(l.burst, l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate)
	l.refilledAt = now
}

// armTimer sets the timer to the moment at which the bucket is no longer overdrawn, if frames wait. The caller holds mu.
func (l *Limiter) armTimer() {
	if l.timer != nil || l.waiting == 0 {
		return
	}
	delay := time.Duration(max(0, 1-l.tokens) / l.rate * float64(time.Second))
	l.timer = time.AfterFunc(delay, l.grantWaiting)
}

// grantWaiting lets waiting frames go until the bucket is empty.
func (l *Limiter) grantWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = nil
	l.refill()
	for level := range l.queues {
		for len(l.queues[level]) > 0 && l.tokens > 0 {
			f := l.queues[level][0]
			l.queues[level] = l.queues[level][1:]
			l.waiting--
			l.tokens -= f.bytes
			close(f.granted)
		}
	}
	l.armTimer()
}
