package capacity

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/membership"
)

const (
	// nodeSettle is longer than the evidence of links of the start lasts: six intervals.
	nodeSettle    = 10 * time.Second
	nodeDuration  = 10 * time.Second
	vmsPerOtherDC = 2 // VMs of each other data centre, which are the ends of the links
)

// Heartbeats measures the heartbeats of the nodes of one data centre, of which some have links to 11 others. Sizes are nodes
// of that data centre. The others are represented by the ends of the links, with the interval of the measured one: in a
// fleet all data centres are alike.
func Heartbeats(ctx context.Context, sizes []int, rounds int) (*Report, error) {
	r := NewReport("node", "nodes in the data centre")
	for range rounds {
		for _, nodeCount := range sizes {
			values, err := measureNode(ctx, nodeCount)
			if err != nil {
				return nil, err
			}
			r.Add(float64(nodeCount), values)
		}
	}
	r.Finish()
	return r, nil
}

func measureNode(ctx context.Context, nodeCount int) (map[string]float64, error) {
	vms := fleetVMs(1, nodeCount)
	measuredDC := vms[0].DataCentre
	for _, vm := range fleetVMs(targetDataCentres, vmsPerOtherDC) {
		if vm.DataCentre != measuredDC {
			vms = append(vms, vm)
		}
	}
	m, err := startMesh(vms, membership.Interval(nodeCount-1))
	if err != nil {
		return nil, err
	}
	defer m.close()
	pause(ctx, nodeSettle)
	measured := m.nodes[:nodeCount] // the first data centre
	bytesBefore, start := make([]float64, nodeCount), time.Now()
	for i, n := range measured {
		bytesBefore[i] = n.trafficBytes()
	}
	pause(ctx, nodeDuration)
	seconds := time.Since(start).Seconds()
	var sum, largest, mostLinks float64
	for i, n := range measured {
		rate := (n.trafficBytes() - bytesBefore[i]) / seconds
		sum, largest = sum+rate, max(largest, rate)
		mostLinks = max(mostLinks, float64(linkCount(n.view)-(nodeCount-1)))
	}
	return map[string]float64{
		"bytes/s (mean)": sum / float64(nodeCount), "bytes/s (most)": largest, "links to others (most)": mostLinks,
		"live (least)": float64(m.fewestLive()),
	}, nil
}
