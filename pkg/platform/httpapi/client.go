// Package httpapi is the adapter that reaches the platform and the members' control addresses over plain HTTP with
// conditional requests (RFC 9110). It is the only package that knows this transport.
//
// Errors wrap those of package platform. A request that may change something and that got no complete answer after a
// connection was assigned to it is reported as ErrOutcomeUnknown; requests that only read report ErrUnavailable.
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

// Defaults of Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultDialTimeout = 1 * time.Second
	defaultIdleTimeout = 30 * time.Second
	maxIdlePerHost     = 4
	// maxHosts bounds the transports that the client keeps, so that addresses of replaced members do not pile up.
	maxHosts = 4096
)

// Options configure a Client. Zero durations select the defaults.
type Options struct {
	BaseURL     string        // platform service, for example http://127.0.0.1:8080; not needed for member control
	Timeout     time.Duration // limit of one call; a long poll adds its own wait
	DialTimeout time.Duration // limit of opening one connection
	// Dial replaces the dialer, for example to delay connections in tests.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client implements platform.Table, ObjectStore, Directory and MemberControl. It is safe for concurrent use.
type Client struct {
	opts Options

	vms      atomic.Pointer[cachedList[platform.VM]]
	services atomic.Pointer[cachedList[platform.Service]]

	mu    sync.Mutex
	hosts map[string]*host // by host:port, so that a silent host does not cost the others their connections
}

// host is what the client keeps for one address.
type host struct {
	*http.Transport
	status atomic.Pointer[taggedStatus] // of the member at this control address; nil: none
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
	return &Client{opts: opts, hosts: make(map[string]*host)}
}

// Close closes idle connections. The client stays usable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.hosts {
		t.CloseIdleConnections()
	}
}

func (c *Client) host(addr string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[addr]; h != nil {
		return h
	}
	if len(c.hosts) >= maxHosts {
		for a, h := range c.hosts {
			h.CloseIdleConnections()
			delete(c.hosts, a)
			break
		}
	}
	h := &host{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
			defer cancel()
			return c.opts.Dial(ctx, network, addr)
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     defaultIdleTimeout,
		DisableCompression:  true,
	}}
	c.hosts[addr] = h
	return h
}

// call describes one request.
type call struct {
	method  string
	url     string
	header  http.Header
	body    []byte
	limit   int64         // largest accepted answer body
	wait    time.Duration // long poll time on top of the timeout
	mutates bool
}

// answer is a complete response.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends one request and reads the complete answer before the deadline.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout+k.wait)
	defer cancel()

	// Until a connection is assigned to the request it certainly has had no effect. The transport asks for another
	// connection for a request that changes something only when it wrote nothing to the one before.
	var assigned atomic.Bool
	if k.mutates { // a trace allocates, and most requests are status polls
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GetConn: func(string) { assigned.Store(false) },
			GotConn: func(httptrace.GotConnInfo) { assigned.Store(true) },
		})
	}
	req, err := http.NewRequestWithContext(ctx, k.method, k.url, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	req.Header["User-Agent"] = []string{""} // sends none: status polls are most of the control traffic
	for name, values := range k.header {
		req.Header[name] = values
	}
	t, begin := c.host(req.URL.Host), time.Now()
	a, err := roundTrip(t.Transport, req, k.limit)
	if err == nil {
		return a, nil
	}
	if timedOut(ctx, err) {
		t.CloseIdleConnections() // the others to this host may be silent too
	}
	if k.mutates && assigned.Load() {
		return answer{}, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	if refused(err, time.Since(begin)) { // the transport repeats a request that fails on a connection used before
		return answer{}, fmt.Errorf("%w: %w: %w", platform.ErrUnavailable, platform.ErrRefused, err)
	}
	return answer{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}

// quickClose is how soon after a request began its connection is closed by something that accepts connections for a
// process that does not run. A connection that is reset on its way fails at any time.
const quickClose = 5 * time.Millisecond

// refused reports whether the connection of a request that took so long was refused, or closed at once.
func refused(err error, took time.Duration) bool {
	closed := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
	return errors.Is(err, syscall.ECONNREFUSED) || closed && took < quickClose
}

func roundTrip(t *http.Transport, req *http.Request, limit int64) (answer, error) {
	resp, err := t.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, err
	}
	if int64(len(body)) > limit {
		return answer{}, fmt.Errorf("answer of %s exceeds %d bytes", req.URL.Path, limit)
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func timedOut(ctx context.Context, err error) bool {
	var ne net.Error
	return ctx.Err() != nil || (errors.As(err, &ne) && ne.Timeout())
}

// statusError maps an HTTP status to an error of package platform, nil for 2xx.
func statusError(k call, a answer) error {
	var base error
	switch {
	case a.status >= 200 && a.status < 300:
		return nil
	case a.status == http.StatusNotFound:
		base = platform.ErrNotFound
	case a.status == http.StatusPreconditionFailed:
		base = platform.ErrConflict
	case a.status == http.StatusConflict:
		base = platform.ErrFenced
	case a.status >= 500 && a.status != http.StatusServiceUnavailable && k.mutates:
		// A gateway may answer 500, 502 or 504 after it has passed the request on.
		base = platform.ErrOutcomeUnknown
	default:
		base = platform.ErrUnavailable
	}
	return fmt.Errorf("%w: %s %s answered %d: %.200s", base, k.method, k.url, a.status, bytes.TrimSpace(a.body))
}
