package fault

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/testcert"
	"github.com/sycamorehub/sycamorehub/pkg/admin"
)

// clusterCerts issues the certificates of a cluster's daemons and holds their files.
type clusterCerts struct {
	t   *testing.T
	dir string
	ca  *testcert.CA
}

func newClusterCerts(t *testing.T) *clusterCerts {
	ca, err := testcert.NewCA("cluster")
	require.NoError(t, err)
	certs := &clusterCerts{t, t.TempDir(), ca}
	require.NoError(t, testcert.ReplaceFile(certs.path("ca"), ca.PEM))
	return certs
}

// path returns the file of a certificate or key.
func (cc *clusterCerts) path(name string) string { return filepath.Join(cc.dir, name+".pem") }

// issue writes the certificate and key of a VM, signed by ca.
func (cc *clusterCerts) issue(vm string, ca *testcert.CA) {
	cert, key, err := ca.Issue(vm)
	require.NoError(cc.t, err)
	require.NoError(cc.t, testcert.ReplaceFile(cc.path(vm+"-cert"), cert))
	require.NoError(cc.t, testcert.ReplaceFile(cc.path(vm+"-key"), key))
}

// useTLS issues certificates to all VMs and makes their daemons use them.
func (cc *clusterCerts) useTLS(o *launch.Options) {
	o.Settings = func(vm string, s map[string]any) {
		s["tls"] = map[string]any{"certFile": cc.path(vm + "-cert"), "keyFile": cc.path(vm + "-key"), "peerCAFile": cc.path("ca")}
	}
	for _, vm := range o.Topology.VMs {
		cc.issue(vm.Name, cc.ca)
	}
}

// connectTLS opens a caller's session that requires TLS, and returns the serial number of the VM's certificate.
func (cc *clusterCerts) connectTLS(c *cluster, vm string) (*pgx.Conn, string) {
	vmEntry, err := c.VM(vm)
	require.NoError(cc.t, err)
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://caller@%s/%s?sslmode=verify-full&sslrootcert=%s", vmEntry.CallerAddr, c.service().Name, cc.path("ca")))
	require.NoError(cc.t, err)
	cfg.RuntimeParams["sycamorehub.class"] = "order"
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	require.NoError(cc.t, err)
	cc.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	state := conn.PgConn().Conn().(*tls.Conn).ConnectionState()
	return conn, state.PeerCertificates[0].SerialNumber.String()
}

// reachableFrom returns, by VM, whether the given VM exchanges heartbeats with it.
func (c *cluster) reachableFrom(vm string) map[string]bool {
	res := c.ctl([]string{vm}, "--output", "json", "vms")
	require.Equal(c.t, 0, res.exitCode, res.stderr)
	var list []admin.VM
	require.NoError(c.t, json.Unmarshal([]byte(res.stdout), &list))
	out := map[string]bool{}
	for _, v := range list {
		out[v.Name] = v.Reachable
	}
	return out
}

// TestTLS guards against TLS settings that are ignored: callers and daemons use TLS, and certificates are renewed
// without a restart. A daemon with a certificate of another CA, or a client without one of the right CA, is refused,
// while the other daemons go on.
func TestTLS(t *testing.T) {
	t.Parallel()
	certs := newClusterCerts(t)
	c := start(t, certs.useTLS)
	versions := c.watchVersions()
	writers := c.startWriterPerDataCentre() // without TLS, which stays optional for callers
	conn, firstSerial := certs.connectTLS(c, "kurume-yard-1")
	_, err := conn.Exec(t.Context(), "INSERT INTO orders (key, value) VALUES ('over-tls', 'plate')")
	require.NoError(t, err)
	versions.waitInForce(2, c.applyNextVersion("kurume-yard-1", 1)) // shows that the daemons reach each other

	certs.issue("kurume-yard-1", certs.ca)
	_, secondSerial := certs.connectTLS(c, "kurume-yard-1")
	require.NotEqual(t, firstSerial, secondSerial, "the renewed certificate is not in use")
	require.NoError(t, conn.QueryRow(t.Context(), "SELECT member_name()").Scan(new(string)), "the session opened before the renewal no longer works")

	otherCA, err := testcert.NewCA("another cluster")
	require.NoError(t, err)
	requirePeersRefused(t, c, otherCA)
	const stranger = "kurume-yard-3"
	certs.issue(stranger, otherCA)
	c.killAndStart(stranger)
	strangerSeen := func() bool {
		return c.reachableFrom("kurume-yard-1")[stranger] || c.reachableFrom("omuta-annex-1")[stranger]
	}
	eventually(t, func() bool { return !strangerSeen() }, primaryChangeBound, pollInterval)
	require.Never(t, strangerSeen, 2*time.Second, 100*time.Millisecond)
	c.requireServed(writers[1:], time.Now(), "beside a daemon with a certificate of another CA")

	certs.issue(stranger, certs.ca)
	eventually(t, func() bool { return c.reachableFrom("kurume-yard-1")[stranger] }, primaryChangeBound, pollInterval,
		"the daemon is not reachable with a certificate of the cluster's CA")
	c.requireServed(writers, time.Now(), "after the certificate was replaced")
}

// requirePeersRefused requires that a peer port refuses connections without TLS, without a certificate, and with a
// certificate of another CA.
func requirePeersRefused(t *testing.T, c *cluster, otherCA *testcert.CA) {
	vm, err := c.VM("kurume-yard-1")
	require.NoError(t, err)
	cert, key, err := otherCA.Issue("stranger")
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(cert, key)
	require.NoError(t, err)
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"plain":          func(conn net.Conn) net.Conn { return conn },
		"no certificate": func(conn net.Conn) net.Conn { return tls.Client(conn, &tls.Config{InsecureSkipVerify: true}) },
		"another CA": func(conn net.Conn) net.Conn {
			return tls.Client(conn, &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}})
		},
	} {
		conn, err := net.Dial("tcp", vm.PeerAddr)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		wrapped := wrap(conn)
		_, _ = wrapped.Write([]byte{0, 0, 0, 2, 1, 1})
		n, err := wrapped.Read(make([]byte, 1))
		require.Error(t, err, name)
		require.Zero(t, n, "%s: the daemon answered", name)
		require.NotErrorIs(t, err, context.DeadlineExceeded, name)
		_ = conn.Close()
	}
}
