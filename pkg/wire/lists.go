package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Lists answers a request of TypeListsRequest, which has no body. It holds the platform's lists as the peer last read
// them. With 670 VMs and 1,200 services of three members each, it takes some 600 KB, less than MaxFrame.
type Lists struct {
	VMs      []platform.VM
	Services []platform.Service
}

// Encode returns the encoded message: the number of VMs and the VMs, then the number of services, and for each service its
// name, its database, the number of its members and the members.
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
	d := &listDecoder{Decoder: msgpack.NewDecoder(bytes.NewReader(body)), entriesLeft: maxListEntries}
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
	if err != nil {
		return Lists{}, fmt.Errorf("%w: lists: %w", ErrMalformed, err)
	}
	return l, nil
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
