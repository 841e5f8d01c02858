// Command sycamorehub-experiment measures the system, and a naive proxy that it is compared with, on loopback. It is not
// part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/emulator/experiment"
)

const defaultRepeats = 10

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorehub-experiment:", err)
		os.Exit(1)
	}
}

// usageByExperiment says what each experiment measures.
var usageByExperiment = map[string]string{
	"gap":    "time without an acknowledged write when a primary is killed, frozen or cut off",
	"flood":  "share of each class's requests that meet the target, under normal load and in floods of requests",
	"reads":  "share of reads served by replicas, and bytes sent between regions per read",
	"stop":   "requests cut off by a planned stop of a daemon and by replacing every daemon in turn",
	"move":   "time without an acknowledged write when a primary that is alone in its region is moved",
	"owners": "one owner per member, compared with connections split evenly over the entry VMs",
}

func command() *cli.Command {
	rootCommand := &cli.Command{Name: "sycamorehub-experiment", Usage: "measure the system and a naive proxy on loopback"}
	for name := range experiment.Experiments {
		rootCommand.Commands = append(rootCommand.Commands, experimentCommand(name))
	}
	slices.SortFunc(rootCommand.Commands, func(a, b *cli.Command) int { return strings.Compare(a.Name, b.Name) })
	return rootCommand
}

// experimentCommand returns the command that runs one experiment.
func experimentCommand(name string) *cli.Command {
	options := experiment.Options{Out: os.Stdout}
	return &cli.Command{
		Name: name, Usage: usageByExperiment[name],
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "kitakata", Usage: "user whose cluster and workload are measured: kitakata or kasica", Destination: &options.User},
			&cli.StringSliceFlag{Name: "systems", Value: []string{experiment.SycamoreHub, experiment.Naive}, Destination: &options.Systems},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &options.Seed},
			&cli.IntFlag{Name: "repeats", Value: defaultRepeats, Usage: "number of runs with each fault", Destination: &options.Repeats},
			&cli.StringFlag{Name: "scene", Usage: "run only the scenes of the flood experiment whose name contains this text", Destination: &options.Scene},
			&cli.DurationFlag{Name: "stand", Usage: "value of the daemons' setting placement.stand; with it, the reads experiment waits until no primary is alone in its region", Destination: &options.Stand},
			&cli.StringFlag{Name: "output", Usage: "directory to which the result is written as JSON", Destination: &options.Output},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return experiment.Run(ctx, name, options) },
	}
}
