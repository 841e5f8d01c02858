package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
)

// explain prints what the daemons recorded of a request that was not served, the earliest attempt first.
func (t *tool) explain(ctx context.Context, cmd *cli.Command) error {
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	request := cmd.Args().First()
	answers, err := getFromAllVMs[[]admin.FailedRequest](ctx, c, "/v1/requests?id="+url.QueryEscape(request))
	if err != nil {
		return err
	}
	type row struct {
		VM string `json:"vm"`
		admin.FailedRequest
	}
	rows := []row{}
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(t.errOut, "%s does not answer; attempts that it handled are missing\n", a.vm.Name)
		}
		for _, r := range a.value {
			rows = append(rows, row{a.vm.Name, r})
		}
	}
	if len(rows) == 0 {
		return &Error{Exit: ExitFailure, Message: fmt.Sprintf("no daemon has recorded that request %q failed", request),
			Remedy: "each daemon keeps its latest 2,048 failed requests; look for older ones in its log"}
	}
	slices.SortStableFunc(rows, func(a, b row) int { return a.Time.Compare(b.Time) })
	return t.printResult(cmd, rows, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tVM\tSERVICE\tCLASS\tTOOK\tRAN\tREASON")
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%s\n", formatTime(r.Time), r.VM, orDash(r.Service), orDash(r.Class),
				r.Took.Round(time.Millisecond), r.Outcome, r.Error)
		}
	})
}
