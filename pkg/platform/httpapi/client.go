// Package httpapi is the client of the platform service and of the members' control addresses. Both speak plain HTTP with
// conditional requests (RFC 9110), and no other package depends on that.
//
// Errors wrap those of package platform. A request that may change something is reported as ErrOutcomeUnknown when it got
// no complete answer after a connection was assigned to it. A request that only reads is reported as ErrUnavailable.
package httpapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Defaults of Options, and fixed limits of connections.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultDialTimeout  = 1 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 4
	// maxHosts is the number of addresses for which the client keeps a transport, so that those of replaced members do not
	// accumulate.
	maxHosts = 4096
)

// Options configure a Client. Zero durations select the defaults.
type Options struct {
	BaseURL     string        // of the platform service, for example http://127.0.0.1:8080; not needed for member control
	Timeout     time.Duration // for one request and its answer; a long poll adds its own wait
	DialTimeout time.Duration // for opening one connection
	// Dial replaces the dialer, for example to delay connections in tests.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client implements Table, ObjectStore, Directory and MemberControl of package platform. It is safe for concurrent use.
type Client struct {
	opts Options

	vms      atomic.Pointer[cachedList[platform.VM]]
	services atomic.Pointer[cachedList[platform.Service]]

	mu    sync.Mutex
	hosts map[string]*hostState // by host:port; one transport each, so that a silent host does not cost the others their connections
}

// hostState is the transport to one address, and the last status of a member there.
type hostState struct {
	*http.Transport
	lastStatus atomic.Pointer[taggedStatus] // nil if no member at this address has sent a tagged status
}

var (
	_ platform.Table         = (*Client)(nil)
	_ platform.ObjectStore   = (*Client)(nil)
	_ platform.Directory     = (*Client)(nil)
	_ platform.MemberControl = (*Client)(nil)
)

// New returns a client. It opens no connection.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{opts: opts, hosts: make(map[string]*hostState)}
}

// Close closes idle connections. The client stays usable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.CloseIdleConnections()
	}
}

// host returns the state for an address. If maxHosts are kept, it drops an arbitrary other one.
func (c *Client) host(addr string) *hostState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[addr]; h != nil {
		return h
	}
	if len(c.hosts) >= maxHosts {
		for evicted, h := range c.hosts {
			h.CloseIdleConnections()
			delete(c.hosts, evicted)
			break
		}
	}
	h := &hostState{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
			defer cancel()
			return c.opts.Dial(ctx, network, addr)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
	c.hosts[addr] = h
	return h
}

// requestSpec describes one request.
type requestSpec struct {
	method       string
	url          string
	header       http.Header
	body         []byte
	maxBody      int64         // largest accepted response body in bytes
	longPollWait time.Duration // time that the server may wait before it answers, on top of the timeout
	mutates      bool          // the request may change something
}

// response is an HTTP response with its whole body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends one request and reads the whole response within the timeout. Any status is a response; statusError maps it
// to an error.
func (c *Client) send(ctx context.Context, spec requestSpec) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout+spec.longPollWait)
	defer cancel()

	// A request has had no effect as long as no connection is assigned to it. The transport asks for another connection for
	// a request that changes something only if it has written nothing to the previous one.
	var assigned atomic.Bool
	if spec.mutates { // only then, since a trace allocates and most requests are status polls
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GetConn: func(string) { assigned.Store(false) },
			GotConn: func(httptrace.GotConnInfo) { assigned.Store(true) },
		})
	}
	req, err := http.NewRequestWithContext(ctx, spec.method, spec.url, bytes.NewReader(spec.body))
	if err != nil {
		return response{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	req.Header["User-Agent"] = []string{""} // sends no User-Agent, since status polls are most of the control traffic
	for name, values := range spec.header {
		req.Header[name] = values
	}
	h, started := c.host(req.URL.Host), time.Now()
	resp, err := roundTrip(h.Transport, req, spec.maxBody)
	if err == nil {
		return resp, nil
	}
	if timedOut(ctx, err) {
		h.CloseIdleConnections() // the idle connections to this host may be silent too
	}
	if spec.mutates && assigned.Load() {
		return response{}, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	if connectionRefused(err, time.Since(started)) { // a fresh connection, since the transport repeats a request that fails on a used one
		return response{}, fmt.Errorf("%w: %w: %w", platform.ErrUnavailable, platform.ErrRefused, err)
	}
	return response{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}

// quickCloseLimit is the time within which a connection is closed again if a forwarder accepts connections for a process
// that does not run. A later close or reset may come from the network, and says nothing about the process.
const quickCloseLimit = 5 * time.Millisecond

// connectionRefused reports whether the error of a request that took the given time means that its connection was refused,
// or closed at once.
func connectionRefused(err error, took time.Duration) bool {
	closed := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
	return errors.Is(err, syscall.ECONNREFUSED) || closed && took < quickCloseLimit
}

// roundTrip sends the request and reads a response body of at most maxBody bytes.
func roundTrip(t *http.Transport, req *http.Request, maxBody int64) (response, error) {
	resp, err := t.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return response{}, err
	}
	if int64(len(body)) > maxBody {
		return response{}, fmt.Errorf("answer of %s exceeds %d bytes", req.URL.Path, maxBody)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// timedOut reports whether a request failed because its context ended or a network operation timed out.
func timedOut(ctx context.Context, err error) bool {
	var ne net.Error
	return ctx.Err() != nil || (errors.As(err, &ne) && ne.Timeout())
}

// statusError maps an HTTP status to an error of package platform, nil for 2xx.
func statusError(spec requestSpec, resp response) error {
	var base error
	switch {
	case resp.status >= 200 && resp.status < 300:
		return nil
	case resp.status == http.StatusNotFound:
		base = platform.ErrNotFound
	case resp.status == http.StatusPreconditionFailed:
		base = platform.ErrConflict
	case resp.status == http.StatusConflict:
		base = platform.ErrFenced
	case resp.status >= 500 && resp.status != http.StatusServiceUnavailable && spec.mutates:
		// A gateway may answer 500, 502 or 504 although it has passed the request on.
		base = platform.ErrOutcomeUnknown
	default:
		base = platform.ErrUnavailable
	}
	return fmt.Errorf("%w: %s %s answered %d: %.200s", base, spec.method, spec.url, resp.status, bytes.TrimSpace(resp.body))
}
