// Package capacity measures what each role of a daemon costs and what the proxy costs per statement. Most measurements are
// made at several sizes and give the cost as a slope over them. They run the product's packages in this process, or daemons
// as processes on loopback. The package is not part of the product.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Point holds the values of one measurement. X is the size that was measured.
type Point struct {
	X      float64            `json:"x"`
	Values map[string]float64 `json:"values"`
}

// Report holds the points of all measurements of one command and the lines fitted to them.
type Report struct {
	Name       string            `json:"name"`
	X          string            `json:"x"` // what the sizes of the points count
	Started    time.Time         `json:"started"`
	Seconds    float64           `json:"seconds"`
	Cores      int               `json:"cores"`
	LoadBefore string            `json:"loadBefore"` // load averages over 1, 5 and 15 minutes
	LoadAfter  string            `json:"loadAfter"`
	Points     []Point           `json:"points"`
	Fits       map[string]Fit    `json:"fits"`
	Notes      map[string]string `json:"notes,omitempty"` // explanations, by the value or subject that they explain
}

// NewReport starts a report. x says what its sizes count.
func NewReport(name, x string) *Report {
	return &Report{
		Name: name, X: x, Started: time.Now().UTC().Truncate(time.Second), Cores: runtime.NumCPU(),
		LoadBefore: loadAverage(), Fits: map[string]Fit{}, Notes: map[string]string{},
	}
}

// Add records one measurement.
func (r *Report) Add(x float64, values map[string]float64) {
	r.Points = append(r.Points, Point{x, values})
}

// Finish ends the report and fits a line to each value that was measured at two or more points.
func (r *Report) Finish() {
	r.Seconds = time.Since(r.Started).Seconds()
	r.LoadAfter = loadAverage()
	xs, ys := map[string][]float64{}, map[string][]float64{}
	for _, p := range r.Points {
		for name, v := range p.Values {
			xs[name] = append(xs[name], p.X)
			ys[name] = append(ys[name], v)
		}
	}
	for name := range xs {
		if len(xs[name]) > 1 {
			r.Fits[name] = LeastSquares(xs[name], ys[name])
		}
	}
}

// Print writes the points and the fits as a table, with a line for each note.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s (load average %s before, %s after)\n", r.Name, r.LoadBefore, r.LoadAfter)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	names := r.valueNames()
	fmt.Fprintf(table, "%s\t%s\t\n", r.X, strings.Join(names, "\t"))
	for _, p := range r.Points {
		fmt.Fprintf(table, "%g", p.X)
		for _, n := range names {
			if v, ok := p.Values[n]; ok {
				fmt.Fprintf(table, "\t%.4g", v)
			} else {
				fmt.Fprint(table, "\t-")
			}
		}
		fmt.Fprintln(table, "\t")
	}
	r.printFits(table, names)
	_ = table.Flush()
	for n, text := range r.Notes {
		fmt.Fprintf(out, "note %s: %s\n", n, text)
	}
}

// printFits writes a row each for the slopes, their standard errors and the intercepts.
func (r *Report) printFits(w io.Writer, names []string) {
	rows := []struct {
		name  string
		value func(Fit) float64
	}{
		{"slope", func(f Fit) float64 { return f.Slope }},
		{"standard error", func(f Fit) float64 { return f.SlopeStdErr }},
		{"intercept", func(f Fit) float64 { return f.Intercept }},
	}
	for _, row := range rows {
		fmt.Fprint(w, row.name)
		for _, n := range names {
			fmt.Fprintf(w, "\t%.4g", row.value(r.Fits[n]))
		}
		fmt.Fprintln(w, "\t")
	}
}

// valueNames returns the sorted names of the values of all points.
func (r *Report) valueNames() []string {
	seen := map[string]bool{}
	var out []string
	for _, p := range r.Points {
		for n := range p.Values {
			if !seen[n] {
				seen[n] = true
				out = append(out, n)
			}
		}
	}
	sort.Strings(out)
	return out
}

// Permissions of saved reports and of their directory.
const (
	fileMode = 0o644
	dirMode  = 0o755
)

// Save writes the report as JSON to the file in dir that is called after the report, and creates dir if needed.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Name+".json"), append(b, '\n'), fileMode)
}

// loadAverage returns the load averages over 1, 5 and 15 minutes, or "unknown".
func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
