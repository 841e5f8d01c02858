// Package unit defines a unit of work, its result and the interface through which it is executed. The local owner, the
// peer client that forwards units to other VMs, and the router implement this interface.
package unit

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Rank orders classes of work. Units of a lower rank number are run first.
type Rank uint8

// Ranks of work.
const (
	RankUrgent Rank = iota
	RankRoutine
	RankBatch
	RankCount
)

var rankNames = [RankCount]string{"urgent", "routine", "batch"}

// String returns the rank's name as used in the configuration.
func (r Rank) String() string {
	if r < RankCount {
		return rankNames[r]
	}
	return "invalid"
}

// ParseRank returns the rank with the given name.
func ParseRank(s string) (Rank, bool) {
	for i, n := range rankNames {
		if n == s {
			return Rank(i), true
		}
	}
	return 0, false
}

// Statement is a prepared statement that a unit uses. Its name is derived from the text and the parameter types, so
// that sessions can share prepared statements on a backend connection.
type Statement struct {
	Name  string `msgpack:"n"`
	Parse []byte `msgpack:"p"` // encoded pgproto3.Parse message with that name
}

// Value is a session value that must be set on the connection that runs the unit.
type Value struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// TxRef identifies an open transaction by the VM and the member that hold its backend connection, and its id there. The
// zero value means that no transaction is open.
type TxRef struct {
	VM     string `msgpack:"v"`
	Member string `msgpack:"m"`
	ID     uint64 `msgpack:"i"`
}

// Open reports whether the reference identifies a transaction.
func (t TxRef) Open() bool { return t.ID != 0 }

// Requirement is what a member must have applied to serve a read.
type Requirement struct {
	Term     platform.Term     `msgpack:"t"`
	Position platform.Position `msgpack:"p"`
}

// Unit is the sequence of messages that a caller sends up to and including one Query or Sync.
type Unit struct {
	Service        string        `msgpack:"s"`
	Member         string        `msgpack:"m"` // chosen by the router
	Class          string        `msgpack:"c"`
	Team           string        `msgpack:"u"` // team of the caller, told to the member; empty if the configuration names none
	Rank           Rank          `msgpack:"r"`
	Write          bool          `msgpack:"w"`
	Begin          bool          `msgpack:"o"` // the unit opens a transaction, judged by its leading keyword
	Repeatable     bool          `msgpack:"e"`
	Target         time.Duration `msgpack:"g"` // target latency of the class
	MaxAge         AgeLimit      `msgpack:"a"`
	Require        Requirement   `msgpack:"q"` // from the session token
	ConfirmPrimary bool          `msgpack:"f"` // the read must run on a primary confirmed by a majority after it started
	IdempotencyKey string        `msgpack:"k"`
	Arrived        time.Time     `msgpack:"-"` // time at which the complete request had been received
	Messages       []byte        `msgpack:"b"` // encoded frontend messages, ending with Query or Sync
	Statements     []Statement   `msgpack:"t"` // prepared statements that Messages uses but does not parse
	Tx             TxRef         `msgpack:"x"` // open transaction that the unit belongs to
	Values         []Value       `msgpack:"l"` // all session values, for endpoints that keep these per connection
}

// PrimaryOnly reports whether only the primary may serve the unit: it may write, or nothing may be missing from what it reads.
func (u *Unit) PrimaryOnly() bool { return u.Write || u.ConfirmPrimary || u.MaxAge == NoAge }

// Result is what is known of a unit after its execution.
type Result struct {
	Outcome  errkind.Outcome
	Err      error             // set only if the proxy refused or lost the unit; SQL errors are part of the message stream
	Term     platform.Term     // term of the write, 0 for none
	Position platform.Position // position of the write, 0 for none
	TxStatus byte              // 'I', 'T' or 'E' as in ReadyForQuery
	Tx       TxRef             // transaction that is open after the unit
	Streamed bool              // messages have reached the sink, so a retry would be visible to the caller
	Replica  bool              // served by a replica
}

// Sink receives the encoded backend messages of a unit in order. ReadyForQuery and ParameterStatus are not part of the
// stream. Write may block for flow control until ctx ends.
type Sink interface {
	Write(ctx context.Context, messages []byte) error
}

// LastSink is a Sink that is told which write is the last one of a unit, so that it can send these messages together
// with the unit's result.
type LastSink interface {
	Sink
	// WriteLast is Write for the last messages. The executor must then return the unit's result without waiting for
	// anything else.
	WriteLast(ctx context.Context, messages []byte) error
}

// WriteLast writes the last messages of an answer to s, with WriteLast if s is a LastSink.
func WriteLast(ctx context.Context, s Sink, messages []byte) error {
	if l, ok := s.(LastSink); ok {
		return l.WriteLast(ctx, messages)
	}
	return s.Write(ctx, messages)
}

// Executor runs units. ctx carries the unit's deadline; cancelling it cancels the running statement.
type Executor interface {
	Execute(ctx context.Context, u *Unit, sink Sink) Result
	// Rollback ends an open transaction whose caller has disconnected.
	Rollback(tx TxRef)
}

// NotRun returns the result for a unit that certainly did not run.
func NotRun(err error) Result {
	return Result{Outcome: errkind.OutcomeNotRun, Err: err, TxStatus: 'I'}
}

// Failed returns the result for an error, with the outcome that its kind implies.
func Failed(err error) Result {
	return Result{Outcome: errkind.Of(err).Outcome, Err: err, TxStatus: 'I'}
}
