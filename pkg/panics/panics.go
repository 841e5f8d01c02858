// Package panics confines a panic to the session, request or read in which it happens, so that the process goes on. It is
// used only where no lock is held across the call and where what the call had acquired is released by deferred functions.
package panics

import (
	"runtime/debug"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
)

var (
	confined atomic.Uint64
	logLimit loglimit.Limiter
)

// Confine ends a panic of the function that defers it, counts it, logs it with its stack and then calls after, which may be
// nil. It does nothing if there is no panic. where names the kind of work, and is the key by which lines are limited.
func Confine(log logrus.FieldLogger, where string, after func()) {
	cause := recover()
	if cause == nil {
		return
	}
	confined.Add(1)
	if limited, ok := logLimit.Allow(log.WithField("where", where), where); ok {
		limited.WithField("cause", cause).WithField("stack", string(debug.Stack())).
			Error("unexpected error ended a piece of work; the process goes on")
	}
	if after != nil {
		after()
	}
}

// Confined returns the number of panics that Confine has ended since the start of the process.
func Confined() uint64 { return confined.Load() }
