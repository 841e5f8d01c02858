package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/burn"
)

// maxParallelRequests limits how many daemons are sent a request at the same time.
const maxParallelRequests = 32

// vmAnswer is the answer of one VM's daemon, or the error of the request.
type vmAnswer[T any] struct {
	vm    admin.VM
	value T
	err   error
}

// getFromAllVMs requests path from every VM that the first reachable daemon lists. The answers are in the order of that
// list.
func getFromAllVMs[T any](ctx context.Context, c *client, path string) ([]vmAnswer[T], error) {
	var vms []admin.VM
	if err := c.get(ctx, "/v1/vms", &vms); err != nil {
		return nil, err
	}
	answers := make([]vmAnswer[T], len(vms))
	var g errgroup.Group
	g.SetLimit(maxParallelRequests)
	for i, vm := range vms {
		g.Go(func() error {
			answers[i].vm = vm
			answers[i].err = c.forVM(vm.AdminAddr).get(ctx, path, &answers[i].value)
			return nil
		})
	}
	return answers, g.Wait()
}

func (t *tool) status(ctx context.Context, cmd *cli.Command) error {
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	answers, err := getFromAllVMs[admin.Status](ctx, c, "/v1/status")
	if err != nil {
		return err
	}
	type row struct {
		admin.Status
		Error string `json:"error,omitempty"`
	}
	rows := make([]row, 0, len(answers))
	for _, a := range answers {
		r := row{Status: a.value}
		if a.err != nil {
			r.VM, r.DataCentre, r.Region, r.Error = a.vm.Name, a.vm.DataCentre, a.vm.Region, "no answer"
		}
		rows = append(rows, r)
	}
	return t.printResult(cmd, rows, func(w io.Writer) {
		fmt.Fprintln(w, "VM\tDATA CENTRE\tSTATE\tCONFIG\tCONNECTIONS\tMEMBERS OWNED\tSTARTED")
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.VM, r.DataCentre, stateText(r.Status, r.Error), r.ConfigVersion,
				r.CallerConnections, len(r.MembersOwned), formatTime(r.Started))
		}
		for _, line := range configProblems(answers) {
			fmt.Fprintln(w, line)
		}
	})
}

// configProblems returns a line for each entry of the configuration that daemons ignore, and for each refusal of a whole one.
func configProblems(answers []vmAnswer[admin.Status]) []string {
	lines := map[string]bool{}
	for _, a := range answers {
		for _, entry := range a.value.ConfigIgnored {
			lines["configuration, ignored: "+entry] = true
		}
		if a.value.ConfigRefused != "" {
			lines["configuration, refused by "+a.vm.Name+", which keeps the one before: "+a.value.ConfigRefused] = true
		}
	}
	return slices.Sorted(maps.Keys(lines))
}

// stateText returns the state of a daemon for the status table. A problem, such as a missing answer, takes precedence.
func stateText(s admin.Status, problem string) string {
	switch {
	case problem != "":
		return problem
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	}
	var failed []string
	for _, c := range s.Checks {
		if c.Error != "" {
			failed = append(failed, c.Name)
		}
	}
	return "not ready: " + strings.Join(failed, ", ")
}

func (t *tool) classes(ctx context.Context, cmd *cli.Command) error {
	return printList(ctx, t, cmd, "/v1/classes", func(w io.Writer, list []admin.ClassStatus) {
		fmt.Fprintln(w, "CLASS\tRANK\tACCESS\tLATENCY\tRELIABILITY\tMAX AGE\tQUEUED\tRUNNING\tGRANTED\tREFUSED")
		for _, s := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%v\t%d\t%d\t%d\t%d\n", s.Name, s.Rank, s.Access, time.Duration(s.Target.Latency),
				s.Target.Reliability, s.MaxAge, s.Queued, s.Running, s.Granted, s.Refused)
		}
	})
}

