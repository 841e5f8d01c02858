package daemon

import (
	"crypto/tls"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/settings"
	"github.com/sycamorehub/sycamorehub/pkg/tlsfiles"
)

// tlsConfigs holds the TLS configurations of the connections with callers and peers. A nil configuration means plain TCP.
type tlsConfigs struct {
	callers                *tls.Config
	peerServer, peerClient *tls.Config
}

func newTLS(k *kernel.Kernel) (any, error) {
	s := kernel.MustLookup[*settings.Settings](k, nameSettings).TLS
	c := &tlsConfigs{}
	if s.CertFile == "" {
		return c, nil
	}
	files, err := tlsfiles.Load(s.CertFile, s.KeyFile, s.PeerCAFile, logger(k, nameTLS))
	if err != nil {
		return nil, errkind.Wrap(errkind.SettingsInvalid, err, "files of the tls section could not be loaded")
	}
	c.callers = files.CallerServer()
	if s.PeerCAFile == "" {
		return c, nil
	}
	if c.peerServer, err = files.PeerServer(); err != nil {
		return nil, err
	}
	c.peerClient, err = files.PeerClient()
	return c, err
}
