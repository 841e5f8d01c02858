package fault

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

const (
	largeRows     = 5000
	largeRowBytes = 10_000 // the result with largeRows has 50 MB
)

// TestDriver guards against a system that breaks what an unmodified driver uses of the protocol: queries, prepared
// statements, a pipelined batch, transactions with and without errors, cancel, a large result, and two sessions at a
// time. The entry VMs are of different data centres, so that units are forwarded as well.
func TestDriver(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	for _, dc := range []string{"kurume-yard", "yukuhashi-depot"} {
		vm := c.vmIn(dc)
		t.Run(dc, func(t *testing.T) {
			t.Run("prepared statement in two sessions", func(t *testing.T) { testPrepared(ctx, t, c, vm) })
			t.Run("batch", func(t *testing.T) { testBatch(ctx, t, c, vm) })
			t.Run("transaction", func(t *testing.T) { testTransaction(ctx, t, c, vm) })
			t.Run("cancel", func(t *testing.T) { testCancel(ctx, t, c, vm) })
			t.Run("large result", func(t *testing.T) { testLargeResult(ctx, t, c, vm) })
		})
	}
}

func testPrepared(ctx context.Context, t *testing.T, c *cluster, vm string) {
	first, second := c.mustConnect(vm, "order", nil), c.mustConnect(vm, "order", nil)
	for i := range 5 {
		for name, conn := range map[string]*pgx.Conn{"a": first, "b": second} {
			key := fmt.Sprintf("%s-prepared-%s-%d", vm, name, i)
			_, err := conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, $2)", key, name)
			require.NoError(t, err)
			var got string
			require.NoError(t, conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", key).Scan(&got))
			require.Equal(t, name, got)
		}
	}
}

func testBatch(ctx context.Context, t *testing.T, c *cluster, vm string) {
	const requests = 20
	conn := c.mustConnect(vm, "order", nil)
	batch := &pgx.Batch{}
	for i := range requests {
		batch.Queue(fmt.Sprintf("SELECT generate_series(1, %d)", i+1))
	}
	res := conn.SendBatch(ctx, batch)
	for i := range requests {
		rows, err := res.Query()
		require.NoError(t, err)
		got, err := pgx.CollectRows(rows, pgx.RowTo[int64])
		require.NoError(t, err)
		require.Len(t, got, i+1)
	}
	require.NoError(t, res.Close())
}

func testTransaction(ctx context.Context, t *testing.T, c *cluster, vm string) {
	conn := c.mustConnect(vm, "order", nil)
	key := vm + "-tx"
	tx, err := conn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, 'x')", key)
	require.NoError(t, err)
	require.NoError(t, tx.Rollback(ctx))
	require.ErrorIs(t, conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", key).Scan(new(string)), pgx.ErrNoRows)

	require.NoError(t, pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, 'y')", key)
		return err
	}))
	err = pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, 'z')", key)
		return err
	})
	require.Equal(t, "23505", sqlState(err), "%v", err)
	var got string
	require.NoError(t, conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", key).Scan(&got))
	require.Equal(t, "y", got)
}

func testCancel(ctx context.Context, t *testing.T, c *cluster, vm string) {
	conn := c.mustConnect(vm, "etch-jobs", nil)
	go func() {
		time.Sleep(300 * time.Millisecond)
		_ = conn.PgConn().CancelRequest(ctx)
	}()
	begin := time.Now()
	_, err := conn.Exec(ctx, "SELECT sleep_ms(20000)")
	require.Equal(t, "57014", sqlState(err), "%v", err) // codeCanceled
	require.Less(t, time.Since(begin), 10*time.Second)
	require.NoError(t, conn.QueryRow(ctx, "SELECT member_name()").Scan(new(string)), "the session does not work after a cancel")
}

func testLargeResult(ctx context.Context, t *testing.T, c *cluster, vm string) {
	conn := c.mustConnect(vm, "etch-jobs", nil)
	rows, err := conn.Query(ctx, fmt.Sprintf("SELECT repeat_rows(%d, %d)", largeRows, largeRowBytes))
	require.NoError(t, err)
	n, size := 0, 0
	for rows.Next() {
		n++
		size += len(rows.RawValues()[0])
	}
	if err := rows.Err(); err != nil && !errors.Is(err, pgx.ErrNoRows) {
		require.NoError(t, err)
	}
	require.Equal(t, largeRows, n)
	require.Equal(t, largeRows*largeRowBytes, size)
}
