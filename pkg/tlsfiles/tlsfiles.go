// Package tlsfiles builds TLS configurations from certificate files and reloads the files when they change while the
// process runs. Each handshake checks whether the files have changed. If a changed set of files cannot be used, this is
// logged, and the set read before stays in use.
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

// Errors of CA files and of peers without a certificate.
var (
	ErrNoCA       = errors.New("tlsfiles: the file holds no CA certificate in PEM form")
	ErrNoPeerCert = errors.New("tlsfiles: the peer presented no certificate")
	errNoCAFile   = errors.New("tlsfiles: connections between peers need a CA file, and none is named")
)

// Files holds a certificate with its key, and the CA that must have signed the certificates of peers. It is safe for
// concurrent use.
type Files struct {
	certFile, keyFile, caFile string
	log                       logrus.FieldLogger
	missingFileLogLimit       loglimit.Limiter

	mu           sync.Mutex
	fileVersions fileVersions
	loaded       keyMaterial
}

// fileVersions tells whether the certificate, key and CA files, in this order, have changed. An element is nil if no such
// file is named.
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
		// A file that was replaced by renaming another one is detected even if time and size are the same.
		if !os.SameFile(info, otherInfo) || !info.ModTime().Equal(otherInfo.ModTime()) || info.Size() != otherInfo.Size() {
			return false
		}
	}
	return true
}

// keyMaterial holds the decoded contents of a set of files.
type keyMaterial struct {
	cert *tls.Certificate
	ca   *x509.CertPool // nil if no CA file is named
}

// Load reads the files and returns an error if they cannot be used. caFile may be empty; PeerServer and PeerClient then
// return errors.
func Load(certFile, keyFile, caFile string, log logrus.FieldLogger) (*Files, error) {
	f := &Files{certFile: certFile, keyFile: keyFile, caFile: caFile, log: log}
	var err error
	if f.fileVersions, err = f.statFiles(); err != nil {
		return nil, err
	}
	f.loaded, err = f.readFiles()
	return f, err
}

// CallerServer returns the configuration of the server for callers, whose clients need no certificate.
func (f *Files) CallerServer() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: f.getCertificate}
}

// PeerServer returns the configuration of a server that accepts only clients with a certificate signed by the CA.
func (f *Files) PeerServer() (*tls.Config, error) {
	if f.caFile == "" {
		return nil, errNoCAFile
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		material := f.reloadIfChanged()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*material.cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: material.ca,
			// Without this, a peer could resume its session after the CA that signed its certificate was replaced.
			SessionTicketsDisabled: true,
		}, nil
	}}, nil
}

// PeerClient returns the configuration of a client that accepts only servers with a certificate signed by the CA. The name
// in the certificate is not checked: the CA signs certificates only for the daemons of one cluster, and peers exchange the
// names of their VMs in a handshake of their own above TLS.
func (f *Files) PeerClient() (*tls.Config, error) {
	if f.caFile == "" {
		return nil, errNoCAFile
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return f.reloadIfChanged().cert, nil
		},
		// The standard verification uses a fixed set of CAs. VerifyConnection verifies the server with the CAs read last.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verifyServer,
	}, nil
}

// verifyServer verifies the server's certificate chain against the CAs read last.
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

// reloadIfChanged reads the files again if they have changed, and returns the key material to use. Files are often
// replaced one after the other, so a set may not fit together for a while. Such a set is not used and is read again after
// the next change.
func (f *Files) reloadIfChanged() keyMaterial {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions, err := f.statFiles()
	if err != nil {
		if log, ok := f.missingFileLogLimit.Allow(f.log, ""); ok { // limited, since each handshake gets here
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
		reportUnusable(f.log, err) // logged once for each change
		return f.loaded
	}
	f.log.Info("TLS files have changed and were read again; new connections use them")
	f.loaded = material
	return f.loaded
}

func reportUnusable(log logrus.FieldLogger, err error) {
	log.WithError(err).Warn("changed or missing TLS files cannot be used; the files read before stay in use")
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
		return keyMaterial{}, fmt.Errorf("certificate %s with key %s: %w", f.certFile, f.keyFile, err)
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
