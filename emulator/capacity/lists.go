package capacity

import (
	"context"
	"net"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/platform"
	api "github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// listPolls is the number of polls whose mean is reported.
const listPolls = 20

// Lists measures polls of the VM and service lists while they do not change. Sizes are VMs per data centre. The number of
// services is in proportion, as in the target: 1200 services with 56 VMs per data centre.
func Lists(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("lists", "VMs in the fleet")
	for _, vmsPerDC := range sizes {
		values, err := measureLists(ctx, vmsPerDC)
		if err != nil {
			return nil, err
		}
		r.Add(float64(targetDataCentres*vmsPerDC), values)
	}
	r.Finish()
	return r, nil
}

// targetVMsPerDC is the number of VMs in each data centre of the target.
const targetVMsPerDC = 56

// measureLists measures the first read of each list and the polls after it.
func measureLists(ctx context.Context, vmsPerDC int) (map[string]float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	vms := fleetVMs(targetDataCentres, vmsPerDC)
	services := fleetServices(targetServices*vmsPerDC/targetVMsPerDC, targetDataCentres)
	server := platform.Start(listener, vms, services)
	defer server.Close()
	var counter byteCounter
	client := api.New(api.Options{BaseURL: server.URL(), Timeout: 5 * time.Second, Dial: counter.Dial})
	defer client.Close()
	readVMs := func() error { _, err := client.VMs(ctx); return err }
	readServices := func() error { _, err := client.Services(ctx); return err }
	values := map[string]float64{}
	for name, read := range map[string]func() error{"vms": readVMs, "services": readServices} {
		bytesBefore := counter.totalBytes()
		if err := read(); err != nil {
			return nil, err
		}
		values[name+"_first_bytes"] = counter.totalBytes() - bytesBefore
		bytesBefore, cpuBefore := counter.totalBytes(), selfCPU()
		for range listPolls {
			if err := read(); err != nil {
				return nil, err
			}
		}
		values[name+"_poll_bytes"] = (counter.totalBytes() - bytesBefore) / listPolls
		values[name+"_poll_cpu_us (both ends)"] = float64((selfCPU() - cpuBefore).Microseconds()) / listPolls
	}
	return values, nil
}
