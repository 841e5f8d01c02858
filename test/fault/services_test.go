package fault

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/pkg/token"
)

// sessionPrimaryLosses are the session failures that also run on other installations.
var sessionPrimaryLosses = []sessionFailure{
	{name: "primary killed", replacesPrimary: true, inject: killMember, heal: noFailure},
	{name: "primary cut off", replacesPrimary: true, inject: isolatePrimary, heal: rejoinPrimary},
}

// TestKasicaSessionsReadTheirWrites covers the loss of the primary on the Kašica installation as
// TestSessionsReadTheirWrites does on that of Kitakata: with single writes while the primary is killed, and in
// transactions while it is cut off.
func TestKasicaSessionsReadTheirWrites(t *testing.T) {
	for i, f := range sessionPrimaryLosses {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			f.run(startKasica(t), uint64(i+1), f.name == "primary cut off")
		})
	}
}

// TestSessionsOverSeveralServices covers a database of several services while the primary of one service is lost:
// sessions write to two services in turn and move between entry VMs with one token. It guards against a token that
// drops a service, or that requires of one service what was written to the other.
func TestSessionsOverSeveralServices(t *testing.T) {
	for i, f := range sessionPrimaryLosses {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			topo, err := topology.Kitakata()
			require.NoError(t, err)
			topo.Services = topo.Services[:2]
			c := startTopology(t, topo, nil)
			c.database = c.service().Database
			sessions := f.run(c, uint64(i+1), false, c.keyPerService()...)
			for _, session := range sessions.loops {
				parsed, err := token.Parse(session.token)
				require.NoError(t, err)
				for _, svc := range topo.Services {
					_, ok := parsed.Requirement(svc.Name)
					require.True(t, ok, "the token of session %s lacks service %s", session.keyPrefix, svc.Name)
				}
			}
		})
	}
}

// keyPerService returns one routing key for each service. It tries keys until each service has served a read.
func (c *cluster) keyPerService() []string {
	c.t.Helper()
	keyOfService := map[string]string{}
	session := &callerSession{cluster: c, vm: c.vmsExcept()[0]}
	defer session.close()
	for n := 0; len(keyOfService) < len(c.Topology.Services); n++ {
		require.Less(c.t, n, 100, "no key was found that selects one of the services")
		session.key = fmt.Sprintf("ward-%d", n)
		_, member, err := session.read("lookup", "none")
		require.NoError(c.t, err)
		keyOfService[member[:strings.LastIndex(member, ".")]] = session.key
	}
	var keys []string
	for _, svc := range c.Topology.Services {
		keys = append(keys, keyOfService[svc.Name])
	}
	return keys
}
