package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

const (
	// readBackTime is how long a lost answer is looked for. A request still under way at the store may take effect
	// later, so that its absence after this time leaves the outcome unknown.
	readBackTime     = 5 * time.Second
	pollInterval     = 250 * time.Millisecond
	defaultWaitLimit = 10 * time.Second
)

func (t *tool) configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show and change the cluster's configuration", Action: t.group, OnUsageError: onUsageError,
		Commands: []*cli.Command{
			t.command("validate", "FILE", "check a document without sending it (- reads standard input)", t.configValidate),
			t.command("apply", "FILE", "make a document the configuration, if nobody else changed it", t.configApply,
				&cli.StringFlag{Name: "if-version", Usage: "version the document is based on; default: its version field, else the version in the store"},
				&cli.StringFlag{Name: "operation-id", Usage: "identifier stored with the change; default: a random one"}),
			t.command("show", "", "print the configuration in force as a document that can be edited and applied", t.configShow),
			t.command("history", "", "accepted versions, newest first", t.configHistory),
			t.command("wait", "VERSION", "wait until every VM has the version in force", t.configWait,
				&cli.DurationFlag{Name: "timeout", Value: defaultWaitLimit, Usage: "how long to wait"}),
		},
	}
}

// readDocument reads and checks the document that the command names.
func readDocument(cmd *cli.Command) ([]byte, *clusterconfig.Document, error) {
	path := cmd.Args().First()
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, clusterconfig.MaxDocumentBytes+1))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, nil, &Error{Exit: ExitUsage, Message: fmt.Sprintf("document: %v", err), cause: err, Remedy: "name a file that can be read, or - for standard input"}
	}
	doc, err := clusterconfig.Parse(data)
	if err != nil {
		return nil, nil, &Error{Exit: ExitFailure, Message: fmt.Sprintf("%s: %s", path, detail(err)), cause: err, Remedy: errkind.Of(err).Remedy}
	}
	return data, doc, nil
}

// detail returns an error's message without its remedy.
func detail(err error) string {
	var e *errkind.Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

func (t *tool) configValidate(_ context.Context, cmd *cli.Command) error {
	_, doc, err := readDocument(cmd)
	if err != nil {
		return err
	}
	return t.print(cmd, doc, func(w io.Writer) { fmt.Fprintf(w, "valid: %d classes\n", len(doc.Classes)) })
}

func (t *tool) configShow(ctx context.Context, cmd *cli.Command) error {
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	var doc clusterconfig.Document
	if err := c.get(ctx, "/v1/config", &doc); err != nil {
		return err
	}
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.out, "%s\n", data)
	return err
}

func (t *tool) configHistory(ctx context.Context, cmd *cli.Command) error {
	return show(ctx, t, cmd, "/v1/config/history", func(w io.Writer, list []clusterconfig.Document) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tAUTHOR\tCLASSES\tOPERATION")
		for _, d := range list {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", d.Version, formatTime(d.AcceptedAt), orDash(d.Author), len(d.Classes), d.OperationID)
		}
	})
}

// change is a configApply in progress.
type change struct {
	base      uint64
	operation string
	document  *clusterconfig.Document
}

func (t *tool) configApply(ctx context.Context, cmd *cli.Command) error {
	data, doc, err := readDocument(cmd)
	if err != nil {
		return err
	}
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	ch := change{operation: cmd.String("operation-id"), document: doc}
	if ch.operation == "" {
		ch.operation = rand.Text()
	}
	if ch.base, err = baseVersion(ctx, c, cmd, doc); err != nil {
		return err
	}
	var accepted clusterconfig.Document
	err = c.do(ctx, call{
		method: http.MethodPost, path: "/v1/config", body: data, timeout: applyTimeout,
		header: map[string]string{
			"If-Match": strconv.Quote(strconv.FormatUint(ch.base, 10)), admin.HeaderOperationID: ch.operation, admin.HeaderAuthor: author(),
		},
	}, &accepted)
	var refused *refusalError
	switch {
	case err == nil:
		return t.accepted(cmd, &accepted)
	case errors.As(err, &refused) && refused.code == errkind.ConfigConflict.Code:
		return t.conflict(ctx, c, ch, refused.body.Current)
	case errors.Is(err, errNoAnswer) && exitCode(err) != ExitNotReachable, errors.As(err, &refused) && refused.code == errkind.StoreOutcomeUnknown.Code:
		return t.readBack(cmd, c, ch)
	default:
		return err
	}
}

// baseVersion returns the version that the change is based on.
func baseVersion(ctx context.Context, c *client, cmd *cli.Command, doc *clusterconfig.Document) (uint64, error) {
	if text := cmd.String("if-version"); text != "" {
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, usageError("--if-version %q is not a version", text)
		}
		return v, nil
	}
	if doc.Version > 0 {
		return doc.Version, nil
	}
	var stored clusterconfig.Document
	err := c.get(ctx, "/v1/config?source=store", &stored)
	return stored.Version, err
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (t *tool) accepted(cmd *cli.Command, doc *clusterconfig.Document) error {
	return t.print(cmd, doc, func(w io.Writer) {
		fmt.Fprintf(w, "version %d accepted (operation %s)\nfollow it with `sycamorehubctl config wait %d`\n", doc.Version, doc.OperationID, doc.Version)
	})
}

