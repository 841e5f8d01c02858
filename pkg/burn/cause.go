package burn

import "github.com/sycamorehub/sycamorehub/pkg/errkind"

// causeByCode maps the code of the error that ended a request to what it was lost to.
var causeByCode = map[string]Cause{
	errkind.Overload.Code:              CauseRefused,
	errkind.TooManyConnections.Code:    CauseRefused,
	errkind.DeadlineExceeded.Code:      CauseQueue,
	errkind.NoPrimary.Code:             CauseFailover,
	errkind.TransactionLost.Code:       CauseFailover,
	errkind.RequestOutcomeUnknown.Code: CauseFailover,
	errkind.NoMember.Code:              CauseMember,
	errkind.ReadNotCovered.Code:        CauseMember,
	errkind.ReadFailed.Code:            CauseMember,
	errkind.PeerUnreachable.Code:       CauseLink,
}

// callerErrorCodes holds the codes of refusals that are the caller's doing; they say nothing about the service.
var callerErrorCodes = map[string]bool{
	errkind.BadToken.Code: true, errkind.UnknownClass.Code: true, errkind.UnknownService.Code: true,
	errkind.BadParameter.Code: true, errkind.ProtocolViolation.Code: true, errkind.Unsupported.Code: true, errkind.Cancelled.Code: true,
}

// CauseOf returns what a request that ended with an error of the given code was lost to. counted is false when the
// request should not be recorded, because its caller made the mistake or gave up.
func CauseOf(code string) (cause Cause, counted bool) {
	return causeByCode[code], !callerErrorCodes[code]
}
