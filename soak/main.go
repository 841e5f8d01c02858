// Command soak runs the daemons and stand-ins as processes under faults from outside that a seed plans, while callers use
// open connections, and checks the promises of docs/guarantees.md. It is not part of the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
)

const defaultSeeds = 50

// options are the flags of the command.
type options struct {
	seeds, minutes int
	seed           uint64
	binDir         string
	keep           bool // keep plan and logs of seeds that broke nothing, too
	out            io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	o := options{out: os.Stdout}
	return &cli.Command{
		Name:  "soak",
		Usage: "run real processes under planned faults and check the promises to callers and operators",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "number of seeds to run, from --seed on", Destination: &o.seeds},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; without --seeds only this one", Destination: &o.seed},
			&cli.IntFlag{Name: "minutes", Usage: "run seeds for so many minutes in place of a number of seeds", Destination: &o.minutes},
			&cli.StringFlag{Name: "bin", Usage: "directory with the programs; if empty, they are built", Destination: &o.binDir},
			&cli.BoolFlag{Name: "keep", Usage: "keep plan and logs of every seed", Destination: &o.keep},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.IsSet("seed") && !cmd.IsSet("seeds") {
				o.seeds = 1
			} else if !cmd.IsSet("seed") {
				o.seed = 1
			}
			return soak(ctx, o)
		},
	}
}

// soak runs the seeds one after another and prints a line for each, and a table at the end. It returns an error if a seed
// broke a promise or could not be run.
func soak(ctx context.Context, o options) error {
	log.SetOutput(io.Discard) // the proxies of the network report each connection that a fault ends
	keepDir, err := os.MkdirTemp("", "sycamorehub-soak-")
	if err != nil {
		return err
	}
	if o.binDir == "" {
		o.binDir = keepDir
		if err := launch.Build(ctx, o.binDir); err != nil {
			return err
		}
	}
	var results []*result
	failed, begin := 0, time.Now()
	for i := 0; ctx.Err() == nil && o.another(i, begin); i++ {
		seed := o.seed + uint64(i)
		res, err := runSeed(ctx, seed, o.binDir, keepDir, o.keep)
		if err != nil {
			failed++
			fmt.Fprintf(o.out, "seed %d could not be judged: %v\n", seed, err)
			continue
		}
		results = append(results, res)
		if len(res.violations) > 0 {
			failed++
		}
		fmt.Fprintf(o.out, "seed %d, %d failed, %v in all: %s\n", seed, failed, time.Since(begin).Round(time.Second), res.verdict())
	}
	printTable(o.out, results)
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds failed, kept in %s", failed, len(results), keepDir)
	}
	if o.keep {
		fmt.Fprintln(o.out, "kept in", keepDir)
		return ctx.Err()
	}
	return errors.Join(ctx.Err(), os.RemoveAll(keepDir))
}

// another reports whether another seed is to be run after n of them.
func (o options) another(n int, begin time.Time) bool {
	if o.minutes > 0 {
		return time.Since(begin) < time.Duration(o.minutes)*time.Minute
	}
	return n < o.seeds
}

// verdict returns "kept", or what was broken first and where the logs are.
func (r *result) verdict() string {
	if len(r.violations) == 0 {
		return "kept"
	}
	return fmt.Sprintf("%d broken, logs in %s, first: %s", len(r.violations), r.kept, r.violations[0])
}

func printTable(out io.Writer, results []*result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SEED\tSECONDS\tSTEPS\tNOT RUN\tCONFIGS\tSTOPS\tKILLS\tREQUESTS\tNO ANSWER\tACKNOWLEDGED\tREFUSED\tUNKNOWN\tBROKEN")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", r.seed, r.took.Seconds(), r.steps, r.notRun, r.configs, r.stops, r.kills, r.requests,
			r.unanswered, r.ledger.Acknowledged, r.ledger.Refused, r.ledger.Unknown, len(r.violations))
	}
	_ = w.Flush()
}
