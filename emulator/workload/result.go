package workload

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Outcome of one order.
type Outcome uint8

// Outcomes of an order, as seen by its caller.
const (
	Acknowledged Outcome = iota
	Refused              // the system said that it did not run
	Unknown
)

// Order is one entry of the ledger.
type Order struct {
	Key     string // session key, selects the service
	ID      string // primary key of the row
	Addr    string // entry VM
	At      time.Time
	Outcome Outcome
	Err     error // as the caller got it
}

// ClassResult sums up a class.
type ClassResult struct {
	Requests, Served, Refused, Unknown, Failed int
	Latencies                                  []time.Duration // of served requests, sorted
	Errors                                     map[string]int  // by SQLSTATE or text
	ByMember                                   map[string]int  // reads by the member that served them, with AskMember
}

// Quantile returns a latency quantile of the served requests, 0 if there are none.
func (r *ClassResult) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(q*float64(len(r.Latencies))), len(r.Latencies)-1)]
}

// Within returns the share of all requests served within the target.
func (r *ClassResult) Within(target time.Duration) float64 {
	if r.Requests == 0 {
		return 1
	}
	n := sort.Search(len(r.Latencies), func(i int) bool { return r.Latencies[i] > target })
	return float64(n) / float64(r.Requests)
}

// Result of a run.
type Result struct {
	Classes map[string]*ClassResult
	Orders  []Order
	// StaleSessionReads counts reads of a session that missed the session's own acknowledged write.
	StaleSessionReads int
	SessionReads      int
	Elapsed           time.Duration // in which the counted requests began
}

// collector gathers what the callers saw.
type collector struct {
	countFrom time.Time // requests that begin earlier are not counted

	mu     sync.Mutex
	result *Result
}

func (r *collector) addSessionRead(stale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.SessionReads++
	if stale {
		r.result.StaleSessionReads++
	}
}

// addServedRead counts a read of the class by the member that served it.
func (r *collector) addServedRead(class, member string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Classes[class].ByMember[member]++
}

// ConnectionLost stands for the SQLSTATE of a request that ended with its connection.
const ConnectionLost = "connection lost"

// ErrorCode returns the SQLSTATE of a failed request, or ConnectionLost.
func ErrorCode(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ConnectionLost
}

func outcomeOf(err error) Outcome {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return Acknowledged
	case errors.As(err, &pg) && pg.Code != SQLStateOutcomeUnknown:
		return Refused
	}
	return Unknown
}

func (r *collector) addOrder(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Orders = append(r.result.Orders, o)
}

func (r *collector) addRequest(class string, err error, start time.Time) {
	if start.Before(r.countFrom) {
		return
	}
	latency := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	classResult := r.result.Classes[class]
	classResult.Requests++
	if err == nil {
		classResult.Served++
		classResult.Latencies = append(classResult.Latencies, latency)
		return
	}
	classResult.Errors[ErrorCode(err)]++
	switch outcomeOf(err) {
	case Refused:
		classResult.Refused++
	case Unknown:
		classResult.Unknown++
	}
}
