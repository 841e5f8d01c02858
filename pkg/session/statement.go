// Package session serves callers whose protocol states what each statement does. It answers session commands itself and
// executes reads, writes and transactions as units of work. Of each session it keeps the positions of its last writes,
// which later reads must see, its values, its prepared statements and the status of its transaction.
//
// The package is independent of the protocol: a Protocol decodes statements and encodes answers. Package frontend serves
// callers that speak the PostgreSQL protocol.
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
	ID   string // request id that the caller chose, for logs
	Name string // name of the session value or of the prepared statement
	// Value is the new value of the session value, for KindSet.
	Value string
	// Writes reports whether the statement that KindPrepare prepares writes.
	Writes bool
	// Messages is the encoded statement that is sent to the member. For KindExecute it is split: Messages ends where the
	// name of the prepared statement belongs, and AfterName is what follows the name.
	Messages, AfterName []byte
	// Parse is the encoded definition of a prepared statement without its name, for KindPrepare.
	Parse []byte
}

// Answer is the answer to one statement.
type Answer struct {
	ID       string
	Messages []byte // the member's complete answer; empty if no member was needed
	Err      error  // why the statement failed; nil if it did not
	TxStatus byte   // 'I' outside transactions, 'T' in one, 'E' in a failed one
	Term     platform.Term
	Position platform.Position // log position of a write in Term; 0 for none
}

// newDefinition returns the definition of a prepared statement. Its shared name is a hash of the definition, so that sessions with the
// same statement share it on connections to members.
func newDefinition(st Statement) *definition {
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
	return &definition{sharedName: name, parse: st.Parse, writes: st.Writes}
}
