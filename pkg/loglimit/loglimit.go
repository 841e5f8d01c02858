// Package loglimit limits log lines that a lasting fault would repeat: one per key and minute, with the number of those
// left out. It decides only whether a line is written; it does not write, buffer or change lines.
package loglimit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// Interval is the time between two lines of one key.
	Interval = time.Minute
	// maxKeys bounds the keys kept, which may be named by peers: more than the 670 VMs of the target size. Further
	// keys count as one.
	maxKeys = 1024
	// overflowKey is the key of those beyond maxKeys.
	overflowKey = "\x00other"
	// suppressedField holds the number of lines left out since the last one of the key.
	suppressedField = "suppressed"
)

// Limiter limits the lines of one call site. The zero value is ready; it is safe for concurrent use.
type Limiter struct {
	mu   sync.Mutex
	keys map[string]*keyState
}

type keyState struct {
	lastLine   time.Time
	suppressed uint64
}

// Allow reports whether a line of the key may be written now, and returns the log to write it to. That has a field with
// the number of lines left out, if there are any.
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

// stateOf returns the state of a key. The caller holds mu.
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

// dropIdleKeys drops keys whose last line is old and after which none was left out.
func (l *Limiter) dropIdleKeys(now time.Time) {
	for key, state := range l.keys {
		if now.Sub(state.lastLine) >= Interval && state.suppressed == 0 {
			delete(l.keys, key)
		}
	}
}
