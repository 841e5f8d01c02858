package datapath

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"net"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
)

var background = context.Background()

// mustExec requires that a statement succeeds.
func mustExec(t testing.TB, c *pgx.Conn, sql string) {
	_, err := c.Exec(background, sql)
	require.NoError(t, err, sql)
}

// requireRefused requires that a statement fails with the given SQLSTATE.
func requireRefused(t testing.TB, c *pgx.Conn, state, sql string) {
	_, err := c.Exec(background, sql)
	require.Equal(t, state, sqlState(t, err), sql)
}

// Guards against session parameters that are lost, sent to the member, or accepted with a wrong value.
func TestSessionParameters(t *testing.T) {
	p := newDataPath(t)
	c := p.connect(t, "sycamorehub.class", "lookups", "sycamorehub.session", "crew-7", "application_name", "app")
	require.Equal(t, "lookups", queryValue(t, c, "SHOW sycamorehub.class"))
	require.Equal(t, "crew-7", queryValue(t, c, "SHOW sycamorehub.session", pgx.QueryExecModeSimpleProtocol))
	require.Equal(t, "app", queryValue(t, c, "show application_name"))
	require.Equal(t, "x", queryValue(t, c, "select x"))
	require.True(t, p.executor.lastUnit.ConfirmPrimary, "a named session without a token must read from a confirmed primary")
	require.False(t, p.executor.lastUnit.Write)
	require.Equal(t, unit.LimitAge(time.Second), p.executor.lastUnit.MaxAge)
	requireRefused(t, c, "22023", "BEGIN READ WRITE")
	requireRefused(t, c, "22023", "select 1; BEGIN READ WRITE; INSERT")
	requireRefused(t, c, "22023", "SET default_transaction_read_only = off")
	requireRefused(t, c, "22023", "SET sycamorehub.class = 'none'")
	requireRefused(t, c, "22023", "SET sycamorehub.token = 'v1:x'")
	requireRefused(t, c, "22023", "SET sycamorehub.other = 'x'")
	requireRefused(t, c, "0A000", "SET work_mem = '1GB'")
	requireRefused(t, c, "0A000", "LISTEN x")
	requireRefused(t, c, "0A000", "COPY plates FROM STDIN")
	mustExec(t, c, "/* note */ set sycamorehub.class to orders")
	mustExec(t, c, "SET application_name = 'it''s'")
	require.Equal(t, "it's", queryValue(t, c, "SHOW application_name"))
	mustExec(t, c, "INSERT")
	require.True(t, p.executor.lastUnit.Write)
	firstToken := c.PgConn().ParameterStatus("sycamorehub.token")
	require.NotEmpty(t, firstToken)
	mustExec(t, c, "INSERT")
	require.NotEqual(t, firstToken, c.PgConn().ParameterStatus("sycamorehub.token"))
	mustExec(t, c, "SET sycamorehub.class = 'lookups'")
	mustExec(t, c, "select 1")
	require.EqualValues(t, 2, p.executor.lastUnit.Require.Position)
	require.False(t, p.executor.lastUnit.ConfirmPrimary)
	mustExec(t, c, "RESET sycamorehub.class")
	require.Equal(t, "orders", queryValue(t, c, "SHOW sycamorehub.class"))
}

// Guards against a transaction whose statements are routed by another access mode than the one that it runs in.
func TestAccessModes(t *testing.T) {
	p := newDataPath(t)
	c := p.connect(t)
	for _, sql := range []string{"SET TRANSACTION READ WRITE", "SET sycamorehub.class = 'orders'"} {
		tx, err := c.BeginTx(background, pgx.TxOptions{AccessMode: pgx.ReadOnly})
		require.NoError(t, err)
		require.False(t, p.executor.lastUnit.Write)
		mustExec(t, c, "SET LOCAL work_mem = '1MB'")
		requireRefused(t, c, "22023", sql)
		requireRefused(t, c, "25P02", "select 1") // the refused statement has aborted the transaction
		require.NoError(t, tx.Rollback(background))
	}
	mustExec(t, c, "SET default_transaction_read_only = on")
	mustExec(t, c, "select 1")
	require.False(t, p.executor.lastUnit.Write)
	mustExec(t, c, "BEGIN READ WRITE")
	require.True(t, p.executor.lastUnit.Write)
	mustExec(t, c, "COMMIT")
}

