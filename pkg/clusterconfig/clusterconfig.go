// Package clusterconfig defines the configuration that operators write: classes of work, each with a target, and the
// routes of databases. It parses, validates and compares documents. It does no I/O.
package clusterconfig

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/strictjson"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	// MaxDocumentBytes is the largest size of a document that a daemon takes. Platforms that have a document of their own may
	// hold several thousand routes in it.
	MaxDocumentBytes = 4 << 20
	// MaxStoredBytes is the largest size of a document that is stored, since a row of the table service holds no more.
	MaxStoredBytes = 256 << 10
	// MaxClasses is the largest number of classes, since the scheduler keeps a queue per class and member. Routes whose targets
	// differ may share a class, see Route.
	MaxClasses = 64
	// MinLatency and MaxLatency limit the target latency of a class. A graceful shutdown waits as long as the longest
	// target.
	MinLatency = 10 * time.Millisecond
	MaxLatency = 30 * time.Second

	maxNameBytes = 64
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// MarshalText returns the duration in the notation of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Access says whether the units of a class read or write.
type Access string

// Kinds of access.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
	// AccessStatement means that each statement or transaction says whether it writes. It requires a caller protocol that
	// transmits this.
	AccessStatement Access = "statement"
)

// Consistency says which acknowledged writes the reads of a class with AccessStatement must see.
type Consistency string

// Levels of consistency. The empty string means ConsistencySession.
const (
	ConsistencyPrimary Consistency = "primary" // all writes acknowledged before the read
	ConsistencyBounded Consistency = "bounded" // all writes acknowledged longer than maxAge before the read
	ConsistencySession Consistency = "session" // the same writes as bounded, and all writes of the session
)

// Target says how quickly and how reliably the requests of a class must be served.
type Target struct {
	Latency     Duration `json:"latency"`     // longest time from the receipt of a complete request to its answer
	Reliability float64  `json:"reliability"` // share of requests served within Latency, above 0 and below 1
}

// Class is a class of work with a common target.
type Class struct {
	Name       string        `json:"name"`
	Rank       string        `json:"rank"` // urgent, routine or batch
	Access     Access        `json:"access"`
	Target     Target        `json:"target"`
	MaxAge     unit.AgeLimit `json:"maxAge,omitzero"`      // maximum age of the data that a read accepts; absent: no limit
	Repeatable bool          `json:"repeatable,omitempty"` // the system may run a request more than once
	Comment    string        `json:"comment,omitempty"`

	Consistency Consistency `json:"consistency,omitempty"`
}

// RankValue returns the rank that Rank names. Validate has checked the name.
func (c Class) RankValue() unit.Rank {
	r, _ := unit.ParseRank(c.Rank)
	return r
}

// Route assigns a service and a class to the sessions that connect with a database name. It is for callers whose protocol
// cannot name a service or class.
//
// Routes of one class share its rank and its queue at each member. What a promise depends on may be the route's own: Target and
// Reads, where they are stated, replace what the class says.
type Route struct {
	Database string   `json:"database"`
	Service  string   `json:"service"`
	Class    string   `json:"class"`
	Timeout  Duration `json:"timeout"`          // longest time from the arrival of a statement to its answer
	Public   bool     `json:"public,omitempty"` // callers need no key
	Target   Duration `json:"target,omitzero"`  // target latency; absent: that of the class
	Reads    Reads    `json:"reads,omitzero"`   // absent: as the class says
}

// Reads says what the reads of a route must see. The zero value states nothing: then the class says it, also whether there is a
// maximum age.
type Reads struct {
	Consistency Consistency   `json:"consistency"`
	MaxAge      unit.AgeLimit `json:"maxAge,omitzero"` // absent: no limit
}

// PrimaryReads reports whether only a confirmed primary may serve the reads of a class with AccessStatement: they must see
// all writes acknowledged before them, by their consistency or because they accept no age.
func (c Class) PrimaryReads() bool {
	return c.Consistency == ConsistencyPrimary || c.MaxAge == unit.NoAge
}

