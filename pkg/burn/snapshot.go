package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Snapshot holds the counts of one daemon's recorder in a form that can be encoded as JSON.
type Snapshot struct {
	VM      string          `json:"vm"`
	Started time.Time       `json:"started"` // time at which counting began
	Taken   time.Time       `json:"taken"`
	Classes []ClassSnapshot `json:"classes"`
	Ignored []string        `json:"ignored,omitempty"` // entries of the configuration that cannot be used, so that nothing counts for them
}

// ClassSnapshot holds the counts of one class in all windows.
type ClassSnapshot struct {
	Class
	Windows []WindowCounts `json:"windows"`
}

// WindowCounts holds the counts of one class in one window. Total counts all requests, Good those that met the target of the
// class, and BadByCause the others, which failed or missed the target, by cause. Latency is a histogram in the compressed
// encoding of HdrHistogram, or empty if no request was counted.
type WindowCounts struct {
	Window     string            `json:"window"`
	Total      uint64            `json:"total"`
	Good       uint64            `json:"good"`
	BadByCause map[string]uint64 `json:"lost,omitempty"`
	Latency    string            `json:"latency,omitempty"`
}

// Snapshot returns the counts of all classes at the present time.
func (r *Recorder) Snapshot() (*Snapshot, error) {
	now := r.now()
	snap := &Snapshot{VM: r.vm, Started: r.started, Taken: now}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, state := range r.classes {
		c, err := state.snapshot(now.Sub(r.started))
		if err != nil {
			return nil, err
		}
		snap.Classes = append(snap.Classes, c)
	}
	slices.SortFunc(snap.Classes, func(a, b ClassSnapshot) int { return cmp.Compare(a.Name, b.Name) })
	return snap, nil
}

func (s *classState) snapshot(elapsed time.Duration) (ClassSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	classSnapshot := ClassSnapshot{Class: s.class}
	for i := range s.rings {
		s.rings[i].advance(elapsed)
		sum := s.rings[i].sum()
		windowCounts := WindowCounts{Window: s.rings[i].window.name, Total: sum.total, Good: sum.good}
		for cause, n := range sum.badByCause {
			if n > 0 {
				if windowCounts.BadByCause == nil {
					windowCounts.BadByCause = map[string]uint64{}
				}
				windowCounts.BadByCause[Cause(cause).String()] = n
			}
		}
		if sum.total > 0 {
			encoded, err := sum.latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
			if err != nil {
				return classSnapshot, fmt.Errorf("burn: cannot encode the latency histogram: %w", err)
			}
			windowCounts.Latency = string(encoded)
		}
		classSnapshot.Windows = append(classSnapshot.Windows, windowCounts)
	}
	return classSnapshot, nil
}

// decode returns the counts in the form used for merging. It checks the histogram, which came over the network, and counts
// bad requests with an unknown cause under CauseOther.
func (w *WindowCounts) decode() (counts, error) {
	c := counts{total: w.Total, good: w.Good}
	for name, count := range w.BadByCause {
		cause := slices.Index(causeNames[:], name)
		c.badByCause[max(cause, int(CauseOther))] += count
	}
	if w.Latency == "" {
		return c, nil
	}
	histogram, err := hdrhistogram.Decode([]byte(w.Latency))
	if err != nil {
		return c, fmt.Errorf("burn: cannot decode the latency histogram of window %s: %w", w.Window, err)
	}
	c.latency = newHistogram()
	if dropped := c.latency.Merge(histogram); dropped > 0 {
		return c, fmt.Errorf("burn: latency histogram of window %s holds values out of range", w.Window)
	}
	return c, nil
}
