package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
)

const (
	requestTimeout = 5 * time.Second
	// applyTimeout is longer than the 30 s for which a daemon tries to reach the table service, so that the daemon's
	// answer is not lost.
	applyTimeout = 35 * time.Second
	dialTimeout  = 2 * time.Second
	// maxAnswerBytes limits how much of an answer is read. The largest answer is a history of 50 documents.
	maxAnswerBytes = 32 << 20
)

// client sends each request to the first of its servers that can be reached.
type client struct {
	servers    []string // base URLs
	token      string
	httpClient *http.Client
}

// request is one request to a daemon.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
	timeout      time.Duration // 0 means requestTimeout
}

// errNoAnswer marks errors of requests that got no complete answer. Such a request may have reached the daemon and taken
// effect.
var errNoAnswer = errors.New("no answer")

func newClient(servers []string, token string) (*client, error) {
	c := &client{token: token, httpClient: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 2},
	}}
	for _, server := range servers {
		base, err := baseURL(server)
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, base)
	}
	if len(c.servers) == 0 {
		return nil, usageError("no daemon given: pass --server host:port or set SYCAMOREHUB_SERVER")
	}
	return c, nil
}

func baseURL(server string) (string, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	u, err := url.Parse(server)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return "", usageError("--server %q is not host:port or an http(s) URL", server)
	}
	return strings.TrimSuffix(u.String(), "/"), nil
}

// forVM returns a client for the daemon at one address. It uses the URL scheme of the first server.
func (c *client) forVM(addr string) *client {
	scheme, _, _ := strings.Cut(c.servers[0], "://")
	return &client{servers: []string{scheme + "://" + addr}, token: c.token, httpClient: c.httpClient}
}

// get requests path from the first daemon that answers and decodes the answer into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path}, out)
}

// do sends a request and decodes the answer into out, which may be nil. If no connection to a daemon can be made, do
// tries the next one. Once a request was sent, do tries the next daemon only if the request is a read; whether to repeat
// a change is left to the calling function.
func (c *client) do(ctx context.Context, r request, out any) error {
	var lastErr error
	for _, server := range c.servers {
		err := c.send(ctx, server, r, out)
		var unreachable *net.OpError
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil && r.method == http.MethodGet:
			return &Error{Exit: ExitTimeout, Message: "the command timed out or was interrupted before a daemon answered", cause: err, Remedy: "run it again, with a longer --timeout where there is one"}
		case errors.As(err, &unreachable) && unreachable.Op == "dial":
			lastErr = err
		case errors.Is(err, errNoAnswer) && r.method == http.MethodGet:
			lastErr = err
		default:
			return err
		}
	}
	return &Error{
		Exit: ExitNotReachable, cause: lastErr,
		Message: fmt.Sprintf("none of the daemons could be reached: %s: %v", strings.Join(c.servers, ", "), lastErr),
		Remedy:  "check the --server addresses and that the daemons run; repeat --server to name several daemons",
	}
}

func (c *client) send(ctx context.Context, server string, r request, out any) error {
	if r.timeout == 0 {
		r.timeout = requestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, server+r.path, bytes.NewReader(r.body))
	if err != nil {
		return usageError("%v", err)
	}
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	if c.token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return newRefusal(server, response.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Error{Exit: ExitFailure, cause: err, Message: fmt.Sprintf("the answer of %s%s is not the expected JSON: %v", server, r.path, err), Remedy: "check that --server names the admin address of a sycamorehubd of the same version"}
	}
	return nil
}

// refusalError is returned when a daemon answers with an HTTP error status.
type refusalError struct {
	failure Error
	code    string
	body    admin.ErrorResponse
}

// Error returns the message and the remedy.
func (e *refusalError) Error() string { return e.failure.Error() }

// Unwrap returns the failure, which holds the exit code.
func (e *refusalError) Unwrap() error { return &e.failure }

// newRefusal returns the error for an answer with an HTTP error status. A body that is not an error of the admin API means
// that the server is probably no sycamorehubd.
func newRefusal(server string, status int, data []byte) error {
	e := &refusalError{}
	if err := json.Unmarshal(data, &e.body); err != nil || e.body.Code == "" {
		e.failure = Error{
			Exit: ExitFailure, Message: fmt.Sprintf("%s answered with HTTP status %d", server, status),
			Remedy: "check that --server names the admin address of a sycamorehubd",
		}
		return e
	}
	e.code = e.body.Code
	e.failure = Error{Exit: exitCodeOfRefusal(e.code), Message: fmt.Sprintf("%s (%s)", e.body.Message, e.body.Code), Remedy: e.body.Remedy}
	return e
}
