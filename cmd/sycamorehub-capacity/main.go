// Command sycamorehub-capacity measures the resources that the roles of a daemon take at several sizes, and prints the
// increase per unit of size. It is not part of the product. docs/CAPACITY.md is calculated from its figures.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/emulator/capacity"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorehub-capacity:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "sycamorehub-capacity",
		Usage: "measure the resources that the roles of a daemon take, and their increase with size",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "directory for the JSON reports; if empty, none is written"},
			&cli.StringFlag{Name: "suffix", Usage: "text appended to the name of the report"},
		},
		Commands: []*cli.Command{
			sizedCommand("peers", "control traffic between the daemons of a data centre", []int{2, 5, 17, 56},
				func(ctx context.Context, sizes []int, rounds int) (*capacity.Report, error) {
					return capacity.Peers(ctx, "peers", 1, sizes, rounds)
				}),
			sizedCommand("links", "control traffic with 12 data centres", []int{1, 2, 4},
				func(ctx context.Context, sizes []int, rounds int) (*capacity.Report, error) {
					return capacity.Peers(ctx, "links", 12, sizes, rounds)
				}),
			sizedCommand("node", "control traffic in one data centre with links to 11 others", []int{4, 14, 28, 56}, capacity.Heartbeats),
			sizedCommand("fleet", "membership views of all daemons, simulated without sockets", []int{7, 14, 28}, singleRound(capacity.Fleet)),
			sizedCommand("ownership", "cost of computing the owners of members", []int{14, 28, 56}, singleRound(capacity.Ownership)),
			sizedCommand("lists", "polls of the platform's lists while they do not change", []int{14, 28, 56}, singleRound(capacity.Lists)),
			sizedCommand("watch", "watching of members, directly and through relays", []int{6, 9, 18, 27}, capacity.Watch),
			sizedCommand("promotions", "promotions after the loss of a primary, by the number of members of the service", []int{3, 5, 7}, capacity.Promotions),
			sizedCommand("lookups", "view lookups by a VM that uses services it does not watch", []int{300, 600, 1200}, singleRound(capacity.Lookups)),
			sizedCommand("callers", "open caller connections of one daemon", []int{400, 800, 1600, 3200}, singleRound(capacity.Callers)),
			sizedCommand("callers-forwarded", "open caller connections whose statements are forwarded to another daemon", []int{400, 800, 1600, 3200},
				singleRound(capacity.ForwardedCallers)),
			proxyCommand(),
			recoveryCommand(),
			{
				Name: "members", Usage: "run emulated members until the standard input ends; used by watch and promotions", Hidden: true,
				Flags: []cli.Flag{&cli.IntFlag{Name: "services", Value: 1}, &cli.IntFlag{Name: "members", Value: 3}},
				Action: func(_ context.Context, cmd *cli.Command) error {
					return capacity.ServeMembers(cmd.Int("services"), cmd.Int("members"), os.Stdin, os.Stdout)
				},
			},
		},
	}
}

// measurement measures at each of the sizes, as often as rounds says, and returns the report.
type measurement func(ctx context.Context, sizes []int, rounds int) (*capacity.Report, error)

// singleRound returns the measurement of a function that does not support several rounds.
func singleRound(measureSizes func(context.Context, []int) (*capacity.Report, error)) measurement {
	return func(ctx context.Context, sizes []int, _ int) (*capacity.Report, error) {
		return measureSizes(ctx, sizes)
	}
}

// sizedCommand returns a command that measures at several sizes. sizes are those it measures by default.
func sizedCommand(name, usage string, sizes []int, measure measurement) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "size", Value: sizes, Usage: "size to measure; may be repeated"},
			&cli.IntFlag{Name: "rounds", Value: 1, Usage: "number of measurements at each size, where supported"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			report, err := measure(ctx, cmd.IntSlice("size"), cmd.Int("rounds"))
			if err != nil {
				return err
			}
			return printAndSave(cmd, report)
		},
	}
}

// printAndSave prints the report and, unless the flag --out is empty, saves it as JSON.
func printAndSave(cmd *cli.Command, report *capacity.Report) error {
	report.Name += cmd.String("suffix")
	report.Print(os.Stdout)
	if cmd.String("out") == "" {
		return nil
	}
	return report.Save(cmd.String("out"))
}

func recoveryCommand() *cli.Command {
	daemons := capacity.DefaultMoveDaemons
	ownersCommand := sizedCommand("owners", "moves of members to other owners after entry VMs are lost", []int{1, 2, 4},
		func(ctx context.Context, sizes []int, _ int) (*capacity.Report, error) {
			return capacity.OwnerMoves(ctx, sizes, daemons)
		})
	ownersCommand.Flags = append(ownersCommand.Flags, &cli.IntFlag{Name: "daemons", Value: daemons, Usage: "number of daemons in the data centre", Destination: &daemons})
	return &cli.Command{
		Name: "recovery", Usage: "measure the load after a failure",
		Commands: []*cli.Command{
			sizedCommand("connections", "caller connections that arrive at one daemon at the same time", []int{285, 600, 1177, 2354}, singleRound(capacity.Bursts)),
			ownersCommand,
			sizedCommand("store", "reads of the platform's store and lists when they are available again", []int{7, 14, 28, 56}, singleRound(capacity.StoreRecovery)),
		},
	}
}

func proxyCommand() *cli.Command {
	var options capacity.ProxyOptions
	var profileFile string
	return &cli.Command{
		Name: "proxy", Usage: "cost of the proxy per statement: direct connection, through the owner, forwarded to the owner",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "span", Value: capacity.DefaultDuration, Usage: "length of each measurement", Destination: &options.Duration},
			&cli.IntFlag{Name: "callers", Value: 16, Usage: "number of callers that run at the same time under load", Destination: &options.Callers},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "number of repeats; the median is reported", Destination: &options.Rounds},
			&cli.BoolFlag{Name: "write", Usage: "insert rows into a service with three members", Destination: &options.Write},
			&cli.BoolFlag{Name: "simple", Usage: "use the simple protocol instead of prepared statements", Destination: &options.Simple},
			&cli.StringFlag{Name: "profile", Usage: "file to which a CPU profile of the owner under load is written", Destination: &profileFile},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if profileFile != "" {
				options.DuringLoad = func(ctx context.Context, adminAddr string) { _ = saveCPUProfile(ctx, adminAddr, profileFile) }
			}
			report, err := capacity.Proxy(ctx, options)
			if err != nil {
				return err
			}
			fmt.Print(capacity.ProxySummary(report))
			return printAndSave(cmd, report)
		},
	}
}

// saveCPUProfile writes a CPU profile of a daemon to a file. Each call replaces the file.
func saveCPUProfile(ctx context.Context, adminAddr, file string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddr+"/debug/pprof/profile?seconds=2", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	output, err := os.Create(file)
	if err != nil {
		return err
	}
	defer output.Close()
	_, err = io.Copy(output, response.Body)
	return err
}