// ClassOf returns the class of a route of the document, with the route's own target and reads in place of the class's.
func (d *Document) ClassOf(r Route) Class {
	c, _ := d.Class(r.Class) // a valid document holds the class of each route
	if r.Target > 0 {
		c.Target.Latency = r.Target
	}
	if r.Reads != (Reads{}) {
		c.Consistency, c.MaxAge = r.Reads.Consistency, r.Reads.MaxAge
	}
	return c
}

// HasWriteAccess reports whether all units of the class may write.
func (c Class) HasWriteAccess() bool { return c.Access == AccessWrite }

// Document is one version of the configuration. Version, OperationID, Author and AcceptedAt are set when it is
// accepted; operators write the rest.
type Document struct {
	Version     uint64    `json:"version,omitempty"`
	OperationID string    `json:"operationId,omitempty"`
	Author      string    `json:"author,omitempty"`
	AcceptedAt  time.Time `json:"acceptedAt,omitzero"`
	Default     string    `json:"default"` // name of the class of callers that name none
	Classes     []Class   `json:"classes"`
	Routes      []Route   `json:"routes,omitempty"`
	// IdleTransaction is the longest pause between two statements of a transaction. 0 means that there is no limit.
	IdleTransaction Duration `json:"idleTransaction,omitempty"`
	// KeysRequired means that callers of routes that are not public must present a key of a team.
	KeysRequired bool   `json:"keysRequired,omitempty"`
	Teams        []Team `json:"teams,omitempty"`
	// Ignored names entries of the author's document that no daemon can use, each with the reason. It is set where a platform has a
	// document of its own; entries of this document are never ignored.
	Ignored []string `json:"ignored,omitempty"`

	// Indexes of Routes by database and of Teams by hash of a key and by name; nil if not built.
	routeOf, teamOfKey, teamAt map[string]int
}

// Route returns the route of the given database name, and whether there is one.
func (d *Document) Route(database string) (Route, bool) {
	if d.routeOf != nil {
		i, ok := d.routeOf[database]
		if !ok {
			return Route{}, false
		}
		return d.Routes[i], true
	}
	for _, r := range d.Routes {
		if r.Database == database {
			return r, true
		}
	}
	return Route{}, false
}

// Class returns the class with the given name, and whether there is one. The empty name stands for the default class.
func (d *Document) Class(name string) (Class, bool) {
	if name == "" {
		name = d.Default
	}
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// NewerThan reports whether d has a higher version than the installed document, nil for none.
func (d *Document) NewerThan(installed *Document) bool {
	return installed == nil || d.Version > installed.Version
}

// Marshal returns the JSON form in which the document is stored.
func (d *Document) Marshal() ([]byte, error) { return json.Marshal(d) }

// Parse parses a document, which is JSON with comments, and validates it. Errors are of kind ConfigInvalid. They name the
// line of a syntax error or unknown key, and the class or route that is not valid.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, errkind.New(errkind.ConfigInvalid, "document has %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
	}
	d := &Document{}
	if err := strictjson.Unmarshal(data, d); err != nil {
		return nil, errkind.Wrap(errkind.ConfigInvalid, err, "document cannot be parsed")
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	d.index()
	return d, nil
}

// Validate checks the ranges of all values and the references to classes. Its errors are of kind ConfigInvalid.
func (d *Document) Validate() error {
	if len(d.Classes) == 0 || len(d.Classes) > MaxClasses {
		return errkind.New(errkind.ConfigInvalid, "classes: %d given, 1 to %d are allowed", len(d.Classes), MaxClasses)
	}
	names := map[string]bool{}
	for i, c := range d.Classes {
		if names[c.Name] {
			return errkind.New(errkind.ConfigInvalid, "classes[%d]: name %q is used twice", i, c.Name)
		}
		names[c.Name] = true
		if err := c.validate(); err != nil {
			return errkind.New(errkind.ConfigInvalid, "classes[%d] %q: %v", i, c.Name, err)
		}
	}
	if !names[d.Default] {
		return errkind.New(errkind.ConfigInvalid, "default: %q is not the name of a class", d.Default)
	}
	if err := d.validateTeams(); err != nil {
		return errkind.Wrap(errkind.ConfigInvalid, err, "teams are not valid")
	}
	return d.validateRoutes()
}

