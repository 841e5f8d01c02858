package fault

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

const badInputTimeout = 15 * time.Second // longer than the daemon waits for a startup packet (10 s) or HTTP header (5 s)

// sendRaw writes bytes to a port, closes the sending direction if closeWrite is set, and returns all that the daemon
// answers until it closes the connection.
func sendRaw(addr string, closeWrite bool, data ...[]byte) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(badInputTimeout))
	for _, d := range data {
		if _, err := conn.Write(d); err != nil {
			break // the daemon may have refused the data before this and closed
		}
	}
	if closeWrite {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	answer, err := io.ReadAll(conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return answer, fmt.Errorf("the daemon left the connection open: %w", err)
	}
	return answer, nil // the daemon may close the connection with a reset
}

// encodeStartup returns a startup packet with the given names and values in turn.
func encodeStartup(params ...string) []byte {
	msg := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{}}
	for i := 0; i < len(params); i += 2 {
		msg.Parameters[params[i]] = params[i+1]
	}
	b, _ := msg.Encode(nil)
	return b
}

func bigEndianUint32s(v ...uint32) []byte {
	var b []byte
	for _, x := range v {
		b = binary.BigEndian.AppendUint32(b, x)
	}
	return b
}

// lastErrorCode returns the SQLSTATE of the last ErrorResponse in an answer, or "" if there is none.
func lastErrorCode(answer []byte) string {
	frontend := pgproto3.NewFrontend(bytes.NewReader(answer), nil)
	lastCode := ""
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return lastCode
		}
		if e, ok := msg.(*pgproto3.ErrorResponse); ok {
			lastCode = e.Code
		}
	}
}

