// Command shortdays prints a short day for the users' bench: two to five disruptions that begin within nine seconds, most of them on one
// service. Such days find orders of events that long mixed days rarely have. The day is a pure function of the seed.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

const (
	dayLength = 36 // seconds
	firstAt   = 6.0
	within    = 9.0 // seconds from firstAt in which disruptions begin
	service   = `, service = "@s0"`
)

// disruptions are the entries that a day draws from; %.1f is how long they last. Those of a service are listed several times, since a day
// is about one service.
var disruptions = []string{
	`kind = "srv_crash", how = "primary", for_s = %.1f` + service,
	`kind = "srv_crash", how = "primary dark", for_s = %.1f` + service,
	`kind = "srv_crash", share = 0.35, for_s = %.1f` + service,
	`kind = "primary_cut", share = 0.45, for_s = %.1f, how = "split"` + service,
	`kind = "primary_cut", share = 0.65, for_s = %.1f, how = "one_way"` + service,
	`kind = "primary_cut", share = 0.4, for_s = %.1f, how = "replicas"` + service,
	`kind = "replica_lag", x = 60.0, for_s = %.1f, share = 0.7` + service,
	`kind = "replica_lag", x = 60.0, for_s = %.1f, share = 0.7, how = "deaf crash"` + service,
	`kind = "srv_cut", share = 0.34, for_s = %.1f` + service,
	`kind = "srv_cut", share = 0.67, for_s = %.1f` + service,
	`kind = "release", how = "primary"` + service,
	`kind = "applied_late", x = 0.5, for_s = %.1f, how = "cloud"`,
	`kind = "applied_late", x = 0.35, for_s = %.1f`,
	`kind = "answer_lost", share = 0.45, x = 0.03, for_s = %.1f`,
	`kind = "platform_down", for_s = %.1f, how = "lapse"`,
	`kind = "platform_down", for_s = %.1f, how = "silent", share = 0.0`,
	`kind = "herd_kill", share = 0.55, for_s = %.1f`,
	`kind = "node_freeze", on = "core", count = 1, for_s = %.1f, how = "leader"`,
	`kind = "core_cut", count = 1, for_s = %.1f, how = "leader"`,
	`kind = "node_cut", share = 0.17, for_s = %.1f`,
}

// planned are the kinds of disruption that count as planned work.
var planned = []string{`kind = "release"`}

// writeDay writes the day of a seed as TOML. Disruptions that contain one of the words in without are left out.
func writeDay(w io.Writer, seed uint64, without []string) error {
	r := rand.New(rand.NewPCG(seed, 1))
	drawn := slices.DeleteFunc(slices.Clone(disruptions), func(d string) bool { return containsAny(d, without) })
	var plan, faults strings.Builder
	for range 2 + r.IntN(4) {
		d := drawn[r.IntN(len(drawn))]
		if strings.Contains(d, "%") {
			d = fmt.Sprintf(d, 1.5+6*r.Float64())
		}
		list := &faults
		if containsAny(d, planned) {
			list = &plan
		}
		_, _ = fmt.Fprintf(list, "  { at = %.2f, %s },\n", firstAt+within*r.Float64(), d)
	}
	_, err := fmt.Fprintf(w, "[[day]]\nname = \"short-%d\"\nslot = \"trouble\"\nseed = %d\nlength_s = %d\nplan = [\n%s]\nfaults = [\n%s]\n",
		seed, seed, dayLength, plan.String(), faults.String())
	return err
}

func containsAny(text string, words []string) bool {
	return slices.ContainsFunc(words, func(w string) bool { return strings.Contains(text, w) })
}

func main() {
	command := &cli.Command{
		Name:  "shortdays",
		Usage: "prints a short day with several disruptions for the users' bench",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the day is a function of it"},
			&cli.StringSliceFlag{Name: "without", Usage: "leaves out disruptions that contain this text, as \"deaf\""},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return writeDay(os.Stdout, c.Uint64("seed"), c.StringSlice("without"))
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "shortdays:", err)
		os.Exit(1)
	}
}
