package backend

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// segment is a part of the pipeline that ends with one ReadyForQuery.
type segment uint8

const (
	segSetup  segment = iota // swallowed; an error fails the unit
	segKey                   // insertion of the idempotency key
	segUnit                  // the caller's unit
	segCommit                // COMMIT of a unit with an idempotency key
)

// statementOp is a Parse or Close in the order sent; its completion updates the connection's statements.
type statementOp struct {
	typ      byte   // 'P' or 'C'
	name     string // statement; empty for unnamed statements and portals
	injected bool   // added by the pool: its completion is not the caller's
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

// buildRequest encodes the pipeline for u into wbuf and lists its segments and statement operations. It returns
// what to send: wbuf, or the unit's own bytes when nothing has to be added.
func (c *conn) buildRequest(p *Pool, u *unit.Unit) []byte {
	r := &c.run
	c.wbuf = c.wbuf[:0]
	if !u.Tx.Open() && c.readOnly == u.Write {
		if u.Write {
			c.wbuf = append(c.wbuf, setReadWrite...)
		} else {
			c.wbuf = append(c.wbuf, setReadOnly...)
		}
		c.readOnly = !u.Write // a failed setup closes the connection
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

// evictStatements closes the least recently used statements beyond the limit. A unit's own statements may pass the limit until
// the next unit.
func (c *conn) evictStatements(limit int) {
	for excess := len(c.stmts) - limit; excess > 0; excess-- {
		oldest, oldestTick := "", c.tick+1
		for name, t := range c.stmts {
			if t < oldestTick {
				oldest, oldestTick = name, t
			}
		}
		c.tick++
		c.stmts[oldest] = c.tick // not chosen again
		c.injectClose(oldest)
	}
}

// ensureStatement sends the Parse of a statement that the connection lacks.
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

// scanMessages lists the unit's Parse and Close messages. It returns true when the messages can be sent as they are; else
// they have been copied to wbuf with a Close before each Parse of a statement that the connection already has.
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
