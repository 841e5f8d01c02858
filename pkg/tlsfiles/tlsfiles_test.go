package tlsfiles

import (
	"crypto/tls"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/testcert"
)

// testDaemon is a daemon with a directory for its files.
type testDaemon struct {
	dir   string
	files *Files
}

func newCA(t *testing.T, name string) *testcert.CA {
	ca, err := testcert.NewCA(name)
	require.NoError(t, err)
	return ca
}

func newTestDaemon(t *testing.T, signer, trusted *testcert.CA) *testDaemon {
	daemon := &testDaemon{dir: t.TempDir()}
	daemon.renew(t, signer)
	daemon.replace(t, "ca", trusted.PEM)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	var err error
	daemon.files, err = Load(daemon.path("cert"), daemon.path("key"), daemon.path("ca"), log)
	require.NoError(t, err)
	return daemon
}

func (d *testDaemon) path(name string) string { return filepath.Join(d.dir, name) }

func (d *testDaemon) replace(t *testing.T, name string, data []byte) {
	require.NoError(t, testcert.ReplaceFile(d.path(name), data))
}

func (d *testDaemon) renew(t *testing.T, signer *testcert.CA) {
	cert, key, err := signer.Issue("node")
	require.NoError(t, err)
	d.replace(t, "cert", cert)
	d.replace(t, "key", key)
}

// exchangeByte connects over TLS and sends a byte each way. A client learns only from the server's answer that its
// certificate was refused.
func exchangeByte(t *testing.T, server, client *tls.Config) (tls.ConnectionState, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serverConn := tls.Server(conn, server)
		var b [1]byte
		if _, err := serverConn.Read(b[:]); err == nil {
			_, _ = serverConn.Write(b[:])
		}
	}()
	conn, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
	require.NoError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	clientConn := tls.Client(conn, client)
	if err := clientConn.Handshake(); err != nil {
		return tls.ConnectionState{}, err
	}
	if _, err := clientConn.Write([]byte{1}); err != nil {
		return clientConn.ConnectionState(), err
	}
	_, err = clientConn.Read(make([]byte, 1))
	return clientConn.ConnectionState(), err
}

func connect(t *testing.T, server, client *testDaemon) error {
	serverConfig, err := server.files.PeerServer()
	require.NoError(t, err)
	clientConfig, err := client.files.PeerClient()
	require.NoError(t, err)
	_, err = exchangeByte(t, serverConfig, clientConfig)
	return err
}

// A peer without a certificate, or with one signed by another CA, must be refused, as client and as server. A CA file
// that was replaced must be used.
func TestPeers(t *testing.T) {
	ours, theirs := newCA(t, "ours"), newCA(t, "theirs")
	a, b := newTestDaemon(t, ours, ours), newTestDaemon(t, ours, ours)
	require.NoError(t, connect(t, a, b))

	for name, stranger := range map[string]*testDaemon{"signed by another CA": newTestDaemon(t, theirs, ours)} {
		require.Error(t, connect(t, a, stranger), name)
		require.Error(t, connect(t, stranger, a), name)
	}
	serverConfig, err := a.files.PeerServer()
	require.NoError(t, err)
	_, err = exchangeByte(t, serverConfig, &tls.Config{InsecureSkipVerify: true})
	require.ErrorContains(t, err, "certificate required")

	both := append(append([]byte{}, ours.PEM...), theirs.PEM...)
	a.replace(t, "ca", both)
	b.replace(t, "ca", both)
	a.renew(t, theirs)
	require.NoError(t, connect(t, a, b))
	require.NoError(t, connect(t, b, a))
	b.renew(t, theirs)
	a.replace(t, "ca", theirs.PEM)
	b.replace(t, "ca", theirs.PEM)
	require.NoError(t, connect(t, a, b))
	require.Error(t, connect(t, a, newTestDaemon(t, ours, theirs)), "a certificate of the old CA must not be accepted")
}

// A renewed certificate must be used. Callers must not be refused while the files are replaced one after the other, or
// are missing or damaged.
func TestReload(t *testing.T) {
	ca := newCA(t, "ours")
	daemon := newTestDaemon(t, ca, ca)
	serial := func() string {
		state, err := exchangeByte(t, daemon.files.CallerServer(), &tls.Config{RootCAs: ca.Pool(), ServerName: "127.0.0.1"})
		require.NoError(t, err)
		return state.PeerCertificates[0].SerialNumber.String()
	}
	first := serial()
	cert, key, err := ca.Issue("renewed")
	require.NoError(t, err)
	daemon.replace(t, "cert", cert)
	require.Equal(t, first, serial(), "the new certificate must not be used before its key is there")
	daemon.replace(t, "key", []byte("damaged"))
	require.Equal(t, first, serial())
	daemon.replace(t, "key", key)
	second := serial()
	require.NotEqual(t, first, second)
	daemon.replace(t, "ca", []byte("no CA"))
	require.Equal(t, second, serial())
}

// Guards against starting with files that cannot be used.
func TestLoadRefuses(t *testing.T) {
	ca := newCA(t, "ours")
	daemon := newTestDaemon(t, ca, ca)
	_, err := Load(daemon.path("cert"), daemon.path("key"), daemon.path("none"), logrus.New())
	require.Error(t, err)
	daemon.replace(t, "ca", []byte("no CA"))
	_, err = Load(daemon.path("cert"), daemon.path("key"), daemon.path("ca"), logrus.New())
	require.ErrorIs(t, err, ErrNoCA)
	withoutCA, err := Load(daemon.path("cert"), daemon.path("key"), "", logrus.New())
	require.NoError(t, err)
	_, err = withoutCA.PeerServer()
	require.Error(t, err)
}
