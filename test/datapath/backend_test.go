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

// memorySink collects the bytes of an answer.
type memorySink struct{ answer []byte }

func (s *memorySink) Write(_ context.Context, b []byte) error {
	s.answer = append(s.answer, b...)
	return nil
}

// newPool returns a pool for the endpoint, after modify has changed its options.
func newPool(t *testing.T, e *fakeEndpoint, modify ...func(*backend.Options)) *backend.Pool {
	o := backend.Options{Member: e.member(), User: "u", Database: "db", Log: discardLogger(), CancelGrace: 100 * time.Millisecond}
	for _, m := range modify {
		m(&o)
	}
	p := backend.NewPool(o)
	t.Cleanup(p.Close)
	return p
}

// simpleUnit returns a unit of one simple query.
func simpleUnit(sql string, write bool) *unit.Unit {
	b, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return &unit.Unit{Write: write, Messages: b}
}

// runWithin runs a unit with a deadline and returns its result and the answer.
func runWithin(p *backend.Pool, timeout time.Duration, u *unit.Unit) (unit.Result, []byte) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	var sink memorySink
	return p.Run(ctx, u, &sink), sink.answer
}

// longTimeout is a deadline that is reached only when something waits for an event that never comes.
const longTimeout = 10 * time.Second

// Guards against a write that is reported as not run although it may have run, and against a refused write whose answer
// is streamed to the caller.
func TestOutcomes(t *testing.T) {
	e := newFakeEndpoint(t)
	p := newPool(t, e)
	e.readOnly.Store(true)
	res, answer := runWithin(p, longTimeout, simpleUnit("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.NoPrimary))
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.False(t, res.Streamed)
	require.Empty(t, answer)
	e.readOnly.Store(false)

	res, _ = runWithin(p, longTimeout, simpleUnit("INSERT", false))
	require.NoError(t, res.Err, "the member's error 25006 for a read is part of the answer")
	require.Equal(t, errkind.OutcomeDone, res.Outcome)

	e.closeOnInsert.Store(true)
	res, _ = runWithin(p, longTimeout, simpleUnit("INSERT", true))
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
	require.True(t, errkind.Is(res.Err, errkind.RequestOutcomeUnknown))
	res, _ = runWithin(p, longTimeout, simpleUnit("INSERT", false))
	require.True(t, errkind.Is(res.Err, errkind.ReadFailed))

	e.atConnectionLimit.Store(true)
	res, _ = runWithin(newPool(t, e), 300*time.Millisecond, simpleUnit("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.TooManyConnections), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)

	res, _ = runWithin(p, longTimeout, &unit.Unit{Tx: unit.TxRef{ID: 1}})
	require.True(t, errkind.Is(res.Err, errkind.TransactionLost))
	e.atConnectionLimit.Store(false)
	res, _ = runWithin(p, longTimeout, simpleUnit("COPY t FROM STDIN", true))
	require.True(t, errkind.Is(res.Err, errkind.Unsupported))
	res, _ = runWithin(p, longTimeout, simpleUnit("select 1", false))
	require.NoError(t, res.Err)
}

// Guards against bytes of a write's answer that reach the caller before, or without, its acknowledgement: the caller
// would take a write for done that can still be lost with the primary.
func TestAcknowledgeHoldsAnswer(t *testing.T) {
	e := newFakeEndpoint(t)
	var sink memorySink
	var refuse atomic.Bool
	p := newPool(t, e, func(o *backend.Options) {
		o.WaitAcknowledged = func(_ context.Context, term platform.Term, pos platform.Position) error {
			require.Empty(t, sink.answer)
			require.EqualValues(t, 3, term)
			require.EqualValues(t, e.position.Load(), pos)
			if refuse.Load() {
				return errors.New("no majority has the write")
			}
			return nil
		}
	})
	res := p.Run(context.Background(), simpleUnit("INSERT", true), &sink)
	require.NoError(t, res.Err)
	require.EqualValues(t, 1, res.Position)
	require.Equal(t, byte('C'), sink.answer[0])
	sink.answer = nil
	refuse.Store(true)
	res = p.Run(context.Background(), simpleUnit("INSERT", true), &sink)
	require.True(t, errkind.Is(res.Err, errkind.RequestOutcomeUnknown))
	require.Equal(t, errkind.OutcomeUnknown, res.Outcome)
	require.Empty(t, sink.answer)
}

// Guards against a unit with an idempotency key that runs twice, and against a repeated unit that waits for the
// acknowledgement of a position below that of its first run.
func TestIdempotencyKey(t *testing.T) {
	e := newFakeEndpoint(t)
	var acknowledged atomic.Int64
	p := newPool(t, e, func(o *backend.Options) {
		o.WaitAcknowledged = func(_ context.Context, _ platform.Term, pos platform.Position) error {
			acknowledged.Store(int64(pos))
			return nil
		}
	})
	keyedUnit := func(sql, key string) *unit.Unit {
		u := simpleUnit(sql, true)
		u.IdempotencyKey = key
		return u
	}
	res, answer := runWithin(p, longTimeout, keyedUnit("INSERT a", "k'1"))
	require.NoError(t, res.Err)
	firstPosition, firstAnswer := e.position.Load(), answer
	require.EqualValues(t, 2, firstPosition, "the key and the unit are one write each")
	e.position.Add(5) // writes of other callers
	res, answer = runWithin(p, longTimeout, keyedUnit("INSERT a", "k'1"))
	require.NoError(t, res.Err)
	require.Equal(t, errkind.OutcomeDone, res.Outcome)
	require.Equal(t, firstAnswer, answer)
	require.EqualValues(t, firstPosition+5, acknowledged.Load())
	require.EqualValues(t, firstPosition+5, e.position.Load(), "the repeated unit ran again")

	_, fiveRowsAnswer := runWithin(p, longTimeout, keyedUnit("INSERT five rows", "k3"))
	_, answer = runWithin(p, longTimeout, keyedUnit("INSERT five rows", "k3"))
	require.Equal(t, fiveRowsAnswer, answer)
	require.Contains(t, string(answer), "INSERT 0 5")

	res, answer = runWithin(p, longTimeout, keyedUnit("fail", "k2"))
	require.NoError(t, res.Err)
	require.Equal(t, byte('E'), answer[0])
	res, _ = runWithin(p, longTimeout, keyedUnit("INSERT a", "k2"))
	require.NoError(t, res.Err, "a unit that failed used up its key")
}

// Guards against a connection that goes silent and blocks its pool although new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	e := newFakeEndpoint(t)
	p := newPool(t, e, func(o *backend.Options) { o.MaxConnections = 1 })
	res, _ := runWithin(p, longTimeout, simpleUnit("select 1", false))
	require.NoError(t, res.Err)
	e.silenceConnections()
	res, _ = runWithin(p, 50*time.Millisecond, simpleUnit("select 1", false))
	require.True(t, errkind.Is(res.Err, errkind.ReadFailed))
	res, _ = runWithin(p, longTimeout, simpleUnit("select 1", false))
	require.NoError(t, res.Err)
}

// Guards against a probe connection that is opened only after the other connections went silent. Its answers hide their
// silence, and a unit on one of them waits until its deadline.
func TestProbeIsOlderThanTheUnitsConnection(t *testing.T) {
	e := newFakeEndpoint(t)
	var dials atomic.Int64
	silenced := make(chan struct{})
	p := newPool(t, e, func(o *backend.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				<-silenced
			}
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	})
	res, _ := runWithin(p, longTimeout, simpleUnit("select 1", false))
	require.NoError(t, res.Err)
	e.silenceConnections()
	close(silenced)
	require.Eventually(t, func() bool { return e.dials.Load() >= 2 }, longTimeout, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // lets the startup of the probe connection finish
	begin := time.Now()
	res, _ = runWithin(p, longTimeout, simpleUnit("select 1", false))
	require.NoError(t, res.Err)
	require.Less(t, time.Since(begin), longTimeout/2)
}

// Guards against a unit that runs before its pool has a probe connection, also in a pool that closed its own because
// another VM owns the member. When the connection of such a unit goes silent, the unit waits until its deadline.
func TestFirstUnitHasProbe(t *testing.T) {
	e := newFakeEndpoint(t)
	p := newPool(t, e, func(o *backend.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			time.Sleep(25 * time.Millisecond) // what a new connection takes in the installation Kasica
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	})
	for _, owned := range []bool{true, false} {
		p.SetOwned(owned)
		if !owned {
			require.Eventually(t, func() bool { return p.Stats().Open == 0 }, longTimeout, time.Millisecond)
		}
		done, before := make(chan unit.Result, 1), e.sleeping.Load()
		begin := time.Now()
		go func() {
			res, _ := runWithin(p, 2*longTimeout, simpleUnit("SELECT sleep", false))
			done <- res
		}()
		require.Eventually(t, func() bool { return e.sleeping.Load() > before }, longTimeout, time.Millisecond)
		e.silenceConnections()
		require.True(t, errkind.Is((<-done).Err, errkind.ReadFailed))
		require.Less(t, time.Since(begin), longTimeout, "owned: %v", owned)
	}
}

// Guards against a silence that hits the connection of the first unit, and the probe connection while it is being
// opened. The answers of a probe connection that a later attempt opens hide the silence of the unit's connection.
func TestSilenceWhileProbeOpens(t *testing.T) {
	e := newFakeEndpoint(t)
	silentListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silentListener.Close() }()
	var dials atomic.Int64
	p := newPool(t, e, func(o *backend.Options) {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if dials.Add(1) == 2 {
				e.silenceConnections()
				addr = silentListener.Addr().String()
			}
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	})
	begin := time.Now()
	res, _ := runWithin(p, longTimeout, simpleUnit("select 1", false))
	require.True(t, errkind.Is(res.Err, errkind.ReadFailed), "%v", res.Err)
	require.Less(t, time.Since(begin), longTimeout/2)
}

// Guards against a unit that is sent although the time that its connection took to open has made the unit inadmissible,
// and against the loss of that connection.
func TestUnitIsAdmittedAfterItsConnection(t *testing.T) {
	e := newFakeEndpoint(t)
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
	res, answer := runWithin(p, longTimeout, simpleUnit("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.NoMember), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.Empty(t, answer)
	require.Zero(t, e.position.Load(), "the write ran")
	dials := p.Stats().Dials
	refuse.Store(false)
	res, _ = runWithin(p, longTimeout, simpleUnit("INSERT", true))
	require.NoError(t, res.Err)
	require.Equal(t, dials, p.Stats().Dials)
}

// Guards against units that wait until their deadline for a connection while the member's new owner holds all that the
// member allows.
func TestPoolOfMovedMemberRefuses(t *testing.T) {
	e := newFakeEndpoint(t)
	p := newPool(t, e)
	p.SetOwned(false)
	e.atConnectionLimit.Store(true)
	begin := time.Now()
	res, _ := runWithin(p, longTimeout, simpleUnit("INSERT", true))
	require.True(t, errkind.Is(res.Err, errkind.NoMember), "%v", res.Err)
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.Less(t, time.Since(begin), longTimeout/2)
}

// Guards against a connection on which the number of prepared statements grows without bound.
func TestStatementsAreBounded(t *testing.T) {
	e := newFakeEndpoint(t)
	p := newPool(t, e, func(o *backend.Options) { o.MaxStatements = 4; o.MaxConnections = 1 })
	for i := range 40 {
		name := fmt.Sprintf("s%d", i%10)
		parse, _ := (&pgproto3.Parse{Name: name, Query: "select " + name}).Encode(nil)
		messages, _ := (&pgproto3.Bind{PreparedStatement: name}).Encode(nil)
		messages, _ = (&pgproto3.Execute{}).Encode(messages)
		messages, _ = (&pgproto3.Sync{}).Encode(messages)
		res, answer := runWithin(p, longTimeout, &unit.Unit{Messages: messages, Statements: []unit.Statement{{Name: name, Parse: parse}}})
		require.NoError(t, res.Err)
		require.Equal(t, byte('2'), answer[0], "the answer to a message that the pool inserted reaches the caller")
		require.LessOrEqual(t, e.openStatements.Load(), int64(5))
	}
	// The pool sends a Close before a Parse whose name is in use on the connection.
	messages, _ := (&pgproto3.Parse{Name: "s9", Query: "select other"}).Encode(nil)
	messages, _ = (&pgproto3.Sync{}).Encode(messages)
	res, answer := runWithin(p, longTimeout, &unit.Unit{Messages: messages})
	require.NoError(t, res.Err)
	require.Equal(t, []byte{'1', 0, 0, 0, 4}, answer)
}

// Guards against a cancelled statement that goes on running at the member, and against reuse of its connection.
func TestCancelledContext(t *testing.T) {
	e := newFakeEndpoint(t)
	p := newPool(t, e)
	res, answer := runWithin(p, 20*time.Millisecond, simpleUnit("select sleep", false))
	require.NoError(t, res.Err)
	require.Equal(t, byte('E'), answer[len(encodedRowDescription())])
	require.Zero(t, e.sleeping.Load())
	require.Zero(t, p.Stats().Idle)

	res, _ = runWithin(p, longTimeout, simpleUnit("select 1", false))
	require.NoError(t, res.Err)
	e.silenceConnections()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	var sink memorySink
	res = p.Run(ctx, simpleUnit("select 1", false), &sink)
	require.True(t, errkind.Is(res.Err, errkind.Cancelled), "no answer to the cancel request from a silent member: %v", res.Err)
}

// encodedRowDescription returns the message that precedes the rows of an answer.
func encodedRowDescription() []byte {
	b, _ := rowDescription().Encode(nil)
	return b
}
