package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

func (c *Client) platformURL(path, name string) string {
	return strings.TrimSuffix(c.opts.BaseURL, "/") + path + url.PathEscape(name)
}

// Get returns the row with the key. It implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	spec := requestSpec{method: http.MethodGet, url: c.platformURL(PathTable, key), maxBody: MaxRowBytes}
	resp, err := c.sendExpectingSuccess(ctx, spec)
	if err != nil {
		return platform.Row{}, err
	}
	v, err := ParseETag(resp.header.Get("ETag"))
	if err != nil {
		return platform.Row{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return platform.Row{Value: resp.body, Version: v}, nil
}

// Put stores value if the row's version is ifVersion. It implements platform.Table.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxRowBytes {
		return 0, fmt.Errorf("%w: value of %d bytes exceeds the row limit of %d", platform.ErrUnavailable, len(value), MaxRowBytes)
	}
	h := http.Header{}
	if ifVersion == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", FormatETag(ifVersion))
	}
	spec := requestSpec{method: http.MethodPut, url: c.platformURL(PathTable, key), header: h, body: value, maxBody: MaxStatusBytes, mutates: true}
	resp, err := c.sendExpectingSuccess(ctx, spec)
	if err != nil {
		return 0, err
	}
	v, err := ParseETag(resp.header.Get("ETag"))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return v, nil
}

// GetObject returns an object. It implements platform.ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	spec := requestSpec{method: http.MethodGet, url: c.platformURL(PathObjects, name), maxBody: MaxObjectBytes}
	resp, err := c.sendExpectingSuccess(ctx, spec)
	return resp.body, err
}

// PutObject stores an object. It implements platform.ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	spec := requestSpec{method: http.MethodPut, url: c.platformURL(PathObjects, name), body: data, maxBody: MaxStatusBytes, mutates: true}
	_, err := c.sendExpectingSuccess(ctx, spec)
	return err
}

// VMs returns the platform's list of entry VMs. It implements platform.Directory. An unchanged list is returned as the
// same slice, which callers must not change.
func (c *Client) VMs(ctx context.Context) ([]platform.VM, error) {
	return fetchList(ctx, c, PathVMs, &c.vms)
}

// Services returns the platform's list of services. It implements platform.Directory. An unchanged list is returned as
// the same slice, which callers must not change.
func (c *Client) Services(ctx context.Context) ([]platform.Service, error) {
	return fetchList(ctx, c, PathServices, &c.services)
}

// cachedList is the last list received and its entity tag.
type cachedList[T any] struct {
	tag   string
	items []T
}

// fetchList asks for the list only if it has changed since the last answer: 670 VMs that poll 1,200 services in full every
// 5 s would read 171 KB/s each. If the platform sends no entity tag, each call reads the whole list.
func fetchList[T any](ctx context.Context, c *Client, path string, cache *atomic.Pointer[cachedList[T]]) ([]T, error) {
	spec := requestSpec{method: http.MethodGet, url: c.platformURL(path, ""), maxBody: MaxListBytes}
	last := cache.Load()
	if last != nil {
		spec.header = http.Header{"If-None-Match": {last.tag}}
	}
	resp, err := c.send(ctx, spec)
	if err != nil {
		return nil, err
	}
	if last != nil && resp.status == http.StatusNotModified {
		return last.items, nil
	}
	if err := statusError(spec, resp); err != nil {
		return nil, err
	}
	var out []T
	if err := json.Unmarshal(resp.body, &out); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", platform.ErrUnavailable, path, err)
	}
	if tag := resp.header.Get("ETag"); tag != "" {
		cache.Store(&cachedList[T]{tag, out})
	} else {
		cache.Store(nil)
	}
	return out, nil
}

// sendExpectingSuccess sends a request and returns an error for any status other than 2xx.
func (c *Client) sendExpectingSuccess(ctx context.Context, spec requestSpec) (response, error) {
	resp, err := c.send(ctx, spec)
	if err != nil {
		return response{}, err
	}
	if err := statusError(spec, resp); err != nil {
		return response{}, err
	}
	return resp, nil
}

// FormatETag returns the entity tag of a row version.
func FormatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// ParseETag returns the row version of an entity tag made by FormatETag.
func ParseETag(tag string) (uint64, error) {
	s, ok := strings.CutPrefix(tag, `"`)
	if s, ok2 := strings.CutSuffix(s, `"`); ok && ok2 {
		return strconv.ParseUint(s, 10, 64)
	}
	return 0, fmt.Errorf("malformed entity tag %q", tag)
}
