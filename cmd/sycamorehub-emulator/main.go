// Command sycamorehub-emulator emulates the platform and database members, for tests and the demo.
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
	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
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
	topologyFlag := &cli.StringFlag{Name: "topology", Usage: "JSON file with the VMs, services and addresses of a cluster", Required: true}
	return &cli.Command{
		Name:  "sycamorehub-emulator",
		Usage: "emulate the platform and database members, for tests",
		Commands: []*cli.Command{
			{
				Name: "topology", Usage: "print the topology of a user's cluster, with free ports filled in",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "user", Usage: "user whose topology is printed: kitakata or kasica", Value: "kitakata"}},
				Action: printTopology,
			},
			{
				Name: "platform", Usage: "serve the table, objects and lists of the platform",
				Flags: []cli.Flag{topologyFlag, &cli.StringFlag{Name: "listen", Usage: "host:port to listen on; default as in the topology"}},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return runPlatform(ctx, cmd.String("topology"), cmd.String("listen"))
				},
			},
			{
				Name: "member", Usage: "serve one member of a database group",
				Flags: []cli.Flag{
					topologyFlag,
					&cli.StringFlag{Name: "name", Usage: "name of the member in the topology", Required: true},
					&cli.StringFlag{Name: "seen", Usage: "JSON file of a topology with the addresses at which this member reaches others; default as in the topology"},
					&cli.IntFlag{Name: "slots", Usage: "number of statements that run at the same time; 0 means as in the topology"},
					&cli.IntFlag{Name: "connections", Usage: "limit of connections; 0 means as in the topology"},
					&cli.DurationFlag{Name: "connect-delay", Usage: "delay of each new connection; default as in the topology"},
					&cli.DurationFlag{Name: "service-time", Usage: "time that each statement takes"},
					&cli.DurationFlag{Name: "lag", Usage: "delay between receiving and applying a replicated entry"},
					&cli.UintFlag{Name: "primary-term", Usage: "initial term; with 0 the member starts as one that has lost its state, not fenced and in no term", Value: member.FirstTerm},
				},
				Action: runMember,
			},
		},
	}
}

func printTopology(_ context.Context, cmd *cli.Command) error {
	buildTopology := map[string]func() (*topology.Topology, error){"kitakata": topology.Kitakata, "kasica": topology.Kasica}[cmd.String("user")]
	if buildTopology == nil {
		return fmt.Errorf("unknown user %q; use kitakata or kasica", cmd.String("user"))
	}
	topo, err := buildTopology()
	if err != nil {
		return err
	}
	return topo.Write(os.Stdout)
}

func runPlatform(ctx context.Context, topologyFile, addr string) error {
	topo, err := topology.Load(topologyFile)
	if err != nil {
		return err
	}
	if addr == "" {
		addr = topo.PlatformAddr
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := eplatform.Start(listener, topo.PlatformVMs(), topo.Services)
	logrus.WithField("addr", server.Addr()).Info("emulated platform is listening")
	<-ctx.Done()
	return server.Close()
}

func runMember(ctx context.Context, cmd *cli.Command) error {
	topo, err := topology.Load(cmd.String("topology"))
	if err != nil {
		return err
	}
	info, service, index, err := topo.Member(cmd.String("name"))
	if err != nil {
		return err
	}
	data, dataErr := net.Listen("tcp", info.DataAddr)
	control, controlErr := net.Listen("tcp", info.ControlAddr)
	if err := errors.Join(dataErr, controlErr); err != nil {
		return err
	}
	options := member.OptionsFor(service, index, data, control, member.ServiceOptions{
		ConnectDelay: time.Duration(topo.Delays.ConnectMs * float64(time.Millisecond)),
		Faults:       member.Faults{Lag: topology.Ms(cmd.Duration("lag")), ServiceTime: topology.Ms(cmd.Duration("service-time"))},
	})
	overrideOptions(&options, cmd)
	if options.Resolve, err = memberResolver(cmd.String("seen")); err != nil {
		return err
	}
	m, err := member.Start(options)
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"member": info.Name, "data": m.DataAddr(), "control": m.ControlAddr()}).Info("emulated member is listening")
	<-ctx.Done()
	m.Close()
	return nil
}

// memberResolver returns a function that replaces the addresses of a member by those in the topology file, at which this
// member reaches it. Members that the file does not hold are left unchanged. Without a file name it returns nil.
func memberResolver(topologyFile string) (func(platform.Member) platform.Member, error) {
	if topologyFile == "" {
		return nil, nil
	}
	topo, err := topology.Load(topologyFile)
	if err != nil {
		return nil, err
	}
	return func(m platform.Member) platform.Member {
		if seenMember, _, _, err := topo.Member(m.Name); err == nil {
			return seenMember
		}
		return m
	}, nil
}

// overrideOptions sets the options whose flags take precedence over the topology.
func overrideOptions(options *member.Options, cmd *cli.Command) {
	if n := cmd.Int("slots"); n > 0 {
		options.Slots = n
	}
	if n := cmd.Int("connections"); n > 0 {
		options.Connections = n
	}
	if cmd.IsSet("connect-delay") {
		options.ConnectDelay = cmd.Duration("connect-delay")
	}
	options.SetTerm(uint64(cmd.Uint("primary-term")))
}
