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

// Platform is what a daemon needs from the platform that it runs on.
type Platform interface {
	platform.Directory
	platform.Table
	platform.ObjectStore
	platform.MemberControl
}

// PoolOptions configures the pool of connections to one member.
type PoolOptions struct {
	Member           platform.Member
	MaxConnections   int
	ConnectTimeout   time.Duration
	WaitAcknowledged owner.WaitAcknowledgedFunc
	Admit            owner.AdmitFunc
	// OnConnectionLimit is called with the number of connections that exist when the member refuses further ones, and
	// with MaxConnections once it allows them again.
	OnConnectionLimit func(connections int)
	Log               logrus.FieldLogger
}

// Edges are the parts of a daemon that depend on where it runs: the platform, the logger, and the protocols of callers
// and members. The zero value selects the platform named in the settings and the PostgreSQL protocol.
type Edges struct {
	// Log is a logger from NewLog, which the caller of RunWith flushes. If nil, RunWith creates and flushes one.
	Log      *logrus.Entry
	Platform Platform
	// Guarantees says what the members ensure by themselves.
	Guarantees platform.Guarantees
	// MissingGrace and IsSuccessor say how long a member stays in use after it has vanished from the platform's list, see
	// directory.Options.
	MissingGrace time.Duration
	IsSuccessor  func(old, listed platform.Member) bool
	// NewPool creates the pool of connections to a member. If nil, members speak the PostgreSQL protocol.
	NewPool func(PoolOptions) owner.Pool
	// CallerProtocol is the protocol of callers. If nil, they speak the PostgreSQL protocol.
	CallerProtocol session.Protocol
	// Readiness creates the kernel service that tells the load balancer whether the daemon takes callers; ready returns
	// why it does not. If nil, only the operators' API reports readiness.
	Readiness func(ready func() error) any
}

// cancelGrace is how long a cancelled statement may take to end before its connection is closed. A longer grace would keep
// the callers of a frozen primary waiting after its replacement, while a new connection costs only 12 to 25 ms.
const cancelGrace = 200 * time.Millisecond

// withDefaults returns e with a platform and a NewPool where it has none.
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

// callerServer accepts and serves callers in one protocol.
type callerServer interface {
	Serve(net.Listener) error
	Drain(context.Context) error
	Connections() int
}

// newReadiness returns the kernel service that answers the load balancer. It reports the daemon as not ready while
// one of readinessChecks fails.
func newReadiness(k *kernel.Kernel) (any, error) {
	e := kernel.MustLookup[Edges](k, nameEdges)
	if e.Readiness == nil {
		return struct{}{}, nil
	}
	checks := readinessChecks(k, kernel.MustLookup[*configsync.Sync](k, nameConfig))
	return e.Readiness(func() error { return firstFailure(checks) }), nil
}

// firstFailure returns the error of the first check that fails, or nil.
func firstFailure(checks []admin.Check) error {
	for _, c := range checks {
		if err := c.Probe(); err != nil {
			return err
		}
	}
	return nil
}
