package netfault

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// setJSONBody replaces the body of a response by the JSON encoding of v.
func setJSONBody(r *http.Response, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	r.ContentLength = int64(len(data))
	r.Header.Set("Content-Length", strconv.Itoa(len(data)))
	return nil
}
