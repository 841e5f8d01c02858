package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// maxInternedStrings bounds the strings that a Decoder keeps to avoid allocating repeated names.
const maxInternedStrings = 4096

// Encoder builds frames and message bodies in a buffer that it reuses. Unless a method says otherwise, the slice that it
// returns stays valid until the next message is built. It isn't safe for concurrent use.
type Encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
	err error
}

// NewEncoder returns an encoder.
func NewEncoder() *Encoder {
	e := &Encoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}

// begin starts a frame of type t whose outer array has the given number of fields.
func (e *Encoder) begin(t Type, fields int) {
	e.buf.Reset()
	e.err = nil
	e.buf.Write([]byte{0, 0, 0, 0, Version, byte(t)})
	e.arrayLen(fields)
}

// beginBody starts a message body that travels inside a request or reply and so has no frame header.
func (e *Encoder) beginBody(fields int) {
	e.buf.Reset()
	e.err = nil
	e.arrayLen(fields)
}

// end sets the length field and returns the frame without its payload, of which payloadLen bytes follow on the wire.
func (e *Encoder) end(payloadLen int) ([]byte, error) {
	b := e.buf.Bytes()
	n := len(b) - lengthFieldBytes + payloadLen
	if e.err != nil {
		return nil, e.err
	}
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, n)
	}
	binary.BigEndian.PutUint32(b, uint32(n))
	return b, nil
}

// recordErr keeps the first error of a message, which end returns.
func (e *Encoder) recordErr(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *Encoder) arrayLen(n int) { e.recordErr(e.enc.EncodeArrayLen(n)) }
func (e *Encoder) uint(v uint64)  { e.recordErr(e.enc.EncodeUint(v)) }
func (e *Encoder) str(s string)   { e.recordErr(e.enc.EncodeString(s)) }
func (e *Encoder) bytes(b []byte) { e.recordErr(e.enc.EncodeBytesLen(len(b))); e.buf.Write(b) }
func (e *Encoder) bytesLen(n int) { e.recordErr(e.enc.EncodeBytesLen(n)) }

// Decoder decodes message bodies. Byte fields alias the body; strings that are likely to repeat are interned. It isn't
// safe for concurrent use.
type Decoder struct {
	r        bytes.Reader
	dec      *msgpack.Decoder
	body     []byte
	err      error
	interned map[string]string
}

// NewDecoder returns a decoder.
func NewDecoder() *Decoder {
	d := &Decoder{interned: map[string]string{}}
	d.dec = msgpack.NewDecoder(&d.r)
	return d
}

// begin starts a body, whose outer array must have at least the given number of fields. Further fields are accepted, so
// that a later version can append some.
func (d *Decoder) begin(body []byte, fields int) {
	d.body, d.err = body, nil
	d.r.Reset(body)
	d.dec.Reset(&d.r)
	if n := d.arrayLen(); d.err == nil && n < fields {
		d.fail()
	}
}

// fail marks the body as malformed. The fields that follow decode to zero values.
func (d *Decoder) fail() {
	if d.err == nil {
		d.err = ErrMalformed
	}
}

// end returns the error of the body that begin started.
func (d *Decoder) end() error {
	if d.err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, d.err)
	}
	return nil
}

// arrayLen decodes an array length that can't exceed the bytes left, since each element takes at least one byte.
func (d *Decoder) arrayLen() int {
	if d.err != nil {
		return 0
	}
	n, err := d.dec.DecodeArrayLen()
	if err != nil || n < 0 || n > d.r.Len() {
		d.fail()
		return 0
	}
	return n
}

func (d *Decoder) uint() uint64 {
	if d.err != nil {
		return 0
	}
	v, err := d.dec.DecodeUint64()
	if err != nil {
		d.fail()
	}
	return v
}

// bytes decodes a byte field and returns it as a slice of the body.
func (d *Decoder) bytes() []byte {
	if d.err != nil {
		return nil
	}
	n, err := d.dec.DecodeBytesLen()
	if err != nil || n > d.r.Len() {
		d.fail()
		return nil
	}
	if n <= 0 {
		return nil
	}
	from := len(d.body) - d.r.Len()
	if _, err := d.r.Seek(int64(n), io.SeekCurrent); err != nil {
		d.fail()
		return nil
	}
	return d.body[from : from+n : from+n]
}

// internedStr decodes a string that is likely to repeat, such as a name, and returns the interned copy of it.
func (d *Decoder) internedStr() string {
	b := d.bytes()
	if len(b) == 0 {
		return ""
	}
	if s, ok := d.interned[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(d.interned) < maxInternedStrings {
		d.interned[s] = s
	}
	return s
}

// str decodes a string that is unlikely to repeat and therefore isn't interned.
func (d *Decoder) str() string { return string(d.bytes()) }
