package wire

import (
	"bytes"
	"math"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// VMStatus is the state of a VM as seen by a peer that has direct evidence of it.
type VMStatus struct {
	VM       platform.VM
	Draining bool
}

// Section lists the live VMs of one data centre. VMs that it doesn't name aren't alive.
type Section struct {
	DataCentre string
	VMs        []VMStatus
}

// Heartbeat is exchanged over control connections: the request carries the state of the requesting VM and the reply that
// of the answering VM. The Hello of the connection identifies the sender. Sections are included only when the peer hasn't
// seen their present content, which Digest identifies.
type Heartbeat struct {
	Draining      bool
	ConfigVersion uint64
	ConfigHash    uint32 // first 4 bytes of the configuration document's hash
	Owned         uint64 // members that the sender owns
	Waiting       uint64 // units queued at these members
	Lists         uint32 // hash of the platform's lists as the sender last read them, 0 for none
	Digest        uint32 // hash of the sender's sections, 0 for none
	Seen          uint32 // Digest of the sections last received from the peer
	Sections      []Section
	TakesDelta    bool // the sender understands Delta; encoded as the presence of Delta, which older versions don't send
	Delta         Delta
	ListVersion   uint64 // version of the service list that Lists covers, 0 for none; only with TakesDelta
	ListComplete  bool   // the service list lacks no member that runs; only with TakesDelta
}

const (
	heartbeatFields = 9 // without Delta, ListVersion and ListComplete, which came with later versions
	laterFields     = 3
	encodedTrue     = 1
)

// HeartbeatBody builds the body of a heartbeat. It stays valid until the next message is built.
func (e *Encoder) HeartbeatBody(h *Heartbeat) ([]byte, error) {
	if h.TakesDelta {
		e.beginBody(heartbeatFields + laterFields)
	} else {
		e.beginBody(heartbeatFields)
	}
	e.boolean(h.Draining)
	e.uint(h.ConfigVersion)
	e.uint(uint64(h.ConfigHash))
	e.uint(h.Owned)
	e.uint(h.Waiting)
	e.uint(uint64(h.Lists))
	e.uint(uint64(h.Digest))
	e.uint(uint64(h.Seen))
	e.sections(h.Sections)
	if h.TakesDelta {
		e.delta(&h.Delta)
		e.uint(h.ListVersion)
		e.boolean(h.ListComplete)
	}
	return e.buf.Bytes(), e.err
}

// boolean encodes false as 0 and true as encodedTrue.
func (e *Encoder) boolean(v bool) {
	if v {
		e.uint(encodedTrue)
		return
	}
	e.uint(0)
}

func (e *Encoder) sections(list []Section) {
	e.arrayLen(len(list))
	for i := range list {
		e.str(list[i].DataCentre)
		e.vmStatuses(list[i].VMs)
	}
}

func (e *Encoder) vmStatuses(list []VMStatus) {
	e.arrayLen(len(list))
	for _, v := range list {
		e.vm(v.VM)
		e.boolean(v.Draining)
	}
}

func (d *Decoder) vmStatuses() (list []VMStatus) {
	n := d.arrayLen()
	for i := 0; i < n && d.err == nil; i++ {
		list = append(list, VMStatus{VM: d.vm(), Draining: d.uint() != 0})
	}
	return list
}

// Heartbeat decodes the body of a heartbeat.
func (d *Decoder) Heartbeat(body []byte) (Heartbeat, error) {
	d.begin(body, heartbeatFields)
	h := Heartbeat{Draining: d.uint() != 0, ConfigVersion: d.uint(), ConfigHash: uint32(d.uint()), Owned: d.uint(),
		Waiting: d.uint(), Lists: uint32(d.uint()), Digest: uint32(d.uint()), Seen: uint32(d.uint())}
	n := d.arrayLen()
	for i := 0; i < n && d.err == nil; i++ {
		h.Sections = append(h.Sections, Section{DataCentre: d.internedStr(), VMs: d.vmStatuses()})
	}
	if d.r.Len() > 0 {
		h.TakesDelta, h.Delta = true, d.delta()
	}
	if d.r.Len() > 0 {
		h.ListVersion = d.uint()
	}
	if d.r.Len() > 0 {
		h.ListComplete = d.uint() != 0
	}
	return h, d.end()
}

// ConfigRequest asks a peer for the configuration if the peer has a version above Have, and tells it that Have exists.
type ConfigRequest struct {
	Have uint64
	// Uptime is the time since the requester's start. If it is not 0, the peer says whether its copy was read after that start.
	Uptime time.Duration
	// TakesPacked says that the requester decodes ConfigReply.Packed. Requesters of earlier builds do not.
	TakesPacked bool
}

// ConfigRequestBody returns the encoded message in a slice of its own.
func (e *Encoder) ConfigRequestBody(c ConfigRequest) ([]byte, error) {
	e.beginBody(3)
	e.uint(c.Have)
	e.uint(uint64(max(c.Uptime, 0) / time.Millisecond))
	e.boolean(c.TakesPacked)
	return bytes.Clone(e.buf.Bytes()), e.err
}

// ConfigRequest decodes the message.
func (d *Decoder) ConfigRequest(body []byte) (ConfigRequest, error) {
	d.begin(body, 1)
	c := ConfigRequest{Have: d.uint()}
	if d.r.Len() > 0 {
		c.Uptime = time.Duration(min(d.uint(), maxUptimeMS)) * time.Millisecond
	}
	if d.r.Len() > 0 {
		c.TakesPacked = d.uint() != 0
	}
	return c, d.end()
}

// maxUptimeMS keeps an uptime from overflowing a time.Duration.
const maxUptimeMS = uint64(math.MaxInt64 / time.Millisecond)

// ConfigReply answers a ConfigRequest. Version is the highest configuration version that the peer knows to have been in
// force; 0 means that the peer doesn't vouch for any configuration. Document is the configuration that the peer holds. It
// may be older than Version, and is empty when it isn't newer than the requester's.
//
// Current says that the peer has read Version from the table service after the requester's start. The requester may therefore
// use it, since it cannot have served a later one before its start. Known is the highest version that the peer has heard of,
// Have of the request included, also while it vouches for none. A peer of an older version leaves it 0.
//
// TurnedAway says that the table service has refused the peer's read after the requester's start. It may serve others.
type ConfigReply struct {
	Version  uint64
	Document []byte
	Current  bool
	Known    uint64

	TurnedAway bool

	// AgesStated says that the document tells a stated age of 0 from an absent one. Peers of earlier builds do not.
	AgesStated bool

	// AllRoutes says that the document holds all routes of its author's. Peers of earlier builds leave out those with more
	// different targets than there may be classes.
	AllRoutes bool

	// Packed is the document as Pack returns it, in place of Document, for requesters that take it.
	Packed []byte
}

// ConfigReplyBody returns the encoded message in a slice of its own.
func (e *Encoder) ConfigReplyBody(c ConfigReply) ([]byte, error) {
	e.beginBody(8)
	e.uint(c.Version)
	e.bytes(c.Document)
	e.boolean(c.Current)
	e.uint(c.Known)
	e.boolean(c.TurnedAway)
	e.boolean(c.AgesStated)
	e.bytes(c.Packed)
	e.boolean(c.AllRoutes)
	return bytes.Clone(e.buf.Bytes()), e.err
}

// ConfigReply decodes the message. Document and Packed alias body.
func (d *Decoder) ConfigReply(body []byte) (ConfigReply, error) {
	d.begin(body, 2)
	c := ConfigReply{Version: d.uint(), Document: d.bytes()}
	if d.r.Len() > 0 {
		c.Current = d.uint() != 0
	}
	if d.r.Len() > 0 {
		c.Known = d.uint()
	}
	if d.r.Len() > 0 {
		c.TurnedAway = d.uint() != 0
	}
	if d.r.Len() > 0 {
		c.AgesStated = d.uint() != 0
	}
	if d.r.Len() > 0 {
		c.Packed = d.bytes()
	}
	if d.r.Len() > 0 {
		c.AllRoutes = d.uint() != 0
	}
	return c, d.end()
}

// CancelKey carries a caller's cancel request to the VM that holds the caller's session, which PID and Secret identify.
type CancelKey struct {
	VM     string
	PID    uint32
	Secret []byte
}

// CancelKeyBody returns the encoded message in a slice of its own.
func (e *Encoder) CancelKeyBody(c CancelKey) ([]byte, error) {
	e.beginBody(3)
	e.str(c.VM)
	e.uint(uint64(c.PID))
	e.bytes(c.Secret)
	return bytes.Clone(e.buf.Bytes()), e.err
}

// CancelKey decodes the message. Secret aliases body.
func (d *Decoder) CancelKey(body []byte) (CancelKey, error) {
	d.begin(body, 3)
	c := CancelKey{VM: d.internedStr(), PID: uint32(d.uint()), Secret: d.bytes()}
	return c, d.end()
}
