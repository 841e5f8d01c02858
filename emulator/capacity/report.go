// Package capacity measures what the roles of a daemon cost, as slopes over several sizes, and what the proxy costs
// per statement. It runs the product's packages in one process, or daemons on loopback. It is not part of the product.
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

// Point is one measurement at one size.
type Point struct {
	X      float64            `json:"x"`
	Values map[string]float64 `json:"values"`
}

// Report is the outcome of one command.
type Report struct {
	Name       string            `json:"name"`
	X          string            `json:"x"` // what the sizes count
	Started    time.Time         `json:"started"`
	Seconds    float64           `json:"seconds"`
	Cores      int               `json:"cores"`
	LoadBefore string            `json:"loadBefore"` // load averages over 1, 5 and 15 minutes
	LoadAfter  string            `json:"loadAfter"`
	Points     []Point           `json:"points"`
	Fits       map[string]Fit    `json:"fits"`
	Notes      map[string]string `json:"notes,omitempty"`
}

// NewReport starts a report whose sizes count x.
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

// Finish fits a line to each value that was measured at two or more sizes.
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

// Print writes points and fits as a table.
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

const (
	fileMode = 0o644
	dirMode  = 0o755
)

// Save writes the report as dir/NAME.json.
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

func loadAverage() string {
	content, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
