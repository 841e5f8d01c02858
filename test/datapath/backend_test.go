package datapath

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// memorySink keeps the answer's message types and bytes.
type memorySink struct{ b []byte }

func (s *memorySink) Write(_ context.Context, b []byte) error {
	s.b = append(s.b, b...)
	return nil
}

func newPool(t *testing.T, e *endpoint, change ...func(*backend.Options)) *backend.Pool {
	o := backend.Options{Member: e.member(), User: "u", Database: "db", Log: quiet(), CancelGrace: 100 * time.Millisecond}
	for _, f := range change {
		f(&o)
	}
	p := backend.NewPool(o)
	t.Cleanup(p.Close)
	return p
}

func simple(sql string, write bool) *unit.Unit {
	b, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return &unit.Unit{Write: write, Messages: b}
}

func runFor(p *backend.Pool, d time.Duration, u *unit.Unit) (unit.Result, []byte) {
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	var s memorySink
	return p.Run(ctx, u, &s), s.b
}

const ample = 10 * time.Second

// Guards against outcomes that claim "not run" for a write that may have run, or stream a refused write.
func TestOutcomes(t *testing.T) {
	e := newEndpoint(t)
	p := newPool(t, e)
	e.readOnly.Store(true)
	res, out := runFor(p, ample, simple("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.NoPrimary))
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.False(t, res.Streamed)
	require.Empty(t, out)
	e.readOnly.Store(false)

	res, _ = runFor(p, ample, simple("INSERT", false))
	require.NoError(t, res.Err, "25006 of a read passes through")
	require.Equal(t, errkind.OutcomeDone, res.Outcome)

	e.dropInsert.Store(true)
	res, _ = runFor(p, ample, simple("INSERT", true))
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
	require.True(t, errkind.Is(res.Err, errkind.RequestOutcomeUnknown))
	res, _ = runFor(p, ample, simple("INSERT", false))
	require.True(t, errkind.Is(res.Err, errkind.ReadFailed))

	e.full.Store(true)
	res, _ = runFor(newPool(t, e), 300*time.Millisecond, simple("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.TooManyConnections), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)

	res, _ = runFor(p, ample, &unit.Unit{Tx: unit.TxRef{ID: 1}})
	require.True(t, errkind.Is(res.Err, errkind.TransactionLost))
	e.full.Store(false)
	res, _ = runFor(p, ample, simple("COPY t FROM STDIN", true))
	require.True(t, errkind.Is(res.Err, errkind.Unsupported))
	res, _ = runFor(p, ample, simple("select 1", false))
	require.NoError(t, res.Err)
}

// Guards against bytes of a write that reach the caller before, or without, its acknowledgement (P2).
func TestAcknowledgeHoldsAnswer(t *testing.T) {
	e := newEndpoint(t)
	var s memorySink
	var refuse atomic.Bool
	p := newPool(t, e, func(o *backend.Options) {
		o.WaitAcknowledged = func(_ context.Context, term platform.Term, pos platform.Position) error {
			require.Empty(t, s.b)
			require.EqualValues(t, 3, term)
			require.EqualValues(t, e.position.Load(), pos)
			if refuse.Load() {
				return errors.New("no majority")
			}
			return nil
		}
	})
	res := p.Run(context.Background(), simple("INSERT", true), &s)
	require.NoError(t, res.Err)
	require.EqualValues(t, 1, res.Position)
	require.Equal(t, byte('C'), s.b[0])
	s.b = nil
	refuse.Store(true)
	res = p.Run(context.Background(), simple("INSERT", true), &s)
	require.True(t, errkind.Is(res.Err, errkind.RequestOutcomeUnknown))
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
	require.Empty(t, s.b)
}

// Guards against work with an idempotency key that runs twice, and against an acknowledgement of the repeated unit
// below the position of the first.
func TestIdempotencyKey(t *testing.T) {
	e := newEndpoint(t)
	var acked atomic.Int64
	p := newPool(t, e, func(o *backend.Options) {
		o.WaitAcknowledged = func(_ context.Context, _ platform.Term, pos platform.Position) error {
			acked.Store(int64(pos))
			return nil
		}
	})
	keyed := func(sql, key string) *unit.Unit {
		u := simple(sql, true)
		u.IdempotencyKey = key
		return u
	}
	res, out := runFor(p, ample, keyed("INSERT a", "k'1"))
	require.NoError(t, res.Err)
	first, done := e.position.Load(), out
	require.EqualValues(t, 2, first, "key and unit")
	e.position.Add(5) // others write
	res, out = runFor(p, ample, keyed("INSERT a", "k'1"))
	require.NoError(t, res.Err)
	require.Equal(t, errkind.OutcomeDone, res.Outcome)
	require.Equal(t, done, out)
	require.EqualValues(t, first+5, acked.Load())
	require.EqualValues(t, first+5, e.position.Load(), "nothing ran")

	_, first5 := runFor(p, ample, keyed("INSERT five rows", "k3"))
	_, out = runFor(p, ample, keyed("INSERT five rows", "k3"))
	require.Equal(t, first5, out)
	require.Contains(t, string(out), "INSERT 0 5")

	res, out = runFor(p, ample, keyed("fail", "k2"))
	require.NoError(t, res.Err)
	require.Equal(t, byte('E'), out[0])
	res, _ = runFor(p, ample, keyed("INSERT a", "k2"))
	require.NoError(t, res.Err, "a failed unit does not use up its key")
}

// Guards against a connection that goes silent and blocks its pool although fresh connections work (D9).
func TestSilentConnectionIsReplaced(t *testing.T) {
	e := newEndpoint(t)
	p := newPool(t, e, func(o *backend.Options) { o.MaxConnections = 1 })
	res, _ := runFor(p, ample, simple("select 1", false))
	require.NoError(t, res.Err)
	e.silence()
	res, _ = runFor(p, 50*time.Millisecond, simple("select 1", false))
	require.True(t, errkind.Is(res.Err, errkind.ReadFailed))
	res, _ = runFor(p, ample, simple("select 1", false))
	require.NoError(t, res.Err)
}

// Guards against a probe connection that is opened after the others went silent and answers for them: a unit on one of
// those then gets no answer until its deadline.
func TestProbeIsOlderThanTheUnitsConnection(t *testing.T) {
	e := newEndpoint(t)
	var dials atomic.Int64
	silent := make(chan struct{})
	p := newPool(t, e, func(o *backend.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				<-silent
			}
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	})
	res, _ := runFor(p, ample, simple("select 1", false))
	require.NoError(t, res.Err)
	e.silence()
	close(silent)
	require.Eventually(t, func() bool { return e.dials.Load() >= 2 }, ample, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // until the startup of the probe connection is over
	begin := time.Now()
	res, _ = runFor(p, ample, simple("select 1", false))
	require.NoError(t, res.Err)
	require.Less(t, time.Since(begin), ample/2)
}

// Guards against a unit that runs before its pool has a probe connection, also in a pool that closed it because another
// VM owns the member: the unit gets no answer until its deadline when its connection goes silent.
func TestFirstUnitHasProbe(t *testing.T) {
	e := newEndpoint(t)
	p := newPool(t, e, func(o *backend.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			time.Sleep(25 * time.Millisecond) // a new connection of Kasica
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	})
	for _, owned := range []bool{true, false} {
		p.SetOwned(owned)
		if !owned {
			require.Eventually(t, func() bool { return p.Stats().Open == 0 }, ample, time.Millisecond)
		}
		done, before := make(chan unit.Result, 1), e.running.Load()
		begin := time.Now()
		go func() {
			res, _ := runFor(p, 2*ample, simple("SELECT sleep", false))
			done <- res
		}()
		require.Eventually(t, func() bool { return e.running.Load() > before }, ample, time.Millisecond)
		e.silence()
		require.True(t, errkind.Is((<-done).Err, errkind.ReadFailed))
		require.Less(t, time.Since(begin), ample, "owned: %v", owned)
	}
}

// Guards against a silence that hits the first unit's connection and the probe connection while that one is opened: the
// next attempt to open one then answers for the unit's connection.
func TestSilenceWhileProbeOpens(t *testing.T) {
	e := newEndpoint(t)
	quiet, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = quiet.Close() }()
	var dials atomic.Int64
	p := newPool(t, e, func(o *backend.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if dials.Add(1) == 2 {
				e.silence()
				addr = quiet.Addr().String()
			}
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	})
	begin := time.Now()
	res, _ := runFor(p, ample, simple("select 1", false))
	require.True(t, errkind.Is(res.Err, errkind.ReadFailed), "%v", res.Err)
	require.Less(t, time.Since(begin), ample/2)
}

// Guards against a unit that is sent although its owner may no longer send it once its connection is open, and against
// the loss of that connection.
func TestUnitIsAdmittedAfterItsConnection(t *testing.T) {
	e := newEndpoint(t)
	var refuse atomic.Bool
	p := newPool(t, e, func(o *backend.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			refuse.Store(true)
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
		o.Admit = func(*unit.Unit) error {
			if refuse.Load() {
				return errkind.New(errkind.NoMember, "paused")
			}
			return nil
		}
	})
	res, out := runFor(p, ample, simple("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.NoMember), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.Empty(t, out)
	require.Zero(t, e.position.Load(), "the write ran")
	dials := p.Stats().Dials
	refuse.Store(false)
	res, _ = runFor(p, ample, simple("INSERT", true))
	require.NoError(t, res.Err)
	require.Equal(t, dials, p.Stats().Dials)
}

// Guards against units that wait until their deadline for a connection that the member's new owner holds.
func TestPoolOfMovedMemberRefuses(t *testing.T) {
	e := newEndpoint(t)
	p := newPool(t, e)
	p.SetOwned(false)
	e.full.Store(true)
	begin := time.Now()
	res, _ := runFor(p, ample, simple("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.NoMember), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.Less(t, time.Since(begin), ample/2)
}

// Guards against a connection whose prepared statements grow without bound.
func TestStatementsAreBounded(t *testing.T) {
	e := newEndpoint(t)
	p := newPool(t, e, func(o *backend.Options) { o.MaxStatements = 4; o.MaxConnections = 1 })
	for i := range 40 {
		name := fmt.Sprintf("s%d", i%10)
		parse, _ := (&pgproto3.Parse{Name: name, Query: "select " + name}).Encode(nil)
		msgs, _ := (&pgproto3.Bind{PreparedStatement: name}).Encode(nil)
		msgs, _ = (&pgproto3.Execute{}).Encode(msgs)
		msgs, _ = (&pgproto3.Sync{}).Encode(msgs)
		res, out := runFor(p, ample, &unit.Unit{Messages: msgs, Statements: []unit.Statement{{Name: name, Parse: parse}}})
		require.NoError(t, res.Err)
		require.Equal(t, byte('2'), out[0], "injected answers are swallowed")
		require.LessOrEqual(t, e.open.Load(), int64(5))
	}
	// A Parse of a statement that the connection has is preceded by a Close.
	msgs, _ := (&pgproto3.Parse{Name: "s9", Query: "select other"}).Encode(nil)
	msgs, _ = (&pgproto3.Sync{}).Encode(msgs)
	res, out := runFor(p, ample, &unit.Unit{Messages: msgs})
	require.NoError(t, res.Err)
	require.Equal(t, []byte{'1', 0, 0, 0, 4}, out)
}

// Guards against a cancelled statement that keeps running at the member, and against reuse of its connection.
func TestCancelledContext(t *testing.T) {
	e := newEndpoint(t)
	p := newPool(t, e)
	res, out := runFor(p, 20*time.Millisecond, simple("select sleep", false))
	require.NoError(t, res.Err)
	require.Equal(t, byte('E'), out[len(rowHeader())])
	require.Zero(t, e.running.Load())
	require.Zero(t, p.Stats().Idle)

	res, _ = runFor(p, ample, simple("select 1", false))
	require.NoError(t, res.Err)
	e.silence()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	var s memorySink
	res = p.Run(ctx, simple("select 1", false), &s)
	require.True(t, errkind.Is(res.Err, errkind.Cancelled), "the member's answer to the cancel request is lost: %v", res.Err)
}

func rowHeader() []byte {
	b, _ := rowDescription().Encode(nil)
	return b
}
