package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Lists answers a request of TypeListsRequest, which has no body: the platform's lists as the peer last read them. At the
// size of 670 VMs and 1,200 services of three members it takes some 600 KB, below MaxFrame.
type Lists struct {
	VMs      []platform.VM      `msgpack:"v"`
	Services []platform.Service `msgpack:"s"`
}

// Encode returns the encoded message.
func (l *Lists) Encode() ([]byte, error) { return msgpack.Marshal(l) }

// DecodeLists decodes the message.
func DecodeLists(body []byte) (Lists, error) {
	var l Lists
	if err := msgpack.Unmarshal(body, &l); err != nil {
		return Lists{}, fmt.Errorf("%w: lists: %w", ErrMalformed, err)
	}
	return l, nil
}
