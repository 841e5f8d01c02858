package member

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs of error responses.
const (
	stateReadOnlyTransaction   = "25006"
	stateFailedTransaction     = "25P02" // an earlier statement of the transaction failed
	stateUniqueViolation       = "23505"
	stateNotNullViolation      = "23502"
	stateTooManyConnections    = "53300"
	stateSyntaxError           = "42601"
	stateUndefinedObject       = "42704" // unknown run-time parameter
	stateInvalidParameterValue = "22023"
	stateInvalidText           = "22P02"
	stateQueryCancelled        = "57014"
	stateAdminShutdown         = "57P01"
	stateUndefinedStatement    = "26000"
	stateUndefinedPortal       = "34000"
	stateProtocolViolation     = "08P01"
	stateFeatureNotSupported   = "0A000"
	stateDuplicateStatement    = "42P05"
	stateInternalError         = "XX000"
)

// sqlError is an error with the SQLSTATE and message that the client gets.
type sqlError struct {
	state, message string
}

func (e *sqlError) Error() string { return e.state + ": " + e.message }

func sqlErrorf(state, format string, args ...any) error {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

// errorResponse converts an error to the protocol message that reports it.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	r := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: stateInternalError, Message: err.Error()}
	var se *sqlError
	var de *duplicateError
	switch {
	case errors.As(err, &se):
		r.Code, r.Message = se.state, se.message
	case errors.As(err, &de):
		r.Code, r.SchemaName, r.TableName, r.ConstraintName = stateUniqueViolation, "public", de.table, de.table+"_pkey"
		r.Detail = fmt.Sprintf("Key (key)=(%s) already exists.", de.key)
	case errors.Is(err, errNotPrimary):
		r.Code = stateReadOnlyTransaction
		r.Hint = "Connect to the primary."
	}
	return r
}
