package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// slowUnits completes each unit after 2 ms.
type slowUnits struct{}

func (slowUnits) Execute(ctx context.Context, _ *unit.Unit, sink unit.Sink) unit.Result {
	time.Sleep(2 * time.Millisecond)
	return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I', Err: sink.Write(ctx, appendCommandComplete(nil, "SELECT 0"))}
}

func (slowUnits) Rollback(unit.TxRef) {}

// startServer starts a server whose units e runs, and returns a function that connects a caller.
func startServer(t *testing.T, e unit.Executor) (*Server, func() *pgconn.PgConn) {
	s := New(Options{Executor: e, Classes: func() ClassTable { return oneClass{} }, Services: anyService{}, VMName: "vm",
		DrainGrace: 200 * time.Millisecond})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	return s, func() *pgconn.PgConn {
		conn, err := pgconn.Connect(t.Context(), fmt.Sprintf("postgres://caller@%s/db?sslmode=disable", l.Addr()))
		require.NoError(t, err)
		return conn
	}
}

// sqlStateOf returns the SQLSTATE with which the server answered, or "" if it did not.
func sqlStateOf(err error) string {
	var pe *pgconn.PgError
	errors.As(err, &pe)
	if pe == nil {
		return ""
	}
	return pe.Code
}

// A request must be answered whenever it is sent during a planned stop, also when it is large and crosses with the end of
// its session.
func TestRequestsSentThroughoutADrain(t *testing.T) {
	const largeBytes = 1 << 20
	server, connect := startServer(t, slowUnits{})
	var callers sync.WaitGroup
	for i := range 40 {
		conn := connect()
		request, pause := "SELECT "+strings.Repeat("1", 1+i%4/3*largeBytes), time.Duration(i)*8*time.Millisecond
		callers.Go(func() {
			for {
				time.Sleep(pause)
				if _, err := conn.Exec(t.Context(), request).ReadAll(); err != nil {
					if sqlStateOf(err) != errkind.Draining.SQLState {
						t.Errorf("request of %d bytes with a pause of %v was not answered: %v", len(request), pause, err)
					}
					return
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(ctx) }()
	callers.Wait()
	require.NoError(t, <-drained)
}

// cancellableUnits ends each unit with an unknown outcome, half a minute after it began, or after it was cancelled and its
// owner has not answered for a second.
type cancellableUnits struct{ unit.Executor }

func (cancellableUnits) Execute(ctx context.Context, _ *unit.Unit, _ unit.Sink) unit.Result {
	select {
	case <-time.After(30 * time.Second):
	case <-ctx.Done():
		time.Sleep(unit.OutcomeWait(ctx, time.Second))
	}
	return unit.Failed(errkind.Wrap(errkind.Cancelled, ctx.Err(), "cancelled"))
}

// A request that is still in progress at the end of a planned stop must be told that its outcome is unknown, before the
// process ends.
func TestRequestInProgressAtTheEndOfADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := New(Options{Executor: cancellableUnits{}, Classes: func() ClassTable { return oneClass{} }, Services: anyService{}})
		conn := connectByPipe(t, server)
		answer := make(chan error, 1)
		go func() {
			_, err := conn.Exec(t.Context(), "INSERT").ReadAll()
			answer <- err
			_ = conn.Conn().Close()
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		require.NoError(t, server.Drain(ctx))
		synctest.Wait()
		require.Len(t, answer, 1, "the request has no answer when the drain ends")
		require.Equal(t, errkind.RequestOutcomeUnknown.SQLState, sqlStateOf(<-answer))
	})
}

// connectByPipe connects a caller without a network.
func connectByPipe(t *testing.T, s *Server) *pgconn.PgConn {
	cfg, err := pgconn.ParseConfig("postgres://caller@vm/db?sslmode=disable")
	require.NoError(t, err)
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	cfg.DialFunc = func(context.Context, string, string) (net.Conn, error) {
		serverEnd, callerEnd := net.Pipe()
		s.openConns.Add(1)
		go s.serveConn(serverEnd)
		return callerEnd, nil
	}
	conn, err := pgconn.ConnectConfig(t.Context(), cfg)
	require.NoError(t, err)
	return conn
}