// Guards against an idempotency key that is consumed when a statement is prepared, or used for more than one unit.
func TestIdempotencyKeyIsUsedOnce(t *testing.T) {
	p := newDataPath(t)
	c := p.connect(t)
	mustExec(t, c, "SET sycamorehub.idempotency_key = 'k1'")
	tag, err := c.Exec(background, "INSERT INTO plates VALUES ($1)", "a")
	require.NoError(t, err)
	require.Equal(t, "INSERT 0 1", tag.String())
	require.Equal(t, "k1", p.executor.lastUnit.IdempotencyKey)
	mustExec(t, c, "INSERT")
	require.Empty(t, p.executor.lastUnit.IdempotencyKey)
	position := p.endpoint.position.Load()
	mustExec(t, c, "SET sycamorehub.idempotency_key = 'k1'")
	tag, err = c.Exec(background, "INSERT INTO plates VALUES ($1)", "a")
	require.NoError(t, err)
	require.Equal(t, "INSERT 0 1", tag.String())
	require.Equal(t, position, p.endpoint.position.Load())
	mustExec(t, c, "SET sycamorehub.idempotency_key = 'k2'")
	requireRefused(t, c, "22023", "BEGIN")
}

// Guards against a batch whose answers are lost or out of order.
func TestBatch(t *testing.T) {
	p := newDataPath(t)
	c := p.connect(t)
	for range 2 {
		batch := &pgx.Batch{}
		for _, v := range []string{"a", "b", "c"} {
			batch.Queue("select $1", v)
		}
		batch.Queue("INSERT INTO plates VALUES ($1)", "x")
		results := c.SendBatch(background, batch)
		for _, want := range []string{"a", "b", "c"} {
			require.Equal(t, want, queryValue(t, batchQuerier{results}, ""))
		}
		_, err := results.Exec()
		require.NoError(t, err)
		require.NoError(t, results.Close())
	}
}

// batchQuerier makes queryValue read the next answer of a batch.
type batchQuerier struct{ pgx.BatchResults }

func (b batchQuerier) QueryRow(context.Context, string, ...any) pgx.Row {
	return b.BatchResults.QueryRow()
}

// Guards against cancel requests that are lost, also those for a session of another VM, or that end more than the
// statement in progress.
func TestCancel(t *testing.T) {
	forwardedPIDs := make(chan uint32, 1)
	p := newDataPath(t, func(_ *backend.Options, o *frontend.Options) {
		o.ForwardCancel = func(pid, _ uint32) { forwardedPIDs <- pid }
	})
	c := p.connect(t)
	result := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "select sleep")
		result <- err
	}()
	require.Eventually(t, func() bool { return p.endpoint.sleeping.Load() == 1 }, longTimeout, time.Millisecond)
	require.False(t, p.server.Cancel(c.PgConn().PID(), 0), "a cancel request with a wrong secret was accepted")
	require.NoError(t, c.PgConn().CancelRequest(background))
	require.Equal(t, "57014", sqlState(t, <-result))
	require.Equal(t, "x", queryValue(t, c, "select x"))
	require.Equal(t, frontend.ProcessIDPrefix("vm1"), uint16(c.PgConn().PID()>>16))
	nc, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	otherVMPID := uint32(frontend.ProcessIDPrefix("vm2")) << 16
	request, _ := (&pgproto3.CancelRequest{ProcessID: otherVMPID, SecretKey: []byte{1, 2, 3, 4}}).Encode(nil)
	_, err = nc.Write(request)
	require.NoError(t, err)
	require.Equal(t, otherVMPID, <-forwardedPIDs)
	_ = nc.Close()
}

