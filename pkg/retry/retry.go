// Package retry limits retries by a budget per class and an exponential backoff. It reads no clock and does no I/O.
package retry

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retries that each request of a class earns. Retries therefore add at most a tenth to an
	// overload instead of multiplying it.
	retryRatio = 0.1
	// maxTokens is the number of retries that a class can save up, so that classes with few requests can retry at all.
	maxTokens = 10
	// maxClasses limits the classes that have a budget. Further classes get no retries.
	maxClasses = 256

	baseDelay = 10 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
)

// Budget limits retries per class. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]float64 // retries left, by class
}

// NewBudget returns a budget in which each class starts with maxTokens retries.
func NewBudget() *Budget { return &Budget{tokens: map[string]float64{}} }

// CountRequest counts the first attempt of a request of the class, which earns retryRatio of a retry.
func (b *Budget) CountRequest(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tokens, ok := b.classTokens(class); ok {
		b.tokens[class] = min(tokens+retryRatio, maxTokens)
	}
}

// Allow takes one retry from the budget of the class. It returns false if none is left.
func (b *Budget) Allow(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.classTokens(class)
	if !ok || tokens < 1 {
		return false
	}
	b.tokens[class] = tokens - 1
	return true
}

// classTokens returns the tokens of a class, which it adds if it is new. It returns false if there are maxClasses others.
// The caller holds b.mu.
func (b *Budget) classTokens(class string) (tokens float64, ok bool) {
	tokens, ok = b.tokens[class]
	if !ok && len(b.tokens) < maxClasses {
		b.tokens[class] = maxTokens
		return maxTokens, true
	}
	return tokens, ok
}

// Delay returns the time to wait before a retry. It doubles from baseDelay for attempt 0, the first retry, up to maxDelay.
func Delay(attempt int) time.Duration {
	return min(baseDelay<<min(attempt, 8), maxDelay) // the shift is limited so that it cannot overflow
}
