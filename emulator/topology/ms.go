package topology

import (
	"encoding/json"
	"time"
)

// Ms is a duration that is encoded in JSON as a number of milliseconds.
type Ms time.Duration

// MarshalJSON encodes the duration as a number of milliseconds.
func (m Ms) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(m) / float64(time.Millisecond))
}

// UnmarshalJSON decodes the duration from a number of milliseconds.
func (m *Ms) UnmarshalJSON(b []byte) error {
	var f float64
	if err := json.Unmarshal(b, &f); err != nil {
		return err
	}
	*m = Ms(f * float64(time.Millisecond))
	return nil
}
