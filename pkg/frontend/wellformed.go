package frontend

import "encoding/binary"

// wellFormed reports whether a message of a unit holds exactly the fields of its type. A message that is passed on
// with too few or too many bytes would cost a connection to a member, and make a unit that can't run unknown.
func wellFormed(typ byte, body []byte) bool {
	f := fieldReader{rest: body, ok: true}
	switch typ {
	case 'Q':
		f.skipString()
	case 'P':
		f.skipString()
		f.skipString()
		f.skip(f.readCount() * 4)
	case 'B':
		f.skipString()
		f.skipString()
		f.skip(f.readCount() * 2)
		for n := f.readCount(); n > 0 && f.ok; n-- {
			f.skipValue()
		}
		f.skip(f.readCount() * 2)
	case 'D', 'C':
		f.skip(1)
		f.skipString()
	case 'E':
		f.skipString()
		f.skip(4)
	case 'S':
	default:
		return true
	}
	return f.ok && len(f.rest) == 0
}

// fieldReader walks over the fieldReader of a message.
type fieldReader struct {
	rest []byte
	ok   bool
}

func (f *fieldReader) skipString() {
	_, rest, ok := cutString(f.rest)
	f.rest, f.ok = rest, f.ok && ok
}

func (f *fieldReader) skip(n int) {
	if n > len(f.rest) {
		f.rest, f.ok = nil, false
		return
	}
	f.rest = f.rest[n:]
}

// readCount reads a 16-bit number of fields.
func (f *fieldReader) readCount() int {
	b := f.rest
	if f.skip(2); !f.ok {
		return 0
	}
	return int(binary.BigEndian.Uint16(b))
}

// skipValue skips a 32-bit length, -1 for NULL, and as many bytes.
func (f *fieldReader) skipValue() {
	b := f.rest
	if f.skip(4); !f.ok {
		return
	}
	n := int32(binary.BigEndian.Uint32(b))
	if n < -1 {
		f.ok = false
	}
	f.skip(int(max(n, 0)))
}
