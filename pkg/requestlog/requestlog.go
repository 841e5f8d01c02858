// Package requestlog records the requests that were not served, so that each of the latest can be explained from its id. Its
// cost stays bounded however many requests fail: the latest are kept in a ring, a limited number of them is logged one by one,
// and the others are logged as sums by kind of error. It never blocks on the log.
package requestlog

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const (
	// capacity is the number of latest entries that are kept.
	capacity = 2048
	// linesPerSecond and burstLines limit the entries that are logged one by one. A flood that every VM of a fleet refuses
	// would otherwise write megabytes in seconds and take the CPU time that the requests need.
	linesPerSecond = 10
	burstLines     = 50
	// sumInterval is the time between two lines with sums.
	sumInterval = time.Second
)

// Entry is a request that was not served, or a session that was refused.
type Entry struct {
	Time     time.Time
	Request  string // id that the caller gave the request; empty for a refused session
	Database string
	Service  string
	Class    string
	State    string // transaction status that the caller was told
	Took     time.Duration
	Err      error
}

// Log records entries. It is safe for concurrent use.
type Log struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	entries  []Entry        // guarded by mu; a ring
	next     int            // guarded by mu; index of the oldest entry once the ring is full
	lines    float64        // guarded by mu; lines that may be logged now
	refilled time.Time      // guarded by mu; when lines was last refilled
	sums     map[string]int // guarded by mu; entries that were not logged since the last sums, by code of the error kind
	sumTimer *time.Timer    // guarded by mu; logs the sums; nil while there are none
}

// New returns an empty log that writes to log.
func New(log logrus.FieldLogger) *Log {
	return &Log{log: log, lines: burstLines, refilled: time.Now(), sums: map[string]int{}}
}

// Add records an entry.
func (l *Log) Add(e Entry) {
	if l.keep(e) {
		l.write(e)
	}
}

// keep puts an entry into the ring and reports whether it is to be logged.
func (l *Log) keep(e Entry) (loggable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) < capacity {
		l.entries = append(l.entries, e)
	} else {
		l.entries[l.next] = e
		l.next = (l.next + 1) % capacity
	}
	l.lines = min(l.lines+e.Time.Sub(l.refilled).Seconds()*linesPerSecond, burstLines)
	l.refilled = e.Time
	if l.lines >= 1 {
		l.lines--
		return true
	}
	l.sums[errkind.Of(e.Err).Code]++
	if l.sumTimer == nil {
		l.sumTimer = time.AfterFunc(sumInterval, l.writeSums)
	}
	return false
}

func (l *Log) write(e Entry) {
	kind := errkind.Of(e.Err)
	fields := logrus.Fields{"database": e.Database, "kind": kind.Code, "error": e.Err.Error()}
	if e.Request == "" {
		l.log.WithFields(fields).Info("session of a caller refused")
		return
	}
	fields["request"], fields["of"], fields["class"], fields["state"] = e.Request, e.Service, e.Class, e.State
	fields["outcome"], fields["ms"] = kind.Outcome.String(), e.Took.Milliseconds()
	l.log.WithFields(fields).Info("statement failed")
}

// writeSums logs how many entries were not logged one by one.
func (l *Log) writeSums() {
	l.mu.Lock()
	sums := l.sums
	l.sums, l.sumTimer = map[string]int{}, nil
	l.mu.Unlock()
	fields := logrus.Fields{}
	for _, code := range slices.Sorted(maps.Keys(sums)) {
		fields["failed_"+code] = sums[code]
	}
	l.log.WithFields(fields).Info("further statements failed and sessions were refused; the admin API has the latest of them")
}

// Find returns the kept entries of the request with the given id, the oldest first. With an empty id it returns all of them.
func (l *Log) Find(request string) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for i := range l.entries {
		e := l.entries[(l.next+i)%len(l.entries)]
		if request == "" || strings.EqualFold(e.Request, request) {
			out = append(out, e)
		}
	}
	return out
}
