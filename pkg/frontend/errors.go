package frontend

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// sqlError is an error about the caller's own session objects, with the SQLSTATE that drivers expect.
type sqlError struct{ code, text string }

func (e *sqlError) Error() string { return e.text }

// appendErrorResponse appends an ErrorResponse with the SQLSTATE of the error's kind, its code as detail and its
// remedy as hint.
func appendErrorResponse(dst []byte, severity string, err error) []byte {
	msg := pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity}
	var se *sqlError
	if errors.As(err, &se) {
		msg.Code, msg.Message = se.code, se.text
	} else {
		k := errkind.Of(err)
		msg.Code, msg.Message, msg.Detail, msg.Hint = k.SQLState, err.Error(), k.Code, k.Remedy
		var ke *errkind.Error
		if errors.As(err, &ke) {
			msg.Message = ke.Detail
		}
	}
	out, encErr := msg.Encode(dst)
	if encErr != nil {
		return dst
	}
	return out
}

func appendReadyForQuery(dst []byte, status byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, status) }

func appendParameterStatus(dst []byte, name, value string) []byte {
	return appendMessageWithName(dst, 'S', name+"\x00", value, nil)
}

func appendCommandComplete(dst []byte, tag string) []byte {
	return appendMessageWithName(dst, 'C', "", tag, nil)
}

// sendFatal sends the last error of a session. Closing the connection is left to the function that calls it.
func (c *session) sendFatal(err error) {
	out := appendErrorResponse(nil, "FATAL", err)
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	_, _ = c.conn.Write(out)
}
