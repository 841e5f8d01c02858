package topology

import (
	"fmt"
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// servicesPerDatabase is the number of services in each user's database.
const servicesPerDatabase = 3

// installation holds what differs between the installations of the users.
type installation struct {
	name, database, storeRegion string
	regions                     []Region
	vms                         map[string]int // entry VMs per data centre
	slots, connections          int
	delays                      Delays
}

// Kitakata returns the installation of the user Kitakata: 7 entry VMs, 3 services of 3 members, with free ports on
// 127.0.0.1.
func Kitakata() (*Topology, error) {
	return buildTopology(installation{
		name: "kitakata", database: "plate-registry", storeRegion: "chikugo",
		regions: []Region{
			{Name: "chikugo", DataCentres: []string{"kurume-yard", "omuta-annex"}},
			{Name: "buzen", DataCentres: []string{"yukuhashi-depot"}},
		},
		vms:   map[string]int{"kurume-yard": 3, "omuta-annex": 2, "yukuhashi-depot": 2},
		slots: 2, connections: 16,
		delays: Delays{DataCentreMs: 1, RegionMs: 12, ClientMs: 3, ConnectMs: 12},
	})
}

// Kasica returns the installation of the user Kašica: 6 entry VMs, 3 services of 3 members, with free ports on
// 127.0.0.1.
func Kasica() (*Topology, error) {
	return buildTopology(installation{
		name: "kasica", database: "orders-db", storeRegion: "zagreb",
		regions: []Region{
			{Name: "zagreb", DataCentres: []string{"zg-a", "zg-b"}},
			{Name: "split", DataCentres: []string{"st-a"}},
		},
		vms:   map[string]int{"zg-a": 2, "zg-b": 2, "st-a": 2},
		slots: 3, connections: 35,
		delays: Delays{DataCentreMs: 0.5, RegionMs: 12, ClientMs: 1, ConnectMs: 25},
	})
}

// location is a data centre and its region.
type location struct{ region, dataCentre string }

// buildTopology returns the topology of an installation with free ports.
func buildTopology(inst installation) (*Topology, error) {
	t := &Topology{Name: inst.name, Regions: inst.regions, StoreRegion: inst.storeRegion, Delays: inst.delays}
	var locations []location
	for _, r := range inst.regions {
		for _, dc := range r.DataCentres {
			locations = append(locations, location{r.Name, dc})
		}
	}
	for _, loc := range locations {
		for i := range inst.vms[loc.dataCentre] {
			t.VMs = append(t.VMs, EntryVM{VM: platform.VM{
				Name: fmt.Sprintf("%s-%d", loc.dataCentre, i+1), DataCentre: loc.dataCentre, Region: loc.region, State: platform.VMLive,
			}})
		}
	}
	for i := range servicesPerDatabase {
		t.Services = append(t.Services, buildService(inst, locations, i))
	}
	return t, t.FillAddresses()
}

// buildService returns service i of an installation, with one member in each data centre. The first member, which is
// the initial primary, is in a different data centre for each service.
func buildService(inst installation, locations []location, i int) platform.Service {
	svc := platform.Service{Name: fmt.Sprintf("%s.%d", inst.database, i+1), Database: inst.database}
	rotated := slices.Concat(locations[i%len(locations):], locations[:i%len(locations)])
	for j, loc := range rotated {
		svc.Members = append(svc.Members, platform.Member{
			Name: fmt.Sprintf("%s.%c", svc.Name, 'a'+j), Service: svc.Name, DataCentre: loc.dataCentre, Region: loc.region,
			Slots: inst.slots, Connections: inst.connections,
		})
	}
	return svc
}
