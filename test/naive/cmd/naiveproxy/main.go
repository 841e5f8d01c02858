// Command naiveproxy runs the naive proxy of one entry VM. It reads the same settings file as the daemon, so that it
// can replace the daemon in comparisons.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/test/naive"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name: "naiveproxy", Usage: "run the naive proxy of one entry VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true},
			&cli.BoolFlag{Name: "spread-reads", Usage: "send reads whose class has a maximum age to the nearest member"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return naive.Run(ctx, naive.Options{Settings: s, SpreadReads: c.Bool("spread-reads")})
		},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "naiveproxy:", err)
		os.Exit(1)
	}
}
