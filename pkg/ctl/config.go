package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	// readBackTimeout is how long the table service is searched for a change whose answer was lost. A request that is
	// still on its way to the table service may take effect later, so a change that is not found within this time has an
	// unknown outcome.
	readBackTimeout    = 5 * time.Second
	pollInterval       = 250 * time.Millisecond
	defaultWaitTimeout = 10 * time.Second
)

func (t *tool) configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show and change the cluster's configuration", Action: t.showCommandHelp, OnUsageError: onUsageError,
		Commands: []*cli.Command{
			t.command("validate", "FILE", "check a document without sending it (- reads standard input)", t.configValidate),
			t.command("check", "FILE", "look for entries that can never match and limits that contradict each other; nothing is sent", t.configCheck,
				&cli.StringFlag{Name: "against", Usage: "say what differs from the document in this file", TakesFile: true},
				&cli.BoolFlag{Name: "in-force", Usage: "say what differs from the configuration in force"}),
			t.command("apply", "FILE", "put a document in force, unless the configuration has changed since the version it is based on", t.configApply,
				&cli.StringFlag{Name: "if-version", Usage: "version the document is based on; default: its version field, else the version in the store"},
				&cli.StringFlag{Name: "operation-id", Usage: "identifier stored with the change; default: a random one"}),
			t.command("show", "", "print the configuration in force as a document that can be edited and applied", t.configShow),
			t.command("history", "", "accepted versions, newest first", t.configHistory),
			t.command("wait", "VERSION", "wait until the version is in force on every VM", t.configWait,
				&cli.DurationFlag{Name: "timeout", Value: defaultWaitTimeout, Usage: "longest time to wait"}),
		},
	}
}

// readDocument reads and checks the document in the file that the command names, or from standard input.
func readDocument(cmd *cli.Command) ([]byte, *clusterconfig.Document, error) {
	path := cmd.Args().First()
	data, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	doc, err := clusterconfig.Parse(data)
	if err != nil {
		return nil, nil, &Error{Exit: ExitFailure, Message: fmt.Sprintf("%s: %s", path, errorDetail(err)), cause: err, Remedy: errkind.Of(err).Remedy}
	}
	return data, doc, nil
}

// errorDetail returns the message of an error without its remedy.
func errorDetail(err error) string {
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
	return t.printResult(cmd, doc, func(w io.Writer) { fmt.Fprintf(w, "valid: %d classes\n", len(doc.Classes)) })
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
	return printList(ctx, t, cmd, "/v1/config/history", func(w io.Writer, list []clusterconfig.Document) {
		fmt.Fprintln(w, "VERSION\tACCEPTED\tAUTHOR\tCLASSES\tOPERATION")
		for _, d := range list {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", d.Version, formatTime(d.AcceptedAt), orDash(d.Author), len(d.Classes), d.OperationID)
		}
	})
}

// pendingChange is the change of a configApply whose outcome is not known yet.
type pendingChange struct {
	baseVersion uint64
	operationID string
	document    *clusterconfig.Document
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
	change := pendingChange{operationID: cmd.String("operation-id"), document: doc}
	if change.operationID == "" {
		change.operationID = rand.Text()
	}
	if change.baseVersion, err = baseVersion(ctx, c, cmd, doc); err != nil {
		return err
	}
	var accepted clusterconfig.Document
	err = c.do(ctx, request{
		method: http.MethodPost, path: "/v1/config", body: data, timeout: applyTimeout,
		header: map[string]string{
			"If-Match": strconv.Quote(strconv.FormatUint(change.baseVersion, 10)), admin.HeaderOperationID: change.operationID, admin.HeaderAuthor: currentUsername(),
		},
	}, &accepted)
	var refused *refusalError
	switch {
	case err == nil:
		return t.printAccepted(cmd, &accepted)
	case errors.As(err, &refused) && refused.code == errkind.ConfigConflict.Code:
		return t.conflictError(ctx, c, change, refused.body.Current)
	case errors.Is(err, errNoAnswer) && exitCode(err) != ExitNotReachable, errors.As(err, &refused) && refused.code == errkind.StoreOutcomeUnknown.Code:
		return t.readBack(cmd, c, change)
	default:
		return err
	}
}

// baseVersion returns the version that the change is based on: that of the flag --if-version, else that of the document,
// else the version in the table service.
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

func currentUsername() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (t *tool) printAccepted(cmd *cli.Command, doc *clusterconfig.Document) error {
	return t.printResult(cmd, doc, func(w io.Writer) {
		fmt.Fprintf(w, "version %d accepted (operation %s)\nfollow it with `sycamorehubctl config wait %d`\n", doc.Version, doc.OperationID, doc.Version)
	})
}

