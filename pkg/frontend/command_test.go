package frontend

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A command that leaves a transaction open, such as ROLLBACK TO, must not be taken for the end of an aborted
// transaction.
func TestTransactionEnd(t *testing.T) {
	for text, ends := range map[string]bool{
		"COMMIT": true, "end;": true, "rollback work": true, "ABORT TRANSACTION ;": true, "/* x */ COMMIT -- y": true,
		"ROLLBACK TO SAVEPOINT a": false, "rollback transaction to a": false, "COMMIT AND CHAIN": false,
		"COMMIT PREPARED 'a'": false, "ROLLBACK; SELECT 1": false,
	} {
		cmd := classify([]byte(text))
		require.Equal(t, kindTransactionEnd, cmd.kind, text)
		require.Equal(t, ends, cmd.name == "" && !cmd.moreFollows, text)
	}
}
