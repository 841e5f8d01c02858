package datapath

import (
	"net"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
)

// median sorts the durations and returns the middle one.
func median(durations []time.Duration) time.Duration {
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[len(durations)/2]
}

// BenchmarkAddedLatency reports by how much the proxy raises the median latency of a statement. Direct and proxied
// statements alternate, so that both see the same load of the machine.
func BenchmarkAddedLatency(b *testing.B) {
	p := newDataPath(b)
	direct := &dataPath{addr: p.endpoint.listener.Addr().String()}
	directConn, proxiedConn := direct.connect(b), p.connect(b)
	timeQuery := func(c *pgx.Conn) time.Duration {
		start := time.Now()
		_ = queryValue(b, c, "select $1", "abc")
		return time.Since(start)
	}
	timeQuery(directConn)
	timeQuery(proxiedConn)
	var directTimes, proxiedTimes []time.Duration
	b.ResetTimer()
	for range b.N {
		directTimes = append(directTimes, timeQuery(directConn))
		proxiedTimes = append(proxiedTimes, timeQuery(proxiedConn))
	}
	b.ReportMetric(float64((median(proxiedTimes)-median(directTimes)).Nanoseconds())/1e3, "added-µs/op")
	b.ReportMetric(float64(median(proxiedTimes).Nanoseconds())/1e3, "proxied-µs/op")
}

// BenchmarkAllocations sends raw bytes to the proxy and answers with fixed ones, so that it counts only the proxy's own
// allocations.
func BenchmarkAllocations(b *testing.B) {
	listener := listenFixedAnswer(b)
	p := newDataPath(b, func(o *backend.Options, _ *frontend.Options) { o.Member.DataAddr = listener.Addr().String() })
	nc := openRawSession(b, p.addr)
	var request []byte
	request, _ = (&pgproto3.Query{String: "select 1"}).Encode(request)
	buf := make([]byte, 4096)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := nc.Write(request); err != nil {
			b.Fatal(err)
		}
		readUntilReady(b, nc, buf)
	}
}

// readUntilReady reads until the bytes received end with a ReadyForQuery message, which has six bytes: type 'Z', length
// 5 and the transaction status.
func readUntilReady(t testing.TB, nc net.Conn, buf []byte) {
	length := 0
	for {
		read, err := nc.Read(buf[length:])
		if err != nil {
			t.Fatal(err)
		}
		length += read
		if length >= 6 && buf[length-6] == 'Z' && buf[length-2] == 5 {
			return
		}
	}
}

// openRawSession opens a session without a driver.
func openRawSession(t testing.TB, addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "db"}}).Encode(nil)
	require.NoError(t, err)
	_, err = nc.Write(startup)
	require.NoError(t, err)
	readUntilReady(t, nc, make([]byte, 4096))
	return nc
}

// listenFixedAnswer starts an endpoint that answers every read with the same bytes. It allocates nothing per statement.
func listenFixedAnswer(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var answer []byte
	answer, _ = rowDescription().Encode(answer)
	answer, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte("1")}}).Encode(answer)
	answer, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(answer)
	answer, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(answer)
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				buf := make([]byte, 4096)
				if _, err := nc.Read(buf); err != nil {
					return
				}
				startupAnswer, _ := (&pgproto3.AuthenticationOk{}).Encode(nil)
				startupAnswer, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(startupAnswer)
				_, _ = nc.Write(startupAnswer)
				for {
					if _, err := nc.Read(buf); err != nil {
						return
					}
					if _, err := nc.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener
}

// BenchmarkIdleBytes reports the memory that one idle caller holds after it has run a statement.
func BenchmarkIdleBytes(b *testing.B) {
	const callers = 1000
	p := newDataPath(b)
	var request []byte
	request, _ = (&pgproto3.Query{String: "select 1"}).Encode(request)
	buf := make([]byte, 4096)
	heapAndStackInUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	before := heapAndStackInUse()
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i] = openRawSession(b, p.addr)
		_, _ = conns[i].Write(request)
		readUntilReady(b, conns[i], buf)
	}
	after := heapAndStackInUse()
	for b.Loop() { // the memory per caller does not depend on b.N
	}
	b.ReportMetric(float64(after-before)/callers, "bytes/caller")
}
