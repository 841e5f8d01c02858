package wire

import (
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const resultFields = 11

// Result builds the frame that carries the result of a unit and ends its answer.
func (e *Encoder) Result(id uint64, r *unit.Result) ([]byte, error) {
	var flags uint64
	if r.Streamed {
		flags |= flagStreamed
	}
	if r.Replica {
		flags |= flagReplica
	}
	e.begin(TypeResult, resultFields)
	e.uint(id)
	e.uint(uint64(r.Outcome))
	e.uint(flags)
	e.uint(uint64(r.Term))
	e.uint(uint64(r.Position))
	e.uint(uint64(r.TxStatus))
	e.txRef(r.Tx)
	e.errorFields(r.Err)
	return e.end(0)
}

// Result decodes a body of TypeResult. An outcome that this version doesn't know
// is decoded as OutcomeUnknown.
func (d *Decoder) Result(body []byte) (id uint64, r unit.Result, err error) {
	d.begin(body, resultFields)
	id = d.uint()
	outcome, flags := d.uint(), d.uint()
	if outcome <= uint64(errkind.OutcomeNotRun) {
		r.Outcome = errkind.Outcome(outcome)
	}
	r.Streamed, r.Replica = flags&flagStreamed != 0, flags&flagReplica != 0
	r.Term, r.Position = platform.Term(d.uint()), platform.Position(d.uint())
	r.TxStatus = byte(d.uint())
	r.Tx = d.txRef()
	r.Err = d.errorFields()
	return id, r, d.end()
}

// Request builds a request frame without body, which follows on the wire. The peer answers it with a Reply.
func (e *Encoder) Request(t Type, id uint64, body []byte) ([]byte, error) {
	e.begin(t, 2)
	e.uint(id)
	e.bytesLen(len(body))
	return e.end(len(body))
}

// Request decodes frame, the body of a request frame. The message body that it returns aliases frame.
func (d *Decoder) Request(frame []byte) (id uint64, body []byte, err error) {
	d.begin(frame, 2)
	id, body = d.uint(), d.bytes()
	return id, body, d.end()
}

// Reply builds a reply frame without body, which follows on the wire. failure is nil when the request succeeded.
func (e *Encoder) Reply(id uint64, failure error, body []byte) ([]byte, error) {
	e.begin(TypeReply, 4)
	e.uint(id)
	e.errorFields(failure)
	e.bytesLen(len(body))
	return e.end(len(body))
}

// Reply decodes frame, a body of TypeReply. The message body aliases frame; failure is the error of the peer's handler.
func (d *Decoder) Reply(frame []byte) (id uint64, body []byte, failure, err error) {
	d.begin(frame, 4)
	id = d.uint()
	failure = d.errorFields()
	body = d.bytes()
	return id, body, failure, d.end()
}
