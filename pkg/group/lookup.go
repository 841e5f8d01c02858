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

// Lookups. A VM that does not watch a service asks an owner for its view. One that names the version it holds gets only
// what changes all the time, as an array, while the rest is the same. A view is a hint: what it gets wrong costs a
// refusal, so a version of 32 bits suffices.

// unchangedView answers a lookup whose asker holds the present version.
type unchangedView struct {
	Version uint32
	Members []memberUpdate // in the order of the view
}

// memberUpdate is what changes all the time. Age is in units of 10 ms, rounded up, and 0 stands for never fresh.
type memberUpdate struct {
	Age           uint32
	Last, Applied platform.Position
}

const unchangedViewFields = 2

// ErrLookup is the error of an answer that is none to the lookup, such as that of an older daemon.
var ErrLookup = errors.New("group: answer does not belong to the lookup")

// EncodeLookup returns the answer with a view to an asker that holds the view of version have, 0 for none.
func EncodeLookup(v View, have uint32) ([]byte, error) {
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

// DecodeLookup returns the view in an answer, and whether it has the version of the one that the asker holds. It
// returns ErrLookup when the answer is none to a lookup of that version.
func DecodeLookup(body []byte, held View) (v View, same bool, err error) {
	if len(body) == 0 || !isArray(body[0]) {
		return v, false, wire.Unmarshal(body, &v)
	}
	var u unchangedView
	if n, err := msgpack.NewDecoder(bytes.NewReader(body)).DecodeArrayLen(); err != nil || n != unchangedViewFields {
		return v, false, ErrLookup
	}
	if err := wire.Unmarshal(body, &u); err != nil {
		return v, false, fmt.Errorf("%w: %w", ErrLookup, err)
	}
	if u.Version == 0 || u.Version != held.Version || len(u.Members) != len(held.Members) {
		return v, false, ErrLookup
	}
	held.Members = slices.Clone(held.Members) // others may read the old ones
	for i, n := range u.Members {
		m := &held.Members[i]
		m.Status.LastPosition, m.Status.Applied, m.Age = n.Last, n.Applied, time.Duration(n.Age)*relayedAgeUnit
	}
	return held, true, nil
}

// isArray reports whether a message begins with a msgpack array; views are maps.
func isArray(code byte) bool {
	const fixed, mask, array16, array32 = 0x90, 0xf0, 0xdc, 0xdd
	return code&mask == fixed || code == array16 || code == array32
}

// version returns the number that names the content but for positions and ages, and is not 0.
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
