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

// node is one daemon's files.
type node struct {
	dir   string
	files *Files
}

func newCA(t *testing.T, name string) *testcert.CA {
	ca, err := testcert.NewCA(name)
	require.NoError(t, err)
	return ca
}

func newNode(t *testing.T, signer, trusted *testcert.CA) *node {
	n := &node{dir: t.TempDir()}
	n.renew(t, signer)
	n.replace(t, "ca", trusted.PEM)
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	var err error
	n.files, err = Load(n.path("cert"), n.path("key"), n.path("ca"), log)
	require.NoError(t, err)
	return n
}

func (n *node) path(name string) string { return filepath.Join(n.dir, name) }

func (n *node) replace(t *testing.T, name string, data []byte) {
	require.NoError(t, testcert.ReplaceFile(n.path(name), data))
}

func (n *node) renew(t *testing.T, signer *testcert.CA) {
	cert, key, err := signer.Issue("node")
	require.NoError(t, err)
	n.replace(t, "cert", cert)
	n.replace(t, "key", key)
}

// exchange connects over TLS and passes a byte each way, since a client learns of its refusal only from the answer.
func exchange(t *testing.T, server, client *tls.Config) (tls.ConnectionState, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		s := tls.Server(nc, server)
		var b [1]byte
		if _, err := s.Read(b[:]); err == nil {
			_, _ = s.Write(b[:])
		}
	}()
	nc, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
	require.NoError(t, err)
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	c := tls.Client(nc, client)
	if err := c.Handshake(); err != nil {
		return tls.ConnectionState{}, err
	}
	if _, err := c.Write([]byte{1}); err != nil {
		return c.ConnectionState(), err
	}
	_, err = c.Read(make([]byte, 1))
	return c.ConnectionState(), err
}

func connect(t *testing.T, server, client *node) error {
	s, err := server.files.PeerServer()
	require.NoError(t, err)
	c, err := client.files.PeerClient()
	require.NoError(t, err)
	_, err = exchange(t, s, c)
	return err
}

// Guards against a daemon of another CA, or none, that is accepted in either direction, and against a CA file whose
// replacement is ignored.
func TestPeers(t *testing.T) {
	ours, theirs := newCA(t, "ours"), newCA(t, "theirs")
	a, b := newNode(t, ours, ours), newNode(t, ours, ours)
	require.NoError(t, connect(t, a, b))

	for name, stranger := range map[string]*node{"signed by another CA": newNode(t, theirs, ours)} {
		require.Error(t, connect(t, a, stranger), name)
		require.Error(t, connect(t, stranger, a), name)
	}
	s, err := a.files.PeerServer()
	require.NoError(t, err)
	_, err = exchange(t, s, &tls.Config{InsecureSkipVerify: true})
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
	require.Error(t, connect(t, a, newNode(t, ours, theirs)), "the old CA is still accepted")
}

// Guards against a renewed certificate that is not taken up, and against callers that are refused while the files are
// replaced one after the other, or are missing or damaged.
func TestReload(t *testing.T) {
	ca := newCA(t, "ours")
	n := newNode(t, ca, ca)
	serial := func() string {
		state, err := exchange(t, n.files.Callers(), &tls.Config{RootCAs: ca.Pool(), ServerName: "127.0.0.1"})
		require.NoError(t, err)
		return state.PeerCertificates[0].SerialNumber.String()
	}
	first := serial()
	cert, key, err := ca.Issue("renewed")
	require.NoError(t, err)
	n.replace(t, "cert", cert)
	require.Equal(t, first, serial(), "certificate without its key")
	n.replace(t, "key", []byte("damaged"))
	require.Equal(t, first, serial())
	n.replace(t, "key", key)
	second := serial()
	require.NotEqual(t, first, second)
	n.replace(t, "ca", []byte("no CA"))
	require.Equal(t, second, serial())
}

// Guards against a start with files that cannot work.
func TestLoadRefuses(t *testing.T) {
	ca := newCA(t, "ours")
	n := newNode(t, ca, ca)
	_, err := Load(n.path("cert"), n.path("key"), n.path("none"), logrus.New())
	require.Error(t, err)
	n.replace(t, "ca", []byte("no CA"))
	_, err = Load(n.path("cert"), n.path("key"), n.path("ca"), logrus.New())
	require.ErrorIs(t, err, ErrNoCA)
	f, err := Load(n.path("cert"), n.path("key"), "", logrus.New())
	require.NoError(t, err)
	_, err = f.PeerServer()
	require.Error(t, err)
}
