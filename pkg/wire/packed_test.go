package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A large document must take a small part of its bytes on the links of a fleet that starts, and a peer must not be able to
// fill memory with a small message.
func TestPackedDocuments(t *testing.T) {
	var routes strings.Builder
	for i := range 1400 {
		fmt.Fprintf(&routes, `{"database":"db%dx%d","service":"svc%d","class":"bounded-1-600ms-1.5s","timeout":"1.2s"},`, i*7919, i, i%8)
	}
	document := []byte(routes.String())
	packed, err := Pack(document)
	require.NoError(t, err)
	require.Less(t, len(packed), len(document)/5)
	got, err := Unpack(packed, len(document))
	require.NoError(t, err)
	require.Equal(t, document, got)
	_, err = Unpack(packed, len(document)-1)
	require.ErrorIs(t, err, ErrTooLarge)
	bomb, err := Pack(bytes.Repeat([]byte{' '}, 64<<20))
	require.NoError(t, err)
	require.Less(t, len(bomb), MaxFrame)
	_, err = Unpack(bomb, 256<<10)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = Unpack([]byte("no packed document"), 1<<10)
	require.ErrorIs(t, err, ErrMalformed)
}

// Requesters of earlier builds must be understood, and must not be sent what they cannot decode.
func TestConfigRequestOfEarlierBuild(t *testing.T) {
	e := NewEncoder()
	e.beginBody(2)
	e.uint(7)
	e.uint(1500)
	c, err := NewDecoder().ConfigRequest(bytes.Clone(e.buf.Bytes()))
	require.NoError(t, err)
	require.False(t, c.TakesPacked)
	require.EqualValues(t, 7, c.Have)
	body, err := NewEncoder().ConfigRequestBody(ConfigRequest{Have: 7, TakesPacked: true})
	require.NoError(t, err)
	c, err = NewDecoder().ConfigRequest(body)
	require.NoError(t, err)
	require.Equal(t, ConfigRequest{Have: 7, TakesPacked: true}, c)
}
