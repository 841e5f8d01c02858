package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// BenchmarkEvaluate measures one evaluation of a view with 12 data centres, in which all VMs are listed and two peers
// hold a section of each other data centre. In steady nothing has changed, as in the regular evaluations twice a second;
// in change one VM of another data centre has been added or removed.
func BenchmarkEvaluate(b *testing.B) {
	for _, vmsPerDC := range []int{7, 14, 28, 56} {
		b.Run(fmt.Sprintf("steady/%d", 12*vmsPerDC), func(b *testing.B) { benchEvaluate(b, vmsPerDC, false) })
		b.Run(fmt.Sprintf("change/%d", 12*vmsPerDC), func(b *testing.B) { benchEvaluate(b, vmsPerDC, true) })
	}
}

func benchEvaluate(b *testing.B, vmsPerDC int, change bool) {
	const dataCentres = 12
	var all []platform.VM
	for d := range dataCentres {
		for i := range vmsPerDC {
			all = append(all, platform.VM{Name: fmt.Sprintf("entry-%02d-%03d", d, i), DataCentre: fmt.Sprint("dc-", d),
				Region: fmt.Sprint(d / 4), PeerAddr: fmt.Sprintf("10.0.%d.%d:7001", d, i), State: platform.VMLive})
		}
	}
	n := newNetwork()
	v := New(Options{Self: all[0], Lister: n, Transport: memoryTransport{n, all[0]}})
	v.stopped = true // prevents heartbeats
	v.applyList(all)
	for i, vm := range all[1:vmsPerDC] {
		p := v.peers[vm.Name]
		p.lastHeard = time.Now().Add(time.Hour)
		if d := 1 + i%(dataCentres-1); i < 2*(dataCentres-1) {
			v.setSections(p, []wire.Section{section(all[d*vmsPerDC : (d+1)*vmsPerDC])})
		}
		v.markChanged(p)
	}
	v.evaluate()
	sender, otherDC := v.peers[all[1].Name], all[vmsPerDC:2*vmsPerDC]
	defer func() { _ = v.Stop(context.Background()) }()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if change {
			v.setSections(sender, []wire.Section{section(otherDC[n%2:])})
		}
		v.evaluate()
	}
	v.setSections(sender, []wire.Section{section(otherDC)})
	v.evaluate()
	if len(v.Live()) != len(all) {
		b.Fatal(len(v.Live()))
	}
}

func section(vms []platform.VM) wire.Section {
	s := wire.Section{DataCentre: vms[0].DataCentre}
	for _, vm := range vms {
		s.VMs = append(s.VMs, wire.VMStatus{VM: vm})
	}
	return s
}
