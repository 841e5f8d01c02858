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
	// flushBytes is the size of buffered rows after which they are sent.
	flushBytes = 32 << 10
)

// errConnectionLost ends a session whose connection does not work any more.
var errConnectionLost = errors.New("connection lost")

// cancelHook cancels the running statement of a session on behalf of another connection.
type cancelHook struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

func (i *cancelHook) set(cancel context.CancelFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = cancel
}

func (i *cancelHook) call() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel != nil {
		i.cancel()
	}
}

// messageLoop serves messages until the client leaves. The open transaction is dropped with the session.
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

// queryMessage runs a simple query: all its statements form one transaction unless they say otherwise. Only a lost
// connection is an error.
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

// executeSimple runs one statement of a simple query. The last one commits the implicit transaction before its completion
// is announced.
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
			err = s.commitTransaction() // still in the slot, so that one slot commits in order of arrival
		}
		return err
	})
	if err == nil {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
	return err
}

// syncMessage ends a pipeline of extended queries.
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

// sendRows sends up to limit rows (0: all). It reports whether rows are left.
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

// formatCode returns the format of item i: none given means text, one given is for all.
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

// decodeValue returns the text of a parameter.
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
