package frontend

import "encoding/binary"

// wellFormed reports whether a message of a unit holds exactly the fields of its type. Passing on a message with too
// few or too many bytes would cost a connection to a member, and leave the outcome of a unit that cannot run unknown.
func wellFormed(typ byte, body []byte) bool {
	f := fieldReader{rest: body, ok: true}
	switch typ {
	case 'Q': // Query
		f.skipString()
	case 'P': // Parse
		f.skipString()
		f.skipString()
		f.skip(f.readCount() * 4)
	case 'B': // Bind
		f.skipString()
		f.skipString()
		f.skip(f.readCount() * 2)
		for n := f.readCount(); n > 0 && f.ok; n-- {
			f.skipValue()
		}
		f.skip(f.readCount() * 2)
	case 'D', 'C': // Describe, Close
		f.skip(1)
		f.skipString()
	case 'E': // Execute
		f.skipString()
		f.skip(4)
	case 'S': // Sync
	default:
		return true
	}
	return f.ok && len(f.rest) == 0
}

// fieldReader walks over the fields of a message. ok turns false when a field is cut short or invalid.
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

// skipValue skips a 32-bit length, which is -1 for NULL, and as many bytes.
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
