package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes body, a message that msgpack.Marshal encoded, into v. The msgpack library would at once allocate a
// slice of any length that a message claims. Unmarshal therefore first skips through the message, which fails unless the
// claimed lengths match the content.
func Unmarshal(body []byte, v any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(body)).Skip(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return msgpack.Unmarshal(body, v)
}
