// Package strictjson decodes JSON that may hold comments and trailing commas. Errors name the line, and the error for an
// unknown key suggests the most similar known key.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Unmarshal decodes data into the struct that v points to. It refuses unknown keys and data after the document.
func Unmarshal(data []byte, v any) error {
	// Standardize replaces comments and trailing commas by spaces, so that offsets and line numbers stay the same.
	standardized, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(standardized))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return describeError(standardized, err, decoder.InputOffset(), v)
	}
	if decoder.More() {
		return fmt.Errorf("line %d: data after the end of the document", lineNumber(standardized, decoder.InputOffset()))
	}
	return nil
}

// describeError returns an error that names the line and the key of a decoding error. offset is the decoder's position,
// which is used if the error itself has none.
func describeError(data []byte, err error, offset int64, v any) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return fmt.Errorf("line %d: %w", lineNumber(data, syntaxErr.Offset), err)
	case errors.As(err, &typeErr):
		return fmt.Errorf("line %d: key %q cannot hold a JSON %s", lineNumber(data, typeErr.Offset), typeErr.Field, typeErr.Value)
	}
	key, ok := unknownKey(err)
	if !ok {
		return fmt.Errorf("line %d: %w", lineNumber(data, offset), err)
	}
	position := max(bytes.Index(data, []byte(`"`+key+`"`)), 0)
	return fmt.Errorf("line %d: unknown key %q; the nearest known key is %q", lineNumber(data, int64(position)), key, nearestKey(key, knownKeys(reflect.TypeOf(v), nil)))
}

// unknownKey returns the key that a decoding error reports as unknown. encoding/json has no error type for it, so the key
// is taken from the message.
func unknownKey(err error) (string, bool) {
	_, rest, found := strings.Cut(err.Error(), `unknown field "`)
	return strings.TrimSuffix(rest, `"`), found
}

// lineNumber returns the number of the line that holds the offset, counted from 1.
func lineNumber(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
}

// knownKeys appends the JSON keys of the type and of the types of its fields to keys.
func knownKeys(typ reflect.Type, keys []string) []string {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return knownKeys(typ.Elem(), keys)
	case reflect.Struct:
		for field := range typ.Fields() {
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name == "" || name == "-" {
				continue
			}
			keys = knownKeys(field.Type, append(keys, name))
		}
	}
	return keys
}

// nearestKey returns the known key with the smallest Levenshtein distance from key, ignoring case.
func nearestKey(key string, known []string) string {
	best, bestDistance := "", -1
	for _, candidate := range known {
		if candidateDistance := levenshtein(strings.ToLower(key), strings.ToLower(candidate)); bestDistance < 0 || candidateDistance < bestDistance {
			best, bestDistance = candidate, candidateDistance
		}
	}
	return best
}

// levenshtein returns the Levenshtein distance of two strings, counted in bytes. It keeps one row of the matrix.
func levenshtein(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			distance := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], distance
		}
	}
	return row[len(b)]
}