// conflict shows what the other operator changed since the version that this change is based on.
func (t *tool) conflict(ctx context.Context, c *client, ch change, current *clusterconfig.Document) error {
	remedy := "take up the other change with `sycamorehubctl config show` and apply on top of it"
	if current == nil {
		return &Error{Exit: ExitConflict, Message: fmt.Sprintf("the configuration is no longer at version %d", ch.base), Remedy: remedy}
	}
	var message strings.Builder
	fmt.Fprintf(&message, "the configuration is at version %d, not %d; %s changed it at %s (operation %s)", current.Version, ch.base,
		orDash(current.Author), formatTime(current.AcceptedAt), orDash(current.OperationID))
	base := findVersion(ctx, c, ch.base)
	if base == nil {
		fmt.Fprintf(&message, "\nversion %d is no longer in the history; differences from your document to version %d:", ch.base, current.Version)
		base = ch.document
	} else {
		fmt.Fprintf(&message, "\nchanges from version %d to %d:", ch.base, current.Version)
	}
	for _, line := range Diff(base, current) {
		message.WriteString("\n  " + line)
	}
	return &Error{Exit: ExitConflict, Message: message.String(), Remedy: remedy}
}

// findVersion returns a version from the history, or nil.
func findVersion(ctx context.Context, c *client, version uint64) *clusterconfig.Document {
	if version == 0 {
		return &clusterconfig.Document{}
	}
	var history []*clusterconfig.Document
	if c.get(ctx, "/v1/config/history", &history) != nil {
		return nil
	}
	for _, d := range history {
		if d.Version == version {
			return d
		}
	}
	return nil
}

// readBack decides the outcome of a change whose answer was lost, by its operation id. It uses a context of its own
// so that an interrupt during the request does not prevent it.
func (t *tool) readBack(cmd *cli.Command, c *client, ch change) error {
	ctx, cancel := context.WithTimeout(context.Background(), readBackTime)
	defer cancel()
	for {
		var stored clusterconfig.Document
		if c.get(ctx, "/v1/config?source=store", &stored) == nil {
			if stored.OperationID == ch.operation {
				return t.accepted(cmd, &stored)
			}
			if stored.Version > ch.base {
				if own, decided := t.inHistory(ctx, c, ch, &stored); decided {
					if own != nil {
						return t.accepted(cmd, own)
					}
					return t.conflict(ctx, c, ch, &stored)
				}
			}
		}
		select {
		case <-ctx.Done():
			return &Error{
				Exit: ExitUnknown, Message: fmt.Sprintf("the answer was lost, and operation %s was not found in the store within %v; it may still take effect", ch.operation, readBackTime),
				Remedy: fmt.Sprintf("look for the operation in `sycamorehubctl config history`; applying again with --if-version %d cannot apply it twice", ch.base),
			}
		case <-time.After(pollInterval):
		}
	}
}

// inHistory looks for the change among the accepted versions. Only the version right after the base can be it: when
// that version has another operation id, the change was not accepted and never will be.
func (t *tool) inHistory(ctx context.Context, c *client, ch change, stored *clusterconfig.Document) (own *clusterconfig.Document, decided bool) {
	next := stored
	if stored.Version != ch.base+1 {
		next = findVersion(ctx, c, ch.base+1)
	}
	if next == nil {
		return nil, false
	}
	if next.OperationID == ch.operation {
		return next, true
	}
	return nil, true
}

func (t *tool) configWait(ctx context.Context, cmd *cli.Command) error {
	version, err := strconv.ParseUint(cmd.Args().First(), 10, 64)
	if err != nil {
		return usageError("%q is not a version", cmd.Args().First())
	}
	c, err := t.client(cmd)
	if err != nil {
		return err
	}
	limit := cmd.Duration("timeout")
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	lagging := []string{"no daemon listed the VMs in time"}
	for first := true; ; {
		answers, err := askAll[admin.Status](ctx, c, "/v1/status")
		if err != nil && ctx.Err() == nil {
			return err
		}
		// An answer set cut short by the timeout says less than the one before.
		if err == nil && (ctx.Err() == nil || first) {
			lagging, first = laggards(answers, version), false
		}
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(t.out, "version %d is in force on all %d VMs\n", version, len(answers))
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{
				Exit: ExitTimeout, Message: fmt.Sprintf("version %d is not in force everywhere after %v: %s", version, limit, strings.Join(lagging, ", ")),
				Remedy: "check these VMs with `sycamorehubctl status`; they follow when they reach the store or a peer",
			}
		case <-time.After(pollInterval):
		}
	}
}

// laggards names the VMs that do not have the version in force.
func laggards(answers []answer[admin.Status], version uint64) []string {
	var lagging []string
	for _, a := range answers {
		switch {
		case a.err != nil:
			lagging = append(lagging, a.vm.Name+" (no answer)")
		case a.value.ConfigVersion < version:
			lagging = append(lagging, fmt.Sprintf("%s (version %d)", a.vm.Name, a.value.ConfigVersion))
		}
	}
	return lagging
}

// unknownIfNoAnswer turns a lost answer to a change into an error with its own exit code.
func unknownIfNoAnswer(err error, what, remedy string) error {
	if errors.Is(err, errNoAnswer) && exitCode(err) != ExitNotReachable {
		return &Error{Exit: ExitUnknown, Message: fmt.Sprintf("%s: the answer was lost: %v", what, err), cause: err, Remedy: remedy}
	}
	return err
}
