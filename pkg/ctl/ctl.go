// Package ctl implements the commands of sycamorehubctl. Each error names its remedy, and each kind of failure has its
// own exit code. The tool talks only to the operators' API of the daemons, never to the platform or to members, and it
// does not repeat a change whose outcome is unknown.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// tool holds the outputs of one run of sycamorehubctl.
type tool struct {
	out, errOut io.Writer
}

// Run executes the command line and returns the exit code for the process.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out, errOut: errOut}
	err := t.root().Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, "sycamorehubctl: "+err.Error())
	}
	return exitCode(err)
}

func (t *tool) root() *cli.Command {
	return &cli.Command{
		Name: "sycamorehubctl", Usage: "operate a sycamorehub cluster", Description: exitCodesText,
		Writer: t.out, ErrWriter: t.errOut,
		EnableShellCompletion: true,
		// urfave/cli hides the completion command by default; help is to list it.
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		ExitErrHandler:                  func(context.Context, *cli.Command, error) {}, // Run prints the error and picks the code
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Aliases: []string{"s"}, Sources: cli.EnvVars("SYCAMOREHUB_SERVER"),
				Usage: "admin address of a daemon, as host:port or URL; repeat the flag to name further daemons to try"},
			&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("SYCAMOREHUB_TOKEN_FILE"), Usage: "file with the bearer token"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json", Validator: validOutput},
		},
		Action:       t.showCommandHelp,
		OnUsageError: onUsageError,
		Commands: []*cli.Command{
			t.configCommand(),
			t.command("status", "", "state of every daemon", t.status),
			t.command("classes", "", "classes of work, their targets and present load", t.classes),
			t.command("teams", "", "teams, their limits and what all daemons have admitted and refused", t.teams),
			t.command("groups", "", "services, their primaries and members", t.groups),
			t.command("vms", "", "entry VMs as seen by one daemon", t.vms),
			t.command("drain", "VM", "gracefully shut down the daemon of a VM", t.drain),
			t.command("burn", "", "service-level burn report of all daemons", t.burn,
				&cli.StringFlag{Name: "html", Usage: "write the report as one HTML page to this file", TakesFile: true}),
			t.command("explain", "REQUEST", "why a request was not served: what every daemon that handled it recorded", t.explain),
			t.command("version", "", "version of this program", t.version),
		},
	}
}

func validOutput(v string) error {
	if v != "table" && v != "json" {
		return fmt.Errorf("%q is neither table nor json", v)
	}
	return nil
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError("%v", err)
}

// showCommandHelp is the action of a command that only holds subcommands. It fails if an unknown subcommand was named.
func (t *tool) showCommandHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageError("unknown command %q", strings.TrimSpace(cmd.FullName()+" "+cmd.Args().First()))
	}
	return cli.ShowSubcommandHelp(cmd)
}

// command returns a command that takes exactly the arguments named in argsUsage, which are separated by spaces.
func (t *tool) command(name, argsUsage, usage string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	want := len(strings.Fields(argsUsage))
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: argsUsage, Flags: flags, OnUsageError: onUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != want {
				return usageError("%s takes %d arguments: %s", cmd.FullName(), want, argsUsage)
			}
			return action(ctx, cmd)
		},
	}
}

// client returns a client for the servers and the token named by the global flags.
func (t *tool) client(cmd *cli.Command) (*client, error) {
	token := ""
	if path := cmd.String("token-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &Error{Exit: ExitUsage, Message: fmt.Sprintf("cannot read the token file: %v", err), cause: err, Remedy: "check --token-file"}
		}
		token = strings.TrimSpace(string(data))
	}
	return newClient(cmd.StringSlice("server"), token)
}

// printResult writes v as JSON if --output asks for it, and otherwise as the table that the function table writes.
func (t *tool) printResult(cmd *cli.Command, v any, table func(w io.Writer)) error {
	if cmd.String("output") == "json" {
		e := json.NewEncoder(t.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func (t *tool) version(_ context.Context, cmd *cli.Command) error {
	v := struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{"unknown", "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = info.Main.Version, info.GoVersion
	}
	return t.printResult(cmd, v, func(w io.Writer) { fmt.Fprintf(w, "sycamorehubctl %s (%s)\n", v.Version, v.Go) })
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
