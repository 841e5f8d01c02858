// Command sycamorehubctl lets operators inspect and change a cluster through the admin API of its daemons. Run
// `sycamorehubctl help` for its commands and exit codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sycamorehub/sycamorehub/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
