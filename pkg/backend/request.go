package backend

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// segment is a part of the request that the member answers with one ReadyForQuery.
type segment uint8

const (
	segSetup  segment = iota // SET or BEGIN added by the pool; its answer is dropped, and an error fails the unit
	segKey                   // insertion of the idempotency key
	segUnit                  // the caller's unit
	segCommit                // COMMIT of a unit with an idempotency key
)

// statementOp is a Parse or Close message of a request. Its completion by the member updates the connection's statements.
type statementOp struct {
	typ      byte   // 'P' or 'C'
	name     string // statement; empty for unnamed statements and portals
	injected bool   // added by the pool: the caller does not get its completion
}

var (
	setReadOnly  = mustEncode(&pgproto3.Query{String: "SET " + readOnlyParameter + " = on"})
	setReadWrite = mustEncode(&pgproto3.Query{String: "SET " + readOnlyParameter + " = off"})
	beginQuery   = mustEncode(&pgproto3.Query{String: "BEGIN"})
	commitQuery  = mustEncode(&pgproto3.Query{String: "COMMIT"})
	syncMessage  = mustEncode(&pgproto3.Sync{})
)

func mustEncode(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}

// buildRequest encodes the request for u into wbuf and lists its segments and statement operations. It returns what to
// send: wbuf, or the unit's own bytes if nothing has to be added.
func (c *conn) buildRequest(p *Pool, u *unit.Unit) []byte {
	r := &c.run
	c.wbuf = c.wbuf[:0]
	if !u.Tx.Open() && c.readOnly == u.Write {
		if u.Write {
			c.wbuf = append(c.wbuf, setReadWrite...)
		} else {
			c.wbuf = append(c.wbuf, setReadOnly...)
		}
		c.readOnly = !u.Write // set already here, since a failed setup closes the connection
		r.segments = append(r.segments, segSetup)
	}
	keyed := u.IdempotencyKey != "" && u.Write && !u.Tx.Open()
	if keyed {
		c.appendKeyInsert(u)
		r.segments = append(r.segments, segSetup, segKey)
	}
	r.segments = append(r.segments, segUnit)
	c.evictStatements(p.opts.MaxStatements)
	for i := range u.Statements {
		c.ensureStatement(u.Statements[i])
	}
	unchanged := c.scanMessages(u.Messages)
	if unchanged && len(c.wbuf) == 0 {
		return u.Messages
	}
	if unchanged {
		c.wbuf = append(c.wbuf, u.Messages...)
	}
	if keyed {
		c.wbuf = append(c.wbuf, commitQuery...)
		r.segments = append(r.segments, segCommit)
	}
	return c.wbuf
}

// evictStatements closes the least recently used statements beyond the limit. The statements of a unit may exceed the limit
// until the next unit runs.
func (c *conn) evictStatements(limit int) {
	for excess := len(c.stmts) - limit; excess > 0; excess-- {
		oldest, oldestTick := "", c.tick+1
		for name, t := range c.stmts {
			if t < oldestTick {
				oldest, oldestTick = name, t
			}
		}
		c.tick++
		c.stmts[oldest] = c.tick // keeps the loop from choosing it again before its completion removes it
		c.injectClose(oldest)
	}
}

// ensureStatement adds the Parse of a statement to the request if the connection does not have the statement yet.
func (c *conn) ensureStatement(s unit.Statement) {
	c.tick++
	if _, ok := c.stmts[s.Name]; ok {
		c.stmts[s.Name] = c.tick
		return
	}
	c.wbuf = append(c.wbuf, s.Parse...)
	c.run.ops = append(c.run.ops, statementOp{typ: 'P', name: s.Name, injected: true})
}

func (c *conn) injectClose(name string) {
	c.wbuf, _ = (&pgproto3.Close{ObjectType: 'S', Name: name}).Encode(c.wbuf)
	c.run.ops = append(c.run.ops, statementOp{typ: 'C', name: name, injected: true})
}

// scanMessages lists the unit's Parse and Close messages. It reports whether the messages can be sent as they are. If not,
// it has copied them to wbuf with a Close before each Parse of a statement that the connection already has.
func (c *conn) scanMessages(msgs []byte) (unchanged bool) {
	unchanged = true
	copied := 0
	for at := 0; at+headerBytes <= len(msgs); {
		end := at + messageBytes(msgs[at:])
		c.run.lastMessageType = msgs[at]
		switch body := msgs[at+headerBytes : end]; msgs[at] {
		case 'P':
			name := cstring(body)
			if _, ok := c.stmts[string(name)]; ok {
				unchanged = false
				c.wbuf = append(c.wbuf, msgs[copied:at]...)
				copied = at
				c.injectClose(string(name))
			}
			c.run.ops = append(c.run.ops, statementOp{typ: 'P', name: string(name)})
		case 'C':
			o := statementOp{typ: 'C'}
			if len(body) > 0 && body[0] == 'S' {
				o.name = string(cstring(body[1:]))
			}
			c.run.ops = append(c.run.ops, o)
		}
		at = end
	}
	if !unchanged {
		c.wbuf = append(c.wbuf, msgs[copied:]...)
	}
	return unchanged
}

// cstring returns the bytes before the first zero byte.
func cstring(b []byte) []byte {
	for i, x := range b {
		if x == 0 {
			return b[:i]
		}
	}
	return b
}

// messageBytes returns the length of the message at the front of b, at most len(b).
func messageBytes(b []byte) int {
	n := 1 + int(binary.BigEndian.Uint32(b[1:]))
	if n < headerBytes || n > len(b) {
		return len(b)
	}
	return n
}
