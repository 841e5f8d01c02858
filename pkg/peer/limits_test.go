package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// While urgent work and batch traffic both wait to be sent to another region, the urgent work must be sent first.
func TestLimiterRankOrder(t *testing.T) {
	l := NewLimiter(1e-6) // so slow that nothing is granted until the test adds tokens
	l.tokens = -1
	order := make(chan unit.Rank, 4)
	for i, r := range []unit.Rank{unit.RankBatch, unit.RankRoutine, unit.RankBatch, unit.RankUrgent} {
		go func() {
			if l.wait(within(t, waitLimit), rankLevel(r), 1) == nil {
				order <- r
			}
		}()
		require.Eventually(t, func() bool { return l.Waiting() == i+1 }, waitLimit, time.Millisecond)
	}
	require.NoError(t, l.wait(within(t, waitLimit), levelControl, 100), "a heartbeat must not wait")
	for _, want := range []unit.Rank{unit.RankUrgent, unit.RankRoutine, unit.RankBatch, unit.RankBatch} {
		l.mu.Lock()
		l.tokens = 1 // refill cuts it to the burst, which is enough for one frame
		l.mu.Unlock()
		l.grantWaiting()
		require.Equal(t, want, <-order)
	}
}

// No more bytes per second than allowed may be sent to another region, and a wait must end with its context.
func TestLimiterRate(t *testing.T) {
	const rate, frame, frames = 1 << 20, 8 << 10, 40
	l := NewLimiter(rate)
	start := time.Now()
	for range frames {
		require.NoError(t, l.wait(within(t, waitLimit), levelRanks, frame))
	}
	minSeconds := (frame*(frames-1) - l.burst) / rate
	require.GreaterOrEqual(t, time.Since(start).Seconds(), minSeconds)
	l.tokens = -rate * 60
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	require.ErrorIs(t, l.wait(ctx, levelRanks, 1), context.DeadlineExceeded)
	require.Zero(t, l.Waiting())
}

// limitedConn takes left bytes and then fails.
type limitedConn struct {
	net.Conn
	left int
}

func (c *limitedConn) Write(p []byte) (int, error) {
	n := min(len(p), c.left)
	c.left -= n
	if n < len(p) {
		return n, errors.New("connection reset")
	}
	return n, nil
}

func (c *limitedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *limitedConn) Close() error                     { return nil }

// A unit whose frame was sent in full must not be reported as not run. A unit whose frame certainly was not sent in full
// must not be reported as unknown.
func TestFrameWrittenInFull(t *testing.T) {
	chunk := func(e *wire.Encoder) ([]byte, []byte, error) {
		head, err := e.Chunk(1, make([]byte, 100))
		return head, make([]byte, 100), err
	}
	size := newFrameWriter(&limitedConn{left: 1 << 20}, time.Second, func(int) {})
	length, err := size.send(false, chunk)
	require.NoError(t, err)
	w := newFrameWriter(&limitedConn{left: int(length)*2 - 1}, time.Second, func(int) {})
	first, err := w.send(false, chunk)
	require.NoError(t, err)
	second, err := w.send(false, chunk)
	require.Error(t, err)
	third, err := w.send(false, chunk)
	require.Error(t, err)
	require.Equal(t, []bool{true, false, false}, []bool{w.hasWritten(first), w.hasWritten(second), w.hasWritten(third)})
}

// The chunk of a unit may wait in the buffer for the result of the unit. Other frames must not stay there, even if their
// senders have left the flush to the sender of such a chunk.
func TestHeldFrames(t *testing.T) {
	empty := func(e *wire.Encoder) ([]byte, []byte, error) {
		head, err := e.Empty(wire.TypePing)
		return head, nil, err
	}
	w := newFrameWriter(&limitedConn{left: 1 << 20}, time.Second, func(int) {})
	for i, step := range []struct{ moreFollows, othersWait, written bool }{
		{moreFollows: true}, {moreFollows: true}, {written: true}, // the chunks of two units, then the result of one
		{othersWait: true}, {moreFollows: true, written: true},
	} {
		w.waiting.Store(map[bool]int32{true: 1}[step.othersWait])
		end, err := w.send(step.moreFollows, empty)
		require.NoError(t, err)
		require.Equal(t, step.written, w.hasWritten(end), "step %d", i)
	}
}

