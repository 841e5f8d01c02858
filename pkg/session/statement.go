// Package session serves callers whose protocol names each statement: it answers session commands itself, routes reads,
// writes and transactions as units of work, and keeps what a session is owed: its own writes, its values, its prepared
// statements and the state of its transaction. It knows no protocol: a Protocol decodes statements and encodes answers.
// Package frontend does the same for callers that speak the PostgreSQL protocol.
package session

import (
	"hash/fnv"
	"strconv"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Kind says what a statement does.
type Kind uint8

// Kinds of statements. The zero value is a statement that could not be decoded.
const (
	KindInvalid Kind = iota
	KindBegin
	KindBeginReadOnly // a transaction that only reads
	KindCommit
	KindRollback
	KindRead
	KindWrite
	KindSet
	KindPrepare
	KindExecute
	KindDeallocate
)

// Statement is one decoded statement of a caller.
type Statement struct {
	Kind Kind
	ID   string // request id of the caller, for logs
	Name string // of a session value or of a prepared statement
	// Value is what a session value is set to.
	Value string
	// Writes tells whether a statement to prepare writes.
	Writes bool
	// Messages is what is sent to the member. For KindExecute it ends where the name of the prepared statement belongs,
	// and AfterName follows it.
	Messages, AfterName []byte
	// Parse is what prepares a statement, without its name.
	Parse []byte
}

// Answer is what the caller of a statement gets.
type Answer struct {
	ID       string
	Messages []byte // the member's complete answer; empty for statements answered here
	Err      error  // why there is no answer
	TxStatus byte   // 'I' outside transactions, 'T' in one, 'E' in a failed one
	Term     platform.Term
	Position platform.Position // of a write; 0 for none
}

// preparedStatement is a prepared statement of a session. Connections share it under a name that follows from its text.
type preparedStatement struct {
	sharedName string
	parse      []byte
	writes     bool
}

func newPreparedStatement(st Statement) preparedStatement {
	h := fnv.New128a()
	_, _ = h.Write(st.Parse)
	sum := h.Sum(nil)
	name := "p"
	for i := 0; i < len(sum); i += 8 {
		v := uint64(0)
		for _, b := range sum[i : i+8] {
			v = v<<8 | uint64(b)
		}
		name += strconv.FormatUint(v, 36)
	}
	return preparedStatement{sharedName: name, parse: st.Parse, writes: st.Writes}
}
