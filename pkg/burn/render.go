package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

//go:embed report.html
var pageText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent":  percent,
	"ratio":    ratio,
	"duration": roundDuration,
	"time":     formatTime,
	"list":     joinNames,
	"bar":      newTargetBar,
	"loss":     causeBars,
}).Parse(pageText))

// WriteHTML writes the report as an HTML page that loads no other resources.
func (r *Report) WriteHTML(w io.Writer) error { return pageTemplate.Execute(w, r) }

// WriteTable writes the report as plain-text tables, one for each window.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "Requests counted since %s by %s\n", formatTime(r.Earliest), joinNames(r.Answered))
	if len(r.Missing) > 0 {
		fmt.Fprintf(w, "No answer from %s: their requests are not counted\n", joinNames(r.Missing))
	}
	for _, entry := range r.Ignored {
		fmt.Fprintf(w, "Not counted, since the configuration's entry cannot be used: %s\n", entry)
	}
	for _, report := range r.Windows {
		fmt.Fprintf(w, "\nLast %s: the counts cover %s of this time over all daemons\n", report.Window, percent(report.Covered))
		fmt.Fprintln(w, "CLASS\tRANK\tTARGET\tREQUESTS\tMET\tBURN RATE\tBUDGET LEFT\tP50\tP99\tMAIN CAUSE")
		for _, c := range report.Classes {
			fmt.Fprintf(w, "%s\t%s\t%s in %v\t%d\t%s\t%s\t%s\t%v\t%v\t%s\n", c.Name, c.Rank, percent(c.Reliability), c.Latency,
				c.Total, percent(c.Share), ratio(c.BurnRate), percent(c.BudgetLeft), roundDuration(c.P50), roundDuration(c.P99),
				c.MainCause)
		}
	}
	return w.Flush()
}

func percent(v float64) string { return strings.TrimSuffix(fmt.Sprintf("%.2f", 100*v), ".00") + "%" }

func ratio(v float64) string { return fmt.Sprintf("%.2f", v) }

func roundDuration(d time.Duration) time.Duration { return d.Round(latencyUnit) }

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "none"
	}
	return t.UTC().Format(time.RFC3339)
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// barWidth is the width of a full bar on the HTML page, in pixels. report.html repeats it.
const barWidth = 240

// targetBar is the bar that shows which share of a class's requests met the target. Good is the width of that share and
// Mark the position of the target, both in pixels. Met reports whether the share reaches the target.
type targetBar struct {
	Good, Mark int
	Met        bool
}

// newTargetBar returns the bar for a class. A share of 0 gives an empty bar and a share of 1 a full one.
func newTargetBar(c ClassReport) targetBar {
	return targetBar{Good: int(c.Share * barWidth), Mark: int(c.Reliability * barWidth), Met: c.Share >= c.Reliability}
}

// causeBar is the part of a bar that shows the bad requests of one cause. From and Width are in pixels; Index selects
// the colour.
type causeBar struct {
	Cause       string
	Index       int
	From, Width int
	Count       uint64
}

// causeBars splits a bar between the causes in proportion to their bad requests.
func causeBars(c ClassReport) []causeBar {
	var total uint64
	for _, count := range c.BadByCause {
		total += count
	}
	var bars []causeBar
	offset := 0
	for i, name := range causeNames {
		if count := c.BadByCause[name]; count > 0 {
			width := max(int(float64(count)/float64(total)*barWidth), 1)
			bars = append(bars, causeBar{Cause: name, Index: i, From: offset, Width: width, Count: count})
			offset += width
		}
	}
	return bars
}
