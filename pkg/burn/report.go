package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Report is the result of merging the snapshots of several daemons.
type Report struct {
	Taken    time.Time      `json:"taken"`
	Answered []string       `json:"answered"` // VMs whose counts are included
	Missing  []string       `json:"missing"`  // VMs that did not answer or whose answer could not be read
	Earliest time.Time      `json:"earliest"` // earliest start of the counts included
	Windows  []WindowReport `json:"windows"`
	Ignored  []string       `json:"ignored,omitempty"` // entries of the configuration that cannot be used, by any daemon
}

// WindowReport is the report of one window.
type WindowReport struct {
	Window string `json:"window"`
	// Covered is the time for which there are counts, summed over the daemons, as a share of the window's length times
	// the number of all daemons, whether they answered or not. A daemon that was replaced or restarted has lost its
	// earlier counts, which lowers the share.
	Covered float64       `json:"covered"`
	Classes []ClassReport `json:"classes"`
}

// ClassReport is the report of one class in one window. Total counts all requests, Good those that met the target, and
// BadByCause the others, by cause.
type ClassReport struct {
	Class
	Total uint64  `json:"total"`
	Good  uint64  `json:"good"`
	Share float64 `json:"share"` // share of the requests that met the target; 1 if there were none
	// BurnRate is the speed at which the error budget is used; at 1 it is used up exactly at the end of the window.
	BurnRate float64 `json:"burnRate"`
	// BudgetLeft is the share of the window's error budget that is left; negative if more than the budget was used.
	BudgetLeft float64           `json:"budgetLeft"`
	MainCause  string            `json:"mainCause"`      // cause of most bad requests; empty if there were none
	BadByCause map[string]uint64 `json:"lost,omitempty"` // requests that failed or missed the target, by cause
	P50        time.Duration     `json:"p50"`
	P99        time.Duration     `json:"p99"`
}

// Merge builds the report from the snapshots of the VMs that answered. missing names the VMs that did not answer. A VM
// whose snapshot cannot be read is reported as missing.
func Merge(taken time.Time, snapshots []*Snapshot, missing []string) *Report {
	r := &Report{Taken: taken, Missing: slices.Clone(missing)}
	sums := map[string]*classSum{}
	var readable []*Snapshot
	for _, s := range snapshots {
		decoded, err := decodeSnapshot(s)
		if err != nil {
			r.Missing = append(r.Missing, s.VM)
			continue
		}
		readable = append(readable, s)
		for i := range s.Classes {
			addClassSnapshot(sums, &s.Classes[i], decoded[i])
		}
	}
	for _, s := range readable {
		r.Answered = append(r.Answered, s.VM)
		r.Ignored = append(r.Ignored, s.Ignored...)
		if r.Earliest.IsZero() || s.Started.Before(r.Earliest) {
			r.Earliest = s.Started
		}
	}
	slices.Sort(r.Answered)
	slices.Sort(r.Missing)
	slices.Sort(r.Ignored)
	r.Ignored = slices.Compact(r.Ignored)
	for i, w := range windows {
		r.Windows = append(r.Windows, WindowReport{
			Window: w.name, Covered: coveredShare(w, readable, len(r.Missing)), Classes: classReports(sums, i),
		})
	}
	return r
}

// classSum holds the counts of one class in each window, summed over all daemons.
type classSum struct {
	class  Class
	counts [len(windows)]counts
}

// decodeSnapshot decodes the counts of all classes before any of them is used, so that a damaged snapshot is left out as a
// whole. The result is indexed by class and window. Windows that this program does not know are ignored.
func decodeSnapshot(s *Snapshot) ([][len(windows)]counts, error) {
	out := make([][len(windows)]counts, len(s.Classes))
	for i := range s.Classes {
		for k := range s.Classes[i].Windows {
			windowCounts := &s.Classes[i].Windows[k]
			index := slices.IndexFunc(windows[:], func(known window) bool { return known.name == windowCounts.Window })
			if index < 0 {
				continue
			}
			decoded, err := windowCounts.decode()
			if err != nil {
				return nil, err
			}
			out[i][index] = decoded
		}
	}
	return out, nil
}

// addClassSnapshot adds the decoded counts of one class and daemon to the class's sum.
func addClassSnapshot(sums map[string]*classSum, classSnapshot *ClassSnapshot, decoded [len(windows)]counts) {
	sum := sums[classSnapshot.Name]
	if sum == nil {
		sum = &classSum{class: classSnapshot.Class}
		sums[classSnapshot.Name] = sum
	}
	for i := range decoded {
		sum.counts[i].merge(&decoded[i])
	}
}

// coveredShare returns WindowReport.Covered: the share of the window, over all daemons, for which the snapshots hold counts.
func coveredShare(w window, snapshots []*Snapshot, missing int) float64 {
	daemons := len(snapshots) + missing
	if daemons == 0 {
		return 0
	}
	var sum time.Duration
	for _, s := range snapshots {
		sum += min(max(s.Taken.Sub(s.Started), 0), w.length)
	}
	return sum.Seconds() / (w.length.Seconds() * float64(daemons))
}

// classReports returns the reports of all classes for the window with the given index, by rank and then by name.
func classReports(sums map[string]*classSum, window int) []ClassReport {
	reports := make([]ClassReport, 0, len(sums))
	for _, sum := range sums {
		reports = append(reports, classReport(sum.class, &sum.counts[window]))
	}
	slices.SortFunc(reports, func(a, b ClassReport) int {
		rankA, _ := unit.ParseRank(a.Rank)
		rankB, _ := unit.ParseRank(b.Rank)
		return cmp.Or(cmp.Compare(rankA, rankB), cmp.Compare(a.Name, b.Name))
	})
	return reports
}

// classReport returns the report of a class whose counts in one window, summed over all daemons, are given.
func classReport(class Class, classCounts *counts) ClassReport {
	report := ClassReport{Class: class, Total: classCounts.total, Good: classCounts.good, Share: 1, BudgetLeft: 1}
	if classCounts.total == 0 {
		return report
	}
	report.Share = float64(classCounts.good) / float64(classCounts.total)
	if allowed := 1 - class.Reliability; allowed > 0 {
		report.BurnRate = float64(classCounts.total-min(classCounts.good, classCounts.total)) / float64(classCounts.total) / allowed
		report.BudgetLeft = 1 - report.BurnRate
	}
	report.BadByCause = map[string]uint64{}
	var maxBad uint64
	for cause, n := range classCounts.badByCause {
		if n == 0 {
			continue
		}
		report.BadByCause[Cause(cause).String()] = n
		if n > maxBad {
			maxBad, report.MainCause = n, Cause(cause).String()
		}
	}
	if classCounts.latency != nil {
		report.P50 = time.Duration(classCounts.latency.ValueAtQuantile(50)) * latencyUnit
		report.P99 = time.Duration(classCounts.latency.ValueAtQuantile(99)) * latencyUnit
	}
	return report
}
