package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const document = `{"default": "a", "classes": [{"name": "a", "rank": "urgent", "access": "read",
  "target": {"latency": "50ms", "reliability": 0.99}}]}`

// fakeConfig refuses every change with err, or accepts it.
type fakeConfig struct {
	stored *clusterconfig.Document
	err    error
	got    Change
}

func (f *fakeConfig) Installed() *clusterconfig.Document { return f.stored }
func (f *fakeConfig) Stored(context.Context) (*clusterconfig.Document, error) {
	return f.stored, nil
}
func (f *fakeConfig) History(context.Context, int) ([]*clusterconfig.Document, error) {
	return []*clusterconfig.Document{f.stored}, nil
}
func (f *fakeConfig) Apply(_ context.Context, c Change) (*clusterconfig.Document, error) {
	f.got = c
	if f.err != nil {
		return nil, f.err
	}
	c.Document.Version = c.IfVersion + 1
	return c.Document, nil
}

func do(h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

// Guards against operators' calls and profiles without the token, and against checks that need it.
func TestAuthentication(t *testing.T) {
	o := Options{Token: "secret", PProf: true, Gatherer: prometheus.NewRegistry(), Config: &fakeConfig{}}
	h := New(o).Handler()
	for _, path := range []string{"/v1/config", "/v1/vms", "/v1/none", "/debug/pprof/", "/debug/pprof/cmdline"} {
		for _, given := range []string{"", "Bearer ", "Bearer wrong", "secret"} {
			require.Equal(t, http.StatusUnauthorized, do(h, "GET", path, "", "Authorization", given).Code, path)
		}
	}
	require.Equal(t, http.StatusOK, do(h, "GET", "/v1/config", "", "Authorization", "Bearer secret").Code)
	require.Equal(t, http.StatusOK, do(h, "GET", "/debug/pprof/cmdline", "", "Authorization", "Bearer secret").Code)
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		require.Equal(t, http.StatusOK, do(h, "GET", path, "").Code, path)
	}
	o.PProf = false
	require.Equal(t, http.StatusNotFound, do(New(o).Handler(), "GET", "/debug/pprof/", "", "Authorization", "Bearer secret").Code)
}

// Guards against a daemon that takes callers while a part is missing.
func TestReadyzNamesFailedCheck(t *testing.T) {
	h := New(Options{Checks: []Check{
		{Name: "configuration", Probe: func() error { return errors.New("none installed") }},
		{Name: "platform", Probe: func() error { return nil }},
	}}).Handler()
	w := do(h, "GET", "/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.JSONEq(t, `[{"name":"configuration","error":"none installed"},{"name":"platform"}]`, w.Body.String())
	w = do(h, "GET", "/v1/vms", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), errkind.NotReady.Code)
}

// Guards against changes without a version or operation id, oversized or invalid documents, and lost refusals.
func TestPostConfig(t *testing.T) {
	f := &fakeConfig{stored: &clusterconfig.Document{Version: 7, Author: "other"}}
	h := New(Options{Config: f}).Handler()
	valid := []string{"If-Match", `"6"`, HeaderOperationID, "op", HeaderAuthor, "me"}
	for name, c := range map[string]struct {
		body   string
		header []string
		err    error
		status int
		code   string
	}{
		"accepted":     {document, valid, nil, 200, ""},
		"no version":   {document, valid[2:], nil, 428, CodeBadRequest},
		"no operation": {document, valid[:2], nil, 400, CodeBadRequest},
		"invalid":      {`{"default": "b"}`, valid, nil, 422, errkind.ConfigInvalid.Code},
		"too large":    {strings.Repeat(" ", clusterconfig.MaxDocumentBytes+1), valid, nil, 413, CodeTooLarge},
		"conflict":     {document, valid, errkind.New(errkind.ConfigConflict, "version 7"), 409, errkind.ConfigConflict.Code},
		"lost answer":  {document, valid, errkind.New(errkind.StoreOutcomeUnknown, "no answer"), 504, errkind.StoreOutcomeUnknown.Code},
		"store down":   {document, valid, errkind.New(errkind.StoreUnavailable, "down"), 503, errkind.StoreUnavailable.Code},
	} {
		f.err = c.err
		w := do(h, "POST", "/v1/config", c.body, c.header...)
		require.Equal(t, c.status, w.Code, name)
		var e Error
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &e), name)
		require.Equal(t, c.code, e.Code, name)
		if c.code != "" {
			require.NotEmpty(t, e.Remedy, name)
		}
		if c.status == http.StatusConflict {
			require.Equal(t, "other", e.Current.Author)
		}
	}
	require.Equal(t, "op", f.got.OperationID)
	require.EqualValues(t, 6, f.got.IfVersion)
}

// Guards against a server that does not listen or does not stop.
func TestStartStop(t *testing.T) {
	s := New(Options{Addr: "127.0.0.1:0"})
	require.NoError(t, s.Start(context.Background()))
	resp, err := http.Get("http://" + s.Addr() + "/healthz")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, s.Stop(context.Background()))
	_, err = http.Get("http://" + s.Addr() + "/healthz")
	require.Error(t, err)
}
