// Command sycamorehub-capacity measures what the roles of a daemon cost and prints slopes over several sizes. It is
// not part of the product. docs/CAPACITY.md is worked out from its figures.
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
		Usage: "measure what the roles of a daemon cost, as slopes over several sizes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "directory of the JSON reports; empty for none"},
			&cli.StringFlag{Name: "suffix", Usage: "appended to the name of the report"},
		},
		Commands: []*cli.Command{
			sized("peers", "control traffic between the daemons of a data centre", []int{2, 5, 17, 56},
				func(ctx context.Context, sizes []int, rounds int) (*capacity.Report, error) {
					return capacity.Peers(ctx, "peers", 1, sizes, rounds)
				}),
			sized("links", "control traffic with 12 data centres", []int{1, 2, 4},
				func(ctx context.Context, sizes []int, rounds int) (*capacity.Report, error) {
					return capacity.Peers(ctx, "links", 12, sizes, rounds)
				}),
			sized("node", "control traffic in one data centre with links to 11 others", []int{4, 14, 28, 56}, capacity.Heartbeats),
			sized("fleet", "membership views of the whole fleet without sockets", []int{7, 14, 28}, once(capacity.Fleet)),
			sized("ownership", "computations of ownership", []int{14, 28, 56}, once(capacity.Ownership)),
			sized("lists", "polls of unchanged lists", []int{14, 28, 56}, once(capacity.Lists)),
			sized("watch", "watch of members, direct and relayed", []int{6, 9, 18, 27}, capacity.Watch),
			sized("promotions", "promotions after the loss of a primary, by members of the service", []int{3, 5, 7}, capacity.Promotions),
			sized("lookups", "lookups of views by a VM that uses services it does not watch", []int{300, 600, 1200}, once(capacity.Lookups)),
			sized("callers", "open caller connections of one daemon", []int{400, 800, 1600, 3200}, once(capacity.Callers)),
			sized("callers-forwarded", "open caller connections whose statements another daemon owns", []int{400, 800, 1600, 3200},
				once(capacity.ForwardedCallers)),
			proxyCommand(),
			recoveryCommand(),
			{
				Name: "members", Usage: "serve members until the input ends; used by watch and promotions", Hidden: true,
				Flags: []cli.Flag{&cli.IntFlag{Name: "services", Value: 1}, &cli.IntFlag{Name: "members", Value: 3}},
				Action: func(_ context.Context, c *cli.Command) error {
					return capacity.ServeMembers(c.Int("services"), c.Int("members"), os.Stdin, os.Stdout)
				},
			},
		},
	}
}

type measure func(ctx context.Context, sizes []int, rounds int) (*capacity.Report, error)

func once(f func(context.Context, []int) (*capacity.Report, error)) measure {
	return func(ctx context.Context, sizes []int, _ int) (*capacity.Report, error) { return f(ctx, sizes) }
}

// sized returns a command that measures at several sizes.
func sized(name, usage string, sizes []int, f measure) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "size", Value: sizes, Usage: "size to measure; may be repeated"},
			&cli.IntFlag{Name: "rounds", Value: 1, Usage: "measurements at each size, where supported"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := f(ctx, c.IntSlice("size"), c.Int("rounds"))
			if err != nil {
				return err
			}
			return finish(c, r)
		},
	}
}

func finish(c *cli.Command, r *capacity.Report) error {
	r.Name += c.String("suffix")
	r.Print(os.Stdout)
	if c.String("out") == "" {
		return nil
	}
	return r.Save(c.String("out"))
}

func recoveryCommand() *cli.Command {
	daemons := capacity.DefaultMoveDaemons
	owners := sized("owners", "moves of ownership after entry VMs are lost", []int{1, 2, 4},
		func(ctx context.Context, sizes []int, _ int) (*capacity.Report, error) {
			return capacity.OwnerMoves(ctx, sizes, daemons)
		})
	owners.Flags = append(owners.Flags, &cli.IntFlag{Name: "daemons", Value: daemons, Usage: "daemons in the data centre", Destination: &daemons})
	return &cli.Command{
		Name: "recovery", Usage: "loads after a failure",
		Commands: []*cli.Command{
			sized("connections", "caller connections that arrive at one daemon at once", []int{285, 600, 1177, 2354}, once(capacity.Bursts)),
			owners,
			sized("store", "reads of the platform when it comes back", []int{7, 14, 28, 56}, once(capacity.StoreRecovery)),
		},
	}
}

func proxyCommand() *cli.Command {
	var o capacity.ProxyOptions
	var profile string
	return &cli.Command{
		Name: "proxy", Usage: "cost of the proxy per statement: direct, through the owner, forwarded",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "span", Value: capacity.DefaultDuration, Usage: "length of each measurement", Destination: &o.Duration},
			&cli.IntFlag{Name: "callers", Value: 16, Usage: "callers that run at once under load", Destination: &o.Callers},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "repeats, of which the median counts", Destination: &o.Rounds},
			&cli.BoolFlag{Name: "write", Usage: "insert rows, with three members", Destination: &o.Write},
			&cli.BoolFlag{Name: "simple", Usage: "simple protocol instead of prepared statements", Destination: &o.Simple},
			&cli.StringFlag{Name: "profile", Usage: "file for a CPU profile of the owner under load", Destination: &profile},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if profile != "" {
				o.DuringLoad = func(ctx context.Context, admin string) { _ = fetchProfile(ctx, admin, profile) }
			}
			r, err := capacity.Proxy(ctx, o)
			if err != nil {
				return err
			}
			fmt.Print(capacity.ProxySummary(r))
			return finish(c, r)
		},
	}
}

// fetchProfile writes a CPU profile of a daemon to a file. Calls after the first replace it.
func fetchProfile(ctx context.Context, admin, file string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/pprof/profile?seconds=2", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = io.Copy(f, resp.Body)
	return err
}
