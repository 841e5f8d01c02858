package peer

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// DefaultRegionRate is the bandwidth between regions in bytes per second: 30 Mbit/s.
const DefaultRegionRate = 30_000_000 / 8

// burstTime is how much traffic may go out at once after a pause. It is short, so that a burst adds little delay.
const burstTime = 20 * time.Millisecond

// maxUndelayedControl is the size in bytes up to which control messages are charged but don't wait: a heartbeat must not be
// late because a large unit has overdrawn the bucket.
const maxUndelayedControl = 4 << 10

// levels of the limiter: control messages, then the ranks.
const (
	levelControl = iota
	levelRanks
	levelCount = levelRanks + int(unit.RankCount)
)

func rankLevel(r unit.Rank) int { return levelRanks + min(int(r), int(unit.RankCount)-1) }

// Limiter limits bytes per second to other regions. Waiting frames go in order of their rank, first come first served
// within a rank. It is shared by all connections of a daemon that leave its region.
type Limiter struct {
	rate, burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	queues     [levelCount][]*waitingFrame
	waiting    int
	timer      *time.Timer
}

type waitingFrame struct {
	bytes   float64
	granted chan struct{}
}

// NewLimiter returns a limiter; a rate of 0 takes DefaultRegionRate.
func NewLimiter(bytesPerSecond float64) *Limiter {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultRegionRate
	}
	burst := bytesPerSecond * burstTime.Seconds()
	return &Limiter{rate: bytesPerSecond, burst: burst, tokens: burst, refilledAt: time.Now()}
}

// Waiting returns the number of frames that wait.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// wait blocks until n bytes may be sent at the level, or ctx ends. A frame may overdraw the bucket, so that one larger
// than the burst passes.
func (l *Limiter) wait(ctx context.Context, level, n int) error {
	l.mu.Lock()
	l.refill()
	if l.waiting == 0 && l.tokens > 0 || level == levelControl && n <= maxUndelayedControl {
		l.tokens -= float64(n)
		l.mu.Unlock()
		return nil
	}
	t := &waitingFrame{bytes: float64(n), granted: make(chan struct{})}
	l.queues[level] = append(l.queues[level], t)
	l.waiting++
	l.armTimer()
	l.mu.Unlock()
	select {
	case <-t.granted:
		return nil
	case <-ctx.Done():
		return l.stopWaiting(ctx, level, t)
	}
}

func (l *Limiter) stopWaiting(ctx context.Context, level int, t *waitingFrame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, q := range l.queues[level] {
		if q == t {
			l.queues[level] = append(l.queues[level][:i], l.queues[level][i+1:]...)
			l.waiting--
			return ctx.Err()
		}
	}
	return nil // granted at the same moment
}

func (l *Limiter) refill() {
	now := time.Now()
	l.tokens = min(l.burst, l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate)
	l.refilledAt = now
}

// armTimer arms the timer for the moment at which the bucket is no longer overdrawn. The caller holds mu.
func (l *Limiter) armTimer() {
	if l.timer != nil || l.waiting == 0 {
		return
	}
	delay := time.Duration(max(0, 1-l.tokens) / l.rate * float64(time.Second))
	l.timer = time.AfterFunc(delay, l.grantWaiting)
}

func (l *Limiter) grantWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = nil
	l.refill()
	for level := range l.queues {
		for len(l.queues[level]) > 0 && l.tokens > 0 {
			t := l.queues[level][0]
			l.queues[level] = l.queues[level][1:]
			l.waiting--
			l.tokens -= t.bytes
			close(t.granted)
		}
	}
	l.armTimer()
}