// Guards against a statement that goes on, or a transaction that stays open, after its caller has disconnected.
func TestCallerGone(t *testing.T) {
	p := newDataPath(t)
	nc := openRawSession(t, p.addr)
	send := func(sql string) {
		b, _ := (&pgproto3.Query{String: sql}).Encode(nil)
		_, err := nc.Write(b)
		require.NoError(t, err)
	}
	send("BEGIN")
	readUntilReady(t, nc, make([]byte, 100))
	require.Equal(t, 1, p.executor.Stats().Transactions)
	send("select sleep")
	require.Eventually(t, func() bool { return p.endpoint.sleeping.Load() == 1 }, longTimeout, time.Millisecond)
	require.NoError(t, nc.Close())
	require.Eventually(t, func() bool {
		return p.endpoint.sleeping.Load() == 0 && p.executor.Stats().Transactions == 0 && p.server.Connections() == 0
	}, longTimeout, time.Millisecond)
}

// Guards against a large answer that loses rows, or is passed on in writes that grow with the answer instead of at most
// 64 KiB each.
func TestLargeResultIsStreamed(t *testing.T) {
	p := newDataPath(t)
	c := p.connect(t)
	rows, err := c.Query(background, fmt.Sprintf("select rows %d", largeResultRows), pgx.QueryExecModeSimpleProtocol)
	require.NoError(t, err)
	received := 0
	for rows.Next() {
		received++
	}
	require.NoError(t, rows.Err())
	require.Equal(t, largeResultRows, received)
	require.LessOrEqual(t, p.executor.largestWrite.Load(), int64(64<<10))
}

// largeResultRows is a number of 1 KiB rows that exceeds what all socket buffers between member and caller can hold.
const largeResultRows = 51200

// Guards against a caller that stops reading and thereby makes the daemon hold the answer in memory, keeps a connection
// to the member, or blocks other callers. Only the socket buffers may fill, so the endpoint must not be able to write
// the whole answer.
func TestStuckCaller(t *testing.T) {
	p := newDataPath(t, func(_ *backend.Options, o *frontend.Options) { o.WriteTimeout = 500 * time.Millisecond })
	nc := openRawSession(t, p.addr)
	b, _ := (&pgproto3.Query{String: fmt.Sprintf("select rows %d", largeResultRows)}).Encode(nil)
	_, err := nc.Write(b)
	require.NoError(t, err)
	require.Equal(t, "x", queryValue(t, p.connect(t), "select x"))
	require.Eventually(t, func() bool {
		p.executor.mu.Lock()
		defer p.executor.mu.Unlock()
		return errkind.Is(p.executor.lastResult.Err, errkind.RequestOutcomeUnknown)
	}, longTimeout, time.Millisecond)
	require.Zero(t, p.endpoint.largeResults.Load())
	require.Equal(t, "x", queryValue(t, p.connect(t), "select x"))
}

// Guards against malformed input that blocks or crashes the server: in place of a startup message, and as a message
// that is longer than the limit.
func TestGarbage(t *testing.T) {
	p := newDataPath(t)
	for _, input := range [][]byte{{0, 0, 0}, {0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4}, {0, 0, 0, 100, 0, 3, 0, 0, 'u'}, []byte("GET / HTTP/1.1\r\n\r\n")} {
		nc, err := net.Dial("tcp", p.addr)
		require.NoError(t, err)
		_, err = nc.Write(input)
		require.NoError(t, err)
		if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
			require.ErrorIs(t, err, syscall.ENOTCONN, "only a connection that the server has closed already may fail here")
		}
		_ = nc.SetReadDeadline(time.Now().Add(longTimeout))
		_, _ = nc.Read(make([]byte, 1000))
		_ = nc.Close()
	}
	nc := openRawSession(t, p.addr)
	oversizedHeader := binary.BigEndian.AppendUint32([]byte{'Q'}, 17<<20)
	_, err := nc.Write(oversizedHeader)
	require.NoError(t, err)
	_ = nc.SetReadDeadline(time.Now().Add(longTimeout))
	m, err := pgproto3.NewFrontend(nc, nc).Receive()
	require.NoError(t, err)
	require.Equal(t, "08P01", m.(*pgproto3.ErrorResponse).Code)
	require.Equal(t, "x", queryValue(t, p.connect(t), "select x"))
}

