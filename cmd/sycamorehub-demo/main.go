// Command sycamorehub-demo starts the whole system as processes on loopback: the emulated platform and database
// members, and one daemon per entry VM. It then runs a short workload through an unmodified PostgreSQL driver and prints
// how its requests were served.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/emulator/demo"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	options := demo.Options{Out: os.Stdout}
	return &cli.Command{
		Name:  "sycamorehub-demo",
		Usage: "start the whole system on loopback and run a short workload",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "kitakata", Usage: "user whose cluster and workload are run: kitakata or kasica", Destination: &options.User},
			&cli.DurationFlag{Name: "duration", Value: demo.DefaultDuration, Usage: "length of the workload", Destination: &options.Duration},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the workload", Destination: &options.Seed},
			&cli.BoolFlag{Name: "fail", Usage: "kill a primary halfway through the workload", Destination: &options.KillPrimary},
			&cli.BoolFlag{Name: "delays", Usage: "delay traffic between the processes like the user's network", Destination: &options.Delays},
			&cli.BoolFlag{Name: "keep", Usage: "keep the processes running after the workload, until interrupted", Destination: &options.KeepRunning},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return demo.Run(ctx, options) },
	}
}
