package workload

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Outcome is the outcome of an order as its caller saw it.
type Outcome uint8

// Outcomes of orders.
const (
	Acknowledged Outcome = iota
	Refused              // the answer was an error that says that the order did not run
	Unknown              // no answer arrived, or an error with SQLSTATE 08007
)

// Order is one attempt of a caller to insert a row.
type Order struct {
	Key string // session key, which selects the service
	ID  string // primary key of the row
	// Transaction is the id of the transaction that inserted the row; empty for a row of its own.
	Transaction string
	Addr        string    // caller address of the entry VM
	At          time.Time // when the caller learnt the outcome
	Outcome     Outcome
	Err         error // what the driver returned; nil if the order was acknowledged
}

// ClassResult counts the requests of a class that began after the warm-up.
type ClassResult struct {
	Requests, Served, Refused, Unknown, Failed int
	Latencies                                  []time.Duration // of served requests, sorted after the run
	Errors                                     map[string]int  // failed requests by ErrorCode
	// ByMember counts reads by the member that served them, also those of the warm-up. It is empty without AskMember.
	ByMember map[string]int
}

// Quantile returns the quantile q, from 0 to 1, of the latencies of served requests, or 0 if there are none.
func (r *ClassResult) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(int(q*float64(len(r.Latencies))), len(r.Latencies)-1)]
}

// Within returns the share of all requests that were served within the target latency, or 1 if there are no requests.
func (r *ClassResult) Within(target time.Duration) float64 {
	if r.Requests == 0 {
		return 1
	}
	n := sort.Search(len(r.Latencies), func(i int) bool { return r.Latencies[i] > target })
	return float64(n) / float64(r.Requests)
}

// Result holds what the callers of a run saw.
type Result struct {
	Classes map[string]*ClassResult
	Orders  []Order
	// StaleSessionReads counts reads of a session that missed the session's own acknowledged write.
	StaleSessionReads int
	SessionReads      int
	Elapsed           time.Duration // time in which the requests counted in Classes began: the run without its warm-up
}

// collector adds up what the callers see. It is safe for concurrent use.
type collector struct {
	countFrom time.Time // addRequest ignores requests that began earlier

	mu     sync.Mutex
	result *Result
}

// addSessionRead counts a read that looks for the session's own write. stale means that it missed the write.
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

// ConnectionLost stands for the SQLSTATE of a request that failed without an error from the server.
const ConnectionLost = "connection lost"

// ErrorCode returns the SQLSTATE of a failed request, or ConnectionLost if there was none.
func ErrorCode(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ConnectionLost
}

// outcomeOf returns the outcome of an order for which the driver returned err.
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

// addOrder records an order for the comparison with the rows, also if it began during the warm-up.
func (r *collector) addOrder(o Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Orders = append(r.result.Orders, o)
}

// addRequest counts a request of the class that began at start and ended now with err.
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
