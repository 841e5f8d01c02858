package member

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/silence"
)

// waitCounters waits until the counters of member 0 satisfy ok.
func (f *fixture) waitCounters(ok func(Counters) bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return ok(f.Members[0].Counters()) }, testLimit, time.Millisecond)
}

// TestConnectionLimit guards against connections over the limit, and against closed connections that still count.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, 1, 2, 2, ServiceOptions{})
	a, _ := f.connect(0), f.connect(0)
	_, err := pgx.Connect(f.ctx, "postgres://u@"+f.Members[0].DataAddr()+"/db?sslmode=disable")
	require.Equal(t, stateTooManyConnections, sqlState(t, err))
	require.NoError(t, a.Close(f.ctx))
	f.waitCounters(func(c Counters) bool { return c.Open == 1 })
	f.connect(0)
	c := f.Members[0].Counters()
	require.Equal(t, []uint64{2, 3, 1}, []uint64{uint64(c.Peak), c.Accepted, c.Refused})
}

// TestCancel guards against a cancel request that is ignored, hits another session, or breaks the connection.
func TestCancel(t *testing.T) {
	f := newFixture(t, 1, 1, 16, ServiceOptions{})
	running, queued := f.connect(0), f.connect(0)
	errs := [2]chan error{make(chan error, 1), make(chan error, 1)}
	start := func(i int, c *pgx.Conn) {
		go func() {
			_, err := c.Exec(f.ctx, "SELECT sleep_ms(60000)")
			errs[i] <- err
		}()
	}
	start(0, running)
	f.waitCounters(func(c Counters) bool { return c.Running == 1 })
	start(1, queued)
	f.waitCounters(func(c Counters) bool { return c.Queued == 1 })
	require.NoError(t, queued.PgConn().CancelRequest(f.ctx))
	require.Equal(t, stateQueryCancelled, sqlState(t, <-errs[1]))
	require.Equal(t, 1, f.Members[0].Counters().Running)
	require.NoError(t, running.PgConn().CancelRequest(f.ctx))
	require.Equal(t, stateQueryCancelled, sqlState(t, <-errs[0]))
	f.exec(running, "SELECT 1")
}

// TestSlots guards against more running statements than slots, and against statements that get a slot out of order.
func TestSlots(t *testing.T) {
	const waiting = 5
	f := newFixture(t, 1, 1, 16, ServiceOptions{})
	blocker := f.connect(0)
	var group sync.WaitGroup
	group.Go(func() { _, _ = blocker.Exec(f.ctx, "SELECT sleep_ms(60000)") })
	f.waitCounters(func(c Counters) bool { return c.Running == 1 })
	for i := range waiting {
		c := f.connect(0)
		key := string(rune('a' + i))
		group.Go(func() { _, _ = c.Exec(f.ctx, "INSERT INTO t (key, value) VALUES ('"+key+"', '')") })
		f.waitCounters(func(c Counters) bool { return c.Queued == i+1 })
	}
	require.NoError(t, blocker.PgConn().CancelRequest(f.ctx))
	group.Wait()
	e := f.Members[0].engine
	for i := range waiting {
		require.Equal(t, string(rune('a'+i)), e.log[i+1].Ops[0].Key)
	}
	c := f.Members[0].Counters()
	require.Equal(t, 1, c.PeakRunning)
	require.Equal(t, uint64(waiting), c.ByKind[KindInsert])
}

// TestSilentConnections guards against open connections that still answer after they were silenced, and against new
// connections that do not answer.
func TestSilentConnections(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	old := f.connect(0)
	resp, err := http.Post("http://"+f.Members[0].ControlAddr()+silence.Path, "", nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	fresh := f.connect(0)
	f.exec(fresh, "SELECT 1")
	ctx, cancel := context.WithTimeout(f.ctx, 50*time.Millisecond)
	defer cancel()
	_, err = old.Exec(ctx, "INSERT INTO t (key, value) VALUES ('k', '1')")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, "", f.value(fresh, "k"))
	require.Equal(t, 2, f.Members[0].Counters().Open, "a silent connection counts towards the limit until the client closes it")
}

// TestPortals guards against wrong answers to Describe, lost rows of a suspended portal, and messages that are handled
// between an error and the next Sync.
func TestPortals(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	conn, err := net.Dial("tcp", f.Members[0].DataAddr())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testLimit)))
	fe := pgproto3.NewFrontend(conn, conn)
	fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	fe.SendParse(&pgproto3.Parse{Name: "s", Query: "SELECT generate_series(1, $1)"})
	fe.SendDescribe(&pgproto3.Describe{ObjectType: 'S', Name: "s"})
	fe.SendBind(&pgproto3.Bind{PreparedStatement: "s", DestinationPortal: "p", Parameters: [][]byte{[]byte("3")}, ResultFormatCodes: []int16{1}})
	fe.SendDescribe(&pgproto3.Describe{ObjectType: 'P', Name: "p"})
	fe.SendExecute(&pgproto3.Execute{Portal: "p", MaxRows: 2})
	fe.SendExecute(&pgproto3.Execute{Portal: "p"})
	fe.SendSync(&pgproto3.Sync{})
	fe.SendParse(&pgproto3.Parse{Query: "nonsense"})
	fe.SendExecute(&pgproto3.Execute{})
	fe.SendSync(&pgproto3.Sync{})
	require.NoError(t, fe.Flush())

	var got []string
	for ready := 0; ready < 3; {
		msg, err := fe.Receive()
		require.NoError(t, err)
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			ready++
			got = append(got, "ready "+string(m.TxStatus))
		case *pgproto3.ParameterDescription:
			require.Equal(t, []uint32{oidInt8}, m.ParameterOIDs)
		case *pgproto3.RowDescription:
			require.Equal(t, uint32(oidInt8), m.Fields[0].DataTypeOID)
			got = append(got, "format "+string(rune('0'+m.Fields[0].Format)))
		case *pgproto3.DataRow:
			got = append(got, string(rune('0'+m.Values[0][7])))
		case *pgproto3.PortalSuspended:
			got = append(got, "suspended")
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			got = append(got, m.Code)
		}
	}
	require.Equal(t, []string{"ready I", "format 0", "format 1", "1", "2", "suspended", "3", "SELECT 3", "ready I", stateSyntaxError, "ready I"}, got)
}
