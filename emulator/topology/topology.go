// Package topology holds the JSON description of an installation that the emulators, the daemon tests and the demo
// share: regions, data centres, entry VMs, and services with their members. It starts no processes, and daemons do not
// read it: they have their own settings.
package topology

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Region is a region with the names of its data centres.
type Region struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"dataCentres"`
}

// EntryVM is an entry VM with the address on which it serves callers.
type EntryVM struct {
	platform.VM
	CallerAddr string `json:"callerAddr"` // PostgreSQL protocol, host:port
}

// Delays are the one-way network delays and the time to open a connection to a member, in milliseconds.
type Delays struct {
	DataCentreMs float64 `json:"dataCentreMs"` // between data centres of one region
	RegionMs     float64 `json:"regionMs"`     // between regions
	ClientMs     float64 `json:"clientMs"`     // between callers and entry VMs
	ConnectMs    float64 `json:"connectMs"`    // time to open a connection to a member
}

// Topology describes one installation.
type Topology struct {
	Name         string             `json:"name"`
	Regions      []Region           `json:"regions"`
	StoreRegion  string             `json:"storeRegion"`  // region of the platform
	PlatformAddr string             `json:"platformAddr"` // platform service, host:port
	Delays       Delays             `json:"delays"`
	VMs          []EntryVM          `json:"vms"`
	Services     []platform.Service `json:"services"`
}

// Load reads a topology from a JSON file.
func Load(path string) (*Topology, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var t Topology
	if err := json.Unmarshal(b, &t); err != nil {
		return nil, fmt.Errorf("decoding topology %s: %w", path, err)
	}
	return &t, nil
}

// Write writes the topology as JSON.
func (t *Topology) Write(w io.Writer) error {
	b, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// Save writes the topology to a JSON file.
func (t *Topology) Save(path string) error {
	var b bytes.Buffer
	if err := t.Write(&b); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), topologyFileMode)
}

const topologyFileMode = 0o644

// PlatformVMs returns the VMs as the platform lists them.
func (t *Topology) PlatformVMs() []platform.VM {
	out := make([]platform.VM, len(t.VMs))
	for i, v := range t.VMs {
		out[i] = v.VM
	}
	return out
}

// Member returns the member with the given name, its service, and its index in the service.
func (t *Topology) Member(name string) (platform.Member, platform.Service, int, error) {
	for _, s := range t.Services {
		for i, m := range s.Members {
			if m.Name == name {
				return m, s, i, nil
			}
		}
	}
	return platform.Member{}, platform.Service{}, 0, fmt.Errorf("topology %s has no member %q", t.Name, name)
}
