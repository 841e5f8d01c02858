package unit

import (
	"context"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// PrimaryReplacedError returns the cause with which the context of a write is cancelled when its member is no longer the
// primary.
func PrimaryReplacedError(member string, term platform.Term) error {
	return errkind.New(errkind.RequestOutcomeUnknown, "member %q was replaced as primary in term %d", member, term)
}

// AfterReplacement returns the result of a write that ran with the context writeCtx. writeCtx is derived from ctx and
// is also cancelled when the primary is replaced. If that happened before the unit started, the result is changed: the
// next primary may serve the unit, or, if the unit belongs to an open transaction, this transaction can never commit
// and is to be rolled back.
func AfterReplacement(ctx, writeCtx context.Context, u *Unit, res Result) Result {
	if res.Outcome != errkind.OutcomeNotRun || writeCtx.Err() == nil || ctx.Err() != nil {
		return res
	}
	kind := errkind.NoPrimary
	if u.Tx.Open() {
		kind = errkind.TransactionLost
	}
	return NotRun(errkind.Wrap(kind, context.Cause(writeCtx), "the unit did not start before the primary was replaced"))
}
