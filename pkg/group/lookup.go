package group

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// A lookup is how a VM that does not watch a service asks an owner for its view. The asker names the version of the
// view that it holds. While that version is current, the answer is an array of only the positions and ages, which
// change all the time. A view is only a hint: if it is wrong, a request is refused. A version of 32 bits is therefore
// wide enough.

// unchangedView is the answer to a lookup whose asker holds the present version.
type unchangedView struct {
	Version uint32
	Members []memberUpdate // in the order of the view
}

// memberUpdate is the part of a MemberView that changes all the time: the age and the log's last and applied
// positions. Age is in units of 10 ms, rounded up; 0 means that the age is not known.
type memberUpdate struct {
	Age           uint32
	Last, Applied platform.Position
}

// unchangedViewFields is the number of fields of unchangedView, and so the length of its encoded array.
const unchangedViewFields = 2

// ErrNotLookupAnswer is returned for bytes that do not answer the lookup, such as the message of an older daemon.
var ErrNotLookupAnswer = errors.New("group: message does not answer the lookup")

// EncodeLookupAnswer encodes the answer with view v to an asker that holds the view of version have, 0 for none.
func EncodeLookupAnswer(v View, have uint32) ([]byte, error) {
	v.Version = v.version()
	if have != v.Version {
		return msgpack.Marshal(&v)
	}
	u := unchangedView{Version: have, Members: make([]memberUpdate, len(v.Members))}
	for i, m := range v.Members {
		u.Members[i] = memberUpdate{Last: m.Status.LastPosition, Applied: m.Status.Applied}
		if m.Fresh {
			u.Members[i].Age = uint32(m.Age/relayedAgeUnit) + 1
		}
	}
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(&u)
	return b.Bytes(), err
}

// DecodeLookupAnswer decodes the answer to a lookup that named the version of held. It returns the view, and whether
// that has the same version as held. It returns ErrNotLookupAnswer if body does not answer such a lookup.
func DecodeLookupAnswer(body []byte, held View) (v View, same bool, err error) {
	if len(body) == 0 || !isArray(body[0]) {
		return v, false, wire.Unmarshal(body, &v)
	}
	var u unchangedView
	if n, err := msgpack.NewDecoder(bytes.NewReader(body)).DecodeArrayLen(); err != nil || n != unchangedViewFields {
		return v, false, ErrNotLookupAnswer
	}
	if err := wire.Unmarshal(body, &u); err != nil {
		return v, false, fmt.Errorf("%w: %w", ErrNotLookupAnswer, err)
	}
	if u.Version == 0 || u.Version != held.Version || len(u.Members) != len(held.Members) {
		return v, false, ErrNotLookupAnswer
	}
	held.Members = slices.Clone(held.Members) // the caller's slice may be read concurrently
	for i, n := range u.Members {
		m := &held.Members[i]
		m.Status.LastPosition, m.Status.Applied, m.Age = n.Last, n.Applied, time.Duration(n.Age)*relayedAgeUnit
	}
	return held, true, nil
}

// isArray reports whether a message whose first byte is code is a msgpack array. Full views are maps.
func isArray(code byte) bool {
	const fixed, mask, array16, array32 = 0x90, 0xf0, 0xdc, 0xdd
	return code&mask == fixed || code == array16 || code == array32
}

// version returns a hash of the content except for positions and ages. It is never 0.
func (v View) version() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%q %d %q", v.Service, v.Term, v.Primary)
	for _, m := range v.Members {
		s := m.Status
		s.LastPosition, s.Applied = 0, 0
		_, _ = fmt.Fprintf(h, " %q %t %t %t %t %v", m.Name, m.Known, m.Reachable, m.Leaving, m.Fresh, s)
	}
	return max(1, h.Sum32())
}
