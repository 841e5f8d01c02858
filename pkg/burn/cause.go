package burn

import "github.com/sycamorehub/sycamorehub/pkg/errkind"

// causeByCode maps the code of the error that ended a request to the cause under which the request counts as bad. Other
// codes have CauseOther.
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

// callerErrorCodes holds the error codes that result from what the caller did. They say nothing about the quality of the
// service.
var callerErrorCodes = map[string]bool{
	errkind.BadToken.Code: true, errkind.UnknownClass.Code: true, errkind.UnknownService.Code: true,
	errkind.BadParameter.Code: true, errkind.ProtocolViolation.Code: true, errkind.Unsupported.Code: true, errkind.Cancelled.Code: true,
}

// CauseOf returns the cause under which a request that ended with an error of the given code counts as bad. counted is
// false if the request should not be recorded, because its caller made a mistake or cancelled it.
func CauseOf(code string) (cause Cause, counted bool) {
	return causeByCode[code], !callerErrorCodes[code]
}