// Guards against a Flush without a Sync that waits for an answer forever: it is refused. A Flush that a Sync follows at
// once is accepted.
func TestFlush(t *testing.T) {
	p := newDataPath(t)
	nc := openRawSession(t, p.addr)
	client := pgproto3.NewFrontend(nc, nc)
	client.Send(&pgproto3.Parse{Query: "select 1"})
	client.Send(&pgproto3.Flush{})
	require.NoError(t, client.Flush())
	m, err := client.Receive()
	require.NoError(t, err)
	require.Equal(t, "0A000", m.(*pgproto3.ErrorResponse).Code)
	client.Send(&pgproto3.Sync{})
	require.NoError(t, client.Flush())
	m, err = client.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.ReadyForQuery{}, m)
	client.Send(&pgproto3.Parse{Query: "select 1"})
	client.Send(&pgproto3.Flush{})
	client.Send(&pgproto3.Sync{})
	require.NoError(t, client.Flush())
	m, err = client.Receive()
	require.NoError(t, err)
	require.IsType(t, &pgproto3.ParseComplete{}, m)
}

// Guards against a graceful stop that cuts off a unit or an open transaction.
func TestDrain(t *testing.T) {
	p := newDataPath(t)
	idle, inTx := p.connect(t), p.connect(t)
	busy := p.connect(t)
	tx, err := inTx.Begin(background)
	require.NoError(t, err)
	result := make(chan error, 1)
	go func() {
		_, err := busy.Exec(background, "select sleep")
		result <- err
	}()
	require.Eventually(t, func() bool { return p.endpoint.sleeping.Load() == 1 }, longTimeout, time.Millisecond)
	drained := make(chan error, 1)
	drainCtx, endDrain := context.WithCancel(background)
	defer endDrain()
	go func() { drained <- p.server.Drain(drainCtx) }()
	require.Eventually(t, func() bool { return p.server.Connections() == 2 }, longTimeout, time.Millisecond)
	_, err = idle.Exec(background, "select 1")
	require.Equal(t, "57P01", sqlState(t, err))
	_, err = pgconn.Connect(background, "postgres://u@"+p.addr+"/db?sslmode=disable")
	require.Equal(t, "57P01", sqlState(t, err))
	_, err = tx.Exec(background, "INSERT INTO plates VALUES ($1)", "a")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(background))
	require.NoError(t, busy.PgConn().CancelRequest(background))
	require.Equal(t, "57014", sqlState(t, <-result))
	require.NoError(t, <-drained)
}

// Guards against a stop that goes on waiting for an idle transaction after its time limit.
func TestDrainLimit(t *testing.T) {
	p := newDataPath(t)
	_, err := p.connect(t).Begin(background)
	require.NoError(t, err)
	drainCtx, endDrain := context.WithCancel(background)
	endDrain()
	require.NoError(t, p.server.Drain(drainCtx))
	require.Eventually(t, func() bool { return p.executor.Stats().Transactions == 0 }, longTimeout, time.Millisecond)
}

// Guards against callers that cannot connect over TLS or run queries on such a connection.
func TestTLS(t *testing.T) {
	tlsServer := httptest.NewUnstartedServer(nil)
	tlsServer.StartTLS()
	defer tlsServer.Close()
	p := newDataPath(t, func(_ *backend.Options, o *frontend.Options) {
		o.TLS = &tls.Config{Certificates: tlsServer.TLS.Certificates}
	})
	cfg, err := pgx.ParseConfig("postgres://u@" + p.addr + "/db?sslmode=require")
	require.NoError(t, err)
	c, err := pgx.ConnectConfig(background, cfg)
	require.NoError(t, err)
	defer func() { _ = c.Close(background) }()
	require.Equal(t, "abc", queryValue(t, c, "select $1", "abc"))
	require.Equal(t, "def", queryValue(t, c, "select $1", "def"))
}
