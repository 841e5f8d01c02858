// Package retry bounds what is sent again: a budget per class and an exponential backoff.
// It reads no clock and does no I/O.
package retry

import (
	"sync"
	"time"
)

const (
	// budgetShare is the part of a class's requests that may be sent again. Retries then add at most a tenth to an
	// overload instead of multiplying it.
	budgetShare = 0.1
	// burst is the number of retries that a class can save up, so that rare requests can be retried at all.
	burst = 10
	// maxClasses bounds the classes kept; a further class gets no retries.
	maxClasses = 256

	baseDelay = 10 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
)

// Budget limits retries per class. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget in which each class starts with a full burst.
func NewBudget() *Budget { return &Budget{tokens: map[string]float64{}} }

// CountRequest counts a first attempt of the class, which earns a part of a retry.
func (b *Budget) CountRequest(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens, ok := b.get(class); ok {
		b.tokens[class] = min(tokens+budgetShare, burst)
	}
}

// Allow takes one retry from the budget of the class. It reports false when none is left.
func (b *Budget) Allow(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.get(class)
	if !ok || tokens < 1 {
		return false
	}
	b.tokens[class] = tokens - 1
	return true
}

// get returns the tokens of a class; ok is false when too many classes are known. b.mu is held.
func (b *Budget) get(class string) (tokens float64, ok bool) {
	tokens, ok = b.tokens[class]
	if !ok && len(b.tokens) < maxClasses {
		b.tokens[class] = burst
		return burst, true
	}
	return tokens, ok
}

// Delay returns the pause before retry number attempt, counted from 0: it doubles from baseDelay to maxDelay.
func Delay(attempt int) time.Duration {
	return min(baseDelay<<min(attempt, 8), maxDelay)
}
