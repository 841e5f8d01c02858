package httpapi_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	emulator "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

const (
	longTimeout = 8 * time.Second // elapses only if a test fails
	// silentTimeout is the timeout where a first call must time out and a second one must not.
	silentTimeout = 2 * time.Second
)

func startEmulator(t *testing.T, timeout time.Duration) (*emulator.Server, *httpapi.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := emulator.Start(l, nil, nil)
	t.Cleanup(func() { _ = s.Close() })
	return s, httpapi.New(httpapi.Options{BaseURL: s.URL(), Timeout: timeout})
}

// callAndCancel runs a call, cancels it once arrived reports that the server has received it, and returns its error.
func callAndCancel(t *testing.T, call func(context.Context) error, arrived func() bool) error {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	require.Eventually(t, arrived, longTimeout, time.Millisecond)
	cancel()
	return <-done
}

// TestCompareAndSet guards against a Put that overwrites another writer's row.
func TestCompareAndSet(t *testing.T) {
	_, c := startEmulator(t, longTimeout)
	ctx := t.Context()
	const key = "cluster/config 1%"
	_, err := c.Get(ctx, key)
	require.ErrorIs(t, err, platform.ErrNotFound)
	_, err = c.Put(ctx, key, []byte("a"), 7)
	require.ErrorIs(t, err, platform.ErrConflict)
	v, err := c.Put(ctx, key, []byte("a"), 0)
	require.NoError(t, err)
	_, err = c.Put(ctx, key, []byte("b"), 0)
	require.ErrorIs(t, err, platform.ErrConflict)
	_, err = c.Put(ctx, key, []byte("c"), v)
	require.NoError(t, err)
	_, err = c.Put(ctx, key, []byte("d"), v)
	require.ErrorIs(t, err, platform.ErrConflict)
	row, err := c.Get(ctx, key)
	require.NoError(t, err)
	require.Equal(t, "c", string(row.Value))
	_, err = c.Put(ctx, key, make([]byte, httpapi.MaxRowBytes+1), row.Version)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = c.Put(ctx, key, make([]byte, httpapi.MaxRowBytes), row.Version)
	require.NoError(t, err)
	_, err = c.Get(ctx, key)
	require.NoError(t, err)

	require.NoError(t, c.PutObject(ctx, "doc/1", []byte("x")))
	b, err := c.GetObject(ctx, "doc/1")
	require.NoError(t, err)
	require.Equal(t, "x", string(b))
	_, err = c.GetObject(ctx, "doc/2")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// If the row changed and the answer was lost, the client must not return ErrUnavailable, which means that the request
// had no effect.
func TestLostAnswer(t *testing.T) {
	s, c := startEmulator(t, longTimeout)
	s.SetFaults(emulator.Faults{DropAnswers: 1})
	_, err := c.Put(t.Context(), "k", []byte("a"), 0)
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	row, err := c.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, platform.Row{Value: []byte("a"), Version: 1}, row)
	_, err = c.Put(t.Context(), "k", []byte("b"), 1)
	require.NoError(t, err)

	s.SetFaults(emulator.Faults{AnswerLatency: topology.Ms(time.Hour)})
	err = callAndCancel(t, func(ctx context.Context) error {
		_, err := c.Put(ctx, "k", []byte("c"), 2)
		return err
	}, func() bool {
		row, _ := s.Row("k")
		return row.Version == 3
	})
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	require.ErrorIs(t, err, context.Canceled)
}

