package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
)

// teamRow is a team with what all daemons that answered have admitted, refused and granted since their starts.
type teamRow struct {
	admin.TeamStatus
	AdmittedIn map[string]uint64 `json:"admittedIn"` // by data centre
	GrantedBy  []string          `json:"grantedBy"`  // VMs that have granted tokens as keepers
}

// teams prints the teams with sums over all daemons.
func (t *tool) teams(ctx context.Context, cmd *cli.Command) error {
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	answers, err := getFromAllVMs[[]admin.TeamStatus](ctx, c, "/v1/teams")
	if err != nil {
		return err
	}
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(t.errOut, "%s does not answer; what it has admitted is missing\n", a.vm.Name)
		}
	}
	rows := sumTeams(answers)
	return t.printResult(cmd, rows, func(w io.Writer) {
		fmt.Fprintln(w, "TEAM\tPRIORITY\tKEYS\tLIMIT/S\tBURST\tADMITTED\tREFUSED\tWAITING\tGRANTED\tKEPT BY\tADMITTED IN")
		for _, r := range rows {
			rate, burst := "-", "-"
			if r.Limit != nil {
				rate, burst = fmt.Sprint(r.Limit.PerSecond), fmt.Sprint(r.Limit.Burst)
			}
			var in []string
			for _, dc := range slices.Sorted(maps.Keys(r.AdmittedIn)) {
				in = append(in, fmt.Sprintf("%s=%d", dc, r.AdmittedIn[dc]))
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", r.Name, r.Priority, r.Keys, rate, burst, r.Admitted, r.Refused,
				r.Waiting, r.Granted, orDash(strings.Join(r.GrantedBy, ",")), orDash(strings.Join(in, ",")))
		}
	})
}

// sumTeams sums the answers of all daemons by team, in the order of their names.
func sumTeams(answers []vmAnswer[[]admin.TeamStatus]) []teamRow {
	sums := map[string]*teamRow{}
	for _, a := range answers {
		for _, s := range a.value {
			r := sums[s.Name]
			if r == nil {
				r = &teamRow{AdmittedIn: map[string]uint64{}}
				r.Name, r.Priority, r.Keys, r.Limit = s.Name, s.Priority, s.Keys, s.Limit
				sums[s.Name] = r
			}
			r.Admitted += s.Admitted
			r.Refused += s.Refused
			r.Waiting += s.Waiting
			r.Granted += s.Granted
			if s.Admitted > 0 {
				r.AdmittedIn[a.vm.DataCentre] += s.Admitted
			}
			if s.Granted > 0 {
				r.GrantedBy = append(r.GrantedBy, a.vm.Name)
			}
		}
	}
	rows := []teamRow{}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		rows = append(rows, *sums[name])
	}
	return rows
}
