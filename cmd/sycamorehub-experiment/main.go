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
	"flood":  "share of each class within its target, calm and in floods",
	"reads":  "share of reads served by replicas and bytes between regions per read",
	"stop":   "requests cut off by a planned stop and by the replacement of every daemon in turn",
	"move":   "time without an acknowledged write when a primary that is alone in its region moves",
	"owners": "one owner per member against connections split evenly over the entry VMs",
}

func command() *cli.Command {
	rootCommand := &cli.Command{Name: "sycamorehub-experiment", Usage: "measure the system and the naive version on loopback"}
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
			&cli.StringFlag{Name: "user", Value: "kitakata", Usage: "kitakata or kasica", Destination: &options.User},
			&cli.StringSliceFlag{Name: "systems", Value: []string{experiment.SycamoreHub, experiment.Naive}, Destination: &options.Systems},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &options.Seed},
			&cli.IntFlag{Name: "repeats", Value: defaultRepeats, Usage: "of each fault", Destination: &options.Repeats},
			&cli.StringFlag{Name: "scene", Usage: "only flood scenes whose name contains this", Destination: &options.Scene},
			&cli.DurationFlag{Name: "stand", Usage: "setting placement.stand; reads are measured when no primary is alone in its region", Destination: &options.Stand},
			&cli.StringFlag{Name: "output", Usage: "directory of the JSON result", Destination: &options.Output},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return experiment.Run(ctx, name, options) },
	}
}
