package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/configcheck"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// checkReport is the result of `config check`.
type checkReport struct {
	Findings []configcheck.Finding `json:"findings"`
	Changes  []string              `json:"changes,omitempty"` // against the document that the command names
}

// configCheck checks a document and says what it would change. Nothing is sent. The exit status is 0 if nothing was found, 1 if
// something was, and 2 if no daemon would apply the document.
func (t *tool) configCheck(ctx context.Context, cmd *cli.Command) error {
	data, err := readFile(cmd.Args().First())
	if err != nil {
		return err
	}
	doc, findings, err := configcheck.Check(data)
	if err != nil {
		return &Error{Exit: ExitUsage, Message: errorDetail(err), cause: err, Remedy: errkind.Of(err).Remedy}
	}
	report := checkReport{Findings: findings}
	base, err := t.checkBase(ctx, cmd)
	if err != nil {
		return err
	}
	if base != nil {
		report.Changes = Diff(base, doc)
	}
	if err := t.printResult(cmd, report, func(w io.Writer) {
		for _, f := range findings {
			fmt.Fprintf(w, "%s\tline %d\t%s; %s\n", f.Path, f.Line, f.Message, f.Remedy)
		}
		for _, line := range report.Changes {
			fmt.Fprintln(w, line)
		}
		if len(findings) == 0 {
			fmt.Fprintf(w, "nothing found: %d classes, %d routes, %d teams\n", len(doc.Classes), len(doc.Routes), len(doc.Teams))
		}
	}); err != nil {
		return err
	}
	if len(findings) > 0 {
		return &Error{Exit: ExitFailure, Message: fmt.Sprintf("%d entries are probably not meant", len(findings)), Remedy: "correct them, or apply the document as it is"}
	}
	return nil
}

// checkBase returns the document that the checked one is compared with, nil if the command names none.
func (t *tool) checkBase(ctx context.Context, cmd *cli.Command) (*clusterconfig.Document, error) {
	if path := cmd.String("against"); path != "" {
		data, err := readFile(path)
		if err != nil {
			return nil, err
		}
		doc, err := clusterconfig.Parse(data)
		if err != nil {
			return nil, &Error{Exit: ExitUsage, Message: fmt.Sprintf("%s: %s", path, errorDetail(err)), cause: err, Remedy: errkind.Of(err).Remedy}
		}
		return doc, nil
	}
	if !cmd.Bool("in-force") {
		return nil, nil
	}
	c, err := t.client(cmd)
	if err != nil {
		return nil, err
	}
	doc := &clusterconfig.Document{}
	return doc, c.get(ctx, "/v1/config", doc)
}

// readFile reads a document from a file, or from standard input for "-".
func readFile(path string) (data []byte, err error) {
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, clusterconfig.MaxDocumentBytes+1))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, &Error{Exit: ExitUsage, Message: fmt.Sprintf("cannot read the document: %v", err), cause: err, Remedy: "name a file that can be read, or - for standard input"}
	}
	return data, nil
}
