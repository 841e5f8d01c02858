// Package platform defines what the daemon needs of the platform that it runs on: the directory of VMs and services, the
// table service, an object store and the control of members. It does no I/O; implementations are elsewhere, for
// example in package httpapi.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Term numbers the successive primaries of a service. The primary of a higher term replaces those of all lower terms.
type Term uint64

// Position is a position in the log of a service. It grows by one with each entry, and goes on growing across terms.
type Position uint64

// Errors of the table service, object store and member control.
var (
	ErrNotFound       = errors.New("platform: not found")
	ErrConflict       = errors.New("platform: row version differs")
	ErrUnavailable    = errors.New("platform: request was not accepted")     // it had no effect
	ErrOutcomeUnknown = errors.New("platform: no answer; effect is unknown") // it may have taken effect
	// ErrFenced means that the member refused the request, usually since it holds a higher fence.
	ErrFenced = errors.New("platform: member holds a higher fence")
	// ErrPromotionRefused wraps ErrFenced. It means that not the member but the platform refused a promotion, usually since
	// another VM has promoted a member after a later claim.
	ErrPromotionRefused = fmt.Errorf("%w: the platform refused the promotion", ErrFenced)
	// ErrRefused is wrapped together with ErrUnavailable when the other side refused a connection, or closed it at once: its
	// machine answers, but its process does not run.
	ErrRefused = errors.New("platform: connection refused")
	// ErrRateLimited is wrapped together with ErrUnavailable when the table service refused a request because it gets too many.
	ErrRateLimited = errors.New("platform: too many requests")
	// ErrBusy means that the member answered that it has no free slot for the request. The member is alive.
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
	PeerAddr   string  `json:"peerAddr" msgpack:"p"`  // host:port for other daemons
	AdminAddr  string  `json:"adminAddr" msgpack:"a"` // host:port of the operators' HTTP interface
	State      VMState `json:"state" msgpack:"s"`
}

// Member is one endpoint of a service, as listed by the platform.
type Member struct {
	Name        string `json:"name" msgpack:"n"`
	Service     string `json:"service" msgpack:"s"`
	DataCentre  string `json:"dataCentre" msgpack:"d"`
	Region      string `json:"region" msgpack:"r"`
	DataAddr    string `json:"dataAddr" msgpack:"a"`    // host:port for statements, in PostgreSQL protocol or that of the platform
	ControlAddr string `json:"controlAddr" msgpack:"c"` // host:port for member control
	Slots       int    `json:"slots" msgpack:"l"`       // number of statements that the member runs at once
	Connections int    `json:"connections" msgpack:"x"` // number of connections that the member accepts
	Leaving     bool   `json:"leaving" msgpack:"v"`     // the platform is about to take the member away
	// SyncReplicas is the number of replicas that hold a write before the primary acknowledges it. With 0 the endpoints make no
	// promise of their own.
	SyncReplicas int `json:"syncReplicas,omitempty" msgpack:"y,omitempty"`
}

// Service is one replicated database.
type Service struct {
	Name     string   `json:"name"`
	Database string   `json:"database"`
	Members  []Member `json:"members"`
}

// Role of a member within its service.
type Role string

// Roles of a member. A fenced member is neither primary nor replica until it is promoted or told to follow a primary.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// Status is what a member reports about itself. FencedTerm is the highest fence that the member has accepted, and FencedBy
// the promoter ID that came with it. LastTerm and LastPosition are those of the last log entry, AppliedTerm and Applied those
// of the last entry that reads can see.
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
	// LostState reports that the member has started again under its name without the fence and the log that it had. Such a
	// member counts towards no majority and refuses to be promoted until the platform lists it as a new member, under
	// another name.
	LostState bool `json:"lostState,omitempty" msgpack:"ls,omitempty"`
}

// StatusWait asks for a long poll: the member answers once its last position exceeds After, or when Timeout has elapsed.
// The zero value asks for the present status at once.
type StatusWait struct {
	After   Position
	Timeout time.Duration
}

// MemberControl reads the status of members and changes their roles. It reaches members directly and, except for what a
// PromotionPreparer needs, does not depend on the table service. Calls return ErrFenced if the member refuses because it
// holds a higher fence.
type MemberControl interface {
	Status(ctx context.Context, m Member, wait StatusWait) (Status, error)
	// Fence raises the member's fence to term. promoterID identifies one promotion attempt, not only the VM that makes it, so
	// that of two attempts in the same term only one can fence a majority.
	Fence(ctx context.Context, m Member, term Term, promoterID string) (Status, error)
	// Promote makes the fenced member the primary of term. promoterID is the one with which the member was fenced.
	Promote(ctx context.Context, m Member, term Term, promoterID string) (Status, error)
	// Follow makes the member a replica of primary in term.
	Follow(ctx context.Context, m Member, term Term, primary Member) (Status, error)
}

// PromotionPreparer is implemented by a MemberControl whose promotions need the table service, in which a VM claims the right
// to promote.
type PromotionPreparer interface {
	// PreparePromotion claims the right to replace the service's primary of the given term. A promoter calls it in advance, so
	// that a promotion does not depend on the table service being up when the primary is lost.
	PreparePromotion(ctx context.Context, service string, term Term) error
}

// PromotionSettler is implemented by a MemberControl whose requests to promote may be carried out long after they were given up.
type PromotionSettler interface {
	// UnsettledPromotions reports whether earlier requests of this VM to promote members of the service may still be carried out.
	UnsettledPromotions(service string) bool
	// SettlePromotions has the platform refuse these requests from now on. It confirms the member, the primary of the given term, in its
	// place. Its errors wrap ErrUnavailable or ErrOutcomeUnknown, after which it is to be called again, or ErrPromotionRefused: another
	// VM promotes a member.
	SettlePromotions(ctx context.Context, primary Member, term Term) error
}

// Guarantees states what the endpoints of an installation ensure by themselves. The owners of members check what they do not
// ensure, at the cost of requests to a majority of the members.
type Guarantees struct {
	// Acknowledged means that a write is as durable as the service's replication makes it once a member has answered it with
	// success. A member that has been replaced as primary answers no write with success.
	Acknowledged bool
	// Primary means that a member that is not the primary refuses units with Unit.ConfirmPrimary.
	Primary bool
	// Position means that a member refuses a read that requires a position that the member has not applied.
	Position bool
	// Promotion is how long a member takes to become the primary after it was told to; 0 if it does so at once.
	Promotion time.Duration
	// FencesIgnored means that a member can be promoted although another promoter has fenced it since. A promoter must then
	// decide on the present state of the members.
	FencesIgnored bool
}

// Row is the value of a key in the table service, with its version.
type Row struct {
	Value   []byte
	Version uint64
}

// Table is the table service: a transactional table of rows, each with a key, a value and a version. The rest of the code
// calls it a store in names and in messages.
type Table interface {
	// Get returns the row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Put stores value if the row's present version is ifVersion, where 0 means that the row is absent, and returns the new
	// version. Its errors wrap ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
}

// ObjectStore keeps documents that never change once stored.
type ObjectStore interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
}

// Directory lists VMs and services. Its answers may be out of date.
type Directory interface {
	VMs(ctx context.Context) ([]VM, error)
	Services(ctx context.Context) ([]Service, error)
}
