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

// taggedStatus is a member's status and the entity tag that it came with.
type taggedStatus struct {
	tag    string
	status platform.Status
}

// Status returns the member's status, at once or, if wait has a timeout, after a long poll. It implements
// platform.MemberControl.
func (c *Client) Status(ctx context.Context, m platform.Member, wait platform.StatusWait) (platform.Status, error) {
	spec := requestSpec{method: http.MethodGet, url: controlURL(m, PathStatus), longPollWait: wait.Timeout, maxBody: MaxStatusBytes}
	if wait.Timeout <= 0 {
		return c.pollStatus(ctx, m, spec)
	}
	q := url.Values{}
	q.Set(QueryAfter, strconv.FormatUint(uint64(wait.After), 10))
	q.Set(QueryWait, strconv.FormatInt(wait.Timeout.Milliseconds(), 10))
	spec.url += "?" + q.Encode()
	return c.sendControl(ctx, spec)
}

// pollStatus asks for the status only if it has changed since the last poll, because these polls are most of the control
// traffic and nearly all of them find nothing new. If the member sends no strong entity tag, each poll reads the whole
// status. Long polls are unconditional: most of them bring a change, and the tags would cost more than they save.
func (c *Client) pollStatus(ctx context.Context, m platform.Member, spec requestSpec) (platform.Status, error) {
	h := c.host(m.ControlAddr)
	last := h.lastStatus.Load()
	if last != nil && last.status.Member == m.Name {
		spec.header = http.Header{"If-None-Match": {last.tag}}
	}
	resp, err := c.send(ctx, spec)
	if err != nil {
		return platform.Status{}, err
	}
	if spec.header != nil && resp.status == http.StatusNotModified {
		return last.status, nil
	}
	s, err := decodeStatus(spec, resp)
	if tag := resp.header.Get("ETag"); err == nil && strings.HasPrefix(tag, `"`) {
		h.lastStatus.Store(&taggedStatus{tag, s})
	}
	return s, err
}

// Fence raises the member's fence to term. It implements platform.MemberControl.
func (c *Client) Fence(ctx context.Context, m platform.Member, term platform.Term, promoterID string) (platform.Status, error) {
	return c.postControl(ctx, m, PathFence, FenceRequest{Term: term, Promoter: promoterID})
}

// Promote makes the fenced member the primary of term. It implements platform.MemberControl.
func (c *Client) Promote(ctx context.Context, m platform.Member, term platform.Term, promoterID string) (platform.Status, error) {
	return c.postControl(ctx, m, PathPromote, FenceRequest{Term: term, Promoter: promoterID})
}

// Follow makes the member a replica of primary in term. It implements platform.MemberControl.
func (c *Client) Follow(ctx context.Context, m platform.Member, term platform.Term, primary platform.Member) (platform.Status, error) {
	return c.postControl(ctx, m, PathFollow, FollowRequest{Term: term, Primary: primary})
}

func (c *Client) postControl(ctx context.Context, m platform.Member, path string, body any) (platform.Status, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return platform.Status{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return c.sendControl(ctx, requestSpec{method: http.MethodPost, url: controlURL(m, path), header: h, body: b, mutates: true})
}

// sendControl sends a request to a member and returns the status that it answers. With ErrFenced, which means that the
// member refused, it returns that status too.
func (c *Client) sendControl(ctx context.Context, spec requestSpec) (platform.Status, error) {
	spec.maxBody = MaxStatusBytes
	resp, err := c.send(ctx, spec)
	if err != nil {
		return platform.Status{}, err
	}
	return decodeStatus(spec, resp)
}

func decodeStatus(spec requestSpec, resp response) (platform.Status, error) {
	statusErr := statusError(spec, resp)
	if statusErr != nil && resp.status != http.StatusConflict {
		return platform.Status{}, statusErr
	}
	var s platform.Status
	if err := json.Unmarshal(resp.body, &s); err != nil && statusErr == nil {
		base := platform.ErrUnavailable
		if spec.mutates {
			base = platform.ErrOutcomeUnknown
		}
		return platform.Status{}, fmt.Errorf("%w: %w", base, err)
	}
	return s, statusErr
}

func controlURL(m platform.Member, path string) string { return "http://" + m.ControlAddr + path }
