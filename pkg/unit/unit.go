// Package unit defines a unit of work, its result and the interface through which it is executed. The local owner,
// the forwarding peer and the router implement the same interface.
package unit

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Rank orders classes of work. A lower number goes first.
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

// Statement is a prepared statement that a unit uses. Name is derived from the text and parameter types, so that
// one backend connection can serve many sessions.
type Statement struct {
	Name  string `msgpack:"n"`
	Parse []byte `msgpack:"p"` // encoded pgproto3.Parse message with that name
}

// Value is a session value that a unit needs to be set on the connection that runs it.
type Value struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// TxRef names an open transaction: the VM and member that hold its backend connection, and its id there. The zero
// value means no open transaction.
type TxRef struct {
	VM     string `msgpack:"v"`
	Member string `msgpack:"m"`
	ID     uint64 `msgpack:"i"`
}

// Open reports whether the reference names a transaction.
func (t TxRef) Open() bool { return t.ID != 0 }

// Requirement is what a member must have applied to serve a read.
type Requirement struct {
	Term     platform.Term     `msgpack:"t"`
	Position platform.Position `msgpack:"p"`
}

// Unit is what a caller sends up to and including one Query or one Sync.
type Unit struct {
	Service        string        `msgpack:"s"`
	Member         string        `msgpack:"m"` // chosen by the router
	Class          string        `msgpack:"c"`
	Rank           Rank          `msgpack:"r"`
	Write          bool          `msgpack:"w"`
	Begin          bool          `msgpack:"o"` // the unit opens a transaction, as far as its leading keyword tells
	Repeatable     bool          `msgpack:"e"`
	Target         time.Duration `msgpack:"g"` // target latency of the class
	MaxAge         time.Duration `msgpack:"a"` // oldest data that a read accepts; 0: no stated age
	Require        Requirement   `msgpack:"q"` // from the session token
	ConfirmPrimary bool          `msgpack:"f"` // the read must run on a primary confirmed by a majority after it started
	IdempotencyKey string        `msgpack:"k"`
	Arrived        time.Time     `msgpack:"-"` // when the system had the complete request
	Messages       []byte        `msgpack:"b"` // encoded frontend messages, ending with Query or Sync
	Statements     []Statement   `msgpack:"t"` // prepared statements used but not parsed in Messages
	Tx             TxRef         `msgpack:"x"` // open transaction that the unit belongs to
	Values         []Value       `msgpack:"l"` // all values of the session, for endpoints that keep them per connection
}

// Result is what is known after a unit.
type Result struct {
	Outcome  errkind.Outcome
	Err      error             // nil unless the system itself refused or lost the unit; SQL errors travel in the stream
	Term     platform.Term     // term of the write, 0 for none
	Position platform.Position // position of the write, 0 for none
	TxStatus byte              // 'I', 'T' or 'E' as in ReadyForQuery
	Tx       TxRef             // open transaction after the unit
	Streamed bool              // bytes have reached the sink, so the unit cannot be retried transparently
	Replica  bool              // served by a replica
}

// Sink takes encoded backend messages of a unit in order. ReadyForQuery and ParameterStatus are not part of the
// stream. Write may block for flow control until ctx ends.
type Sink interface {
	Write(ctx context.Context, messages []byte) error
}

// LastSink is a Sink that is told which write is the last one, so that it can send the messages together with the
// unit's result.
type LastSink interface {
	Sink
	// WriteLast is Write for the last messages. The caller returns the unit's result without waiting for anything else.
	WriteLast(ctx context.Context, messages []byte) error
}

// WriteLast passes the last messages of an answer to the sink.
func WriteLast(ctx context.Context, s Sink, messages []byte) error {
	if l, ok := s.(LastSink); ok {
		return l.WriteLast(ctx, messages)
	}
	return s.Write(ctx, messages)
}

// Executor runs units. The deadline comes from ctx. Cancelling ctx cancels the running statement.
type Executor interface {
	Execute(ctx context.Context, u *Unit, sink Sink) Result
	// Rollback ends an open transaction whose caller has gone.
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
