package frontend

import (
	"encoding/binary"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// addMessage appends one message to the unit. done is true when the unit is complete.
func (c *session) addMessage(typ byte, body []byte) (done bool, err error) {
	a := &c.workspace.assembly
	a.started, a.lastWasFlush = true, false
	switch {
	case typ == 'd', typ == 'c', typ == 'f':
		return false, nil // CopyData, CopyDone or CopyFail left over from a COPY that was refused
	case typ == 'H': // Flush
		a.lastWasFlush = !a.skipToSync
		return false, nil
	case typ == 'S': // Sync
		a.lastType = 'S'
		a.checkWellFormed(typ, body)
		a.messages = appendMessage(a.messages, typ, body)
		return true, nil
	case a.skipToSync:
		return false, nil
	case len(a.messages)+len(body) > maxUnitBytes:
		return false, errkind.New(errkind.ProtocolViolation, "unit of work exceeds %d bytes", maxUnitBytes)
	}
	a.checkWellFormed(typ, body)
	if typ == 'Q' || typ == 'F' { // Query, FunctionCall
		a.addSimple(typ, body)
		return true, nil
	}
	if a.refusal == nil {
		a.refusal = c.addExtended(typ, body)
	}
	return false, nil
}

// addSimple adds a Query, or a FunctionCall, which is refused. Either ends the unit.
func (a *assembly) addSimple(typ byte, body []byte) {
	a.lastType = typ
	if typ == 'F' {
		a.refusal = errkind.New(errkind.Unsupported, "function call messages are not supported")
		return
	}
	a.runsStatement = true
	a.noteQuery(cstring(body))
	a.messages = appendMessage(a.messages, typ, body)
}

// checkWellFormed refuses the unit if the message is malformed.
func (a *assembly) checkWellFormed(typ byte, body []byte) {
	if a.refusal == nil && !wellFormed(typ, body) {
		a.refusal = errkind.New(errkind.ProtocolViolation, "malformed message of type %q", typ)
	}
}

func appendMessage(dst []byte, typ byte, body []byte) []byte {
	dst = binary.BigEndian.AppendUint32(append(dst, typ), uint32(4+len(body)))
	return append(dst, body...)
}

// noteQuery notes the command of a simple query and who answers it.
func (a *assembly) noteQuery(text []byte) {
	a.noteCommand(classify(text))
	a.noteDestination(a.command.answeredLocally())
}

// noteCommand keeps the unit's first command other than kindOther. A later BEGIN replaces it, since BEGIN decides the
// access mode.
func (a *assembly) noteCommand(cmd command) {
	if a.command.kind == kindOther || cmd.kind == kindBegin {
		a.command = cmd
	}
}

// addExtended appends a message of the extended protocol with statement names rewritten.
func (c *session) addExtended(typ byte, body []byte) error {
	switch typ {
	case 'P': // Parse
		name, rest, ok := cutString(body)
		if !ok {
			return errkind.New(errkind.ProtocolViolation, "malformed Parse message")
		}
		return c.addParse(name, rest)
	case 'B': // Bind
		portal, rest, ok := cutString(body)
		name, rest, ok2 := cutString(rest)
		if !ok || !ok2 {
			return errkind.New(errkind.ProtocolViolation, "malformed Bind message")
		}
		return c.addStatementReference(typ, portal, true, name, rest)
	case 'D', 'C': // Describe, Close
		return c.addDescribeOrClose(typ, body)
	}
	c.workspace.assembly.runsStatement = true
	c.workspace.assembly.messages = appendMessage(c.workspace.assembly.messages, typ, body)
	return nil
}

func (c *session) addDescribeOrClose(typ byte, body []byte) error {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return errkind.New(errkind.ProtocolViolation, "malformed Describe or Close message")
	}
	name, rest, ok := cutString(body[1:])
	switch {
	case !ok:
		return errkind.New(errkind.ProtocolViolation, "malformed Describe or Close message")
	case body[0] == 'P':
		c.workspace.assembly.messages = appendMessage(c.workspace.assembly.messages, typ, body)
		return nil
	case typ == 'C':
		c.addClose(name)
		return nil
	}
	return c.addStatementReference(typ, body[:1], false, name, rest)
}

func (c *session) addParse(name, rest []byte) error {
	a := &c.workspace.assembly
	if len(name) == 0 {
		cmd := classify(cstring(rest))
		a.noteCommand(cmd)
		a.parsesUnnamed = true
		c.keepUnnamedParse(rest)
		a.noteDestination(cmd.answeredLocally())
		a.messages = appendMessageWithName(a.messages, 'P', "", "", rest)
		return nil
	}
	st, err := c.addStatement(string(name), rest)
	if err != nil {
		return err
	}
	a.parsedNames = append(a.parsedNames, string(name))
	a.noteCommand(st.command)
	a.noteDestination(st.command.answeredLocally())
	if st.command.answeredLocally() {
		a.messages = appendMessageWithName(a.messages, 'P', "", string(name), rest)
		return nil
	}
	a.messages = append(a.messages, st.parse...)
	return nil
}

// noteDestination notes whether a message is answered by the frontend or by the executor.
func (a *assembly) noteDestination(local bool) {
	if local {
		a.hasLocal = true
	} else {
		a.hasRemote = true
	}
}

// addStatementReference appends a Bind or Describe of a statement. prefix is what precedes the statement's name in
// the body, followed by a zero byte if prefixTerminated is set.
func (c *session) addStatementReference(typ byte, prefix []byte, prefixTerminated bool, name, rest []byte) error {
	a := &c.workspace.assembly
	backendName := ""
	if len(name) > 0 || !a.parsesUnnamed {
		st, err := c.lookupStatement(name)
		if err != nil {
			return err
		}
		a.noteCommand(st.command)
		a.noteDestination(st.command.answeredLocally())
		if st.command.answeredLocally() {
			backendName = string(name)
		} else {
			backendName = st.name
			c.workspace.requireStatement(st, a.parsesStatement(name))
		}
	}
	length := 4 + len(prefix) + len(backendName) + 1 + len(rest)
	if prefixTerminated {
		length++
	}
	a.messages = binary.BigEndian.AppendUint32(append(a.messages, typ), uint32(length))
	a.messages = append(a.messages, prefix...)
	if prefixTerminated {
		a.messages = append(a.messages, 0)
	}
	a.messages = append(append(a.messages, backendName...), 0)
	a.messages = append(a.messages, rest...)
	return nil
}

// parsesStatement reports whether this unit parses the named statement.
func (a *assembly) parsesStatement(name []byte) bool {
	for _, p := range a.parsedNames { // slices.Contains would allocate the string for each statement
		if p == string(name) {
			return true
		}
	}
	return false
}

// requireStatement lists a statement that the executor may have to prepare first, unless this unit parses it.
func (w *workspace) requireStatement(st *statement, parsedHere bool) {
	if parsedHere {
		return
	}
	for i := range w.unit.Statements {
		if w.unit.Statements[i].Name == st.name {
			return
		}
	}
	w.unit.Statements = append(w.unit.Statements, unit.Statement{Name: st.name, Parse: st.parse})
}

// addClose ends the session's use of a statement. The shared statement may stay prepared at the member, so the
// message is rewritten to close nothing; it keeps its place among the answers.
func (c *session) addClose(name []byte) {
	if len(name) == 0 {
		c.server.sharedStatements.release(c.unnamedStatement)
		c.unnamedStatement, c.unnamedParse = nil, nil
	} else {
		c.dropStatement(string(name))
	}
	c.workspace.assembly.messages = appendMessageWithName(c.workspace.assembly.messages, 'C', "S", neverPreparedName, nil)
}
