package member

import (
	"context"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// TestStatements guards against wrong results, types and formats in pgx's default mode and in the simple protocol.
func TestStatements(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	for name, mode := range map[string]pgx.QueryExecMode{
		"cached": pgx.QueryExecModeCacheStatement, "describe": pgx.QueryExecModeCacheDescribe,
		"exec": pgx.QueryExecModeExec, "simple": pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(name, func(t *testing.T) {
			c := f.connect(0)
			f.exec(c, "CREATE TABLE IF NOT EXISTS "+name+" (key text PRIMARY KEY, value text)", mode)
			for _, k := range []string{"b", "it's; a", "b"} {
				f.exec(c, `INSERT INTO `+name+` (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value`, mode, k, "v;"+k)
			}
			var n int64
			require.NoError(t, c.QueryRow(f.ctx, "SELECT count(*) FROM "+name, mode).Scan(&n))
			require.Equal(t, int64(2), n)
			var v string
			require.NoError(t, c.QueryRow(f.ctx, "select value from "+name+" where key = $1", mode, "it's; a").Scan(&v))
			require.Equal(t, "v;it's; a", v)
			tag, err := c.Exec(f.ctx, "DELETE FROM "+name+" WHERE key = $1", mode, "b")
			require.NoError(t, err)
			require.Equal(t, "DELETE 1", tag.String())
			rows, err := c.Query(f.ctx, "SELECT generate_series(1, $1)", mode, 70000)
			require.NoError(t, err)
			all, err := pgx.CollectRows(rows, pgx.RowTo[int64])
			require.NoError(t, err)
			require.Len(t, all, 70000)
			require.Equal(t, int64(70000), all[69999])
			_, err = c.Exec(f.ctx, "SELECT 1 FROM nowhere", mode)
			require.Equal(t, stateSyntaxError, sqlState(t, err))
			require.NoError(t, c.Ping(f.ctx))
		})
	}
}

// TestTransactions guards against a wrong transaction status, changes that are visible before COMMIT, and statements
// that run in a failed transaction.
func TestTransactions(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	a, b := f.connect(0), f.connect(0)
	f.exec(a, "BEGIN")
	f.exec(a, "INSERT INTO t (key, value) VALUES ('k', '1')")
	require.Equal(t, byte('T'), a.PgConn().TxStatus())
	require.Equal(t, "1", f.value(a, "k"))
	require.Equal(t, "", f.value(b, "k"))
	_, err := a.Exec(f.ctx, "INSERT INTO t (key, value) VALUES ('k', '2')")
	require.Equal(t, stateUniqueViolation, sqlState(t, err))
	require.Equal(t, byte('E'), a.PgConn().TxStatus())
	_, err = a.Exec(f.ctx, "SELECT 1")
	require.Equal(t, stateFailedTransaction, sqlState(t, err))
	tag, err := a.Exec(f.ctx, "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "ROLLBACK", tag.String())
	require.Equal(t, "", f.value(b, "k"))
	require.Equal(t, "1/1", a.PgConn().ParameterStatus("group_position"))

	f.exec(a, "BEGIN; INSERT INTO t (key, value) VALUES ('k', '1'); INSERT INTO t (key, value) VALUES ('l', '1'); COMMIT")
	require.Equal(t, "1/2", a.PgConn().ParameterStatus("group_position"))
	_, err = a.Exec(f.ctx, "UPDATE t SET value = '9' WHERE key = 'k'; INSERT INTO t (key, value) VALUES ('l', '9')")
	require.Equal(t, stateUniqueViolation, sqlState(t, err))
	require.Equal(t, "1", f.value(b, "k"), "the statements of one simple query are one transaction")

	batch := &pgx.Batch{}
	batch.Queue("UPDATE t SET value = $2 WHERE key = $1", "k", "9")
	batch.Queue("INSERT INTO t (key, value) VALUES ($1, $2)", "l", "9")
	err = a.SendBatch(f.ctx, batch).Close()
	require.Equal(t, stateUniqueViolation, sqlState(t, err))
	require.Equal(t, "1", f.value(b, "k"), "a pipeline up to Sync is one transaction")
}

// TestDuplicateAtCommit guards against two concurrent transactions that both commit an insert of the same key.
func TestDuplicateAtCommit(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	a, b := f.connect(0), f.connect(0)
	for _, c := range []*pgx.Conn{a, b} {
		f.exec(c, "BEGIN")
		f.exec(c, "INSERT INTO sycamorehub_request(key, tag) VALUES ($1, $2)", "id", "x")
	}
	f.exec(b, "INSERT INTO t (key, value) VALUES ('other', '1')")
	f.exec(a, "COMMIT")
	_, err := b.Exec(f.ctx, "COMMIT")
	require.Equal(t, stateUniqueViolation, sqlState(t, err))
	var pe *pgconn.PgError
	require.ErrorAs(t, err, &pe)
	require.Equal(t, "sycamorehub_request", pe.TableName)
	require.Equal(t, byte('I'), b.PgConn().TxStatus())
	require.Equal(t, "", f.value(a, "other"))
}

// TestReadOnly guards against writes in a read-only transaction or under a read-only default.
func TestReadOnly(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	c, err := pgx.Connect(f.ctx, "postgres://u@"+f.Members[0].DataAddr()+"/db?default_transaction_read_only=on")
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	const write = "INSERT INTO t (key, value) VALUES ('k', '1')"
	_, err = c.Exec(f.ctx, write)
	require.Equal(t, stateReadOnlyTransaction, sqlState(t, err))
	f.exec(c, "BEGIN READ WRITE")
	f.exec(c, write)
	f.exec(c, "ROLLBACK")
	f.exec(c, "SET default_transaction_read_only = off")
	require.Equal(t, "off", c.PgConn().ParameterStatus("default_transaction_read_only"))
	f.exec(c, "START TRANSACTION READ ONLY")
	_, err = c.Exec(f.ctx, write)
	require.Equal(t, stateReadOnlyTransaction, sqlState(t, err))
	f.exec(c, "ROLLBACK")
	f.exec(c, "BEGIN")
	f.exec(c, "SET LOCAL application_name = 'x'")
	f.exec(c, "SET default_transaction_read_only TO 'on'")
	f.exec(c, "ROLLBACK")
	var v string
	require.NoError(t, c.QueryRow(f.ctx, "SHOW default_transaction_read_only").Scan(&v))
	require.Equal(t, "off", v)
	require.Equal(t, "", c.PgConn().ParameterStatus("application_name"))
	f.exec(c, write)
}

// TestLargeResult guards against truncated or mixed-up rows in a result that exceeds the buffers.
func TestLargeResult(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	rows, err := f.connect(0).Query(f.ctx, "SELECT repeat_rows($1, $2)", 2000, 5000)
	require.NoError(t, err)
	all, err := pgx.CollectRows(rows, pgx.RowTo[string])
	require.NoError(t, err)
	require.Len(t, all, 2000)
	for _, v := range all {
		require.Len(t, v, 5000)
	}
	require.True(t, strings.HasPrefix(all[1999], "2000x"))
}
