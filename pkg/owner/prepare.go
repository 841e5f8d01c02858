package owner

import (
	"context"
	"encoding/binary"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	typeExecute  = 'E'
	typeQuery    = 'Q'
	headerBytes  = 5 // type and length of a message
	lengthOffset = 1
)

// executesNothing reports whether a unit only prepares, describes or closes statements and portals.
func executesNothing(messages []byte) bool {
	if len(messages) == 0 {
		return false
	}
	for len(messages) >= headerBytes {
		if messages[0] == typeExecute || messages[0] == typeQuery {
			return false
		}
		n := uint64(binary.BigEndian.Uint32(messages[lengthOffset:])) + lengthOffset
		if n < headerBytes || n > uint64(len(messages)) {
			return false
		}
		messages = messages[n:]
	}
	return len(messages) == 0
}

// prepare runs a unit outside transactions that executes nothing. It needs a connection but no slot: drivers prepare a
// statement in a separate unit, and with a slot for each of the two, a caller would queue twice. Its short run time
// would also distort the scheduler's estimate for the class.
func (o *Owner) prepare(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	res := o.run(ctx, u, sink)
	if res.Outcome == errkind.OutcomeUnknown && !res.Streamed && ctx.Err() == nil {
		// Nothing was executed, so the outcome is known even though the connection was lost.
		return unit.NotRun(errkind.Wrap(errkind.NoMember, res.Err, "the connection was lost before the statement was prepared"))
	}
	o.setReplica(u, &res)
	return res
}
