package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// taggedStatus is the last status of a member that came with an entity tag.
type taggedStatus struct {
	tag    string
	status platform.Status
}

// Status returns the member's status, at once or after a long poll. It implements platform.MemberControl.
func (c *Client) Status(ctx context.Context, m platform.Member, wait platform.StatusWait) (platform.Status, error) {
	k := call{method: http.MethodGet, url: controlURL(m, PathStatus), wait: wait.Timeout, limit: MaxStatusBytes}
	if wait.Timeout <= 0 {
		return c.plainStatus(ctx, m, k)
	}
	q := url.Values{}
	q.Set(QueryAfter, strconv.FormatUint(uint64(wait.After), 10))
	q.Set(QueryWait, strconv.FormatInt(wait.Timeout.Milliseconds(), 10))
	k.url += "?" + q.Encode()
	return c.control(ctx, k)
}

// plainStatus asks for the status on condition that it has changed, since plain polls are most of the control traffic
// and nearly all of them find nothing new. A member that sends no strong tag is read in full each time. Long polls
// carry no condition: most bring news, and the tags would cost more than they save.
func (c *Client) plainStatus(ctx context.Context, m platform.Member, k call) (platform.Status, error) {
	h := c.host(m.ControlAddr)
	last := h.status.Load()
	if last != nil && last.status.Member == m.Name {
		k.header = http.Header{"If-None-Match": {last.tag}}
	}
	a, err := c.do(ctx, k)
	if err != nil {
		return platform.Status{}, err
	}
	if k.header != nil && a.status == http.StatusNotModified {
		return last.status, nil
	}
	s, err := decodeStatus(k, a)
	if tag := a.header.Get("ETag"); err == nil && strings.HasPrefix(tag, `"`) {
		h.status.Store(&taggedStatus{tag, s})
	}
	return s, err
}

// Fence raises the member's fence to term. It implements platform.MemberControl.
func (c *Client) Fence(ctx context.Context, m platform.Member, term platform.Term, promoter string) (platform.Status, error) {
	return c.post(ctx, m, PathFence, FenceRequest{Term: term, Promoter: promoter})
}

// Promote makes the fenced member the primary of term. It implements platform.MemberControl.
func (c *Client) Promote(ctx context.Context, m platform.Member, term platform.Term, promoter string) (platform.Status, error) {
	return c.post(ctx, m, PathPromote, FenceRequest{Term: term, Promoter: promoter})
}

// Follow makes the member a replica of primary in term. It implements platform.MemberControl.
func (c *Client) Follow(ctx context.Context, m platform.Member, term platform.Term, primary platform.Member) (platform.Status, error) {
	return c.post(ctx, m, PathFollow, FollowRequest{Term: term, Primary: primary})
}

func (c *Client) post(ctx context.Context, m platform.Member, path string, body any) (platform.Status, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return platform.Status{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return c.control(ctx, call{method: http.MethodPost, url: controlURL(m, path), header: h, body: b, mutates: true})
}

// control sends a request to a member. A refusal (ErrFenced) carries the member's status as well.
func (c *Client) control(ctx context.Context, k call) (platform.Status, error) {
	k.limit = MaxStatusBytes
	a, err := c.do(ctx, k)
	if err != nil {
		return platform.Status{}, err
	}
	return decodeStatus(k, a)
}

func decodeStatus(k call, a answer) (platform.Status, error) {
	serr := statusError(k, a)
	if serr != nil && a.status != http.StatusConflict {
		return platform.Status{}, serr
	}
	var s platform.Status
	if err := json.Unmarshal(a.body, &s); err != nil && serr == nil {
		base := platform.ErrUnavailable
		if k.mutates {
			base = platform.ErrOutcomeUnknown
		}
		return platform.Status{}, fmt.Errorf("%w: %w", base, err)
	}
	return s, serr
}

func controlURL(m platform.Member, path string) string { return "http://" + m.ControlAddr + path }
