// Package errkind defines the error kinds of the system. A kind has a stable code, an SQLSTATE for callers, the
// outcome that it implies for the request, and a remedy that is part of the message.
package errkind

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Outcome says what is known about the effect of a request.
type Outcome uint8

// Outcomes of a request. The zero value is OutcomeUnknown so that a forgotten assignment never claims that a
// request did not run.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeNotRun
)

// String returns the outcome in the words used in messages and reports.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not run"
	default:
		return "unknown"
	}
}

// Kind is a class of errors with one remedy.
type Kind struct {
	Code     string  // stable identifier, lower case with underscores
	SQLState string  // five characters, sent to callers
	Outcome  Outcome // effect of the refused or failed request
	Remedy   string  // what the reader of the message can do
}

// The kinds of the system.
var (
	Overload              = Kind{"overload", "53400", OutcomeNotRun, "retry after a pause or lower the request rate"}
	NoPrimary             = Kind{"no_primary", "57P03", OutcomeNotRun, "retry; a new primary is promoted within seconds if a majority of members is reachable"}
	Draining              = Kind{"draining", "57P01", OutcomeNotRun, "reconnect; the balancer chooses another entry VM"}
	NotReady              = Kind{"not_ready", "57P03", OutcomeNotRun, "retry; check /readyz of the daemon for the missing part"}
	NoMember              = Kind{"no_member", "57P03", OutcomeNotRun, "retry; check `sycamorehubctl groups` for reachable members"}
	PeerUnreachable       = Kind{"peer_unreachable", "57P03", OutcomeNotRun, "retry; the member gets another owner within seconds"}
	RequestOutcomeUnknown = Kind{"outcome_unknown", "08007", OutcomeUnknown, "repeat with the same idempotency key, or read back before repeating"}
	ReadNotCovered        = Kind{"read_not_covered", "40001", OutcomeNotRun, "retry; no reachable member covers the session token or maximum age yet"}
	ReadFailed            = Kind{"read_failed", "40001", OutcomeUnknown, "retry the read"}
	BadToken              = Kind{"bad_token", "22023", OutcomeNotRun, "pass the last sycamorehub.token unchanged, or none"}
	UnknownClass          = Kind{"unknown_class", "22023", OutcomeNotRun, "use a class listed by `sycamorehubctl classes`"}
	UnknownService        = Kind{"unknown_service", "3D000", OutcomeNotRun, "use a service or database listed by `sycamorehubctl groups`"}
	BadParameter          = Kind{"bad_parameter", "22023", OutcomeNotRun, "correct the parameter value"}
	ProtocolViolation     = Kind{"protocol_violation", "08P01", OutcomeNotRun, "check the client driver; only PostgreSQL protocol 3.0 is spoken"}
	Unsupported           = Kind{"unsupported", "0A000", OutcomeNotRun, "see docs/OPERATIONS.md for the supported protocol features"}
	UnknownStatement      = Kind{"unknown_statement", "26000", OutcomeNotRun, "prepare the statement in this session first"}
	TransactionLost       = Kind{"transaction_lost", "40001", OutcomeNotRun, "begin the transaction again; the open transaction was rolled back"}
	Cancelled             = Kind{"cancelled", "57014", OutcomeUnknown, "none; the caller cancelled the request"}
	DeadlineExceeded      = Kind{"deadline", "57014", OutcomeNotRun, "retry, or state a longer target for the class"}
	ConfigInvalid         = Kind{"config_invalid", "22023", OutcomeNotRun, "correct the configuration at the named line"}
	ConfigConflict        = Kind{"config_conflict", "40001", OutcomeNotRun, "review the other operator's change and apply on top of it"}
	StoreUnavailable      = Kind{"store_unavailable", "57P03", OutcomeNotRun, "retry when the platform store answers"}
	StoreOutcomeUnknown   = Kind{"store_outcome_unknown", "08007", OutcomeUnknown, "read the row back and compare the operation id"}
	SettingsInvalid       = Kind{"settings_invalid", "22023", OutcomeNotRun, "correct the settings file at the named line"}
	TooManyConnections    = Kind{"too_many_connections", "53300", OutcomeNotRun, "close idle connections or retry later"}
	Internal              = Kind{"internal", "XX000", OutcomeUnknown, "report the log lines around this error"}
)

// Error carries a kind through the path.
type Error struct {
	Kind   Kind
	Detail string
	cause  error
}

// Error returns detail and remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Detail, e.Kind.Code, e.Kind.Remedy)
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k. The stack is captured by merry for the logs.
func New(kind Kind, format string, args ...any) error {
	return merry.WrapSkipping(&Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}, 1)
}

// Wrap returns an error of kind k with a cause.
func Wrap(kind Kind, cause error, format string, args ...any) error {
	detail := fmt.Sprintf(format, args...)
	if cause != nil {
		detail += ": " + cause.Error()
	}
	return merry.WrapSkipping(&Error{Kind: kind, Detail: detail, cause: cause}, 1)
}

// Of returns the kind of err, or Internal if it has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is of kind k.
func Is(err error, kind Kind) bool { return err != nil && Of(err).Code == kind.Code }

// ByCode returns the kind with the given stable code, or Internal.
func ByCode(code string) Kind {
	for _, kind := range allKinds {
		if kind.Code == code {
			return kind
		}
	}
	return Internal
}

var allKinds = []Kind{
	Overload, NoPrimary, Draining, NotReady, NoMember, PeerUnreachable, RequestOutcomeUnknown, ReadNotCovered, ReadFailed, BadToken, UnknownStatement,
	UnknownClass, UnknownService, BadParameter, ProtocolViolation, Unsupported, TransactionLost, Cancelled, DeadlineExceeded,
	ConfigInvalid, ConfigConflict, StoreUnavailable, StoreOutcomeUnknown, SettingsInvalid, TooManyConnections, Internal,
}
