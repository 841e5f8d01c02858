package frontend

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// scriptedConn is a connection that delivers fixed bytes in small pieces.
type scriptedConn struct {
	in  bytes.Reader
	out bytes.Buffer
}

func (s *scriptedConn) Read(b []byte) (int, error)       { return s.in.Read(b[:min(len(b), 100)]) }
func (s *scriptedConn) Write(b []byte) (int, error)      { return s.out.Write(b) }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) LocalAddr() net.Addr              { return nil }
func (s *scriptedConn) RemoteAddr() net.Addr             { return nil }
func (s *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// unitChecker is an executor that fails the test on a unit that is not whole messages ending with Query or Sync.
type unitChecker struct{ t *testing.T }

func (c unitChecker) Execute(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
	last := byte(0)
	for b := u.Messages; len(b) > 0; {
		if len(b) < headerBytes || int(binary.BigEndian.Uint32(b[1:]))+1 > len(b) {
			c.t.Fatalf("unit holds a partial message: %q", u.Messages)
		}
		last = b[0]
		b = b[binary.BigEndian.Uint32(b[1:])+1:]
	}
	if last != 'Q' && last != 'S' {
		c.t.Fatalf("last message of the unit has type %q, not Query or Sync", last)
	}
	for _, part := range []string{"C\x00\x00", "\x00\x06x\x00"} {
		_ = sink.Write(ctx, []byte(part)) // a message may be split on a link between daemons
	}
	return unit.Result{Outcome: errkind.OutcomeDone, TxStatus: 'I', Term: 1, Position: platform.Position(len(u.Messages))}
}

func (unitChecker) Rollback(unit.TxRef) {}

type oneClass struct{}

func (oneClass) Default() Class                { return Class{Name: "c", Write: true} }
func (oneClass) Lookup(n string) (Class, bool) { return Class{Name: n, Write: n == "w"}, n != "" }

type anyService struct{}

func (anyService) Resolve(string, string) (string, error) { return "svc", nil }

// Input of a caller must not crash the daemon and must not reach the executor as a partial unit. Answers must be whole
// messages.
func FuzzSession(f *testing.F) {
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}}).Encode(nil)
	add := func(msgs ...pgproto3.FrontendMessage) {
		b := append([]byte(nil), startup...)
		for _, m := range msgs {
			b, _ = m.Encode(b)
		}
		f.Add(b)
	}
	add(&pgproto3.Query{String: "select 1"}, &pgproto3.Query{String: "SET sycamorehub.class = 'r'"}, &pgproto3.Query{String: "select 1;begin read write"})
	add(&pgproto3.Parse{Name: "a", Query: "select $1"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{{1}}}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{})
	add(&pgproto3.Parse{Query: "show sycamorehub.class"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{})
	add(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.Terminate{})
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2})
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, in []byte) {
		srv := New(Options{Executor: unitChecker{t}, Classes: func() ClassTable { return oneClass{} }, Services: anyService{}, Log: log})
		nc := &scriptedConn{}
		nc.in.Reset(in)
		srv.openConns.Add(1)
		srv.serveConn(nc)
		if srv.Connections() != 0 || srv.openConns.Load() != 0 || len(srv.sharedStatements.byName) != 0 {
			t.Fatal("the ended session still counts as open or holds statements")
		}
		checkWholeMessages(t, nc.out.Bytes())
	})
}

// checkWholeMessages fails the test if an answer ends within a message.
func checkWholeMessages(t *testing.T, b []byte) {
	for len(b) > 0 && b[0] == 'N' && (len(b) < headerBytes || b[1] != 0) {
		b = b[1:] // encryption refused
	}
	for len(b) > 0 {
		if len(b) < headerBytes || int(binary.BigEndian.Uint32(b[1:]))+1 > len(b) {
			t.Fatalf("answer ends within a message: %q", b)
		}
		b = b[binary.BigEndian.Uint32(b[1:])+1:]
	}
}
