package wire

import (
	"errors"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Purpose says whether a connection carries data or control messages. They use separate connections, so that bulk data
// never delays heartbeats.
type Purpose uint8

// Purposes of a connection.
const (
	PurposeData Purpose = iota + 1
	PurposeControl
)

// Hello is the first frame in both directions. Instance identifies one run of the sending daemon. ConfigVersion is the newest
// version of the configuration that the sender vouches for, 0 for none.
type Hello struct {
	VM            platform.VM
	Cluster       string
	Instance      uint64
	Purpose       Purpose
	ConfigVersion uint64
}

const (
	vmFields    = 6
	helloFields = 3 + vmFields
)

func (e *Encoder) vm(v platform.VM) {
	e.str(v.Name)
	e.str(v.DataCentre)
	e.str(v.Region)
	e.str(v.PeerAddr)
	e.str(v.AdminAddr)
	e.str(string(v.State))
}

func (d *Decoder) vm() platform.VM {
	return platform.VM{
		Name: d.internedStr(), DataCentre: d.internedStr(), Region: d.internedStr(), PeerAddr: d.internedStr(),
		AdminAddr: d.internedStr(), State: platform.VMState(d.internedStr()),
	}
}

// Hello builds a frame of TypeHello.
func (e *Encoder) Hello(h Hello) ([]byte, error) {
	e.begin(TypeHello, helloFields+1)
	e.vm(h.VM)
	e.str(h.Cluster)
	e.uint(h.Instance)
	e.uint(uint64(h.Purpose))
	e.uint(h.ConfigVersion)
	return e.end(0)
}

// Hello decodes a body of TypeHello.
func (d *Decoder) Hello(body []byte) (Hello, error) {
	d.begin(body, helloFields)
	h := Hello{VM: d.vm(), Cluster: d.str(), Instance: d.uint(), Purpose: Purpose(d.uint())}
	if d.r.Len() > 0 {
		h.ConfigVersion = d.uint()
	}
	return h, d.end()
}

// Refuse builds the frame that rejects a Hello. err is the reason.
func (e *Encoder) Refuse(err error) ([]byte, error) {
	e.begin(TypeRefuse, 2)
	e.errorFields(err)
	return e.end(0)
}

// Refuse decodes a body of TypeRefuse and returns the peer's reason.
func (d *Decoder) Refuse(body []byte) error {
	d.begin(body, 2)
	reason := d.errorFields()
	if err := d.end(); err != nil {
		return err
	}
	return reason
}

// errorFields encodes an error as two fields, its code and its detail. A nil error has an empty code.
func (e *Encoder) errorFields(err error) {
	if err == nil {
		e.str("")
		e.str("")
		return
	}
	detail := err.Error()
	var k *errkind.Error
	if errors.As(err, &k) {
		detail = k.Detail
	}
	e.str(errkind.Of(err).Code)
	e.str(detail)
}

func (d *Decoder) errorFields() error {
	code, detail := d.internedStr(), d.str()
	if code == "" {
		return nil
	}
	return errkind.New(errkind.ByCode(code), "%s", detail)
}

// Empty builds a frame without fields, which is one of TypePing or TypePong.
func (e *Encoder) Empty(t Type) ([]byte, error) {
	e.begin(t, 0)
	return e.end(0)
}

// Execute asks the owner of a member to run a unit. Deadline is the time left and not a point in time, so that the clocks
// of two daemons are never compared. Window is the credit in bytes that the server starts with.
type Execute struct {
	ID       uint64
	Window   uint64
	Deadline time.Duration
	Waited   time.Duration // for how long the system has had the complete request; a duration for the same reason
	Unit     unit.Unit
}

const executeFields = 20

// Flags of an Execute.
const (
	flagWrite = 1 << iota
	flagRepeatable
	flagConfirmPrimary
	flagBegin
	flagTeam // the team follows the flags; builds that know no teams refuse the frame
)

// Flags of a Result.
const (
	flagStreamed = 1 << iota
	flagReplica
)

// Execute builds the frame in two parts: head, and the unit's messages as the payload that follows head on the wire. The
// messages aren't copied.
func (e *Encoder) Execute(x *Execute) (head, payload []byte, err error) {
	u := &x.Unit
	fields := executeFields
	if u.Team != "" {
		fields++
	}
	e.begin(TypeExecute, fields)
	e.uint(x.ID)
	e.uint(x.Window)
	e.uint(uint64(x.Deadline))
	e.uint(uint64(x.Waited))
	e.uint(unitFlags(u))
	if u.Team != "" {
		e.str(u.Team)
	}
	e.str(u.Service)
	e.str(u.Member)
	e.str(u.Class)
	e.uint(uint64(u.Rank))
	e.uint(uint64(u.Target))
	e.uint(uint64(u.MaxAge))
	e.uint(uint64(u.Require.Term))
	e.uint(uint64(u.Require.Position))
	e.str(u.IdempotencyKey)
	e.txRef(u.Tx)
	e.arrayLen(2 * len(u.Statements))
	for i := range u.Statements {
		e.str(u.Statements[i].Name)
		e.bytes(u.Statements[i].Parse)
	}
	e.arrayLen(2 * len(u.Values))
	for i := range u.Values {
		e.str(u.Values[i].Name)
		e.str(u.Values[i].Value)
	}
	e.bytesLen(len(u.Messages))
	head, err = e.end(len(u.Messages))
	return head, u.Messages, err
}

func unitFlags(u *unit.Unit) uint64 {
	var f uint64
	if u.Write {
		f |= flagWrite
	}
	if u.Repeatable {
		f |= flagRepeatable
	}
	if u.ConfirmPrimary {
		f |= flagConfirmPrimary
	}
	if u.Begin {
		f |= flagBegin
	}
	if u.Team != "" {
		f |= flagTeam
	}
	return f
}

func (e *Encoder) txRef(t unit.TxRef) {
	e.str(t.VM)
	e.str(t.Member)
	e.uint(t.ID)
}

func (d *Decoder) txRef() unit.TxRef {
	return unit.TxRef{VM: d.internedStr(), Member: d.internedStr(), ID: d.uint()}
}

// Execute decodes a body of TypeExecute. The unit's byte fields alias body.
func (d *Decoder) Execute(body []byte) (*Execute, error) {
	d.begin(body, executeFields)
	x := &Execute{ID: d.uint(), Window: d.uint(), Deadline: d.duration(), Waited: d.duration()}
	u := &x.Unit
	flags := d.uint()
	u.Write, u.Repeatable = flags&flagWrite != 0, flags&flagRepeatable != 0
	u.ConfirmPrimary, u.Begin = flags&flagConfirmPrimary != 0, flags&flagBegin != 0
	if flags&flagTeam != 0 {
		u.Team = d.internedStr()
	}
	u.Service, u.Member, u.Class = d.internedStr(), d.internedStr(), d.internedStr()
	rank := d.uint()
	if rank >= uint64(unit.RankCount) {
		d.fail()
	}
	u.Rank = unit.Rank(rank)
	u.Target, u.MaxAge = d.duration(), unit.AgeLimit(d.duration())
	u.Require = unit.Requirement{Term: platform.Term(d.uint()), Position: platform.Position(d.uint())}
	u.IdempotencyKey = d.str()
	u.Tx = d.txRef()
	u.Statements = d.statements()
	u.Values = d.values()
	u.Messages = d.bytes()
	return x, d.end()
}

// pairCount decodes the length of an array whose items come in pairs and returns the number of pairs.
func (d *Decoder) pairCount() int {
	n := d.arrayLen()
	if n%2 != 0 {
		d.fail()
		return 0
	}
	return n / 2
}

func (d *Decoder) statements() []unit.Statement {
	n := d.pairCount()
	if n == 0 {
		return nil
	}
	out := make([]unit.Statement, 0, n)
	for i := 0; i < n && d.err == nil; i++ {
		out = append(out, unit.Statement{Name: d.internedStr(), Parse: d.bytes()})
	}
	return out
}

func (d *Decoder) values() []unit.Value {
	n := d.pairCount()
	if n == 0 {
		return nil
	}
	out := make([]unit.Value, 0, n)
	for i := 0; i < n && d.err == nil; i++ {
		out = append(out, unit.Value{Name: d.str(), Value: d.str()})
	}
	return out
}

func (d *Decoder) duration() time.Duration {
	v := time.Duration(d.uint())
	if v < 0 {
		d.fail()
		return 0
	}
	return v
}

// Chunk builds the frame with a part of a unit's answer, without payload, which follows on the wire and isn't copied.
func (e *Encoder) Chunk(id uint64, payload []byte) ([]byte, error) {
	e.begin(TypeChunk, 2)
	e.uint(id)
	e.bytesLen(len(payload))
	return e.end(len(payload))
}

// Chunk decodes a body of TypeChunk. payload aliases body.
func (d *Decoder) Chunk(body []byte) (id uint64, payload []byte, err error) {
	d.begin(body, 2)
	id, payload = d.uint(), d.bytes()
	return id, payload, d.end()
}

// Credit builds the frame that lets the server send n more bytes of a unit's answer.
func (e *Encoder) Credit(id, n uint64) ([]byte, error) {
	e.begin(TypeCredit, 2)
	e.uint(id)
	e.uint(n)
	return e.end(0)
}

// Credit decodes a body of TypeCredit.
func (d *Decoder) Credit(body []byte) (id, n uint64, err error) {
	d.begin(body, 2)
	id, n = d.uint(), d.uint()
	return id, n, d.end()
}

// Cancel builds the frame that cancels a running unit.
func (e *Encoder) Cancel(id uint64) ([]byte, error) {
	e.begin(TypeCancel, 1)
	e.uint(id)
	return e.end(0)
}

// Cancel decodes a body of TypeCancel.
func (d *Decoder) Cancel(body []byte) (uint64, error) {
	d.begin(body, 1)
	id := d.uint()
	return id, d.end()
}

// Rollback builds the frame that ends an open transaction.
func (e *Encoder) Rollback(tx unit.TxRef) ([]byte, error) {
	e.begin(TypeRollback, 3)
	e.txRef(tx)
	return e.end(0)
}

// Rollback decodes a body of TypeRollback.
func (d *Decoder) Rollback(body []byte) (unit.TxRef, error) {
	d.begin(body, 3)
	tx := d.txRef()
	return tx, d.end()
}
