package backend

import (
	"context"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	requestTable = "sycamorehub_request"
	insertKeySQL = "INSERT INTO " + requestTable + "(key, value) VALUES ($1, $2)"
	unknownTag   = "UNKNOWN" // stored if the command tag cannot be predicted
	updateTagSQL = "UPDATE " + requestTable + " SET value = $2 WHERE key = $1"
	selectTagSQL = "SELECT value FROM " + requestTable + " WHERE key = $1"
)

// appendKeyInsert adds the beginning of the transaction of a unit with an idempotency key, and the insertion of the key.
// The key is a parameter of the statement, so it needs no quoting.
func (c *conn) appendKeyInsert(u *unit.Unit) {
	c.run.predictedTag = predictTag(u)
	c.wbuf = append(c.wbuf, beginQuery...)
	c.wbuf = appendQuery(c.wbuf, insertKeySQL, u.IdempotencyKey, c.run.predictedTag)
}

// appendQuery appends an extended query with text parameters to dst.
func appendQuery(dst []byte, sql string, params ...string) []byte {
	values := make([][]byte, len(params))
	for i, p := range params {
		values[i] = []byte(p)
	}
	dst, _ = (&pgproto3.Parse{Query: sql}).Encode(dst)
	dst, _ = (&pgproto3.Bind{Parameters: values}).Encode(dst)
	dst, _ = (&pgproto3.Execute{}).Encode(dst)
	return append(dst, syncMessage...)
}

// predictTag predicts the command tag of the unit's first statement, assuming that it changes one row. The tag is stored
// with the idempotency key before the unit runs.
func predictTag(u *unit.Unit) string {
	msgs := u.Messages
	if len(msgs) > 0 && msgs[0] == 'B' && len(u.Statements) > 0 {
		msgs = u.Statements[0].Parse
	}
	if len(msgs) < headerBytes {
		return unknownTag
	}
	text := msgs[headerBytes:]
	if msgs[0] == 'P' {
		text = text[min(len(cstring(text))+1, len(text)):]
	}
	word, _, _ := strings.Cut(strings.TrimSpace(string(cstring(text[:min(len(text), 64)]))), " ")
	switch word = strings.ToUpper(word); word {
	case "INSERT":
		return "INSERT 0 1"
	case "UPDATE", "DELETE":
		return word + " 1"
	}
	if word == "" {
		return unknownTag
	}
	return word
}

// correctStoredTag replaces a stored tag that was predicted wrong, before the unit is acknowledged. If the member is lost
// in between, a repeated unit is answered with the predicted tag, whose row count may be wrong.
func (c *conn) correctStoredTag(ctx context.Context, key string) error {
	r := &c.run
	if r.predictedTag == "" || r.lastTag == "" || r.lastTag == r.predictedTag || !r.wrote {
		return nil
	}
	deadline, _ := ctx.Deadline()
	_ = c.nc.SetDeadline(deadline)
	defer func() { _ = c.nc.SetDeadline(time.Time{}) }()
	if _, err := c.nc.Write(appendQuery(nil, updateTagSQL, key, r.lastTag)); err != nil {
		return err
	}
	_, err := c.readTag()
	return err
}

// handleKeyError acts on a failed insertion of the idempotency key. A duplicate means that the unit ran before.
func (r *run) handleKeyError(e *serverError) {
	r.dropAnswer = true
	switch {
	case e.Code == sqlStateDuplicateKey && e.TableName == requestTable:
		r.keyExists = true
	case e.Code == sqlStateReadOnly:
		r.writeRefusal = e
	default:
		r.keyErr = e
	}
}

// answerRepeated answers a unit whose idempotency key exists with the stored tag. It opens a new connection, which reports
// the member's current position. That position covers the first run, while the connection that found the duplicate may
// know only an older one.
func (p *Pool) answerRepeated(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	fail := func(err error) unit.Result {
		return unit.Result{Outcome: errkind.OutcomeUnknown, TxStatus: 'I',
			Err: errkind.Wrap(errkind.RequestOutcomeUnknown, err, "a unit with the same idempotency key ran before, but its stored answer could not be read or acknowledged")}
	}
	c, err := p.dial(ctx)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = c.nc.Close() }()
	if d, ok := ctx.Deadline(); ok {
		_ = c.nc.SetDeadline(d)
	}
	if _, err := c.nc.Write(appendQuery(nil, selectTagSQL, u.IdempotencyKey)); err != nil {
		return fail(err)
	}
	tag, err := c.readTag()
	if err != nil {
		return fail(err)
	}
	if p.opts.WaitAcknowledged != nil {
		if err := p.opts.WaitAcknowledged(ctx, c.term, c.position); err != nil {
			return fail(err)
		}
	}
	msg, _ := (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(nil)
	res := unit.Result{Outcome: errkind.OutcomeDone, Term: c.term, Position: c.position, TxStatus: 'I', Streamed: true}
	_ = sink.Write(ctx, storedAnswer(u.Messages, msg))
	return res
}

// readTag reads the answer to selectTagSQL or updateTagSQL and returns the selected tag.
func (c *conn) readTag() (string, error) {
	var tag string
	var failed error
	for {
		typ, body, err := c.readMessage()
		if err != nil {
			return "", err
		}
		switch typ {
		case 'E':
			failed = decodeError(body)
		case 'S':
			c.handleParameterStatus(body)
		case 'D':
			var row pgproto3.DataRow
			if err := row.Decode(body); err == nil && len(row.Values) == 1 {
				tag = string(row.Values[0])
			}
		case 'Z':
			return tag, failed
		}
	}
}

// storedAnswer builds the answer to msgs: completion for each Execute or Query, and for the other messages of an extended
// query what a member answers to them.
func storedAnswer(msgs, completion []byte) []byte {
	var out []byte
	for at := 0; at+headerBytes <= len(msgs); {
		end := at + messageBytes(msgs[at:])
		switch msgs[at] {
		case 'P':
			out, _ = (&pgproto3.ParseComplete{}).Encode(out)
		case 'B':
			out, _ = (&pgproto3.BindComplete{}).Encode(out)
		case 'C':
			out, _ = (&pgproto3.CloseComplete{}).Encode(out)
		case 'D':
			if end > at+headerBytes && msgs[at+headerBytes] == 'S' {
				out, _ = (&pgproto3.ParameterDescription{}).Encode(out)
			}
			out, _ = (&pgproto3.NoData{}).Encode(out)
		case 'E', 'Q':
			out = append(out, completion...)
		}
		at = end
	}
	return out
}
