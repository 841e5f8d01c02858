// Command sycamorehubd is the daemon that runs on every entry VM. It accepts callers and passes their requests to members
// of replicated databases.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/pkg/daemon"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorehubd:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var settingsPath string
	var checkOnly bool
	return &cli.Command{
		Name:  "sycamorehubd",
		Usage: "accept callers of replicated databases on one entry VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true, Destination: &settingsPath},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit without serving", Destination: &checkOnly},
		},
		Action: func(context.Context, *cli.Command) error {
			loaded, err := settings.Load(settingsPath)
			if err != nil || checkOnly {
				return err
			}
			return daemon.Run(loaded)
		},
	}
}
