package capacity

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/membership"
)

const (
	// nodeSettle is longer than six heartbeat intervals, after which the evidence from links that existed only during the
	// start has expired.
	nodeSettle    = 10 * time.Second
	nodeDuration  = 10 * time.Second
	vmsPerOtherDC = 2 // the VMs at the ends of the two links to the measured data centre
)

// Heartbeats measures the heartbeats of the nodes of one data centre, some of which have links to 11 other data centres.
// Sizes are nodes in the measured data centre. Only the ends of the links run in the others. They use the heartbeat
// interval of the measured data centre, since the data centres of a fleet are alike.
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

// measureNode measures the heartbeat traffic of each node of the data centre.
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
	measured := m.nodes[:nodeCount] // those of the first data centre
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
