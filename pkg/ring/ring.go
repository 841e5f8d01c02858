// Package ring provides a bounded queue between goroutines with a policy for Puts into a full queue. Its depth and losses
// can be read for metrics.
package ring

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of a ring.
var (
	ErrFull   = errors.New("ring: full")
	ErrClosed = errors.New("ring: closed")
)

// Policy determines what Put does when the ring is full.
type Policy uint8

// Policies of a full ring.
const (
	Reject     Policy = iota // Put fails at once with ErrFull
	DropOldest               // Put discards the oldest item
	Block                    // Put waits for space for the ring's putTimeout, then fails with ErrFull
)

// Ring is a bounded first-in first-out queue for any number of producers and consumers.
type Ring[T any] struct {
	name       string
	policy     Policy
	putTimeout time.Duration
	items      chan T
	closed     chan struct{}
	activePuts sync.RWMutex // held for reading by Put, so that Take can wait for the last Put after Close
	closeOnce  sync.Once

	accepted, rejected, dropped atomic.Uint64
}

// New returns a ring. putTimeout bounds a Put under Block and is ignored by the other policies. The name labels metrics.
func New[T any](name string, capacity int, policy Policy, putTimeout time.Duration) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, putTimeout: putTimeout, items: make(chan T, max(1, capacity)),
		closed: make(chan struct{})}
}

// Put appends v. It returns ErrClosed after Close, ErrFull if the policy refuses v, or, with the policy Block, the error of
// ctx.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	r.activePuts.RLock()
	defer r.activePuts.RUnlock()
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	err := r.put(ctx, v)
	if err == nil {
		r.accepted.Add(1)
	} else if !errors.Is(err, ErrClosed) {
		r.rejected.Add(1)
	}
	return err
}

func (r *Ring[T]) put(ctx context.Context, v T) error {
	for {
		select {
		case r.items <- v:
			return nil
		default:
		}
		switch r.policy {
		case Reject:
			return ErrFull
		case Block:
			return r.putBlocking(ctx, v)
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default: // a consumer has taken the oldest item in the meantime
		}
	}
}

func (r *Ring[T]) putBlocking(ctx context.Context, v T) error {
	t := time.NewTimer(r.putTimeout)
	defer t.Stop()
	select {
	case r.items <- v:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return ErrFull
	}
}

// Take removes and returns the oldest item and waits if there is none. After Close it returns the remaining items, then
// ErrClosed.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	var zero T
	select {
	case v := <-r.items:
		return v, nil
	default:
	}
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-r.closed:
	}
	// A Put that began before Close may still add an item. The lock is granted only after all such Puts have returned.
	r.activePuts.Lock()
	defer r.activePuts.Unlock()
	if v, ok := r.TryTake(); ok {
		return v, nil
	}
	return zero, ErrClosed
}

// TryTake removes and returns the oldest item if there is one. It does not wait.
func (r *Ring[T]) TryTake() (v T, ok bool) {
	select {
	case v = <-r.items:
		return v, true
	default:
		return v, false
	}
}

// Close makes later Puts fail and wakes Puts and Takes that wait. Remaining items can still be taken.
func (r *Ring[T]) Close() { r.closeOnce.Do(func() { close(r.closed) }) }

// Stats are the counters and gauges of a ring.
type Stats struct {
	Name      string
	Depth     int
	Capacity  int
	Accepted  uint64 // items added by Put
	Rejected  uint64 // Puts that failed, other than with ErrClosed
	Discarded uint64 // items discarded under DropOldest
}

// Stats returns the ring's current counters and gauges.
func (r *Ring[T]) Stats() Stats {
	return Stats{r.name, len(r.items), cap(r.items), r.accepted.Load(), r.rejected.Load(), r.dropped.Load()}
}
