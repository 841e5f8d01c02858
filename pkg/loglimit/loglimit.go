// Package loglimit limits the log lines that a lasting fault would repeat to one line per key and minute. That line holds
// the number of lines left out before it. The package only decides whether a line is written; it does not write, buffer or
// change lines.
package loglimit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// Interval is the shortest time between two lines of one key.
	Interval = time.Minute
	// maxKeys limits the number of keys kept, since peers may choose the keys. It exceeds the 670 VMs of the cluster
	// size that the system is designed for. All further keys are treated as one.
	maxKeys = 1024
	// overflowKey is the key that stands for all keys beyond maxKeys.
	overflowKey = "\x00other"
	// suppressedField is the log field with the number of lines left out since the last line of the key.
	suppressedField = "suppressed"
)

// Limiter limits the log lines of one call site. The zero value is ready for use. A Limiter is safe for concurrent use.
type Limiter struct {
	mu   sync.Mutex
	keys map[string]*keyState
}

// keyState holds the time of the last line of a key and the number of lines left out since.
type keyState struct {
	lastLine   time.Time
	suppressed uint64
}

// Allow reports whether a line of the key may be written now, and returns the log to write it to. If lines were left out,
// the returned log has a field with their number.
func (l *Limiter) Allow(log logrus.FieldLogger, key string) (logrus.FieldLogger, bool) {
	suppressed, allowed := l.allow(key, time.Now())
	if suppressed > 0 && allowed {
		log = log.WithField(suppressedField, suppressed)
	}
	return log, allowed
}

func (l *Limiter) allow(key string, now time.Time) (suppressed uint64, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stateOf(key, now)
	if !state.lastLine.IsZero() && now.Sub(state.lastLine) < Interval {
		state.suppressed++
		return 0, false
	}
	suppressed = state.suppressed
	state.lastLine, state.suppressed = now, 0
	return suppressed, true
}

// stateOf returns the state of a key, or that of overflowKey if there are too many keys. The caller holds l.mu.
func (l *Limiter) stateOf(key string, now time.Time) *keyState {
	if l.keys == nil {
		l.keys = map[string]*keyState{}
	}
	state := l.keys[key]
	if state == nil && len(l.keys) >= maxKeys {
		l.dropIdleKeys(now)
		if len(l.keys) >= maxKeys {
			key = overflowKey
			state = l.keys[key]
		}
	}
	if state == nil {
		state = &keyState{}
		l.keys[key] = state
	}
	return state
}

// dropIdleKeys deletes keys whose last line is at least Interval old and that have had no line left out since. The caller
// holds l.mu.
func (l *Limiter) dropIdleKeys(now time.Time) {
	for key, state := range l.keys {
		if now.Sub(state.lastLine) >= Interval && state.suppressed == 0 {
			delete(l.keys, key)
		}
	}
}
