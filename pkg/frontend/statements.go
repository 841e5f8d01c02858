package frontend

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const (
	maxSessionStatements      = 1000
	maxSessionStatementBytes  = 1 << 20
	maxUnnamedStatementBytes  = 64 << 10
	statementPrefix           = "sh_"
	statementHashBytes        = 16
	neverPreparedName         = "sh_none" // no statement gets this name: closing it is answered and closes nothing
	preparedHeaderBytes       = 5
	preparedStatementOverhead = 64 // bytes of a map entry
)

// statement is a prepared statement shared by all sessions that prepared the same text with the same parameter types.
type statement struct {
	name    string
	parse   []byte // encoded Parse message with that name
	command command
	refs    int // uses by sessions; guarded by the mutex of the statementInterner
}

// statementInterner keeps one copy of each statement in use, since thousands of idle sessions tend to prepare the
// same ones.
type statementInterner struct {
	mu     sync.Mutex
	byName map[string]*statement
}

// acquire returns the statement of a Parse message, given its body after the name. Each acquire needs a release.
func (i *statementInterner) acquire(rest []byte) *statement {
	sum := sha256.Sum256(rest)
	var text [len(statementPrefix) + 2*statementHashBytes]byte
	copy(text[:], statementPrefix)
	hex.Encode(text[len(statementPrefix):], sum[:statementHashBytes])
	i.mu.Lock()
	defer i.mu.Unlock()
	if st := i.byName[string(text[:])]; st != nil {
		st.refs++
		return st
	}
	st := &statement{name: string(text[:]), refs: 1, command: classify(cstring(rest))}
	st.parse = appendMessageWithName(nil, 'P', "", st.name, rest)
	if i.byName == nil {
		i.byName = map[string]*statement{}
	}
	i.byName[st.name] = st
	return st
}

func (i *statementInterner) release(st *statement) {
	if st == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if st.refs--; st.refs == 0 {
		delete(i.byName, st.name)
	}
}

// appendMessageWithName appends a message whose body is prefix, name, a zero byte and rest.
func appendMessageWithName(dst []byte, typ byte, prefix, name string, rest []byte) []byte {
	dst = append(dst, typ)
	dst = binary.BigEndian.AppendUint32(dst, uint32(4+len(prefix)+len(name)+1+len(rest)))
	dst = append(dst, prefix...)
	dst = append(dst, name...)
	dst = append(dst, 0)
	return append(dst, rest...)
}

// addStatement adds a prepared statement to the session under name. rest is the body of its Parse message after the
// name.
func (c *session) addStatement(name string, rest []byte) (*statement, error) {
	if len(c.statements) >= maxSessionStatements || c.statementBytes+len(rest) > maxSessionStatementBytes {
		return nil, errkind.New(errkind.Overload, "session reached its limit of prepared statements, by number or size, with %d of them; close some first", len(c.statements))
	}
	st := c.server.sharedStatements.acquire(rest)
	c.dropStatement(name)
	if c.statements == nil {
		c.statements = map[string]*statement{}
	}
	c.statements[name] = st
	c.statementBytes += len(st.parse) + preparedStatementOverhead
	return st, nil
}

func (c *session) dropStatement(name string) {
	st := c.statements[name]
	if st == nil {
		return
	}
	delete(c.statements, name)
	c.statementBytes -= len(st.parse) + preparedStatementOverhead
	c.server.sharedStatements.release(st)
}

func (c *session) dropAllStatements() {
	for name := range c.statements {
		c.dropStatement(name)
	}
	c.server.sharedStatements.release(c.unnamedStatement)
	c.unnamedStatement, c.unnamedParse = nil, nil
}

// lookupStatement returns the statement that a Bind or Describe refers to. The empty name stands for the unnamed
// statement of an earlier unit.
func (c *session) lookupStatement(name []byte) (*statement, error) {
	if len(name) > 0 {
		if st := c.statements[string(name)]; st != nil {
			return st, nil
		}
		return nil, &sqlError{code: "26000", text: "prepared statement \"" + string(name) + "\" does not exist"}
	}
	if c.unnamedStatement == nil && c.unnamedParse != nil {
		c.unnamedStatement = c.server.sharedStatements.acquire(c.unnamedParse)
	}
	if c.unnamedStatement == nil {
		return nil, &sqlError{code: "26000", text: "unnamed prepared statement does not exist"}
	}
	return c.unnamedStatement, nil
}

// keepUnnamedParse keeps the unnamed statement for later units, unless it is larger than maxUnnamedStatementBytes.
func (c *session) keepUnnamedParse(rest []byte) {
	c.server.sharedStatements.release(c.unnamedStatement)
	c.unnamedStatement = nil
	if len(rest) > maxUnnamedStatementBytes {
		c.unnamedParse = nil
		return
	}
	c.unnamedParse = append(c.unnamedParse[:0], rest...)
}

// cstring returns the bytes before the first zero byte, or all bytes if there is none.
func cstring(b []byte) []byte {
	for i, x := range b {
		if x == 0 {
			return b[:i]
		}
	}
	return b
}

// cutString returns the zero-terminated string at the front of b and what follows it.
func cutString(b []byte) (s, rest []byte, ok bool) {
	for i, x := range b {
		if x == 0 {
			return b[:i], b[i+1:], true
		}
	}
	return nil, nil, false
}
