package capacity

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/membership"
)

const (
	// nodeSettle is longer than the evidence of links of the start lasts: six intervals.
	nodeSettle = 10 * time.Second
	nodeSpan   = 10 * time.Second
	otherVMs   = 2 // VMs of each other data centre, which are the ends of the links
)

// Heartbeats measures the heartbeats of the nodes of one data centre, of which some have links to 11 others. Sizes are nodes
// of that data centre. The others are represented by the ends of the links, with the interval of the measured one: in a
// fleet all data centres are alike.
func Heartbeats(ctx context.Context, sizes []int, rounds int) (*Report, error) {
	r := NewReport("node", "nodes in the data centre")
	for range rounds {
		for _, n := range sizes {
			values, err := measureNode(ctx, n)
			if err != nil {
				return nil, err
			}
			r.Add(float64(n), values)
		}
	}
	r.Finish()
	return r, nil
}

func measureNode(ctx context.Context, size int) (map[string]float64, error) {
	vms := fleetVMs(1, size)
	own := vms[0].DataCentre
	for _, vm := range fleetVMs(targetDataCentres, otherVMs) {
		if vm.DataCentre != own {
			vms = append(vms, vm)
		}
	}
	m, err := startMesh(vms, membership.Interval(size-1))
	if err != nil {
		return nil, err
	}
	defer m.close()
	pause(ctx, nodeSettle)
	measured := m.nodes[:size] // the first data centre
	before, start := make([]float64, size), time.Now()
	for i, n := range measured {
		before[i] = n.bytes()
	}
	pause(ctx, nodeSpan)
	s := time.Since(start).Seconds()
	var sum, most, links float64
	for i, n := range measured {
		rate := (n.bytes() - before[i]) / s
		sum, most = sum+rate, max(most, rate)
		links = max(links, float64(linked(n.view)-(size-1)))
	}
	return map[string]float64{
		"bytes/s (mean)": sum / float64(size), "bytes/s (most)": most, "links to others (most)": links,
		"live (least)": float64(m.leastLive()),
	}, nil
}
