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

const validDocument = `{"default": "a", "classes": [{"name": "a", "rank": "urgent", "access": "read",
  "target": {"latency": "50ms", "reliability": 0.99}}]}`

// fakeConfigManager refuses every change with err, or accepts it if err is nil.
type fakeConfigManager struct {
	stored     *clusterconfig.Document
	err        error
	lastChange Change
}

func (f *fakeConfigManager) Installed() *clusterconfig.Document { return f.stored }
func (f *fakeConfigManager) Stored(context.Context) (*clusterconfig.Document, error) {
	return f.stored, nil
}
func (f *fakeConfigManager) History(context.Context, int) ([]*clusterconfig.Document, error) {
	return []*clusterconfig.Document{f.stored}, nil
}
func (f *fakeConfigManager) Apply(_ context.Context, c Change) (*clusterconfig.Document, error) {
	f.lastChange = c
	if f.err != nil {
		return nil, f.err
	}
	c.Document.Version = c.IfVersion + 1
	return c.Document, nil
}

func sendRequest(handler http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, req)
	return recorder
}

// Operators' requests and profiles must require the token. Health checks and metrics must not.
func TestAuthentication(t *testing.T) {
	options := Options{Token: "secret", PProf: true, Gatherer: prometheus.NewRegistry(), Config: &fakeConfigManager{}}
	handler := New(options).Handler()
	for _, path := range []string{"/v1/config", "/v1/vms", "/v1/none", "/debug/pprof/", "/debug/pprof/cmdline"} {
		for _, given := range []string{"", "Bearer ", "Bearer wrong", "secret"} {
			require.Equal(t, http.StatusUnauthorized, sendRequest(handler, "GET", path, "", "Authorization", given).Code, path)
		}
	}
	require.Equal(t, http.StatusOK, sendRequest(handler, "GET", "/v1/config", "", "Authorization", "Bearer secret").Code)
	require.Equal(t, http.StatusOK, sendRequest(handler, "GET", "/debug/pprof/cmdline", "", "Authorization", "Bearer secret").Code)
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		require.Equal(t, http.StatusOK, sendRequest(handler, "GET", path, "").Code, path)
	}
	options.PProf = false
	require.Equal(t, http.StatusNotFound, sendRequest(New(options).Handler(), "GET", "/debug/pprof/", "", "Authorization", "Bearer secret").Code)
}

// While one of its parts is missing, a daemon must not report itself ready: it would be sent callers.
func TestReadyzNamesFailedCheck(t *testing.T) {
	handler := New(Options{Checks: []Check{
		{Name: "configuration", Probe: func() error { return errors.New("none installed") }},
		{Name: "platform", Probe: func() error { return nil }},
	}}).Handler()
	w := sendRequest(handler, "GET", "/readyz", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.JSONEq(t, `[{"name":"configuration","error":"none installed"},{"name":"platform"}]`, w.Body.String())
	w = sendRequest(handler, "GET", "/v1/vms", "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), errkind.NotReady.Code)
}

// A change without a version or operation id, or with a document that is too large or invalid, must not be accepted.
// Errors of the table service must reach the operator.
func TestPostConfig(t *testing.T) {
	config := &fakeConfigManager{stored: &clusterconfig.Document{Version: 7, Author: "other"}}
	handler := New(Options{Config: config}).Handler()
	validHeaders := []string{"If-Match", `"6"`, HeaderOperationID, "op", HeaderAuthor, "me"}
	for name, testCase := range map[string]struct {
		body   string
		header []string
		err    error
		status int
		code   string
	}{
		"accepted":     {validDocument, validHeaders, nil, 200, ""},
		"no version":   {validDocument, validHeaders[2:], nil, 428, CodeBadRequest},
		"no operation": {validDocument, validHeaders[:2], nil, 400, CodeBadRequest},
		"invalid":      {`{"default": "b"}`, validHeaders, nil, 422, errkind.ConfigInvalid.Code},
		"too large":    {strings.Repeat(" ", clusterconfig.MaxStoredBytes+1), validHeaders, nil, 413, CodeBodyTooLarge},
		"conflict":     {validDocument, validHeaders, errkind.New(errkind.ConfigConflict, "version 7"), 409, errkind.ConfigConflict.Code},
		"lost answer":  {validDocument, validHeaders, errkind.New(errkind.StoreOutcomeUnknown, "no answer"), 504, errkind.StoreOutcomeUnknown.Code},
		"store down":   {validDocument, validHeaders, errkind.New(errkind.StoreUnavailable, "down"), 503, errkind.StoreUnavailable.Code},
	} {
		config.err = testCase.err
		w := sendRequest(handler, "POST", "/v1/config", testCase.body, testCase.header...)
		require.Equal(t, testCase.status, w.Code, name)
		var response ErrorResponse
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &response), name)
		require.Equal(t, testCase.code, response.Code, name)
		if testCase.code != "" {
			require.NotEmpty(t, response.Remedy, name)
		}
		if testCase.status == http.StatusConflict {
			require.Equal(t, "other", response.Current.Author)
		}
	}
	require.Equal(t, "op", config.lastChange.OperationID)
	require.EqualValues(t, 6, config.lastChange.IfVersion)
}

// Guards against a server that does not listen after Start or still listens after Stop.
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