func (d *Document) validateRoutes() error {
	databases, classes := map[string]bool{}, map[string]*Class{}
	for i := range d.Classes {
		classes[d.Classes[i].Name] = &d.Classes[i]
	}
	for i, r := range d.Routes {
		switch {
		case r.Database == "" || r.Service == "":
			return errkind.New(errkind.ConfigInvalid, "routes[%d]: database and service must be named", i)
		case databases[r.Database]:
			return errkind.New(errkind.ConfigInvalid, "routes[%d]: database %q has two routes", i, r.Database)
		case classes[r.Class] == nil:
			return errkind.New(errkind.ConfigInvalid, "routes[%d]: %q is not the name of a class", i, r.Class)
		case r.Timeout <= 0:
			return errkind.New(errkind.ConfigInvalid, "routes[%d]: timeout must be above 0", i)
		}
		if err := r.validateOwn(*classes[r.Class]); err != nil {
			return errkind.New(errkind.ConfigInvalid, "routes[%d]: %v", i, err)
		}
		databases[r.Database] = true
	}
	if d.IdleTransaction < 0 {
		return errkind.New(errkind.ConfigInvalid, "idleTransaction must not be negative")
	}
	return nil
}

// validateOwn checks what the route states in place of its class.
func (r Route) validateOwn(class Class) error {
	switch {
	case r.Target < 0 || r.Target > 0 && (r.Target < Duration(MinLatency) || r.Target > Duration(MaxLatency)):
		return fmt.Errorf("target %v must be between %v and %v", time.Duration(r.Target), MinLatency, MaxLatency)
	case r.Reads == Reads{}:
		return nil
	case class.Access != AccessStatement:
		return fmt.Errorf("reads may be set only for a class with access statement")
	case r.Reads.Consistency != ConsistencyPrimary && r.Reads.Consistency != ConsistencyBounded && r.Reads.Consistency != ConsistencySession:
		return fmt.Errorf("reads.consistency %q must be primary, bounded or session", r.Reads.Consistency)
	case r.Reads.MaxAge < 0:
		return fmt.Errorf("reads.maxAge must not be negative")
	}
	return nil
}

func (c Class) validate() error {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return fmt.Errorf("name must have 1 to %d bytes", maxNameBytes)
	}
	if _, ok := unit.ParseRank(c.Rank); !ok {
		return fmt.Errorf("rank %q must be urgent, routine or batch", c.Rank)
	}
	if c.Access != AccessRead && c.Access != AccessWrite && c.Access != AccessStatement {
		return fmt.Errorf("access %q must be read, write or statement", c.Access)
	}
	switch c.Consistency {
	case "":
	case ConsistencyPrimary, ConsistencyBounded, ConsistencySession:
		if c.Access != AccessStatement {
			return fmt.Errorf("consistency may be set only for a class with access statement")
		}
	default:
		return fmt.Errorf("consistency %q must be primary, bounded or session", c.Consistency)
	}
	if latency := time.Duration(c.Target.Latency); latency < MinLatency || latency > MaxLatency {
		return fmt.Errorf("target.latency %v must be between %v and %v", latency, MinLatency, MaxLatency)
	}
	if r := c.Target.Reliability; !(r > 0 && r < 1) {
		return fmt.Errorf("target.reliability %v must be above 0 and below 1", r)
	}
	if c.MaxAge < 0 {
		return fmt.Errorf("maxAge must not be negative")
	}
	if c.Access == AccessWrite && c.MaxAge.Stated() {
		return fmt.Errorf("maxAge applies to read classes only")
	}
	return nil
}