// conflictError returns an error that lists what the other operator changed since the version that this change is based
// on.
func (t *tool) conflictError(ctx context.Context, c *client, change pendingChange, current *clusterconfig.Document) error {
	remedy := "print the other operator's version with `sycamorehubctl config show`, make your change to it and apply the result"
	if current == nil {
		return &Error{Exit: ExitConflict, Message: fmt.Sprintf("the configuration is no longer at version %d", change.baseVersion), Remedy: remedy}
	}
	var message strings.Builder
	fmt.Fprintf(&message, "the configuration is at version %d, not %d; %s changed it at %s (operation %s)", current.Version, change.baseVersion,
		orDash(current.Author), formatTime(current.AcceptedAt), orDash(current.OperationID))
	base := findVersion(ctx, c, change.baseVersion)
	if base == nil {
		fmt.Fprintf(&message, "\nversion %d is no longer in the history; differences from your document to version %d:", change.baseVersion, current.Version)
		base = change.document
	} else {
		fmt.Fprintf(&message, "\nchanges from version %d to %d:", change.baseVersion, current.Version)
	}
	for _, line := range Diff(base, current) {
		message.WriteString("\n  " + line)
	}
	return &Error{Exit: ExitConflict, Message: message.String(), Remedy: remedy}
}

// findVersion returns a version from the history, or nil if the history does not hold it or cannot be read. Version 0 is
// the empty document.
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

// readBack finds out whether a change whose answer was lost took effect, by looking for its operation id in the table
// service. It uses a context of its own, so that an interrupt during the request does not prevent this.
func (t *tool) readBack(cmd *cli.Command, c *client, change pendingChange) error {
	ctx, cancel := context.WithTimeout(context.Background(), readBackTimeout)
	defer cancel()
	for {
		var stored clusterconfig.Document
		if c.get(ctx, "/v1/config?source=store", &stored) == nil {
			if stored.OperationID == change.operationID {
				return t.printAccepted(cmd, &stored)
			}
			if stored.Version > change.baseVersion {
				if own, decided := t.findOwnChange(ctx, c, change, &stored); decided {
					if own != nil {
						return t.printAccepted(cmd, own)
					}
					return t.conflictError(ctx, c, change, &stored)
				}
			}
		}
		select {
		case <-ctx.Done():
			return &Error{
				Exit: ExitOutcomeUnknown, Message: fmt.Sprintf("the answer to the change was lost, and operation %s was not found in the store within %v; it may still take effect", change.operationID, readBackTimeout),
				Remedy: fmt.Sprintf("look for the operation in `sycamorehubctl config history`; applying again with --if-version %d cannot apply it twice", change.baseVersion),
			}
		case <-time.After(pollInterval):
		}
	}
}

// findOwnChange looks for the change among the accepted versions. Only the version after the base version can be this
// change: if it has another operation id, the change was not accepted and never will be. decided is false if that version
// cannot be found.
func (t *tool) findOwnChange(ctx context.Context, c *client, change pendingChange, stored *clusterconfig.Document) (own *clusterconfig.Document, decided bool) {
	next := stored
	if stored.Version != change.baseVersion+1 {
		next = findVersion(ctx, c, change.baseVersion+1)
	}
	if next == nil {
		return nil, false
	}
	if next.OperationID == change.operationID {
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
	timeout := cmd.Duration("timeout")
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lagging := []string{"no daemon returned the list of VMs in time"}
	for first := true; ; {
		answers, err := getFromAllVMs[admin.Status](ctx, c, "/v1/status")
		if err != nil && ctx.Err() == nil {
			return err
		}
		// Answers that the timeout cut short say less than those of the round before.
		if err == nil && (ctx.Err() == nil || first) {
			lagging, first = laggingVMs(answers, version), false
		}
		if err == nil && len(lagging) == 0 {
			fmt.Fprintf(t.out, "version %d is in force on all %d VMs\n", version, len(answers))
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{
				Exit: ExitTimeout, Message: fmt.Sprintf("version %d is not in force on all VMs after %v: %s", version, timeout, strings.Join(lagging, ", ")),
				Remedy: "check these VMs with `sycamorehubctl status`; they install the version once they reach the store or a peer",
			}
		case <-time.After(pollInterval):
		}
	}
}

// laggingVMs names the VMs whose daemon did not answer or has an older version in force.
func laggingVMs(answers []vmAnswer[admin.Status], version uint64) []string {
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

// unknownIfNoAnswer replaces the error of a change whose answer was lost by one with the exit code ExitOutcomeUnknown. Other
// errors are returned unchanged.
func unknownIfNoAnswer(err error, what, remedy string) error {
	if errors.Is(err, errNoAnswer) && exitCode(err) != ExitNotReachable {
		return &Error{Exit: ExitOutcomeUnknown, Message: fmt.Sprintf("%s: the answer was lost: %v", what, err), cause: err, Remedy: remedy}
	}
	return err
}
