package frontend

import (
	"bytes"
	"context"
	"regexp"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// readWritePattern matches statements that leave read-only mode. It is applied only to a simple query of several
// statements that must not write, since its leading keyword does not show what the others do.
var readWritePattern = regexp.MustCompile(`(?i)read\s+write|transaction_read_only`)

// fillUnit fills in the unit from the session and the messages read. An error refuses the unit.
func (c *session) fillUnit() (Class, error) {
	class, err := c.classInForce()
	if err != nil {
		return class, err
	}
	a, u := &c.workspace.assembly, &c.workspace.unit
	if u.Write, err = c.mayWrite(class, &a.command); err != nil {
		return class, err
	}
	if !u.Write && a.lastType == 'Q' && a.hasSeveralStatements() && readWritePattern.Match(a.messages) {
		return class, errkind.New(errkind.BadParameter, "a read-only session or class cannot switch to read write")
	}
	u.Class, u.Rank, u.Repeatable = class.Name, class.Rank, class.Repeatable
	u.Begin = a.command.kind == kindBegin
	u.Target, u.MaxAge, u.Messages, u.Tx = class.Target, class.MaxAge, a.messages, c.tx
	if c.inTransaction() {
		u.Service, u.Team = c.txService, c.txTeam
		return class, c.attachIdempotencyKey(u, a)
	}
	if u.Service, err = c.server.options.Services.Resolve(c.database, c.serviceKey); err != nil {
		return class, err
	}
	if err := c.admitTeam(u, class); err != nil {
		return class, err
	}
	var covered bool
	u.Require, covered = c.token.Requirement(u.Service)
	u.ConfirmPrimary = !u.Write && c.sessionID != "" && !c.tokenFromCaller && !covered
	return class, c.attachIdempotencyKey(u, a)
}

// admitTeam sets the team of a unit that begins an operation, and refuses it beyond the team's limit. A wait for the limit takes
// at most a fifth of the class's target, and one for the decision at most half of it.
func (c *session) admitTeam(u *unit.Unit, class Class) error {
	t, err := c.server.options.Teams.Identify(c.database, c.key)
	if err != nil {
		return err
	}
	u.Team, c.txTeam = t.Name, t.Name
	return c.server.options.Teams.Admit(context.Background(), t, class.Target/5, class.Target/2)
}

// attachIdempotencyKey moves the session's idempotency key to a unit that writes. A unit of a transaction block
// cannot have one and is refused.
func (c *session) attachIdempotencyKey(u *unit.Unit, a *assembly) error {
	if c.idempotencyKey == "" || !u.Write || !a.runsStatement {
		return nil
	}
	key := c.idempotencyKey
	c.idempotencyKey = ""
	if c.inTransaction() || a.command.kind == kindBegin || a.command.kind == kindTransactionEnd {
		return errkind.New(errkind.BadParameter, "an idempotency key cannot be used in a transaction block")
	}
	u.IdempotencyKey = key
	return nil
}

// hasSeveralStatements reports whether a simple query holds a semicolon before its end.
func (a *assembly) hasSeveralStatements() bool {
	text := bytes.TrimRight(cstring(a.messages[headerBytes:]), "; \t\r\n")
	return bytes.IndexByte(text, ';') >= 0
}

// mayWrite decides whether the unit may write: by its command, the session and the class, or by the open transaction.
func (c *session) mayWrite(class Class, cmd *command) (write bool, err error) {
	if c.inTransaction() {
		return c.txWritable, c.checkAccessModeChange(cmd)
	}
	write = class.Write && !c.readOnly
	if cmd.kind != kindBegin {
		if cmd.kind == kindSetLocal {
			return write, errkind.New(errkind.Unsupported, "SET LOCAL and SET TRANSACTION need a transaction block")
		}
		return write, nil
	}
	switch cmd.access {
	case accessReadOnly:
		return false, nil
	case accessReadWrite:
		if !class.Write {
			return false, errkind.New(errkind.BadParameter, "class %q is read-only", class.Name)
		}
		return true, nil
	}
	return write, nil
}

// checkAccessModeChange refuses to change the access mode within a transaction, since it has decided the routing of
// the transaction.
func (c *session) checkAccessModeChange(cmd *command) error {
	if cmd.kind != kindSetLocal {
		return nil
	}
	if cmd.access == accessReadWrite && !c.txWritable {
		return errkind.New(errkind.BadParameter, "a read-only transaction cannot switch to read write")
	}
	if cmd.access == accessReadOnly && c.txWritable {
		return errkind.New(errkind.Unsupported, "an open transaction cannot switch to read-only; state READ ONLY in BEGIN")
	}
	return nil
}
