// Package admin serves metrics, health checks, CPU and memory profiles and the operators' API over HTTP. It reads the
// daemon's state through small interfaces that the parts of the daemon implement, and its struct types define the JSON
// of the API. The package makes no decisions about the cluster and handles no callers' requests.
package admin

import (
	"context"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/burn"
	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
)

// Change is a configuration document that an operator asks to put in force.
type Change struct {
	Document    *clusterconfig.Document
	IfVersion   uint64 // version that the change is based on; 0 means that no configuration exists yet
	OperationID string // stored with the document, so that the outcome can be looked up if the answer is lost
	Author      string
}

// ConfigManager reads and changes the cluster's configuration.
type ConfigManager interface {
	// Installed returns the document in force on this daemon, or nil if there is none.
	Installed() *clusterconfig.Document
	// Stored reads the document from the table service and returns nil if none exists. Errors are of kind
	// StoreUnavailable.
	Stored(ctx context.Context) (*clusterconfig.Document, error)
	// History returns at most limit accepted documents, newest first.
	History(ctx context.Context, limit int) ([]*clusterconfig.Document, error)
	// Apply stores the change and returns the accepted document. Errors are of kind ConfigConflict, ConfigInvalid,
	// StoreUnavailable or StoreOutcomeUnknown. Together with ConfigConflict, Apply may return the document that the
	// other operator stored.
	Apply(ctx context.Context, c Change) (*clusterconfig.Document, error)
}

// ClusterView describes this daemon, and the cluster as this daemon sees it.
type ClusterView interface {
	Status() Status
	Classes() []ClassStatus
	Teams() []TeamStatus
	Groups() []Group
	VMs() []VM
}

// Drainer starts the graceful shutdown of this daemon. Drain returns once the shutdown has begun, and may be called
// again.
type Drainer interface {
	Drain()
}

// BurnSource provides the requests that this daemon has counted against the targets of their classes.
type BurnSource interface {
	Snapshot() (*burn.Snapshot, error)
}

// RequestLog holds the latest requests that were not served.
type RequestLog interface {
	// Find returns those with the given id, or all of them if it is empty, the oldest first.
	Find(request string) []requestlog.Entry
}

// FailedRequest is a request that was not served, or a session that was refused.
type FailedRequest struct {
	Time     time.Time     `json:"time"`
	Request  string        `json:"request"` // empty for a refused session
	Database string        `json:"database"`
	Service  string        `json:"service"`
	Class    string        `json:"class"`
	Kind     string        `json:"kind"`    // code of the error kind
	Outcome  string        `json:"outcome"` // whether the request ran
	Took     time.Duration `json:"took"`    // nanoseconds from the complete request to its answer
	Error    string        `json:"error"`
	Remedy   string        `json:"remedy"`
}

// Check is a named condition that must hold for the daemon to be ready. Probe returns nil if the condition holds, and
// must not block.
type Check struct {
	Name  string
	Probe func() error
}

// Status is the state of one daemon.
type Status struct {
	VM                string        `json:"vm"`
	DataCentre        string        `json:"dataCentre"`
	Region            string        `json:"region"`
	Version           string        `json:"version"` // version of the program
	Started           time.Time     `json:"started"`
	Draining          bool          `json:"draining"`
	ConfigVersion     uint64        `json:"configVersion"`
	ConfigIgnored     []string      `json:"configIgnored,omitempty"` // entries of the operators' document that cannot be used
	ConfigRefused     string        `json:"configRefused,omitempty"` // why the row read last is refused as a whole
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

// TeamStatus is a team with what one daemon has admitted and granted since its start. Hashes of keys are left out.
type TeamStatus struct {
	Name     string                   `json:"name"`
	Priority int                      `json:"priority"`
	Keys     int                      `json:"keys"`
	Limit    *clusterconfig.RateLimit `json:"limit,omitempty"`
	Admitted uint64                   `json:"admitted"`
	Refused  uint64                   `json:"refused"`
	Waiting  int                      `json:"waiting"`
	Granted  uint64                   `json:"granted"` // tokens granted to all VMs by this one as the keeper of the limit
}

// Group is a service with its members as seen by this daemon.
type Group struct {
	Service  string        `json:"service"`
	Database string        `json:"database"`
	Term     platform.Term `json:"term"`
	Primary  string        `json:"primary"` // empty if no primary is known
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
	Age        time.Duration     `json:"age"` // age of its data; negative if not known
	Reachable  bool              `json:"reachable"`
	Leaving    bool              `json:"leaving"`
	LostState  bool              `json:"lostState"` // counts towards no majority, since it lost its state; see platform.Status
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

// ErrorResponse is the JSON body of the answer to a request that was refused or failed.
type ErrorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Current is the configuration that the change conflicts with. It is set only for conflicts, if known.
	Current *clusterconfig.Document `json:"current,omitempty"`
}

// Headers of POST /v1/config besides If-Match.
const (
	HeaderOperationID = "Operation-Id"
	HeaderAuthor      = "Operation-Author"
)
