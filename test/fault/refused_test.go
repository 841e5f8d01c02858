package fault

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// TestRefusedUnitFailsTransaction guards against a transaction that is committed in part: the daemon refuses a unit in
// it after the caller, which pipelines, has already sent COMMIT. As after an error of the member, COMMIT must roll
// back, and the session goes on.
func TestRefusedUnitFailsTransaction(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	vm, err := c.VM("kurume-yard-1")
	require.NoError(t, err)
	query := func(text string) []byte {
		b, err := (&pgproto3.Query{String: text}).Encode(nil)
		require.NoError(t, err)
		return b
	}
	for name, refusedUnit := range map[string][]byte{
		"malformed query":   {'Q', 0, 0, 0, 5, 'S'},
		"function call":     {'F', 0, 0, 0, 5, 0},
		"refused parameter": query("SET sycamorehub.class = 'none'"),
		"refused setting":   query("SET work_mem = 1"),
		"no such statement": []byte("B\x00\x00\x00\x0d\x00x\x00\x00\x00\x00\x00\x00\x00S\x00\x00\x00\x04"),
	} {
		t.Run(name, func(t *testing.T) {
			key, later := "part of "+name, "after "+name
			answer, err := sendRaw(vm.CallerAddr, false,
				encodeStartup("user", "u", "database", c.service().Name, "sycamorehub.class", "order"),
				query("BEGIN"), query("INSERT INTO orders (key, value) VALUES ('"+key+"', 'x')"), refusedUnit, query("COMMIT"),
				query("INSERT INTO orders (key, value) VALUES ('"+later+"', 'x')"), []byte{'X', 0, 0, 0, 4})
			require.NoError(t, err)
			var tags, status []string
			for frontend := pgproto3.NewFrontend(bytes.NewReader(answer), nil); ; {
				m, err := frontend.Receive()
				if err != nil {
					break
				}
				switch m := m.(type) {
				case *pgproto3.CommandComplete:
					tags = append(tags, string(m.CommandTag))
				case *pgproto3.ReadyForQuery:
					status = append(status, string(m.TxStatus))
				}
			}
			require.Equal(t, []string{"BEGIN", "INSERT 0 1", "ROLLBACK", "INSERT 0 1"}, tags)
			require.Equal(t, []string{"I", "T", "T", "E", "I", "I"}, status)
			rows := c.storedKeys()
			require.False(t, rows[key], "the transaction was committed in part")
			require.True(t, rows[later])
		})
	}
}