// A short answer and the result of its unit must be sent in one write: a second one costs another system call and another
// wake-up of the reader.
func TestShortAnswerIsOneWrite(t *testing.T) {
	owner, _, server := serve(t, newExecutor(echo))
	pool := newTestPool(t)
	writes := &server.opts.Stats.Traffic(TrafficKey{Region: owner.Region}).SentWrites
	for range 10 {
		res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: []byte("unit")}, &buffer{})
		require.NoError(t, res.Err)
	}
	// The Hello is the first write. Each write is counted only after it was sent.
	require.Eventually(t, func() bool { return writes.Load() == 11 }, waitLimit, time.Millisecond)
}

// A unit that exceeds the largest frame must end as not run and must not end the connection, which other units use.
func TestOversizedUnitIsNotRun(t *testing.T) {
	owner, _, _ := serve(t, newExecutor(echo))
	pool := newTestPool(t)
	res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Write: true, Messages: make([]byte, wire.MaxFrame)}, &buffer{})
	require.Equal(t, errkind.OutcomeNotRun, res.Outcome)
	require.True(t, errkind.Is(res.Err, errkind.Unsupported), "%v", res.Err)
	res = pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: []byte("q")}, &buffer{})
	require.Equal(t, errkind.OutcomeDone, res.Outcome)
	require.EqualValues(t, 1, pool.Stats().Dials.Load())
}

// If a caller gives up a unit and the answer arrives later, the answer must not be taken for that of another unit. The
// transaction of the unit must be rolled back, but not while the unit still runs in it.
func TestAbandonedUnit(t *testing.T) {
	tx := unit.TxRef{VM: "owner", Member: "m", ID: 3}
	release := make(chan struct{})
	released := sync.OnceFunc(func() { close(release) })
	defer released() // closing the server waits for the unit
	e := newExecutor(func(ctx context.Context, u *unit.Unit, sink unit.Sink) unit.Result {
		if u.Tx.Open() {
			<-release // ignores its deadline
		}
		res := echo(ctx, u, sink)
		if string(u.Messages) != "next" {
			res.Tx = tx
		}
		return res
	})
	owner, _, _ := serve(t, e)
	pool := newTestPool(t)
	require.Equal(t, tx, pool.Execute(within(t, waitLimit), owner, &unit.Unit{}, &buffer{}).Tx)
	res := pool.Execute(within(t, 20*time.Millisecond), owner, &unit.Unit{Tx: tx, Write: true, Messages: []byte("late")}, &buffer{})
	require.True(t, errkind.Is(res.Err, errkind.RequestOutcomeUnknown), "%v", res.Err)
	var got buffer
	res = pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: []byte("next")}, &got)
	require.Equal(t, errkind.OutcomeDone, res.Outcome)
	require.Equal(t, "next", got.String())
	require.Empty(t, e.rolledBack)
	released()
	select {
	case got := <-e.rolledBack:
		require.Equal(t, tx, got)
	case <-time.After(waitLimit):
		t.Fatal("transaction was not rolled back")
	}
}

// All traffic with another region must be counted and limited.
func TestOtherRegionIsLimited(t *testing.T) {
	owner, _, _ := serve(t, newExecutor(echo))
	pool := NewPool(Options{Self: platform.VM{Name: "far", Region: "buzen"}, Cluster: "test", Limiter: NewLimiter(1 << 20)})
	defer pool.Close()
	start := time.Now()
	const size = 200 << 10
	res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: make([]byte, size)}, &buffer{})
	require.Equal(t, errkind.OutcomeDone, res.Outcome)
	res = pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: []byte("q")}, &buffer{})
	require.Equal(t, errkind.OutcomeDone, res.Outcome)
	require.GreaterOrEqual(t, time.Since(start), 150*time.Millisecond, "the second unit must wait until the limiter has let the first one go")
	sent := pool.Stats().Traffic(TrafficKey{Region: "chikugo"})
	require.Greater(t, sent.SentBytes.Load(), uint64(size))
	require.Greater(t, sent.ReceivedBytes.Load(), uint64(size))
}

// TLS settings must not be ignored: without a trusted certificate there must be no connection.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	owner := vm("owner", ln.Addr().String())
	s := NewServer(Options{Self: owner, Cluster: "test", Executor: newExecutor(echo),
		TLS: &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}})
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	for _, c := range []struct {
		config *tls.Config
		ok     bool
	}{{&tls.Config{RootCAs: roots}, true}, {&tls.Config{RootCAs: x509.NewCertPool()}, false}, {nil, false}} {
		pool := NewPool(Options{Self: vm("proxy", ""), Cluster: "test", TLS: c.config})
		res := pool.Execute(within(t, waitLimit), owner, &unit.Unit{Messages: []byte("q")}, &buffer{})
		require.Equal(t, c.ok, res.Outcome == errkind.OutcomeDone, "%v", res.Err)
		pool.Close()
	}
}
