package frontend

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// TestWellFormed guards against malformed messages that reach a member, and against well-formed ones that are
// refused: each message is cut at every byte and made one byte longer.
func TestWellFormed(t *testing.T) {
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "select 1"},
		&pgproto3.Parse{Name: "a", Query: "select $1, $2", ParameterOIDs: []uint32{25, 0}},
		&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "a", ParameterFormatCodes: []int16{0, 1},
			Parameters: [][]byte{nil, {}, []byte("xyz")}, ResultFormatCodes: []int16{1}},
		&pgproto3.Bind{},
		&pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Close{ObjectType: 'P'},
		&pgproto3.Execute{Portal: "p", MaxRows: 3}, &pgproto3.Sync{},
	} {
		b, err := m.Encode(nil)
		require.NoError(t, err)
		typ, body := b[0], b[headerBytes:]
		require.True(t, wellFormed(typ, body), "%T", m)
		for n := range body {
			require.False(t, wellFormed(typ, body[:n]), "%T cut to %d bytes", m, n)
		}
		require.False(t, wellFormed(typ, append(body[:len(body):len(body)], 0)), "%T with an extra byte", m)
	}
	require.False(t, wellFormed('B', []byte("\x00\x00\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00")), "value length of -2")
}
