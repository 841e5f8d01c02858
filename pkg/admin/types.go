// Package admin serves metrics, health checks, profiles and the operators' API over HTTP. Handlers depend on small
// interfaces declared here, which the daemon's parts implement. Its types are the API's JSON form. It
// decides nothing about the cluster and serves no caller.
package admin

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/burn"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Change is a new configuration proposed by an operator.
type Change struct {
	Document    *clusterconfig.Document
	IfVersion   uint64 // version that the operator saw; 0: none exists
	OperationID string // stored with the document, so that a lost answer can be decided by reading back
	Author      string
}

// ConfigManager is the cluster's configuration.
type ConfigManager interface {
	// Installed returns the document in force on this daemon, or nil.
	Installed() *clusterconfig.Document
	// Stored reads the document from the store; nil when none exists. Errors are of kind StoreUnavailable.
	Stored(ctx context.Context) (*clusterconfig.Document, error)
	// History returns accepted documents, newest first.
	History(ctx context.Context, limit int) ([]*clusterconfig.Document, error)
	// Apply stores the change and returns the accepted document. Errors are of kind ConfigConflict, ConfigInvalid,
	// StoreUnavailable or StoreOutcomeUnknown. With ConfigConflict it may return the other operator's document.
	Apply(ctx context.Context, c Change) (*clusterconfig.Document, error)
}

// ClusterView is this daemon's view of itself and the others.
type ClusterView interface {
	Status() Status
	Classes() []ClassStatus
	Groups() []Group
	VMs() []VM
}

// Drainer starts the graceful shutdown of this daemon. Drain returns once it has begun; it may be called again.
type Drainer interface {
	Drain()
}

// BurnSource gives this daemon's counts.
type BurnSource interface {
	Snapshot() (*burn.Snapshot, error)
}

// Check is one named condition of readiness. Probe returns nil when it holds and must not block.
type Check struct {
	Name  string
	Probe func() error
}

// Status is the state of one daemon.
type Status struct {
	VM                string        `json:"vm"`
	DataCentre        string        `json:"dataCentre"`
	Region            string        `json:"region"`
	Version           string        `json:"version"` // of the program
	Started           time.Time     `json:"started"`
	Draining          bool          `json:"draining"`
	ConfigVersion     uint64        `json:"configVersion"`
	CallerConnections int           `json:"callerConnections"`
	MembersOwned      []string      `json:"membersOwned"`
	Ready             bool          `json:"ready"`  // filled in by the server
	Checks            []CheckResult `json:"checks"` // filled in by the server
}

// CheckResult is the outcome of a Check.
type CheckResult struct {
	Name  string `json:"name"`
	Error string `json:"error,omitempty"` // empty when the condition holds
}

// ClassStatus is a class of work with its present load on this daemon's members.
type ClassStatus struct {
	clusterconfig.Class
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	Granted uint64 `json:"granted"`
	Refused uint64 `json:"refused"`
}

// Group is a service as seen by this daemon.
type Group struct {
	Service  string        `json:"service"`
	Database string        `json:"database"`
	Term     platform.Term `json:"term"`
	Primary  string        `json:"primary"` // empty: none known
	Members  []GroupMember `json:"members"`
}

// GroupMember is a member of a service.
type GroupMember struct {
	Name       string            `json:"name"`
	DataCentre string            `json:"dataCentre"`
	Role       platform.Role     `json:"role"`
	Owner      string            `json:"owner"` // VM that holds its connections
	Position   platform.Position `json:"position"`
	Applied    platform.Position `json:"applied"`
	Age        time.Duration     `json:"age"` // of its data; negative: not known
	Reachable  bool              `json:"reachable"`
	Leaving    bool              `json:"leaving"`
	LostState  bool              `json:"lostState"` // counts towards no majority; see platform.Status
}

// VM is an entry VM as seen by this daemon.
type VM struct {
	Name          string           `json:"name"`
	DataCentre    string           `json:"dataCentre"`
	Region        string           `json:"region"`
	AdminAddr     string           `json:"adminAddr"`
	State         platform.VMState `json:"state"`
	Reachable     bool             `json:"reachable"`
	Draining      bool             `json:"draining"`
	ConfigVersion uint64           `json:"configVersion"`
}

// ErrorResponse is the JSON form of a refusal.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Current is the configuration in force, given with a conflict.
	Current *clusterconfig.Document `json:"current,omitempty"`
}

// Headers of POST /v1/config besides If-Match.
const (
	HeaderOperationID = "Operation-Id"
	HeaderAuthor      = "Operation-Author"
)
