package experiment

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

const (
	// serviceTime of a statement makes the members' slots the limit instead of this machine: 100 statements/s for each
	// slot.
	serviceTime = "10ms"
	floodWarmup = 3 * time.Second // estimates and queues settle
	floodRun    = 8 * time.Second
	floodFactor = 10
	sessionKeys = 60
	// calmPause is the mean time between two requests of one caller. Callers are paced: slow answers do not lower
	// their rate.
	calmPause = 500 * time.Millisecond
)

// ClassFigures are the figures of one class in one scene.
type ClassFigures struct {
	Class, Rank                string
	Offered, Served            float64 // requests/s
	InTarget                   float64 // requests/s served within the target
	Within                     float64 // share of the offered requests
	Kept                       float64 // InTarget against the calm scene
	P50Ms, P99Ms               float64
	Refused, Unknown, Requests int
	Errors                     map[string]int
}

// Scene is one load on one system.
type Scene struct {
	System, Scene string
	Load          string
	Classes       []ClassFigures
	StaleReads    int
	Ledger        ledger
}

// scene describes a load: how many times the calm load each rank offers, and which member is lost.
type scene struct {
	name          string
	urgent, batch int
	lose          string // "", "replica" or "primary"
}

var scenes = []scene{
	{"calm", 1, 1, ""},
	{"batch flood", 1, floodFactor, ""},
	{"urgent flood", floodFactor, 1, ""},
	{"batch flood, replica lost", 1, floodFactor, "replica"},
	{"batch flood, primary lost", 1, floodFactor, "primary"},
	{"urgent flood, replica lost", floodFactor, 1, "replica"},
}

// floods runs all scenes, each on a fresh cluster.
func floods(ctx context.Context, r *runner) (any, error) {
	doc, err := clusterconfig.Parse(r.user.config)
	if err != nil {
		return nil, err
	}
	var out []Scene
	for _, system := range r.Systems {
		calm := map[string]float64{}
		for i, s := range scenes {
			if !strings.Contains(s.name, r.Scene) {
				continue
			}
			got, err := r.scene(ctx, system, s, doc, r.Seed+uint64(i), func(*cluster) error { return nil })
			if err != nil {
				return out, fmt.Errorf("%s, %s: %w", system, s.name, err)
			}
			for j := range got.Classes {
				c := &got.Classes[j]
				if s.name == "calm" {
					calm[c.Class] = c.InTarget
				}
				if calm[c.Class] > 0 {
					c.Kept = c.InTarget / calm[c.Class]
				}
			}
			r.printScene(got)
			out = append(out, got)
		}
	}
	return out, nil
}

// floodClasses returns the load of a scene. In the calm scene the three services' slots are about a third busy; ten
// times the batch or the urgent work exceeds them.
func (r *runner) floodClasses(s scene) []workload.Class {
	slots := 1.0
	if r.User == "kasica" {
		slots = 1.5 // three slots for each member instead of two
	}
	n := func(callers, factor int) int { return int(float64(callers) * slots * float64(factor)) }
	return []workload.Class{
		{Name: r.user.order, Kind: workload.Write, Callers: n(30, s.urgent), Pause: calmPause, FixedRate: true, ReadBack: r.user.confirm},
		{Name: r.user.lookup, Kind: workload.Read, Callers: n(100, 1), Pause: calmPause, FixedRate: true},
		{Name: r.user.batch, Kind: workload.Read, Callers: n(80, s.batch), Pause: calmPause, FixedRate: true},
	}
}

// scene runs one load on a fresh cluster; after looks at the cluster at its end.
func (r *runner) scene(ctx context.Context, system string, s scene, doc *clusterconfig.Document, seed uint64, after func(*cluster) error) (Scene, error) {
	c, err := r.start(ctx, system, "--service-time", serviceTime)
	if err != nil {
		return Scene{}, err
	}
	defer c.close()
	if s.lose != "" {
		timer := time.AfterFunc(floodWarmup+floodRun/4, func() { c.lose(s.lose) })
		defer timer.Stop()
	}
	res := workload.Run(ctx, workload.Options{
		Addrs: c.callerAddrs(), Database: c.Topology.Services[0].Database, Keys: sessionKeys, Classes: r.floodClasses(s),
		Duration: floodWarmup + floodRun, Warmup: floodWarmup, Seed: seed,
	})
	out := Scene{System: system, Scene: s.name, Load: loadAverage(), StaleReads: res.StaleSessionReads}
	for _, c := range doc.Classes {
		if f := res.Classes[c.Name]; f != nil && f.Requests > 0 {
			out.Classes = append(out.Classes, figures(c, f, res.Elapsed))
		}
	}
	if err := after(c); err != nil {
		return out, err
	}
	out.Ledger, err = c.ledger(ctx, res)
	return out, err
}

// lose kills the primary or the last replica of the first service.
func (c *cluster) lose(which string) {
	members := c.Topology.Services[0].Members
	name := members[0].Name
	if which == "replica" {
		name = members[len(members)-1].Name
	}
	c.Members[name].Kill()
}

func figures(c clusterconfig.Class, r *workload.ClassResult, elapsed time.Duration) ClassFigures {
	target := time.Duration(c.Target.Latency)
	per := func(n float64) float64 { return n / elapsed.Seconds() }
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return ClassFigures{
		Class: c.Name, Rank: c.Rank, Requests: r.Requests, Offered: per(float64(r.Requests)), Served: per(float64(r.Served)),
		InTarget: per(r.Within(target) * float64(r.Requests)), Within: r.Within(target),
		P50Ms: ms(r.Quantile(0.5)), P99Ms: ms(r.Quantile(0.99)),
		Refused: r.Refused, Unknown: r.Unknown, Errors: r.Errors,
	}
}

func (r *runner) printScene(s Scene) {
	fmt.Fprintf(r.Out, "%s, %s (load %s), %d stale reads, ledger %+v\n", s.System, s.Scene, s.Load, s.StaleReads, s.Ledger)
	for _, c := range s.Classes {
		fmt.Fprintf(r.Out, "  %-10s %-8s offered %6.1f/s, within target %6.2f%%, kept %5.1f%%, p50 %7.1f ms, p99 %7.1f ms, errors %v\n",
			c.Class, c.Rank, c.Offered, 100*c.Within, 100*c.Kept, c.P50Ms, c.P99Ms, c.Errors)
	}
}