func (t *tool) groups(ctx context.Context, cmd *cli.Command) error {
	return printList(ctx, t, cmd, "/v1/groups", func(w io.Writer, list []admin.Group) {
		fmt.Fprintln(w, "SERVICE\tTERM\tMEMBER\tDATA CENTRE\tROLE\tOWNER\tPOSITION\tAPPLIED\tAGE\tSTATE")
		for _, g := range list {
			for _, m := range g.Members {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", g.Service, g.Term, m.Name, m.DataCentre,
					orDash(string(m.Role)), orDash(m.Owner), m.Position, m.Applied, ageText(m), memberStateText(m))
			}
		}
	})
}

func ageText(m admin.GroupMember) string {
	if m.Age < 0 {
		return "unknown"
	}
	return m.Age.Round(time.Millisecond).String()
}

func memberStateText(m admin.GroupMember) string {
	switch {
	case !m.Reachable:
		return "not reachable"
	case m.LostState:
		return "lost its state"
	case m.Leaving:
		return "leaving"
	default:
		return "ok"
	}
}

func (t *tool) vms(ctx context.Context, cmd *cli.Command) error {
	return printList(ctx, t, cmd, "/v1/vms", func(w io.Writer, list []admin.VM) {
		fmt.Fprintln(w, "VM\tDATA CENTRE\tREGION\tLISTED AS\tREACHABLE\tDRAINING\tCONFIG\tADMIN ADDRESS")
		for _, v := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%s\t%s\n", v.Name, v.DataCentre, v.Region, v.State, v.Reachable, v.Draining,
				versionText(v.ConfigVersion), v.AdminAddr)
		}
	})
}

// versionText returns a VM's configuration version as one daemon sees it, or a dash. A daemon exchanges heartbeats only
// with some VMs and does not know the versions of the others.
func versionText(v uint64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatUint(v, 10)
}

// printList requests a list from one daemon and prints it.
func printList[T any](ctx context.Context, t *tool, cmd *cli.Command, path string, table func(w io.Writer, list T)) error {
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	var list T
	if err := c.get(ctx, path, &list); err != nil {
		return err
	}
	return t.printResult(cmd, list, func(w io.Writer) { table(w, list) })
}

func (t *tool) drain(ctx context.Context, cmd *cli.Command) error {
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	var vms []admin.VM
	if err := c.get(ctx, "/v1/vms", &vms); err != nil {
		return err
	}
	name := cmd.Args().First()
	for _, vm := range vms {
		if vm.Name != name {
			continue
		}
		if err := c.forVM(vm.AdminAddr).do(ctx, request{method: http.MethodPost, path: "/v1/drain"}, nil); err != nil {
			return unknownIfNoAnswer(err, "drain of "+name, "check with `sycamorehubctl status`; draining again is harmless")
		}
		fmt.Fprintf(t.errOut, "%s is draining; follow it with `sycamorehubctl status`\n", name)
		return nil
	}
	return &Error{Exit: ExitFailure, Message: fmt.Sprintf("no VM is named %q", name), Remedy: "use a name listed by `sycamorehubctl vms`"}
}

func (t *tool) burn(ctx context.Context, cmd *cli.Command) error {
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	answers, err := getFromAllVMs[*burn.Snapshot](ctx, c, "/v1/burn")
	if err != nil {
		return err
	}
	var snapshots []*burn.Snapshot
	var missing []string
	for _, a := range answers {
		if a.err != nil || a.value == nil {
			missing = append(missing, a.vm.Name)
			continue
		}
		snapshots = append(snapshots, a.value)
	}
	report := burn.Merge(time.Now(), snapshots, missing)
	if path := cmd.String("html"); path != "" {
		return writeHTML(path, report)
	}
	if cmd.String("output") == "json" {
		return t.printResult(cmd, report, nil)
	}
	return report.WriteTable(t.out)
}

func writeHTML(path string, report *burn.Report) error {
	f, err := os.Create(path)
	if err == nil {
		err = report.WriteHTML(f)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}
	if err != nil {
		return &Error{Exit: ExitFailure, Message: fmt.Sprintf("cannot write the report: %v", err), cause: err, Remedy: "name a writable file with --html"}
	}
	return nil
}
