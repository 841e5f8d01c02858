package member

import (
	"errors"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a prepared statement.
type preparedStatement struct {
	statement  *statement
	paramTypes []uint32 // type OIDs of the parameters
}

// portal is a statement with its argument values, whose rows may have been read in part.
type portal struct {
	statement *statement
	args      []string
	formats   []int16 // format codes of the columns
	result    *result // nil until the first Execute
}

// bind returns the values of the statement's arguments, given those of its parameters.
func (s *statement) bind(params []string) []string {
	out := make([]string, len(s.args))
	for i, a := range s.args {
		out[i] = a.literal
		if a.param > 0 {
			out[i] = params[a.param-1]
		}
	}
	return out
}

// extendedMessage handles one message of the extended protocol. After an error it skips all messages up to Sync. It
// reports errors to the client and returns an error only when the connection is lost.
func (s *session) extendedMessage(msg pgproto3.FrontendMessage) error {
	if s.skipToSync {
		return nil
	}
	err := s.handleExtended(msg)
	if err == nil || errors.Is(err, errConnectionLost) {
		return err
	}
	s.failTransaction()
	s.skipToSync = true
	s.backend.Send(errorResponse(err, "ERROR"))
	return nil
}

// handleExtended handles one message of the extended protocol and returns any error.
func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parseMessage(msg)
	case *pgproto3.Bind:
		return s.bindMessage(msg)
	case *pgproto3.Describe:
		return s.describeMessage(msg)
	case *pgproto3.Execute:
		return s.executeMessage(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(s.prepared, msg.Name)
		} else {
			delete(s.portals, msg.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	case *pgproto3.Flush:
		if s.flush() != nil {
			return errConnectionLost
		}
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // PostgreSQL ignores these outside COPY, too
	default:
		return sqlErrorf(stateFeatureNotSupported, "message is not supported by the emulator")
	}
}

func (s *session) parseMessage(msg *pgproto3.Parse) error {
	if msg.Name != "" && s.prepared[msg.Name] != nil {
		return sqlErrorf(stateDuplicateStatement, "prepared statement %q already exists", msg.Name)
	}
	texts := splitStatements(msg.Query)
	if len(texts) > 1 {
		return sqlErrorf(stateSyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	text := ""
	if len(texts) == 1 {
		text = texts[0]
	}
	st, err := parseSupported(text)
	if err != nil {
		return err
	}
	if err := s.checkFailed(st); err != nil {
		return err
	}
	s.prepared[msg.Name] = &preparedStatement{statement: st, paramTypes: st.paramTypes(msg.ParameterOIDs)}
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bindMessage(msg *pgproto3.Bind) error {
	p := s.prepared[msg.PreparedStatement]
	if p == nil {
		return sqlErrorf(stateUndefinedStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(p.paramTypes) {
		return sqlErrorf(stateProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(msg.Parameters), msg.PreparedStatement, len(p.paramTypes))
	}
	params := make([]string, len(msg.Parameters))
	for i, b := range msg.Parameters {
		if b == nil {
			return sqlErrorf(stateNotNullViolation, "parameter $%d must not be null", i+1)
		}
		v, err := decodeValue(b, p.paramTypes[i], formatCode(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		params[i] = v
	}
	s.portals[msg.DestinationPortal] = &portal{
		statement: p.statement, args: p.statement.bind(params), formats: slices.Clone(msg.ResultFormatCodes),
	}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describeMessage(msg *pgproto3.Describe) error {
	var columns []column
	var formats []int16
	if msg.ObjectType == 'S' {
		p := s.prepared[msg.Name]
		if p == nil {
			return sqlErrorf(stateUndefinedStatement, "prepared statement %q does not exist", msg.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.paramTypes})
		columns = p.statement.columns
	} else {
		p := s.portals[msg.Name]
		if p == nil {
			return sqlErrorf(stateUndefinedPortal, "portal %q does not exist", msg.Name)
		}
		columns, formats = p.statement.columns, p.formats
	}
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(columns, formats))
	return nil
}

func (s *session) executeMessage(msg *pgproto3.Execute) error {
	p := s.portals[msg.Portal]
	if p == nil {
		return sqlErrorf(stateUndefinedPortal, "portal %q does not exist", msg.Portal)
	}
	if p.statement.kind == KindEmpty {
		s.member.counters.countStatement(KindEmpty)
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, done := s.statementContext()
	defer done()
	more := false
	consume := func(r *result) (err error) {
		p.result = r
		more, err = s.sendRows(ctx, p.statement.columns, r, p.formats, msg.MaxRows)
		return err
	}
	var err error
	if p.result == nil {
		err = s.execute(ctx, p.statement, p.args, consume)
	} else {
		err = s.runInSlot(ctx, func() error { return consume(p.result) })
	}
	if err != nil {
		return err
	}
	if more {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.commandTag())})
	return nil
}
