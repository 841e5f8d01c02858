// Package errkind defines the kinds of errors that callers and operators see. A kind has a stable code, an SQLSTATE for
// callers, the outcome that it implies for the request, and a remedy, which is part of the message.
package errkind

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Outcome says whether a request is known to have taken effect.
type Outcome uint8

// Outcomes of a request. OutcomeUnknown is the zero value, so that an outcome that was never set does not claim that the
// request did not run.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone            // the request took effect
	OutcomeNotRun          // the request had no effect, so that it can be repeated safely
)

// String returns the outcome as messages and reports name it.
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

// Kind is a set of errors that share code, SQLSTATE, outcome and remedy.
type Kind struct {
	Code     string  // stable identifier, lower case with underscores
	SQLState string  // five-character SQLSTATE that callers receive
	Outcome  Outcome // what is known about the effect of the refused or failed request
	Remedy   string  // what the reader of the message can do about the error
}

// The kinds of errors.
var (
	Overload              = Kind{"overload", "53400", OutcomeNotRun, "retry after a pause or lower the request rate"}
	NoPrimary             = Kind{"no_primary", "57P03", OutcomeNotRun, "retry; a new primary is promoted within seconds if a majority of members is reachable"}
	Draining              = Kind{"draining", "57P01", OutcomeNotRun, "reconnect; the balancer chooses another entry VM"}
	NotReady              = Kind{"not_ready", "57P03", OutcomeNotRun, "retry; check /readyz of the daemon for the missing part"}
	NoMember              = Kind{"no_member", "57P03", OutcomeNotRun, "retry; check `sycamorehubctl groups` for reachable members"}
	PeerUnreachable       = Kind{"peer_unreachable", "57P03", OutcomeNotRun, "retry; the member gets another owner within seconds"}
	RequestOutcomeUnknown = Kind{"outcome_unknown", "08007", OutcomeUnknown, "repeat the request with the same idempotency key, or read the data back before repeating it"}
	ReadNotCovered        = Kind{"read_not_covered", "40001", OutcomeNotRun, "retry; no reachable member's data is recent enough yet for the session token or maximum age"}
	ReadFailed            = Kind{"read_failed", "40001", OutcomeUnknown, "retry the read"}
	UnknownKey            = Kind{"unknown_key", "28P01", OutcomeNotRun, "present a key that the configuration in force gives to a team"}
	RateLimited           = Kind{"rate_limited", "53400", OutcomeNotRun, "retry after the stated time, or raise the limit of the team"}
	BadToken              = Kind{"bad_token", "22023", OutcomeNotRun, "pass the latest value of sycamorehub.token unchanged, or none"}
	UnknownClass          = Kind{"unknown_class", "22023", OutcomeNotRun, "use a class listed by `sycamorehubctl classes`"}
	UnknownService        = Kind{"unknown_service", "3D000", OutcomeNotRun, "use a service or database listed by `sycamorehubctl groups`"}
	BadParameter          = Kind{"bad_parameter", "22023", OutcomeNotRun, "correct the parameter value"}
	ProtocolViolation     = Kind{"protocol_violation", "08P01", OutcomeNotRun, "check the client driver; only PostgreSQL protocol 3.0 is spoken"}
	Unsupported           = Kind{"unsupported", "0A000", OutcomeNotRun, "see docs/OPERATIONS.md for the supported protocol features"}
	UnknownStatement      = Kind{"unknown_statement", "26000", OutcomeNotRun, "prepare the statement in this session first"}
	TransactionLost       = Kind{"transaction_lost", "40001", OutcomeNotRun, "begin the transaction again; the open transaction was rolled back"}
	Cancelled             = Kind{"cancelled", "57014", OutcomeUnknown, "none; the caller cancelled the request"}
	DeadlineExceeded      = Kind{"deadline", "57014", OutcomeNotRun, "retry, or set a longer target latency for the class"}
	ConfigInvalid         = Kind{"config_invalid", "22023", OutcomeNotRun, "correct the configuration at the named line"}
	ConfigConflict        = Kind{"config_conflict", "40001", OutcomeNotRun, "review the other operator's change and apply on top of it"}
	StoreUnavailable      = Kind{"store_unavailable", "57P03", OutcomeNotRun, "retry once the platform's store answers again"}
	StoreOutcomeUnknown   = Kind{"store_outcome_unknown", "08007", OutcomeUnknown, "read the stored row back and compare its operation id"}
	SettingsInvalid       = Kind{"settings_invalid", "22023", OutcomeNotRun, "correct the settings file at the named line"}
	TooManyConnections    = Kind{"too_many_connections", "53300", OutcomeNotRun, "close idle connections or retry later"}
	Internal              = Kind{"internal", "XX000", OutcomeUnknown, "report the log lines around this error"}
)

// Error is an error with its kind. It keeps the kind when other errors wrap it.
type Error struct {
	Kind   Kind
	Detail string
	cause  error
}

// Error returns the detail, the code and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Detail, e.Kind.Code, e.Kind.Remedy)
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind. It captures the stack with merry, for the logs.
func New(kind Kind, format string, args ...any) error {
	return merry.WrapSkipping(&Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}, 1)
}

// Wrap returns an error of the given kind with a cause, whose message is appended to the detail. cause may be nil.
func Wrap(kind Kind, cause error, format string, args ...any) error {
	detail := fmt.Sprintf(format, args...)
	if cause != nil {
		detail += ": " + cause.Error()
	}
	return merry.WrapSkipping(&Error{Kind: kind, Detail: detail, cause: cause}, 1)
}

// Of returns the kind of err, or Internal if err has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is not nil and of the given kind.
func Is(err error, kind Kind) bool { return err != nil && Of(err).Code == kind.Code }

// ByCode returns the kind with the given code, or Internal if there is none.
func ByCode(code string) Kind {
	for _, kind := range allKinds {
		if kind.Code == code {
			return kind
		}
	}
	return Internal
}

// allKinds lists all kinds, for ByCode.
var allKinds = []Kind{
	Overload, NoPrimary, Draining, NotReady, NoMember, PeerUnreachable, RequestOutcomeUnknown, ReadNotCovered, ReadFailed, BadToken, UnknownStatement,
	UnknownClass, UnknownService, BadParameter, ProtocolViolation, Unsupported, TransactionLost, Cancelled, DeadlineExceeded,
	ConfigInvalid, ConfigConflict, StoreUnavailable, StoreOutcomeUnknown, SettingsInvalid, TooManyConnections, Internal, UnknownKey, RateLimited,
}
