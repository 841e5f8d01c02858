package daemon

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/admin"
	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
	"github.com/sycamorehub/sycamorehub/pkg/session"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
)

// Platform is what a daemon needs of the platform that it runs on.
type Platform interface {
	platform.Directory
	platform.Table
	platform.ObjectStore
	platform.MemberControl
}

// PoolOptions describe the connections to one member.
type PoolOptions struct {
	Member           platform.Member
	MaxConnections   int
	ConnectTimeout   time.Duration
	WaitAcknowledged owner.WaitAcknowledgedFunc
	Admit            owner.AdmitFunc
	// OnConnectionLimit is told how many connections there are while the member allows no more, and MaxConnections afterwards.
	OnConnectionLimit func(connections int)
	Log               logrus.FieldLogger
}

// Edges are the parts of a daemon that depend on where it runs: its platform, and what callers and members speak. The
// zero value stands for the platform of the settings and the PostgreSQL protocol.
type Edges struct {
	// Log, if set, is the logger of NewLog; the caller flushes it.
	Log      *logrus.Entry
	Platform Platform
	// Guarantees is what the members assure by themselves.
	Guarantees     platform.Guarantees
	NewPool        func(PoolOptions) owner.Pool
	CallerProtocol session.Protocol
	// Readiness makes a service that tells the balancer whether the daemon takes callers. nil: none but the operators' API.
	Readiness func(ready func() error) any
}

// cancelGrace is how long a cancelled statement may take to end before its connection is closed. A connection costs 12
// to 25 ms; a longer grace would hold the callers of a frozen primary after its replacement.
const cancelGrace = 200 * time.Millisecond

func (e Edges) withDefaults(s *settings.Settings) Edges {
	if e.Platform == nil {
		e.Platform = httpapi.New(httpapi.Options{BaseURL: s.Platform.URL, Timeout: time.Duration(s.Platform.Timeout)})
	}
	if e.NewPool == nil {
		e.NewPool = func(o PoolOptions) owner.Pool {
			return backend.NewPool(backend.Options{
				Member: o.Member, User: s.Endpoints.User, Database: o.Member.Service,
				MaxConnections: o.MaxConnections, ConnectTimeout: o.ConnectTimeout,
				CancelGrace: cancelGrace, WaitAcknowledged: o.WaitAcknowledged, Admit: o.Admit, Log: o.Log,
			})
		}
	}
	return e
}

// callerServer serves callers.
type callerServer interface {
	Serve(net.Listener) error
	Drain(context.Context) error
	Connections() int
}

// newReadiness returns the service that answers the balancer. It is not ready while the daemon lacks something that it
// needs, or drains.
func newReadiness(k *kernel.Kernel) (any, error) {
	e := kernel.MustLookup[Edges](k, nameEdges)
	if e.Readiness == nil {
		return struct{}{}, nil
	}
	checks := readinessChecks(k, kernel.MustLookup[*configsync.Sync](k, nameConfig))
	return e.Readiness(func() error { return firstFailure(checks) }), nil
}

func firstFailure(checks []admin.Check) error {
	for _, c := range checks {
		if err := c.Probe(); err != nil {
			return err
		}
	}
	return nil
}
