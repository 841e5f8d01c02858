package member

import (
	"context"
	"encoding/binary"
	"errors"
	"strconv"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	formatBinary     = 1
	typeSizeInt8     = 8
	typeSizeVariable = -1
	// flushBytes is the size of buffered rows from which they are flushed.
	flushBytes = 32 << 10
)

// errConnectionLost is the error of a failed write to the client. It ends the session.
var errConnectionLost = errors.New("connection lost")

// cancelHook holds the function that cancels the running statement of a session. Cancel requests arrive on another
// connection and call it.
type cancelHook struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// set replaces the function; nil means that no statement runs.
func (h *cancelHook) set(cancel context.CancelFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancel = cancel
}

// call cancels the running statement, if there is one.
func (h *cancelHook) call() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancel != nil {
		h.cancel()
	}
}

// messageLoop handles messages until the client disconnects. An open transaction is discarded then.
func (s *session) messageLoop() {
	for {
		msg, err := s.backend.Receive()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *pgproto3.Query:
			err = s.queryMessage(msg.String)
		case *pgproto3.Sync:
			err = s.syncMessage()
		case *pgproto3.Terminate:
			return
		default:
			err = s.extendedMessage(msg)
		}
		if err != nil {
			return
		}
	}
}

// queryMessage handles a Query message. Its statements form one implicit transaction unless they contain BEGIN. It
// reports errors of statements to the client and returns an error only when the connection is lost.
func (s *session) queryMessage(sql string) error {
	ctx, done := s.statementContext()
	defer done()
	statements := splitStatements(sql)
	if len(statements) == 0 {
		s.member.counters.countStatement(KindEmpty)
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return s.sendReady()
	}
	for i, text := range statements {
		err := s.executeSimple(ctx, text, i == len(statements)-1)
		if errors.Is(err, errConnectionLost) {
			return err
		}
		if err != nil {
			s.backend.Send(errorResponse(err, "ERROR"))
			break
		}
	}
	return s.sendReady()
}

// executeSimple runs one statement of a Query message. The last statement commits the implicit transaction before its
// CommandComplete is sent.
func (s *session) executeSimple(ctx context.Context, text string, last bool) error {
	st, err := parseSupported(text)
	if err != nil {
		s.failTransaction()
		return err
	}
	if highest := len(st.paramTypes(nil)); highest > 0 {
		s.failTransaction()
		return sqlErrorf("42P02", "there is no parameter $%d", highest)
	}
	var tag string
	err = s.execute(ctx, st, st.bind(nil), func(r *result) error {
		if st.columns != nil {
			s.backend.Send(rowDescription(st.columns, nil))
		}
		_, err := s.sendRows(ctx, st.columns, r, nil, 0)
		tag = r.commandTag()
		if err == nil && last && s.tx != nil && s.tx.implicit {
			err = s.commitTransaction() // before the slot is released: with one slot, statements commit in order of arrival
		}
		return err
	})
	if err == nil {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return err
}

// syncMessage handles a Sync message: it commits the implicit transaction of the messages before it.
func (s *session) syncMessage() error {
	s.skipToSync = false
	if s.tx != nil && s.tx.implicit {
		if err := s.commitTransaction(); err != nil {
			s.backend.Send(errorResponse(err, "ERROR"))
		}
	}
	if s.tx == nil {
		clear(s.portals)
	}
	return s.sendReady()
}

// sendRows sends up to limit rows, or all if limit is 0. It returns true when it stopped at the limit.
func (s *session) sendRows(ctx context.Context, columns []column, r *result, formats []int16, limit uint32) (bool, error) {
	if r.next == nil {
		return false, nil
	}
	for n := uint32(0); limit == 0 || n < limit; n++ {
		row, ok := r.next()
		if !ok {
			return false, nil
		}
		r.rowCount++
		out := make([][]byte, len(row))
		for i, v := range row {
			out[i] = encodeValue(v, columns[i].oid, formatCode(formats, i))
			s.bufferedBytes += len(out[i])
		}
		s.backend.Send(&pgproto3.DataRow{Values: out})
		if s.bufferedBytes < flushBytes {
			continue
		}
		if ctx.Err() != nil {
			return false, s.interruptedError()
		}
		if err := s.flush(); err != nil {
			return false, errConnectionLost
		}
	}
	return true, nil
}

// formatCode returns the format code of item i. No codes mean text for all items, and a single code applies to all.
func formatCode(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return 0
	}
}

// encodeValue encodes the text of a value for a DataRow message.
func encodeValue(v string, oid uint32, format int16) []byte {
	if format != formatBinary || oid != oidInt8 {
		return []byte(v)
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return nil
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// decodeValue returns the text of a parameter value.
func decodeValue(b []byte, oid uint32, format int16) (string, error) {
	if format != formatBinary {
		return string(b), nil
	}
	switch {
	case oid == oidInt8 && len(b) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(b)), 10), nil
	case oid == oidInt4 && len(b) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(b))), 10), nil
	case oid == oidInt2 && len(b) == 2:
		return strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(b))), 10), nil
	case oid == oidInt8 || oid == oidInt4 || oid == oidInt2:
		return "", sqlErrorf("22P03", "incorrect binary data format in parameter of type %d", oid)
	default:
		return string(b), nil
	}
}

// rowDescription returns the message that describes the columns.
func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		size := int16(typeSizeVariable)
		if c.oid == oidInt8 {
			size = typeSizeInt8
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatCode(formats, i),
		})
	}
	return d
}
