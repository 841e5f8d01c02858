package unit

import (
	"fmt"
	"time"
)

// AgeLimit is the maximum age of the data that a read accepts. The zero value states no limit, as an absent field of a
// document does. NoAge states that nothing acknowledged before the read may be missing. It is the shortest limit above zero,
// in documents and messages too, so that builds that read 0 as "no limit" do not weaken it.
type AgeLimit time.Duration

// NoAge is the limit that only a confirmed primary satisfies.
const NoAge AgeLimit = 1

// LimitAge returns the stated limit d. Negative limits are kept for validation to refuse.
func LimitAge(d time.Duration) AgeLimit {
	if d == 0 {
		return NoAge
	}
	return AgeLimit(d)
}

// Stated reports whether there is a limit.
func (l AgeLimit) Stated() bool { return l != 0 }

// Allows reports whether the limit admits data of a known age. NoAge admits none: an age counts from a moment before the
// read.
func (l AgeLimit) Allows(age time.Duration) bool {
	return !l.Stated() || l != NoAge && age <= time.Duration(l)
}

// String returns "none", or the limit as a duration.
func (l AgeLimit) String() string {
	switch l {
	case 0:
		return "none"
	case NoAge:
		return "0s"
	}
	return time.Duration(l).String()
}

// MarshalText returns the notation of time.Duration.String. NoAge is written as its own duration, not as 0.
func (l AgeLimit) MarshalText() ([]byte, error) { return []byte(time.Duration(l).String()), nil }

// UnmarshalText parses the notation of time.ParseDuration. Any text states a limit, that of 0 too.
func (l *AgeLimit) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"5s\"", text)
	}
	*l = LimitAge(d)
	return nil
}
