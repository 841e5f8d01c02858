package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Pack compresses a document for a peer. Documents repeat themselves: those of hundreds of routes shrink to about a tenth, which
// decides how fast a fleet starts over the links of small VMs.
func Pack(document []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(document); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unpack reverses Pack. A document of more than limit bytes is an error, and no more than that is kept in memory.
func Unpack(packed []byte, limit int) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(document) > limit {
		return nil, fmt.Errorf("%w: document of more than %d bytes", ErrTooLarge, limit)
	}
	return document, nil
}
