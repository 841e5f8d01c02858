// Package token implements the session token: for each service that the session wrote to, the term and position
// that its later reads must cover. A token grants no access; it only raises the bounds of its own session's reads.
package token

import (
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"sort"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// MaxServices is the maximum number of services in a token. Parse refuses tokens with more.
	MaxServices = 16
	// MaxTextBytes is the maximum length of the text form that Parse accepts.
	MaxTextBytes = 4096

	prefix        = "v1:"
	maxNameBytes  = 128
	checksumBytes = 4
)

// Entry holds what reads of one service must cover.
type Entry struct {
	//lint:ignore U1000 msgpack reads this encoding option through reflection
	_msgpack struct{} `msgpack:",as_array"`

	Service  string
	Term     platform.Term
	Position platform.Position
}

// Token is an immutable set of entries, sorted by service. The zero value is the empty token.
type Token struct {
	entries []Entry
}

// CoveredBy reports whether a member that has applied the log up to (term, position) may serve a read with requirement r.
func CoveredBy(r unit.Requirement, term platform.Term, position platform.Position) bool {
	return term >= r.Term && position >= r.Position
}

// Empty reports whether the token contains no service.
func (t Token) Empty() bool { return len(t.entries) == 0 }

// Requirement returns what reads of the service must cover, or false if the token does not contain the service.
func (t Token) Requirement(service string) (unit.Requirement, bool) {
	i := t.search(service)
	if i == len(t.entries) || t.entries[i].Service != service {
		return unit.Requirement{}, false
	}
	e := t.entries[i]
	return unit.Requirement{Term: e.Term, Position: e.Position}, true
}

// With returns a token that also covers (term, position) of the service. It keeps the maximum of each field, so a
// requirement is never weakened.
func (t Token) With(service string, term platform.Term, position platform.Position) Token {
	i := t.search(service)
	out := make([]Entry, 0, len(t.entries)+1)
	out = append(out, t.entries[:i]...)
	e := Entry{Service: service, Term: term, Position: position}
	rest := t.entries[i:]
	if len(rest) > 0 && rest[0].Service == service {
		e.Term = max(e.Term, rest[0].Term)
		e.Position = max(e.Position, rest[0].Position)
		rest = rest[1:]
	}
	out = append(out, e)
	return Token{entries: append(out, rest...)}
}

// Merge returns a token that covers what both tokens cover.
func (t Token) Merge(other Token) Token {
	for _, e := range other.entries {
		t = t.With(e.Service, e.Term, e.Position)
	}
	return t
}

// search returns the index of the service's entry, or the index at which it would be inserted.
func (t Token) search(service string) int {
	return sort.Search(len(t.entries), func(i int) bool { return t.entries[i].Service >= service })
}

// String returns the text form: the prefix followed by the base64url encoding of the msgpack entries and their CRC-32.
// The text form of the empty token is "".
func (t Token) String() string {
	if t.Empty() {
		return ""
	}
	body, err := msgpack.Marshal(t.entries)
	if err != nil {
		return ""
	}
	body = binary.BigEndian.AppendUint32(body, crc32.ChecksumIEEE(body))
	return prefix + base64.RawURLEncoding.EncodeToString(body)
}

// Parse decodes the text form. The empty string is the empty token. Errors are of kind BadToken.
func Parse(s string) (Token, error) {
	if s == "" {
		return Token{}, nil
	}
	body, err := decodeText(s)
	if err != nil {
		return Token{}, err
	}
	statedCount, entries, err := decodeEntries(body)
	if err != nil {
		return Token{}, errkind.Wrap(errkind.BadToken, err, "session token cannot be decoded")
	}
	if statedCount != len(entries) {
		return Token{}, errkind.New(errkind.BadToken, "session token contains %d services, at most %d are allowed", statedCount, MaxServices)
	}
	var t Token
	for _, e := range entries {
		if e.Service == "" || len(e.Service) > maxNameBytes {
			return Token{}, errkind.New(errkind.BadToken, "session token contains an empty or too long service name")
		}
		t = t.With(e.Service, e.Term, e.Position)
	}
	return t, nil
}

// decodeText checks the prefix, length and checksum of the text form and returns the encoded entries.
func decodeText(s string) ([]byte, error) {
	if len(s) > MaxTextBytes || !strings.HasPrefix(s, prefix) {
		return nil, errkind.New(errkind.BadToken, "session token has no %q prefix or is longer than %d bytes", prefix, MaxTextBytes)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(s[len(prefix):])
	if err != nil || len(raw) < checksumBytes {
		return nil, errkind.New(errkind.BadToken, "session token is not valid base64url or is too short")
	}
	body, sum := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(sum) {
		return nil, errkind.New(errkind.BadToken, "session token has a wrong checksum")
	}
	return body, nil
}

// decodeEntries returns the number of entries that the token states and, if it is between 1 and MaxServices, the
// entries. It checks the number before it allocates the entries.
func decodeEntries(body []byte) (int, []Entry, error) {
	dec := msgpack.NewDecoder(strings.NewReader(string(body)))
	n, err := dec.DecodeArrayLen()
	if err != nil || n < 1 || n > MaxServices {
		return n, nil, err
	}
	entries := make([]Entry, n)
	for i := range entries {
		if err := dec.Decode(&entries[i]); err != nil {
			return n, nil, err
		}
	}
	return n, entries, nil
}
