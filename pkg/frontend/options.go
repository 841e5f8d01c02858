// Package frontend speaks the PostgreSQL protocol with callers: it reads units of work, keeps session state and
// passes units to an executor. A unit is what a caller sends up to and including one Query or one Sync. The package
// knows neither members nor other daemons. It repeats no unit, since only the executor can decide whether a repeat is
// safe.
package frontend

import (
	"context"
	"crypto/tls"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/team"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

const (
	defaultMaxConnections = 10000
	defaultStartupTimeout = 10 * time.Second
	defaultWriteTimeout   = 10 * time.Second
	defaultDrainGrace     = time.Second
	// maxProcessIDs is the number of process ids that one VM can put into cancel keys: the upper 16 of the 32 bits
	// stand for the VM.
	maxProcessIDs = 1 << 16

	// The deadline of a unit is timeoutTargetFactor times the target latency of its class, so that a unit that misses
	// a tight target may still finish, and at least minUnitTimeout, for very short targets.
	timeoutTargetFactor = 4
	minUnitTimeout      = 5 * time.Second
)

// Class is what the frontend needs to know of a class of work.
type Class struct {
	Name       string
	Rank       unit.Rank
	Write      bool          // units of the class may write
	Target     time.Duration // target latency
	MaxAge     unit.AgeLimit // oldest data that a read accepts
	Repeatable bool
}

// ClassTable looks up classes of one version of the configuration.
type ClassTable interface {
	// Default returns the class of sessions that name none.
	Default() Class
	// Lookup returns the class with this name.
	Lookup(name string) (Class, bool)
}

// Services resolves the database of a session to a service.
type Services interface {
	// Resolve returns the service that database names, or the one that key selects within it. An error is of kind
	// UnknownService or NotReady.
	Resolve(database, key string) (service string, err error)
}

// Teams identifies callers by their keys and enforces the limits of their teams.
type Teams interface {
	// Identify returns the team of a key for the sessions of a database. An error is of kind UnknownKey or NotReady.
	Identify(database string, key team.KeyHash) (clusterconfig.Team, error)
	// Admit decides whether an operation of the team may run now. It waits up to limit for the decision, and up to patience for
	// the team's rate limit.
	Admit(ctx context.Context, t clusterconfig.Team, patience, limit time.Duration) error
}

// noTeams is used where a Server has no Teams: no caller needs a key.
type noTeams struct{}

func (noTeams) Identify(string, team.KeyHash) (clusterconfig.Team, error) {
	return clusterconfig.Team{}, nil
}
func (noTeams) Admit(context.Context, clusterconfig.Team, time.Duration, time.Duration) error {
	return nil
}

// Options configure a Server.
type Options struct {
	Executor unit.Executor
	// Classes returns the classes in force, or nil while the daemon has no configuration.
	Classes        func() ClassTable
	Services       Services
	Teams          Teams // nil: no caller needs a key
	VMName         string
	Log            logrus.FieldLogger
	MaxConnections int               // callers served at once, at most 65,536
	Budget         *membudget.Budget // room for messages of callers; nil: no limit
	TLS            *tls.Config       // nil: connections are not encrypted
	StartupTimeout time.Duration     // bounds a startup, from accept to its answer
	WriteTimeout   time.Duration     // bounds one write to a caller
	DrainGrace     time.Duration     // how long idle callers stay connected while draining
	// ObserveRequest is called after each unit that needs the executor. code is the code of the error kind with which the
	// system ended the unit, or empty.
	ObserveRequest func(class string, target time.Duration, outcome errkind.Outcome, code string, latency time.Duration)
	// ForwardCancel forwards cancel requests whose cancel key this VM did not give out. If it is nil, they are dropped.
	ForwardCancel func(pid, secret uint32)
}

func (o Options) withDefaults() Options {
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	o.MaxConnections = min(o.MaxConnections, maxProcessIDs)
	if o.StartupTimeout <= 0 {
		o.StartupTimeout = defaultStartupTimeout
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.DrainGrace <= 0 {
		o.DrainGrace = defaultDrainGrace
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.ObserveRequest == nil {
		o.ObserveRequest = func(string, time.Duration, errkind.Outcome, string, time.Duration) {}
	}
	if o.Teams == nil {
		o.Teams = noTeams{}
	}
	if o.ForwardCancel == nil {
		o.ForwardCancel = func(uint32, uint32) {}
	}
	return o
}

// ProcessIDPrefix returns the upper 16 bits of the process id in all cancel keys that the VM with this name gives out.
func ProcessIDPrefix(name string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	s := h.Sum32()
	return uint16(s>>16) ^ uint16(s)
}

// unitTimeout returns how long a unit of a class with this target may take.
func unitTimeout(target time.Duration) time.Duration {
	return max(timeoutTargetFactor*target, minUnitTimeout)
}