// badCallerInputs returns by name what is sent to a callers' port and the SQLSTATE of the expected answer.
func badCallerInputs(service string, random *rand.Rand) map[string]struct {
	data [][]byte
	code string
} {
	validStartup := encodeStartup("user", "caller", "database", service, "sycamorehub.class", "order")
	garbage := make([]byte, 1+random.IntN(4096))
	for i := range garbage {
		garbage[i] = byte(random.Uint32())
	}
	garbage[0] |= 0x80 // as the first byte of the length, makes the packet too long
	return map[string]struct {
		data [][]byte
		code string
	}{
		"garbage":              {[][]byte{append(garbage, make([]byte, 8)...)}, "08P01"},
		"HTTP":                 {[][]byte{[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")}, "08P01"},
		"half a startup":       {[][]byte{validStartup[:len(validStartup)/2]}, "08P01"},
		"half a length":        {[][]byte{validStartup[:3]}, "08P01"},
		"long startup":         {[][]byte{bigEndianUint32s(1<<31, 196608)}, "08P01"},
		"old protocol":         {[][]byte{bigEndianUint32s(8, 131072)}, "08P01"},
		"unterminated":         {[][]byte{bigEndianUint32s(12, 196608, 0x75736572)}, "08P01"},
		"no user":              {[][]byte{encodeStartup("database", service)}, "28000"},
		"unknown class":        {[][]byte{encodeStartup("user", "u", "database", service, "sycamorehub.class", "none")}, "22023"},
		"malformed token":      {[][]byte{encodeStartup("user", "u", "database", service, "sycamorehub.token", "v1:!!")}, "22023"},
		"unknown database":     {[][]byte{encodeStartup("user", "u", "database", "none")}, "3D000"},
		"replication":          {[][]byte{encodeStartup("user", "u", "database", service, "replication", "true")}, "0A000"},
		"unknown message type": {[][]byte{validStartup, {'z', 0, 0, 0, 4}}, "08P01"},
		"oversized message":    {[][]byte{validStartup, {'Q', 0x7f, 0xff, 0xff, 0xff}}, "08P01"},
		"short message":        {[][]byte{validStartup, {'Q', 0, 0, 0, 1}}, "08P01"},
		"query without end":    {[][]byte{validStartup, {'Q', 0, 0, 0, 5, 'S', 'X', 0, 0, 0, 4}}, "08P01"},
		"text after a query":   {[][]byte{validStartup, []byte("Q\x00\x00\x00\x09S\x00S\x00;X\x00\x00\x00\x04")}, "08P01"},
		"short Bind":           {[][]byte{validStartup, []byte("P\x00\x00\x00\x08\x00\x00\x00\x00B\x00\x00\x00\x08\x00\x00\x00\x01S\x00\x00\x00\x04X\x00\x00\x00\x04")}, "08P01"},
		"long Sync":            {[][]byte{validStartup, []byte("S\x00\x00\x00\x05xX\x00\x00\x00\x04")}, "08P01"},
		"half a message":       {[][]byte{validStartup, {'Q', 0, 0, 0, 50, 'S'}}, ""}, // nobody is left to answer
	}
}

// encodeHello returns the hello of a VM that is on no list, for a cluster and region.
func encodeHello(t *testing.T, cluster, region string) []byte {
	b, err := wire.NewEncoder().Hello(wire.Hello{
		VM:      platform.VM{Name: "stranger", DataCentre: "nowhere", Region: region, PeerAddr: "127.0.0.1:1", State: platform.VMLive},
		Cluster: cluster, Instance: 1, Purpose: wire.PurposeControl,
	})
	require.NoError(t, err)
	return bytes.Clone(b)
}

// badPeerInputs returns by name what is sent to a peers' port. The hello names a new region each time.
func badPeerInputs(t *testing.T, cluster string, random *rand.Rand) map[string][][]byte {
	validHello := encodeHello(t, cluster, fmt.Sprintf("region-%d", random.Uint32()))
	return map[string][][]byte{
		"garbage":               {[]byte("\xff\xfe\xfd\xfc\xfb\xfa\xf9")},
		"HTTP":                  {[]byte("GET / HTTP/1.1\r\n\r\n")},
		"oversized hello":       {bigEndianUint32s(1 << 20), make([]byte, 100)},
		"half a hello":          {validHello[:len(validHello)/2]},
		"another cluster":       {encodeHello(t, "another", "chikugo")},
		"unknown type":          {validHello, {0, 0, 0, 2, wire.Version, 200}},
		"oversized frame":       {validHello, bigEndianUint32s(2 << 20), {wire.Version, byte(wire.TypeHeartbeat)}},
		"another version":       {validHello, {0, 0, 0, 2, 9, byte(wire.TypePing)}},
		"malformed heartbeat":   {validHello, {0, 0, 0, 6, wire.Version, byte(wire.TypeHeartbeat), 0xc1, 0xc1, 0xc1, 0xc1}},
		"execute without a use": {validHello, {0, 0, 0, 3, wire.Version, byte(wire.TypeExecute), 0x90}},
	}
}

// badAdminRequests are sent to the admin port.
var badAdminRequests = map[string]struct {
	data   string
	status string // expected HTTP status, "" if the connection is closed without an answer
}{
	"garbage":       {"\x00\x01\x02\r\n\r\n", "400"},
	"half a header": {"GET /readyz HTTP/1.1\r\nHost", ""},
	"long header":   {"GET /readyz HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n", "431"},
	"unknown path":  {"GET /v1/none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "404"},
	"bad document":  {"POST /v1/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIf-Match: 1\r\nOperation-Id: x\r\nContent-Length: 2\r\n\r\n{]", "422"},
	"long document": {fmt.Sprintf("POST /v1/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIf-Match: 1\r\nOperation-Id: x\r\nContent-Length: %d\r\n\r\n%s",
		clusterconfig.MaxStoredBytes+1, strings.Repeat(" ", clusterconfig.MaxStoredBytes+1)), "413"},
}

// TestBadInput guards against bad input that the daemon does not refuse clearly or that harms other connections. It
// sends garbage, truncated, oversized and unknown messages, and input that comes slowly, to the ports for callers,
// peers and administration. A writer, a session and a transaction that are open meanwhile lose nothing.
func TestBadInput(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	random := randomStream(seedFromName(t), 0)
	vm, err := c.VM("kurume-yard-1")
	require.NoError(t, err)
	healthyWriter := c.startWriter(vm.Name, "healthy")
	c.requireServed([]*writer{healthyWriter}, time.Now(), "before the bad input")
	conn := c.mustConnect(vm.Name, "record", nil)
	tx, err := conn.Begin(t.Context())
	require.NoError(t, err)

	var wg sync.WaitGroup
	runCheck := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	for name, bad := range badCallerInputs(c.service().Name, random) {
		runCheck("caller: "+name, func() error {
			answer, err := sendRaw(vm.CallerAddr, true, bad.data...)
			if err == nil && lastErrorCode(answer) != bad.code {
				err = fmt.Errorf("SQLSTATE %q, want %q", lastErrorCode(answer), bad.code)
			}
			return err
		})
	}
	for name, data := range badPeerInputs(t, c.Topology.Name, random) {
		runCheck("peer: "+name, func() error { _, err := sendRaw(vm.PeerAddr, false, data...); return err })
	}
	for name, bad := range badAdminRequests {
		runCheck("admin: "+name, func() error {
			answer, err := sendRaw(vm.AdminAddr, bad.status == "", []byte(bad.data))
			line, _, _ := strings.Cut(string(answer), "\n")
			if err == nil && bad.status != "" && !strings.Contains(line, " "+bad.status+" ") {
				err = fmt.Errorf("status line %q, want status %s", line, bad.status)
			}
			return err
		})
	}
	validStartup := encodeStartup("user", "u", "database", c.service().Name)
	runCheck("caller that stops within its startup", func() error {
		answer, err := sendRaw(vm.CallerAddr, false, validStartup[:len(validStartup)-3])
		if err == nil && lastErrorCode(answer) != "08P01" {
			err = fmt.Errorf("SQLSTATE %q, want 08P01", lastErrorCode(answer))
		}
		return err
	})
	runCheck("peer that stops within its hello", func() error { _, err := sendRaw(vm.PeerAddr, false, []byte{0, 0, 0, 50}); return err })
	runCheck("admin client that stops within a header", func() error { _, err := sendRaw(vm.AdminAddr, false, []byte("GET /")); return err })
	runCheck("slow caller", func() error { return sendSlowly(vm.CallerAddr, validStartup) })
	wg.Wait()

	_, err = tx.Exec(t.Context(), "INSERT INTO orders (key, value) VALUES ('in-transaction', 'plate')")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(t.Context()))
	orders := healthyWriter.stop()
	for _, o := range orders {
		require.NoError(t, o.err, "order %s failed during the bad input", o.id)
	}
	c.checkLedger(orders)
	require.True(t, c.storedKeys()["in-transaction"])
}

// sendSlowly sends a startup packet and a query byte by byte and requires an answer to the query.
func sendSlowly(addr string, startupPacket []byte) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(badInputTimeout))
	query, _ := (&pgproto3.Query{String: "SELECT member_name()"}).Encode(nil)
	for _, b := range append(bytes.Clone(startupPacket), query...) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	frontend := pgproto3.NewFrontend(conn, conn)
	for {
		m, err := frontend.Receive()
		if err != nil {
			return fmt.Errorf("no answer to the query: %w", err)
		}
		if _, ok := m.(*pgproto3.DataRow); ok {
			return nil
		}
	}
}

// TestBadInputMemory guards against memory, goroutines and file descriptors that bad connections leave behind. It opens
// 2,000 of them, 40 at a time, after 500 that fill the pools. A leak of 8 KiB for each connection, the smallest stack
// of a goroutine with its buffers, exceeds the limit.
func TestBadInputMemory(t *testing.T) {
	t.Parallel()
	c := start(t, nil)
	random := randomStream(seedFromName(t), 0)
	const (
		vmName, warmUp, badConnections, maxParallel = "kurume-yard-1", 500, 2000, 40
		maxGrowth                                   = badConnections * 8 << 10 // bytes
		maxExtra                                    = 30                       // goroutines and descriptors unrelated to the input
	)
	vm, err := c.VM(vmName)
	require.NoError(t, err)
	type input struct {
		addr string
		data [][]byte
	}
	var inputs []input
	for _, bad := range badCallerInputs(c.service().Name, random) {
		inputs = append(inputs, input{vm.CallerAddr, bad.data})
	}
	sendBadInputs := func(n int) {
		var wg sync.WaitGroup
		slots := make(chan struct{}, maxParallel)
		candidates := inputs
		for i := range n {
			if i%100 == 0 { // the hellos name regions that are new to the daemon
				candidates = inputs[:len(inputs):len(inputs)]
				for _, data := range badPeerInputs(t, c.Topology.Name, random) {
					candidates = append(candidates, input{vm.PeerAddr, data})
				}
			}
			chosen := candidates[random.IntN(len(candidates))]
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				if _, err := sendRaw(chosen.addr, true, chosen.data...); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	sendBadInputs(warmUp)
	goroutines, openFiles := c.metricSum(vmName, "go_goroutines"), c.metricSum(vmName, "process_open_fds")
	memoryBefore := c.metricSum(vmName, "process_resident_memory_bytes")
	sendBadInputs(badConnections)
	memoryAfter := c.metricSum(vmName, "process_resident_memory_bytes")
	t.Logf("resident memory %.1f MiB before, %.1f MiB after %d bad connections", memoryBefore/(1<<20), memoryAfter/(1<<20), badConnections)
	require.LessOrEqual(t, memoryAfter-memoryBefore, float64(maxGrowth))
	eventually(t, func() bool {
		return c.metricSum(vmName, "go_goroutines") <= goroutines+maxExtra && c.metricSum(vmName, "process_open_fds") <= openFiles+maxExtra
	}, primaryChangeBound, 100*time.Millisecond, "bad connections left goroutines or file descriptors behind")
}
