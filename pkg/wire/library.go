package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes a message of the msgpack library into v. The library allocates a slice of the length that a message
// claims at once, so that the message is first read through: its lengths must be those of what it holds.
func Unmarshal(body []byte, v any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(body)).Skip(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return msgpack.Unmarshal(body, v)
}
