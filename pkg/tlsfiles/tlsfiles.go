// Package tlsfiles makes TLS configurations from certificate files and takes up files that change while the process
// runs. Files are looked at in each handshake; a changed set that cannot be used is reported, and the one before it
// stays in use.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
)

// Errors of files that cannot be used.
var (
	ErrNoCA       = errors.New("tlsfiles: the file holds no CA certificate in PEM form")
	ErrNoPeerCert = errors.New("tlsfiles: the peer presented no certificate")
	errNoCAFile   = errors.New("tlsfiles: no CA file is named")
)

// Files is a certificate with its key, and the CA whose certificates peers must have. It is safe for concurrent use.
type Files struct {
	certFile, keyFile, caFile string
	log                       logrus.FieldLogger
	missingFileLogLimit       loglimit.Limiter

	mu           sync.Mutex
	fileVersions fileVersions
	loaded       keyMaterial
}

// fileVersions tell versions of the files apart; nil for a file that is not named.
type fileVersions [3]os.FileInfo

func (v fileVersions) equal(other fileVersions) bool {
	for i, info := range v {
		otherInfo := other[i]
		if info == nil || otherInfo == nil {
			if info != otherInfo {
				return false
			}
			continue
		}
		// A file replaced by rename is another file, even with the same time and size.
		if !os.SameFile(info, otherInfo) || !info.ModTime().Equal(otherInfo.ModTime()) || info.Size() != otherInfo.Size() {
			return false
		}
	}
	return true
}

// keyMaterial is what a set of files holds.
type keyMaterial struct {
	cert *tls.Certificate
	ca   *x509.CertPool // nil when no CA file is named
}

// Load reads the files. caFile may be empty; then the configurations for peers cannot be made.
func Load(certFile, keyFile, caFile string, log logrus.FieldLogger) (*Files, error) {
	f := &Files{certFile: certFile, keyFile: keyFile, caFile: caFile, log: log}
	var err error
	if f.fileVersions, err = f.statFiles(); err != nil {
		return nil, err
	}
	f.loaded, err = f.readFiles()
	return f, err
}

// Callers returns the configuration of a server whose clients need no certificate.
func (f *Files) Callers() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: f.getCertificate}
}

// PeerServer returns the configuration of a server that accepts only clients with a certificate of the CA.
func (f *Files) PeerServer() (*tls.Config, error) {
	if f.caFile == "" {
		return nil, errNoCAFile
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		material := f.reloadIfChanged()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*material.cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: material.ca,
			// A resumed session would keep a peer whose CA has been replaced.
			SessionTicketsDisabled: true,
		}, nil
	}}, nil
}

// PeerClient returns the configuration of a client that accepts only servers with a certificate of the CA. Names are
// not compared: the CA signs daemons of one cluster only, and the handshake above TLS names the VM.
func (f *Files) PeerClient() (*tls.Config, error) {
	if f.caFile == "" {
		return nil, errNoCAFile
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.reloadIfChanged().cert, nil
		},
		// The standard check knows only a fixed set of CAs; VerifyConnection does the same with the present ones.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verifyServer,
	}, nil
}

func (f *Files) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoPeerCert
	}
	options := x509.VerifyOptions{
		Roots: f.reloadIfChanged().ca, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

func (f *Files) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return f.reloadIfChanged().cert, nil
}

// reloadIfChanged returns the content in use, after a look whether the files have changed. Files are often replaced one after
// the other, so a set that does not fit together is read again at the next change.
func (f *Files) reloadIfChanged() keyMaterial {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions, err := f.statFiles()
	if err != nil {
		if log, ok := f.missingFileLogLimit.Allow(f.log, ""); ok { // each handshake finds it so
			reportUnusable(log, err)
		}
		return f.loaded
	}
	if versions.equal(f.fileVersions) {
		return f.loaded
	}
	f.fileVersions = versions
	material, err := f.readFiles()
	if err != nil {
		reportUnusable(f.log, err) // once for each change
		return f.loaded
	}
	f.log.Info("TLS files have changed; new connections use them")
	f.loaded = material
	return f.loaded
}

func reportUnusable(log logrus.FieldLogger, err error) {
	log.WithError(err).Warn("changed TLS files cannot be used; keeping the ones read before")
}

func (f *Files) statFiles() (versions fileVersions, err error) {
	for i, path := range []string{f.certFile, f.keyFile, f.caFile} {
		if path == "" {
			continue
		}
		if versions[i], err = os.Stat(path); err != nil {
			return versions, err
		}
	}
	return versions, nil
}

func (f *Files) readFiles() (keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(f.certFile, f.keyFile)
	if err != nil {
		return keyMaterial{}, fmt.Errorf("%s with %s: %w", f.certFile, f.keyFile, err)
	}
	material := keyMaterial{cert: &cert}
	if f.caFile == "" {
		return material, nil
	}
	pem, err := os.ReadFile(f.caFile)
	if err != nil {
		return keyMaterial{}, err
	}
	material.ca = x509.NewCertPool()
	if !material.ca.AppendCertsFromPEM(pem) {
		return keyMaterial{}, fmt.Errorf("%s: %w", f.caFile, ErrNoCA)
	}
	return material, nil
}
