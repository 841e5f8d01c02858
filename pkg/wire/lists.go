package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// ListsRequest asks a peer for the platform's lists as the peer holds them.
type ListsRequest struct {
	Have uint32 // hash of the service list that the requester holds; 0 requests both lists in full
}

// ListsRequestBody returns the encoded message in a slice of its own. A request without Have has no body, as in versions that
// know no other.
func (e *Encoder) ListsRequestBody(r ListsRequest) ([]byte, error) {
	if r.Have == 0 {
		return nil, nil
	}
	e.beginBody(1)
	e.uint(uint64(r.Have))
	return bytes.Clone(e.buf.Bytes()), e.err
}

// ListsRequest decodes the message.
func (d *Decoder) ListsRequest(body []byte) (ListsRequest, error) {
	if len(body) == 0 {
		return ListsRequest{}, nil
	}
	d.begin(body, 1)
	r := ListsRequest{Have: uint32(d.uint())}
	return r, d.end()
}

// Lists answers a ListsRequest. In full, with 670 VMs and 1,200 services of three members each, it takes some 600 KB, less
// than MaxFrame.
type Lists struct {
	VMs      []platform.VM
	Services []platform.Service
	Version  uint64   // of the service list; 0 if the platform gives none
	Base     uint32   // if not 0: Services holds only those that differ from the list with this hash
	Removed  []string // names of the services that the list with the hash Base has and the present one lacks
}

// Encode returns the encoded message: the number of VMs and the VMs, then the number of services, and for each service its
// name, its database, the number of its members and the members; then the version, the base, and the number and names of
// removed services, which earlier versions neither send nor read.
func (l *Lists) Encode() ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	values := []any{len(l.VMs)}
	for i := range l.VMs {
		values = append(values, &l.VMs[i])
	}
	values = append(values, len(l.Services))
	for i := range l.Services {
		s := &l.Services[i]
		values = append(values, s.Name, s.Database, len(s.Members))
		for j := range s.Members {
			values = append(values, &s.Members[j])
		}
	}
	values = append(values, l.Version, l.Base, len(l.Removed))
	for _, name := range l.Removed {
		values = append(values, name)
	}
	if err := e.EncodeMulti(values...); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// maxListEntries bounds the VMs, services and members of one message taken together. It is about six times what 670 VMs
// and 1,200 services of three members each need.
const maxListEntries = 1 << 15

// DecodeLists decodes the message. The memory that it takes is bounded, whatever numbers the message claims: entries
// are decoded one by one, since the msgpack library would at once allocate a slice of the claimed length.
func DecodeLists(body []byte) (Lists, error) {
	var l Lists
	if err := checkNesting(body); err != nil {
		return Lists{}, fmt.Errorf("%w: lists: %w", ErrMalformed, err)
	}
	r := bytes.NewReader(body)
	d := &listDecoder{Decoder: msgpack.NewDecoder(r), entriesLeft: maxListEntries}
	err := d.decodeEntries(func() error {
		l.VMs = append(l.VMs, platform.VM{})
		return d.Decode(&l.VMs[len(l.VMs)-1])
	})
	if err == nil {
		err = d.decodeEntries(func() error {
			l.Services = append(l.Services, platform.Service{})
			return d.service(&l.Services[len(l.Services)-1])
		})
	}
	if err == nil && r.Len() > 0 {
		err = d.delta(&l)
	}
	if err != nil {
		return Lists{}, fmt.Errorf("%w: lists: %w", ErrMalformed, err)
	}
	return l, nil
}

// delta decodes what says how the services of l differ from an earlier list.
func (d *listDecoder) delta(l *Lists) error {
	if err := d.DecodeMulti(&l.Version, &l.Base); err != nil {
		return err
	}
	return d.decodeEntries(func() error {
		l.Removed = append(l.Removed, "")
		return d.Decode(&l.Removed[len(l.Removed)-1])
	})
}

func (d *listDecoder) service(s *platform.Service) error {
	if err := d.DecodeMulti(&s.Name, &s.Database); err != nil {
		return err
	}
	return d.decodeEntries(func() error {
		s.Members = append(s.Members, platform.Member{})
		return d.Decode(&s.Members[len(s.Members)-1])
	})
}

// listDecoder decodes a bounded number of entries.
type listDecoder struct {
	*msgpack.Decoder
	entriesLeft int // how many more entries may be decoded
}

// decodeEntries reads the number of entries that follow and calls decodeEntry for each of them, until a call fails.
func (d *listDecoder) decodeEntries(decodeEntry func() error) error {
	n, err := d.DecodeInt()
	if err != nil {
		return err
	}
	if d.entriesLeft -= n; n < 0 || d.entriesLeft < 0 {
		return fmt.Errorf("message says that it holds at least %d list entries, but at most %d are allowed", maxListEntries-d.entriesLeft, maxListEntries)
	}
	for ; err == nil && n > 0; n-- {
		err = decodeEntry()
	}
	return err
}