// The outcome of a refused request must not be reported as unknown, and a request without an answer must not be
// reported as refused.
func TestOutage(t *testing.T) {
	s, c := startEmulator(t, longTimeout)
	s.SetFaults(emulator.Faults{StoreOutage: true})
	_, err := c.Put(t.Context(), "k", nil, 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	s.SetFaults(emulator.Faults{StoreOutage: true, Silent: true})
	err = callAndCancel(t, func(ctx context.Context) error {
		_, err := c.Put(ctx, "k", nil, 0)
		return err
	}, func() bool { return s.Counters().Writes.Total == 2 })
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	err = callAndCancel(t, func(ctx context.Context) error {
		_, err := c.Get(ctx, "k")
		return err
	}, func() bool { return s.Counters().Reads.Total == 1 })
	require.ErrorIs(t, err, platform.ErrUnavailable)

	require.NoError(t, s.Close())
	refused := httpapi.New(httpapi.Options{BaseURL: s.URL(), Timeout: longTimeout})
	_, err = refused.Put(t.Context(), "k", nil, 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = refused.Fence(t.Context(), platform.Member{ControlAddr: s.Addr()}, 1, "p")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// TestStatusMapping guards against a status code that is mapped to an error with another meaning.
func TestStatusMapping(t *testing.T) {
	var code atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(int(code.Load()))
		_, _ = fmt.Fprint(w, `{"fencedTerm": 9}`)
	}))
	defer srv.Close()
	c := httpapi.New(httpapi.Options{BaseURL: srv.URL, Timeout: longTimeout})
	member := platform.Member{ControlAddr: strings.TrimPrefix(srv.URL, "http://")}
	for status, want := range map[int]error{
		404: platform.ErrNotFound, 409: platform.ErrFenced, 412: platform.ErrConflict, 503: platform.ErrUnavailable,
		500: platform.ErrOutcomeUnknown, 504: platform.ErrOutcomeUnknown, 429: platform.ErrUnavailable,
		200: platform.ErrOutcomeUnknown, // no entity tag
	} {
		code.Store(int32(status))
		_, err := c.Put(t.Context(), "k", nil, 0)
		require.ErrorIs(t, err, want, status)
	}
	code.Store(409)
	s, err := c.Fence(t.Context(), member, 1, "p")
	require.ErrorIs(t, err, platform.ErrFenced)
	require.Equal(t, platform.Term(9), s.FencedTerm)
	code.Store(500)
	_, err = c.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// TestAnswerLimit guards against a response body without a bound, which would fill the memory.
func TestAnswerLimit(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", httpapi.FormatETag(1))
		_, _ = w.Write(make([]byte, httpapi.MaxRowBytes+1))
	}))
	defer srv.Close()
	_, err := httpapi.New(httpapi.Options{BaseURL: srv.URL, Timeout: longTimeout}).Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// silentConn drops all writes once silent is set, so that no answer comes.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// When idle connections have gone silent, the client must replace all of them after one timeout.
func TestSilentConnections(t *testing.T) {
	const parallel = 3
	var allArrived sync.WaitGroup
	allArrived.Add(parallel)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/first") {
			allArrived.Done()
			allArrived.Wait() // all connections are in use at once
		}
		w.Header().Set("ETag", httpapi.FormatETag(1))
	}))
	defer srv.Close()
	silent := new(atomic.Bool)
	var dials atomic.Int32
	c := httpapi.New(httpapi.Options{BaseURL: srv.URL, Timeout: silentTimeout, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if silent.Load() {
			return conn, err // new connections work
		}
		return silentConn{conn, silent}, err
	}})
	var group sync.WaitGroup
	for range parallel {
		group.Go(func() { _, _ = c.Get(t.Context(), "first") })
	}
	group.Wait()
	require.Equal(t, int32(parallel), dials.Load())
	silent.Store(true)
	_, err := c.Get(t.Context(), "k")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = c.Get(t.Context(), "k")
	require.NoError(t, err)
}

// A cached status must not be returned if the status has changed, if its tag is weak, which does not promise equal
// content, or if another member now has the address.
func TestStatusOnCondition(t *testing.T) {
	var term, bodies atomic.Int32
	weakPrefix := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tag := fmt.Sprintf(`%s"%d"`, weakPrefix, term.Load())
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		bodies.Add(1)
		_, _ = fmt.Fprintf(w, `{"member": "a", "lastTerm": %d}`, term.Load())
	}))
	defer srv.Close()
	for _, want := range []int32{3, 5} { // bodies sent with strong and with weak tags
		c := httpapi.New(httpapi.Options{Timeout: longTimeout})
		bodies.Store(0)
		for i, member := range []string{"a", "a", "a", "a", "b"} {
			term.Store(int32(1 + i/2))
			s, err := c.Status(t.Context(), platform.Member{Name: member, ControlAddr: strings.TrimPrefix(srv.URL, "http://")}, platform.StatusWait{})
			require.NoError(t, err)
			require.Equal(t, platform.Term(term.Load()), s.LastTerm)
		}
		require.Equal(t, want, bodies.Load())
		weakPrefix = "W/"
	}
}
