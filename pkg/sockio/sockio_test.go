package sockio

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (a, b net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	a, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	b, err = ln.Accept()
	require.NoError(t, err)
	a, b = Wrap(a), Wrap(b)
	require.IsType(t, &Conn{}, a)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	return a, b
}

// Guards against bytes that are lost or sent twice when the socket takes only a part of a write, small or large.
func TestContent(t *testing.T) {
	for _, size := range []int{1, 1000, maxCallBytes, maxCallBytes + 1} {
		a, b := connPair(t)
		want := make([]byte, 16<<20/size*size)
		for i := range want {
			want[i] = byte(i ^ i>>8 ^ i>>16)
		}
		want = want[:min(len(want), size*2000)]
		go func() {
			for rest := want; len(rest) > 0; rest = rest[size:] {
				if n, err := a.Write(rest[:size]); n != size || err != nil {
					t.Errorf("wrote %d of %d bytes: %v", n, size, err)
					break
				}
			}
			_ = a.Close()
		}()
		got, err := io.ReadAll(b)
		require.NoError(t, err)
		require.True(t, bytes.Equal(want, got), "writes of %d bytes", size)
	}
}

// Waits must end at their deadline, and callers must be able to tell the errors by package net's rules.
func TestErrors(t *testing.T) {
	a, b := connPair(t)
	require.NoError(t, a.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := a.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())

	require.NoError(t, a.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	block, sent, n := make([]byte, maxCallBytes), 0, 0
	for err = nil; err == nil; sent += n {
		n, err = a.Write(block)
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, a.Close())
	got, err := io.Copy(io.Discard, b)
	require.NoError(t, err)
	require.EqualValues(t, sent, got, "Write returns the bytes that it wrote before it failed")
	_, err = a.Read(block)
	require.ErrorIs(t, err, net.ErrClosed)
	_, err = a.Write(block)
	require.ErrorIs(t, err, net.ErrClosed)

	a, b = connPair(t)
	require.NoError(t, b.(*Conn).SetLinger(0))
	require.NoError(t, b.Close())
	_, err = a.Read(block)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
