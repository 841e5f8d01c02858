package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
)

// MemberLoad sums the counters and limits of all members.
type MemberLoad struct {
	Connections    int    // sum of the most connections that each member had open at once
	Limit          int    // sum of the connection limits
	RefusedConnect uint64 // connections refused because they exceeded the limit of a member
	Statements     uint64
}

// OwnerFigures holds the figures of one scene on one system. SycamoreHub has one owner per member; the naive proxy splits
// the connections of each member evenly over the entry VMs.
type OwnerFigures struct {
	Scene
	Members MemberLoad
}

// runOwners runs the same load with one owner per member, and with the connections of each member split evenly over the
// entry VMs. Here the naive proxy sends reads that accept data up to a maximum age to the nearest member, as the system
// does, so that only the use of connections differs.
func runOwners(ctx context.Context, r *runner) (any, error) {
	doc, err := clusterconfig.Parse(r.installation.config)
	if err != nil {
		return nil, err
	}
	r.naiveArgs = []string{"--spread-reads"}
	var out []OwnerFigures
	for i, spec := range []sceneSpec{{"calm", 1, 1, ""}, {"batch flood", 1, floodFactor, ""}} {
		for _, system := range r.Systems {
			var load MemberLoad
			result, err := r.runScene(ctx, system, spec, doc, r.Seed+uint64(i), func(c *cluster) error {
				var err error
				load, err = c.readMemberLoad(ctx)
				return err
			})
			if err != nil {
				return out, fmt.Errorf("%s, %s: %w", system, spec.name, err)
			}
			r.printScene(result)
			fmt.Fprintf(r.Out, "  members: %+v\n", load)
			out = append(out, OwnerFigures{result, load})
		}
	}
	return out, nil
}

// readMemberLoad reads the counters of all members over their control addresses.
func (c *cluster) readMemberLoad(ctx context.Context) (MemberLoad, error) {
	var load MemberLoad
	for _, svc := range c.Topology.Services {
		for _, m := range svc.Members {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ControlAddr+member.PathCounters, nil)
			if err != nil {
				return load, err
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return load, err
			}
			var counters member.Counters
			err = json.NewDecoder(resp.Body).Decode(&counters)
			_ = resp.Body.Close()
			if err != nil {
				return load, err
			}
			load.Connections += counters.Peak
			load.Limit += m.Connections
			load.RefusedConnect += counters.Refused
			load.Statements += counters.Statements
		}
	}
	return load, nil
}
