package frontend

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/token"
)

const (
	systemParameterPrefix = "sycamorehub." // prefix of the parameters that the proxy defines
	readOnlyParameter     = "default_transaction_read_only"
	// maxParameterBytes bounds the values that a session keeps.
	maxParameterBytes = 256
	textTypeOID       = 25
	textTypeSize      = -1 // variable length
)

// answerLocally answers a unit of commands that concern only the session, or without any statement.
func (c *session) answerLocally() {
	a := &c.workspace.assembly
	if a.lastType == 'Q' {
		c.answerCommand(&a.command, true)
		return
	}
	var current *command
	if c.txAborted {
		current = &a.command // resolveLocalCommand does not find rewritten statement names
	}
	for offset := 0; offset+headerBytes <= len(a.messages); {
		length := 1 + int(binary.BigEndian.Uint32(a.messages[offset+1:]))
		body := a.messages[offset+headerBytes : offset+length]
		if !c.answerLocalMessage(a.messages[offset], body, &current) {
			return
		}
		offset += length
	}
}

// answerInAbortedTransaction answers a unit in an aborted transaction. Only a command that ends the transaction is
// accepted, and answered as ROLLBACK.
func (c *session) answerInAbortedTransaction() {
	a := &c.workspace.assembly
	ends := a.command.kind == kindTransactionEnd && a.command.name == "" && !a.command.moreFollows && a.executeCount() <= 1
	if ends || !a.hasLocal && !a.hasRemote {
		c.answerLocally()
		return
	}
	c.workspace.out = appendErrorResponse(c.workspace.out, "ERROR", &sqlError{code: "25P02",
		text: "current transaction is aborted, commands ignored until end of transaction block"})
	c.dropFailedParses(0)
}

// executeCount returns the number of Execute messages.
func (a *assembly) executeCount() (n int) {
	for offset := 0; offset+headerBytes <= len(a.messages); {
		if a.messages[offset] == 'E' {
			n++
		}
		offset += 1 + int(binary.BigEndian.Uint32(a.messages[offset+1:]))
	}
	return n
}

// answerLocalMessage answers one message of the extended protocol. current is the command that the last Parse, Bind
// or Describe refers to. The result is false when an error ends the unit.
func (c *session) answerLocalMessage(typ byte, body []byte, current **command) bool {
	w := c.workspace
	switch typ {
	case 'P': // Parse
		name, rest, _ := cutString(body)
		if len(name) == 0 {
			cmd := classify(cstring(rest))
			*current = &cmd
		}
		w.out = append(w.out, '1', 0, 0, 0, 4) // ParseComplete
	case 'B': // Bind
		_, rest, _ := cutString(body)
		c.resolveLocalCommand(cstring(rest), current)
		w.out = append(w.out, '2', 0, 0, 0, 4) // BindComplete
	case 'D': // Describe
		if body[0] == 'S' {
			c.resolveLocalCommand(cstring(body[1:]), current)
			w.out, _ = (&pgproto3.ParameterDescription{}).Encode(w.out)
		}
		if *current != nil && (*current).kind == kindShow {
			w.out = appendShowRowDescription(w.out, (*current).name)
		} else {
			w.out = append(w.out, 'n', 0, 0, 0, 4) // NoData
		}
	case 'E': // Execute
		if *current == nil {
			w.out = appendErrorResponse(w.out, "ERROR", &sqlError{code: "34000", text: "portal does not exist"})
			return false
		}
		return c.answerCommand(*current, false)
	case 'C': // Close
		w.out = append(w.out, '3', 0, 0, 0, 4) // CloseComplete
	}
	return true
}

// resolveLocalCommand sets current to the command of the named statement, if the session has it.
func (c *session) resolveLocalCommand(name []byte, current **command) {
	if len(name) == 0 && c.workspace.assembly.parsesUnnamed {
		return // set by the Parse of this unit
	}
	if st, err := c.lookupStatement(name); err == nil {
		*current = &st.command
	}
}

