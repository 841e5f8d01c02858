package wire

import "bytes"

// ViewRequest asks an owner for its view of a service. With Relay it is a relay request: it asks the VM that owns the
// service's primary for the view that this VM relays to other watchers of the service. The reply's body is the view as
// encoded by package group. A daemon of an older version answers a relay request with its own view, and takes a request
// with Have for a relay request. Have is therefore sent only to a VM whose last view had a version.
type ViewRequest struct {
	Service string
	Relay   bool
	Seen    uint32 // version of the last relayed view, 0 for none; only with Relay
	Have    uint32 // version of the view that the requester holds, 0 for none; only without Relay
}

// ViewRequestBody returns the encoded message in a slice of its own.
func (e *Encoder) ViewRequestBody(v ViewRequest) ([]byte, error) {
	switch {
	case v.Relay:
		e.beginBody(2)
		e.str(v.Service)
		e.uint(uint64(v.Seen))
	case v.Have != 0:
		e.beginBody(3)
		e.str(v.Service)
		e.uint(0)
		e.uint(uint64(v.Have))
	default:
		e.beginBody(1)
		e.str(v.Service)
	}
	return bytes.Clone(e.buf.Bytes()), e.err
}

// ViewRequest decodes the message.
func (d *Decoder) ViewRequest(body []byte) (ViewRequest, error) {
	d.begin(body, 1)
	v := ViewRequest{Service: d.internedStr()}
	if d.r.Len() > 0 {
		v.Relay, v.Seen = true, uint32(d.uint())
	}
	if d.r.Len() > 0 {
		v.Relay, v.Seen, v.Have = false, 0, uint32(d.uint())
	}
	return v, d.end()
}
