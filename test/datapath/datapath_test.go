package datapath

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// poolExecutor runs the frontend's units on one pool and records the last unit with its result.
type poolExecutor struct {
	*backend.Pool
	mu         sync.Mutex
	lastUnit   unit.Unit   // guarded by mu; without its messages and statements
	lastResult unit.Result // guarded by mu

	largestWrite atomic.Int64 // bytes of the largest single write of an answer to its sink
}

func (x *poolExecutor) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	res := x.Run(ctx, u, measuringSink{x, sink})
	x.mu.Lock()
	x.lastUnit, x.lastResult = *u, res
	x.lastUnit.Messages, x.lastUnit.Statements = nil, nil
	x.mu.Unlock()
	return res
}

// measuringSink records the size of the largest write of an answer.
type measuringSink struct {
	executor *poolExecutor
	sink     unit.Sink
}

func (m measuringSink) Write(ctx context.Context, b []byte) error {
	if n := int64(len(b)); n > m.executor.largestWrite.Load() {
		m.executor.largestWrite.Store(n)
	}
	return m.sink.Write(ctx, b)
}

func (x *poolExecutor) Rollback(tx unit.TxRef) { x.Pool.Rollback(tx.ID) }

// testClasses is a class table with the writing class "orders", which is the default, and the reading class "lookups".
type testClasses struct{}

func (testClasses) Default() frontend.Class {
	return frontend.Class{Name: "orders", Rank: unit.RankUrgent, Write: true, Target: time.Second}
}

func (c testClasses) Lookup(name string) (frontend.Class, bool) {
	switch name {
	case "orders":
		return c.Default(), true
	case "lookups":
		return frontend.Class{Name: name, Rank: unit.RankRoutine, Target: time.Second, MaxAge: unit.LimitAge(time.Second), Repeatable: true}, true
	}
	return frontend.Class{}, false
}

// testServices resolves the database "db" to the service "svc" and refuses all others.
type testServices struct{}

func (testServices) Resolve(database, key string) (string, error) {
	if database != "db" {
		return "", errkind.New(errkind.UnknownService, "no database %q", database)
	}
	return "svc", nil
}

// dataPath is a frontend whose units run on a fake endpoint.
type dataPath struct {
	endpoint *fakeEndpoint
	executor *poolExecutor
	server   *frontend.Server
	addr     string
}

// discardLogger returns a logger that writes nothing.
func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newDataPath starts a data path, after modify has changed the options of its backend and frontend.
func newDataPath(t testing.TB, modify ...func(*backend.Options, *frontend.Options)) *dataPath {
	endpoint := newFakeEndpoint(t)
	backendOptions := backend.Options{Member: endpoint.member(), User: "u", Database: "db", Log: discardLogger(), CancelGrace: time.Second}
	frontendOptions := frontend.Options{
		Classes: func() frontend.ClassTable { return testClasses{} }, Services: testServices{},
		VMName: "vm1", Log: discardLogger(), DrainGrace: 10 * time.Millisecond,
	}
	for _, m := range modify {
		m(&backendOptions, &frontendOptions)
	}
	executor := &poolExecutor{Pool: backend.NewPool(backendOptions)}
	t.Cleanup(executor.Close)
	frontendOptions.Executor = executor
	server := frontend.New(frontendOptions)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = server.Drain(ctx)
	})
	return &dataPath{endpoint: endpoint, executor: executor, server: server, addr: listener.Addr().String()}
}

// connect opens a session with the given startup parameters, listed as pairs of name and value.
func (p *dataPath) connect(t testing.TB, namesAndValues ...string) *pgx.Conn {
	cfg, err := pgx.ParseConfig("postgres://u@" + p.addr + "/db?sslmode=disable")
	require.NoError(t, err)
	for i := 0; i+1 < len(namesAndValues); i += 2 {
		cfg.RuntimeParams[namesAndValues[i]] = namesAndValues[i+1]
	}
	c, err := pgx.ConnectConfig(context.Background(), cfg)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// queryValue returns the one text value that a query answers.
func queryValue(t testing.TB, c interface {
	QueryRow(context.Context, string, ...any) pgx.Row
}, sql string, args ...any) string {
	var v string
	require.NoError(t, c.QueryRow(context.Background(), sql, args...).Scan(&v))
	return v
}

// Guards against simple or extended queries of a driver that fail or give wrong values, also with a value of 8 MiB.
func TestQueries(t *testing.T) {
	p := newDataPath(t)
	c := p.connect(t)
	require.Equal(t, "one", queryValue(t, c, "select one"))
	require.Equal(t, "abc", queryValue(t, c, "select $1", "abc"))
	require.Equal(t, "def", queryValue(t, c, "select $1", "def"))
	require.Equal(t, "two", queryValue(t, c, "select two", pgx.QueryExecModeSimpleProtocol))
	require.Equal(t, "ghi", queryValue(t, c, "select $1", pgx.QueryExecModeDescribeExec, "ghi"))
	require.Equal(t, "jkl", queryValue(t, c, "select $1", pgx.QueryExecModeCacheDescribe, "jkl"))
	long := strings.Repeat("x", 8<<20)
	require.Equal(t, len(long), len(queryValue(t, c, "select $1", long)))
	tag, err := c.Exec(context.Background(), "INSERT INTO plates VALUES (1)")
	require.NoError(t, err)
	require.Equal(t, "INSERT 0 1", tag.String())
}

// Guards against a prepared statement that is parsed again for a second session with the same statement, or that is
// lost when another session deallocates its own.
func TestPreparedStatementIsShared(t *testing.T) {
	p := newDataPath(t)
	a, b := p.connect(t), p.connect(t)
	require.Equal(t, "1", queryValue(t, a, "select $1", "1"))
	require.Equal(t, "2", queryValue(t, b, "select $1", "2"))
	parses := p.endpoint.parses.Load()
	require.NoError(t, a.DeallocateAll(context.Background()))
	require.Equal(t, "3", queryValue(t, b, "select $1", "3"))
	require.Equal(t, parses, p.endpoint.parses.Load())
	_, err := a.Prepare(context.Background(), "s", "syntax")
	require.Equal(t, "42601", sqlState(t, err))
	_, err = a.Prepare(context.Background(), "s", "select $1")
	require.NoError(t, err)
}

// Guards against a transaction that loses its connection to the member, or keeps it after its end.
func TestTransaction(t *testing.T) {
	p := newDataPath(t)
	ctx := context.Background()
	c := p.connect(t)
	tx, err := c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO plates VALUES ($1)", "a")
	require.NoError(t, err)
	require.Equal(t, "x", queryValue(t, p.connect(t), "select x"))
	require.Equal(t, 1, p.executor.Stats().Transactions)
	require.NoError(t, tx.Commit(ctx))
	require.Zero(t, p.executor.Stats().Transactions)
	require.NotEmpty(t, c.PgConn().ParameterStatus("sycamorehub.token"))

	tx, err = c.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "fail")
	require.Equal(t, "42601", sqlState(t, err))
	_, err = tx.Exec(ctx, "select 1")
	require.Equal(t, "25P02", sqlState(t, err))
	require.NoError(t, tx.Rollback(ctx))
	require.Zero(t, p.executor.Stats().Transactions)
}