// answerCommand carries out a command of the session and appends its answer. The result is false after an error. In
// the simple protocol, the answer to SHOW includes the row description, which in the extended protocol answers
// Describe.
func (c *session) answerCommand(cmd *command, simple bool) bool {
	w := c.workspace
	if cmd.kind == kindEmpty {
		w.out = append(w.out, 'I', 0, 0, 0, 4) // EmptyQueryResponse
		return true
	}
	tag, err := c.applyCommand(cmd)
	if err != nil {
		w.out = appendErrorResponse(w.out, "ERROR", err)
		c.failTransaction()
		return false
	}
	if cmd.kind == kindShow {
		if simple {
			w.out = appendShowRowDescription(w.out, cmd.name)
		}
		w.out, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte(c.parameterValue(cmd.name))}}).Encode(w.out)
	}
	w.out = appendCommandComplete(w.out, tag)
	return true
}

func appendShowRowDescription(dst []byte, name string) []byte {
	dst, _ = (&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textTypeOID, DataTypeSize: textTypeSize, TypeModifier: -1,
	}}}).Encode(dst)
	return dst
}

// applyCommand carries out a command that the frontend answers, and returns its command tag.
func (c *session) applyCommand(cmd *command) (tag string, err error) {
	if cmd.moreFollows {
		return "", errkind.New(errkind.Unsupported, "this command must be the only statement of its query")
	}
	switch cmd.kind {
	case kindTransactionEnd:
		c.endAbortedTransaction()
		return "ROLLBACK", nil
	case kindSet:
		return "SET", c.applySet(cmd)
	case kindSessionCharacteristics:
		if cmd.access == accessUnstated {
			return "", errkind.New(errkind.Unsupported, "only READ ONLY and READ WRITE can be set for a session")
		}
		return "SET", c.setReadOnly(cmd.access == accessReadOnly)
	case kindReset:
		return "RESET", c.resetParameter(cmd.name)
	case kindDiscard:
		if cmd.name != "all" || c.inTransaction() {
			return "", errkind.New(errkind.Unsupported, "only DISCARD ALL outside a transaction is supported")
		}
		c.dropAllStatements()
		return "DISCARD ALL", c.resetParameter("all")
	case kindDeallocate:
		return c.deallocate(cmd.name), nil
	case kindShow:
		if strings.HasPrefix(cmd.name, systemParameterPrefix) && !isSystemParameter(cmd.name) {
			return "", errkind.New(errkind.BadParameter, "unknown parameter %q", cmd.name)
		}
		return "SHOW", nil
	}
	return "", errkind.New(errkind.Unsupported, "%s is not supported: it would leave state on a member connection that sessions share", cmd.name)
}

// endAbortedTransaction ends a transaction that was aborted.
func (c *session) endAbortedTransaction() {
	c.txAborted, c.txStatus = false, 'I'
	c.mu.Lock()
	c.inTx = false // draining may close the idle session
	c.mu.Unlock()
}

// applySet handles SET name = value and SET name TO DEFAULT for a session.
func (c *session) applySet(cmd *command) error {
	switch {
	case cmd.malformed:
		return errkind.New(errkind.BadParameter, "SET %s needs = or TO and a value", cmd.name)
	case cmd.toDefault:
		return c.setParameter(cmd.name, "")
	}
	return c.setParameter(cmd.name, cmd.value)
}

// deallocate handles DEALLOCATE name and DEALLOCATE ALL, given as the name all, and returns the command tag.
func (c *session) deallocate(name string) (tag string) {
	if name == "all" {
		c.dropAllStatements()
		return "DEALLOCATE ALL"
	}
	c.dropStatement(name)
	return "DEALLOCATE"
}

// isSystemParameter reports whether a name with systemParameterPrefix is that of a parameter.
func isSystemParameter(name string) bool {
	switch strings.TrimPrefix(name, systemParameterPrefix) {
	case "class", "session", "token", "key", "idempotency_key":
		return true
	}
	return false
}

