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
	// floodServiceTime is how long a statement occupies a slot of a member. Each slot runs 100 statements/s, so that
	// the slots limit the throughput and not the machine that the experiment runs on.
	floodServiceTime = "10ms"
	floodWarmup      = 3 * time.Second // for the daemons' estimates of service times and for queues to settle
	floodDuration    = 8 * time.Second // measured after the warm-up
	floodFactor      = 10              // load of the flooding rank, as a multiple of its calm load
	sessionKeyCount  = 60
	// floodMeanInterval is the mean time between the starts of two requests of one caller. It does not depend on how
	// long answers take, so slow answers do not lower the rate of a caller.
	floodMeanInterval = 500 * time.Millisecond
)

// ClassFigures holds the figures of one class in one scene.
type ClassFigures struct {
	Class, Rank                string
	Offered, Served            float64 // requests/s
	InTarget                   float64 // requests/s served within the target latency of the class
	Within                     float64 // InTarget as a share of Offered
	Kept                       float64 // InTarget as a share of InTarget of the calm scene; 0 if that has not run
	P50Ms, P99Ms               float64
	Refused, Unknown, Requests int
	Errors                     map[string]int
}

// Scene holds the figures of one load on one system.
type Scene struct {
	System, Scene string
	Load          string // the machine's load averages after the run
	Classes       []ClassFigures
	StaleReads    int // reads of a session that missed its own acknowledged write
	Ledger        ledgerCounts
}

// sceneSpec describes a scene: the load of the urgent and the batch rank as multiples of their calm load, and the member
// that is killed during the run.
type sceneSpec struct {
	name                      string
	urgentFactor, batchFactor int
	lostMember                string // "primary", "replica", or "" for none
}

// floodScenes starts with the calm scene, since ClassFigures.Kept of the others refers to it.
var floodScenes = []sceneSpec{
	{"calm", 1, 1, ""},
	{"batch flood", 1, floodFactor, ""},
	{"urgent flood", floodFactor, 1, ""},
	{"batch flood, replica lost", 1, floodFactor, "replica"},
	{"batch flood, primary lost", 1, floodFactor, "primary"},
	{"urgent flood, replica lost", floodFactor, 1, "replica"},
}

// runFloods runs the scenes selected by Options.Scene, each on a cluster of its own.
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

// floodClasses returns the load of a scene. In the calm scene about a third of the slots of the three services are busy.
// Ten times the batch or the urgent load needs more slots than there are.
func (r *runner) floodClasses(spec sceneSpec) []workload.Class {
	slotFactor := 1.0
	if r.User == "kasica" {
		slotFactor = 1.5 // each member has three slots instead of two
	}
	scaled := func(callers, factor int) int { return int(float64(callers) * slotFactor * float64(factor)) }
	return []workload.Class{
		{Name: r.installation.orderClass, Kind: workload.Write, Callers: scaled(30, spec.urgentFactor),
			Pause: floodMeanInterval, FixedRate: true, ReadBack: r.installation.confirmClass},
		{Name: r.installation.lookupClass, Kind: workload.Read, Callers: scaled(100, 1), Pause: floodMeanInterval, FixedRate: true},
		{Name: r.installation.batchClass, Kind: workload.Read, Callers: scaled(80, spec.batchFactor), Pause: floodMeanInterval, FixedRate: true},
	}
}

// runScene runs one scene on a cluster of its own. It calls inspect when the load has ended and the cluster still runs.
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

// killMember kills the initial primary of the first service, or with role "replica" the last member of its list.
func (c *cluster) killMember(role string) {
	members := c.Topology.Services[0].Members
	name := members[0].Name
	if role == "replica" {
		name = members[len(members)-1].Name
	}
	c.Members[name].Kill()
}

// classFigures computes the figures of a class from what its callers saw in the elapsed time.
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

// printScene prints a line for the scene and one for each class.
func (r *runner) printScene(s Scene) {
	fmt.Fprintf(r.Out, "%s, %s (load %s), %d stale reads, ledger %+v\n", s.System, s.Scene, s.Load, s.StaleReads, s.Ledger)
	for _, c := range s.Classes {
		fmt.Fprintf(r.Out, "  %-10s %-8s offered %6.1f/s, within target %6.2f%%, kept of calm %5.1f%%, p50 %7.1f ms, p99 %7.1f ms, errors %v\n",
			c.Class, c.Rank, c.Offered, 100*c.Within, 100*c.Kept, c.P50Ms, c.P99Ms, c.Errors)
	}
}
