// Command sycamorehub-emulator runs the stand-ins of the platform and of database members for tests and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/sycamorehub/sycamorehub/emulator/member"
	standin "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "sycamorehub-emulator:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	file := &cli.StringFlag{Name: "topology", Usage: "JSON file with VMs, services and addresses", Required: true}
	return &cli.Command{
		Name:  "sycamorehub-emulator",
		Usage: "stand-ins of the platform and of database members, for tests",
		Commands: []*cli.Command{
			{
				Name: "topology", Usage: "print the topology of a user with free ports",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "user", Usage: "kitakata or kasica", Value: "kitakata"}},
				Action: printTopology,
			},
			{
				Name: "platform", Usage: "serve table, objects and lists",
				Flags: []cli.Flag{file, &cli.StringFlag{Name: "listen", Usage: "host:port instead of the topology's"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return runPlatform(ctx, c.String("topology"), c.String("listen"))
				},
			},
			{
				Name: "member", Usage: "serve one member of a database group",
				Flags: []cli.Flag{
					file,
					&cli.StringFlag{Name: "name", Usage: "member in the topology", Required: true},
					&cli.StringFlag{Name: "seen", Usage: "topology with the addresses at which this member reaches others; default as in the topology"},
					&cli.IntFlag{Name: "slots", Usage: "statements that run at once; 0: as in the topology"},
					&cli.IntFlag{Name: "connections", Usage: "connection limit; 0: as in the topology"},
					&cli.DurationFlag{Name: "connect-delay", Usage: "for a new connection; default as in the topology"},
					&cli.DurationFlag{Name: "service-time", Usage: "of each statement"},
					&cli.DurationFlag{Name: "lag", Usage: "between receiving and applying an entry"},
					&cli.UintFlag{Name: "primary-term", Usage: "initial term; 0 starts the member as one that lost its state: fenced by nobody, in no term", Value: member.FirstTerm},
				},
				Action: runMember,
			},
		},
	}
}

func printTopology(_ context.Context, c *cli.Command) error {
	build := map[string]func() (*topology.Topology, error){"kitakata": topology.Kitakata, "kasica": topology.Kasica}[c.String("user")]
	if build == nil {
		return fmt.Errorf("unknown user %q; use kitakata or kasica", c.String("user"))
	}
	t, err := build()
	if err != nil {
		return err
	}
	return t.Write(os.Stdout)
}

func runPlatform(ctx context.Context, file, addr string) error {
	t, err := topology.Load(file)
	if err != nil {
		return err
	}
	if addr == "" {
		addr = t.PlatformAddr
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := standin.Start(l, t.PlatformVMs(), t.Services)
	logrus.WithField("addr", s.Addr()).Info("platform stand-in is listening")
	<-ctx.Done()
	return s.Close()
}

func runMember(ctx context.Context, c *cli.Command) error {
	t, err := topology.Load(c.String("topology"))
	if err != nil {
		return err
	}
	info, service, i, err := t.Member(c.String("name"))
	if err != nil {
		return err
	}
	data, err1 := net.Listen("tcp", info.DataAddr)
	control, err2 := net.Listen("tcp", info.ControlAddr)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	o := member.OptionsFor(service, i, data, control, member.ServiceOptions{
		ConnectDelay: time.Duration(t.Delays.ConnectMs * float64(time.Millisecond)),
		Faults:       member.Faults{Lag: topology.Ms(c.Duration("lag")), ServiceTime: topology.Ms(c.Duration("service-time"))},
	})
	override(&o, c)
	if o.Resolve, err = resolver(c.String("seen")); err != nil {
		return err
	}
	m, err := member.Start(o)
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"member": info.Name, "data": m.DataAddr(), "control": m.ControlAddr()}).Info("member stand-in is listening")
	<-ctx.Done()
	m.Close()
	return nil
}

// resolver reads the addresses at which a member reaches the others; an empty file name stands for those given.
func resolver(file string) (func(platform.Member) platform.Member, error) {
	if file == "" {
		return nil, nil
	}
	t, err := topology.Load(file)
	if err != nil {
		return nil, err
	}
	return func(m platform.Member) platform.Member {
		if seen, _, _, err := t.Member(m.Name); err == nil {
			return seen
		}
		return m
	}, nil
}

// override applies the flags that take precedence over the topology.
func override(o *member.Options, c *cli.Command) {
	if n := c.Int("slots"); n > 0 {
		o.Slots = n
	}
	if n := c.Int("connections"); n > 0 {
		o.Connections = n
	}
	if c.IsSet("connect-delay") {
		o.ConnectDelay = c.Duration("connect-delay")
	}
	o.SetTerm(uint64(c.Uint("primary-term")))
}