// setParameter changes a parameter at startup or through SET. The empty value stands for the default.
func (c *session) setParameter(name, value string) error {
	limit := maxParameterBytes
	if name == systemParameterPrefix+"token" {
		limit = token.MaxTextBytes
	}
	if len(value) > limit {
		return errkind.New(errkind.BadParameter, "value of %s exceeds %d bytes", name, limit)
	}
	if strings.HasPrefix(name, systemParameterPrefix) {
		return c.setSystemParameter(strings.TrimPrefix(name, systemParameterPrefix), value)
	}
	switch name {
	case readOnlyParameter:
		on, ok := parseBool(value)
		if !ok {
			return errkind.New(errkind.BadParameter, "%s must be on or off", name)
		}
		return c.setReadOnly(on)
	case "application_name":
		c.applicationName = strings.Clone(value)
		return nil
	case "client_encoding":
		if v := strings.ToUpper(value); v != "" && v != "UTF8" && v != "UTF-8" && v != "UNICODE" {
			return errkind.New(errkind.BadParameter, "client_encoding must be UTF8")
		}
		return nil
	case "standard_conforming_strings":
		if on, ok := parseBool(value); ok && !on {
			return errkind.New(errkind.Unsupported, "standard_conforming_strings must be on")
		}
		return nil
	case "extra_float_digits", "datestyle", "intervalstyle":
		return nil
	}
	return errkind.New(errkind.Unsupported, "session-level SET of %q is not supported; use SET LOCAL in a transaction", name)
}

// setSystemParameter changes the parameter whose name is systemParameterPrefix followed by name. The empty value stands for
// the default.
func (c *session) setSystemParameter(name, value string) error {
	if c.inTransaction() && (name == "class" || name == "key") {
		return errkind.New(errkind.BadParameter, "%s%s cannot be changed in a transaction", systemParameterPrefix, name)
	}
	switch name {
	case "class":
		return c.setClass(value)
	case "session":
		c.sessionID = value
	case "key":
		if _, err := c.server.options.Services.Resolve(c.database, value); err != nil {
			return err
		}
		c.serviceKey = value
	case "idempotency_key":
		c.idempotencyKey = value
	case "token":
		t, err := token.Parse(value)
		if err != nil {
			return err
		}
		c.token, c.tokenText, c.tokenFromCaller = t, value, value != ""
	default:
		return errkind.New(errkind.BadParameter, "unknown parameter %q", systemParameterPrefix+name)
	}
	return nil
}

// setClass changes the class of the session; "" stands for the default class. If that fails, the old class stays.
func (c *session) setClass(name string) error {
	old := c.className
	c.className = name
	class, err := c.classInForce()
	if err != nil {
		c.className = old
		return err
	}
	if name != "" {
		c.className = class.Name
	}
	return nil
}

// setReadOnly sets default_transaction_read_only. It refuses read write for a read-only class.
func (c *session) setReadOnly(on bool) error {
	if !on {
		class, err := c.classInForce()
		if err != nil {
			return err
		}
		if !class.Write {
			return errkind.New(errkind.BadParameter, "class %q is read-only", class.Name)
		}
	}
	c.readOnly = on
	return nil
}

// resetParameter handles RESET name and RESET ALL, given as the name all.
func (c *session) resetParameter(name string) error {
	switch name {
	case "all":
		if c.inTransaction() {
			return errkind.New(errkind.Unsupported, "RESET ALL in a transaction is not supported")
		}
		c.className, c.sessionID, c.serviceKey, c.idempotencyKey, c.applicationName, c.readOnly = "", "", "", "", "", false
		return c.setSystemParameter("token", "")
	case readOnlyParameter:
		c.readOnly = false
		return nil
	}
	return c.setParameter(name, "")
}

// parseBool parses a boolean value of a parameter. ok is false if v is not one. The empty value, the default, is false.
func parseBool(v string) (on, ok bool) {
	switch strings.ToLower(v) {
	case "on", "true", "yes", "1", "t", "y":
		return true, true
	case "off", "false", "no", "0", "f", "n", "":
		return false, true
	}
	return false, false
}

// parameterValue returns the value of a parameter that the session keeps.
func (c *session) parameterValue(name string) string {
	switch name {
	case systemParameterPrefix + "class":
		if class, err := c.classInForce(); err == nil {
			return class.Name
		}
		return c.className
	case systemParameterPrefix + "session":
		return c.sessionID
	case systemParameterPrefix + "key":
		return c.serviceKey
	case systemParameterPrefix + "idempotency_key":
		return c.idempotencyKey
	case systemParameterPrefix + "token":
		return c.tokenText
	case "application_name":
		return c.applicationName
	case readOnlyParameter:
		if c.readOnly {
			return "on"
		}
		return "off"
	}
	return ""
}
