package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting bounds how deeply the values of a message are nested. No message of a daemon has more than eight levels.
const maxNesting = 32

// Unmarshal decodes body, a message that msgpack.Marshal encoded, into v. It fails if the claimed lengths do not match the
// content or if the message is nested too deeply: the msgpack library would at once allocate a slice of any length that a
// message claims, and decodes unknown fields by recursion without a limit.
func Unmarshal(body []byte, v any) error {
	if err := skipValue(msgpack.NewDecoder(bytes.NewReader(body)), maxNesting); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return msgpack.Unmarshal(body, v)
}

// checkNesting returns an error if body, a sequence of values, is malformed or nested too deeply.
func checkNesting(body []byte) error {
	r := bytes.NewReader(body)
	d := msgpack.NewDecoder(r)
	for r.Len() > 0 {
		if err := skipValue(d, maxNesting); err != nil {
			return err
		}
	}
	return nil
}

// skipValue passes over one value that has at most the given number of levels.
func skipValue(d *msgpack.Decoder, levels int) error {
	if levels == 0 {
		return fmt.Errorf("message is nested more than %d levels deep", maxNesting)
	}
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	values := 0
	switch {
	case isArray(code):
		values, err = d.DecodeArrayLen()
	case isMap(code):
		values, err = d.DecodeMapLen()
		values *= 2 // keys and values
	default:
		return d.Skip()
	}
	for ; err == nil && values > 0; values-- {
		err = skipValue(d, levels-1)
	}
	return err
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}
