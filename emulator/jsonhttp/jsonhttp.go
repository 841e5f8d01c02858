// Package jsonhttp reads and writes the JSON bodies of the emulators' HTTP handlers, whatever their paths and types. It
// is not part of the product.
package jsonhttp

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Write answers with the status and the JSON encoding of v. It ignores errors of the connection, which the client
// notices itself.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the body of a request into v. It answers with status 400 and returns false when the body is longer than
// limit bytes, malformed, or has unknown fields.
func Read(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return false
	}
	return true
}
