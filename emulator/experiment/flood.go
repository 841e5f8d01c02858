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
	// floodServiceTime of a statement makes the members' slots the limit instead of this machine: 100 statements/s for each
	// slot.
	floodServiceTime = "10ms"
	floodWarmup      = 3 * time.Second // estimates and queues settle
	floodDuration    = 8 * time.Second
	floodFactor      = 10
	sessionKeyCount  = 60
	// floodMeanInterval is the mean time between two requests of one caller. Callers are paced: slow answers do not lower
	// their rate.
	floodMeanInterval = 500 * time.Millisecond
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
	Ledger        ledgerCounts
}

// sceneSpec describes a load: how many times the calm load each rank offers, and which member is lost.
type sceneSpec struct {
	name                      string
	urgentFactor, batchFactor int
	lostMember                string // "", "replica" or "primary"
}

var floodScenes = []sceneSpec{
	{"calm", 1, 1, ""},
	{"batch flood", 1, floodFactor, ""},
	{"urgent flood", floodFactor, 1, ""},
	{"batch flood, replica lost", 1, floodFactor, "replica"},
	{"batch flood, primary lost", 1, floodFactor, "primary"},
	{"urgent flood, replica lost", floodFactor, 1, "replica"},
}

// runFloods runs all scenes, each on a fresh cluster.
func runFloods(ctx context.Context, r *runner) (any, error) {
	doc, err := clusterconfig.Parse(r.installation.config)
	if err != nil {
		return nil, err
	}
	var out []Scene
	for _, system := range r.Systems {
		calmInTarget := map[string]float64{}
		for i, spec := range floodScenes {
			if !strings.Contains(spec.name, r.Scene) {
				continue
			}
			result, err := r.runScene(ctx, system, spec, doc, r.Seed+uint64(i), func(*cluster) error { return nil })
			if err != nil {
				return out, fmt.Errorf("%s, %s: %w", system, spec.name, err)
			}
			for j := range result.Classes {
				class := &result.Classes[j]
				if spec.name == "calm" {
					calmInTarget[class.Class] = class.InTarget
				}
				if calmInTarget[class.Class] > 0 {
					class.Kept = class.InTarget / calmInTarget[class.Class]
				}
			}
			r.printScene(result)
			out = append(out, result)
		}
	}
	return out, nil
}

// floodClasses returns the load of a scene. In the calm scene the three services' slots are about a third busy; ten
// times the batch or the urgent work exceeds them.
func (r *runner) floodClasses(spec sceneSpec) []workload.Class {
	slotFactor := 1.0
	if r.User == "kasica" {
		slotFactor = 1.5 // three slots for each member instead of two
	}
	scaled := func(callers, factor int) int { return int(float64(callers) * slotFactor * float64(factor)) }
	return []workload.Class{
		{Name: r.installation.orderClass, Kind: workload.Write, Callers: scaled(30, spec.urgentFactor),
			Pause: floodMeanInterval, FixedRate: true, ReadBack: r.installation.confirmClass},
		{Name: r.installation.lookupClass, Kind: workload.Read, Callers: scaled(100, 1), Pause: floodMeanInterval, FixedRate: true},
		{Name: r.installation.batchClass, Kind: workload.Read, Callers: scaled(80, spec.batchFactor), Pause: floodMeanInterval, FixedRate: true},
	}
}

// runScene runs one load on a fresh cluster; inspect looks at the cluster at its end.
func (r *runner) runScene(ctx context.Context, system string, spec sceneSpec, doc *clusterconfig.Document, seed uint64, inspect func(*cluster) error) (Scene, error) {
	c, err := r.start(ctx, system, "--service-time", floodServiceTime)
	if err != nil {
		return Scene{}, err
	}
	defer c.close()
	if spec.lostMember != "" {
		timer := time.AfterFunc(floodWarmup+floodDuration/4, func() { c.killMember(spec.lostMember) })
		defer timer.Stop()
	}
	res := workload.Run(ctx, workload.Options{
		Addrs: c.callerAddrs(), Database: c.Topology.Services[0].Database, Keys: sessionKeyCount, Classes: r.floodClasses(spec),
		Duration: floodWarmup + floodDuration, Warmup: floodWarmup, Seed: seed,
	})
	result := Scene{System: system, Scene: spec.name, Load: loadAverages(), StaleReads: res.StaleSessionReads}
	for _, class := range doc.Classes {
		if classResult := res.Classes[class.Name]; classResult != nil && classResult.Requests > 0 {
			result.Classes = append(result.Classes, classFigures(class, classResult, res.Elapsed))
		}
	}
	if err := inspect(c); err != nil {
		return result, err
	}
	result.Ledger, err = c.checkOrders(ctx, res)
	return result, err
}

// killMember kills the primary or the last replica of the first service.
func (c *cluster) killMember(role string) {
	members := c.Topology.Services[0].Members
	name := members[0].Name
	if role == "replica" {
		name = members[len(members)-1].Name
	}
	c.Members[name].Kill()
}

func classFigures(class clusterconfig.Class, result *workload.ClassResult, elapsed time.Duration) ClassFigures {
	target := time.Duration(class.Target.Latency)
	perSecond := func(n float64) float64 { return n / elapsed.Seconds() }
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return ClassFigures{
		Class: class.Name, Rank: class.Rank, Requests: result.Requests,
		Offered: perSecond(float64(result.Requests)), Served: perSecond(float64(result.Served)),
		InTarget: perSecond(result.Within(target) * float64(result.Requests)), Within: result.Within(target),
		P50Ms: milliseconds(result.Quantile(0.5)), P99Ms: milliseconds(result.Quantile(0.99)),
		Refused: result.Refused, Unknown: result.Unknown, Errors: result.Errors,
	}
}

func (r *runner) printScene(s Scene) {
	fmt.Fprintf(r.Out, "%s, %s (load %s), %d stale reads, ledger %+v\n", s.System, s.Scene, s.Load, s.StaleReads, s.Ledger)
	for _, c := range s.Classes {
		fmt.Fprintf(r.Out, "  %-10s %-8s offered %6.1f/s, within target %6.2f%%, kept %5.1f%%, p50 %7.1f ms, p99 %7.1f ms, errors %v\n",
			c.Class, c.Rank, c.Offered, 100*c.Within, 100*c.Kept, c.P50Ms, c.P99Ms, c.Errors)
	}
}
