// Package platform holds the types and interfaces of the platform: directory of VMs and services, transactional
// table, object store and member control. It does no I/O; adapters live in subpackages.
package platform

import (
	"context"
	"errors"
	"time"
)

// Term numbers the primaries of a service. A higher term replaces every lower one.
type Term uint64

// Position is a log position of a service; it grows by one per entry within and across terms.
type Position uint64

// Errors of the table, object store and member control.
var (
	ErrNotFound       = errors.New("platform: not found")
	ErrConflict       = errors.New("platform: row version differs")
	ErrUnavailable    = errors.New("platform: request was not accepted")     // no effect
	ErrOutcomeUnknown = errors.New("platform: no answer; effect is unknown") // may have taken effect
	ErrFenced         = errors.New("platform: member holds a higher fence")
	// ErrRefused comes with ErrUnavailable when the other side refused or closed a fresh connection: its machine
	// answers, its process does not.
	ErrRefused = errors.New("platform: connection refused")
	// ErrBusy is an answer of a member that has no slot free for the request. It says that the member is alive.
	ErrBusy = errors.New("platform: member has no free slot")
)

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry VM as listed by the platform.
type VM struct {
	Name       string  `json:"name" msgpack:"n"`
	DataCentre string  `json:"dataCentre" msgpack:"d"`
	Region     string  `json:"region" msgpack:"r"`
	PeerAddr   string  `json:"peerAddr" msgpack:"p"`  // daemon to daemon, host:port
	AdminAddr  string  `json:"adminAddr" msgpack:"a"` // operators' HTTP, host:port
	State      VMState `json:"state" msgpack:"s"`
}

// Member is one endpoint of a service.
type Member struct {
	Name        string `json:"name" msgpack:"n"`
	Service     string `json:"service" msgpack:"s"`
	DataCentre  string `json:"dataCentre" msgpack:"d"`
	Region      string `json:"region" msgpack:"r"`
	DataAddr    string `json:"dataAddr" msgpack:"a"`    // PostgreSQL protocol, host:port
	ControlAddr string `json:"controlAddr" msgpack:"c"` // member control, host:port
	Slots       int    `json:"slots" msgpack:"l"`       // statements that run at once
	Connections int    `json:"connections" msgpack:"x"` // connection limit
	Leaving     bool   `json:"leaving" msgpack:"v"`
}

// Service is one replicated database.
type Service struct {
	Name     string   `json:"name"`
	Database string   `json:"database"`
	Members  []Member `json:"members"`
}

// Role of a member within its service.
type Role string

// Roles of a member. A fenced member is neither until it is promoted or follows.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Status is what a member reports about itself. FencedTerm and LastTerm are different values: the first is the
// highest fence accepted, the second the term of the last log entry.
type Status struct {
	Member       string   `json:"member" msgpack:"m"`
	Role         Role     `json:"role" msgpack:"r"`
	FencedTerm   Term     `json:"fencedTerm" msgpack:"f"`
	FencedBy     string   `json:"fencedBy" msgpack:"b"`
	LastTerm     Term     `json:"lastTerm" msgpack:"t"`
	LastPosition Position `json:"lastPosition" msgpack:"p"`
	AppliedTerm  Term     `json:"appliedTerm" msgpack:"at"`
	Applied      Position `json:"applied" msgpack:"ap"`
	Leaving      bool     `json:"leaving" msgpack:"v"`
	// LostState: the member started again under its name without the fence and the log that it had. It counts towards
	// no majority and refuses to be promoted until the platform lists it as a new member, under another name.
	LostState bool `json:"lostState,omitempty" msgpack:"ls,omitempty"`
}

// StatusWait asks for a status only when the last position passes After or Timeout elapses. The zero value asks
// for the present status.
type StatusWait struct {
	After   Position
	Timeout time.Duration
}

// MemberControl operates one member directly; it does not depend on the table service. Calls return ErrFenced when
// the member refuses because of its fence.
type MemberControl interface {
	Status(ctx context.Context, m Member, wait StatusWait) (Status, error)
	Fence(ctx context.Context, m Member, term Term, promoter string) (Status, error)
	Promote(ctx context.Context, m Member, term Term, promoter string) (Status, error)
	Follow(ctx context.Context, m Member, term Term, primary Member) (Status, error)
}

// PromotionPreparer is implemented by a MemberControl whose promotions need something of the table service. A promoter calls
// it ahead, so that a promotion does not depend on the table service being up when the primary is lost.
type PromotionPreparer interface {
	PreparePromotion(ctx context.Context, service string) error
}

// Guarantees are what the endpoints of an installation assure by themselves. What they do not assure is checked by the
// owners of members, at the cost of requests to a majority of the members.
type Guarantees struct {
	// Acknowledged: a write that a member answers with success counts, as durable as the service's own replication makes
	// it. A member that has been replaced as primary answers none with success.
	Acknowledged bool
	// Primary: a member that is not the primary refuses units with Unit.ConfirmPrimary.
	Primary bool
	// Position: a member refuses a read that needs a position that it has not applied.
	Position bool
	// Promotion is how long a member takes to lead after it was told to. 0: it leads at once.
	Promotion time.Duration
}

// Row is a value of the table with its version.
type Row struct {
	Value   []byte
	Version uint64
}

// Table is the transactional table service.
type Table interface {
	// Get returns the row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Put stores value if the row's present version is ifVersion (0: absent) and returns the new version. It
	// returns ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
}

// ObjectStore keeps immutable documents.
type ObjectStore interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// Directory lists VMs and services. Its answers lag.
type Directory interface {
	VMs(ctx context.Context) ([]VM, error)
	Services(ctx context.Context) ([]Service, error)
}
