// Package testcert makes certificate authorities and certificates for tests. The keys must not protect real data. The
// package is not part of the product.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	validity   = time.Hour // before and after the time of issue
	serialBits = 64
	fileMode   = 0o600 // keys are readable by the owner only
)

// CA is a certificate authority.
type CA struct {
	Cert *x509.Certificate
	PEM  []byte
	key  *ecdsa.PrivateKey
}

// NewCA returns a certificate authority with a new key and a self-signed certificate.
func NewCA(name string) (*CA, error) {
	template, err := certTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &CA{Cert: cert, PEM: encodePEM("CERTIFICATE", der), key: key}, err
}

// Issue returns a certificate and its private key in PEM. The certificate is valid for 127.0.0.1 and the name, for
// servers and clients.
func (c *CA) Issue(name string) (cert, key []byte, err error) {
	template, err := certTemplate(name)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.DNSNames, template.IPAddresses = []string{name}, []net.IP{net.IPv4(127, 0, 0, 1)}
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, c.Cert, &privateKey.PublicKey, c.key)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(privateKey)
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), err
}

// Pool returns a certificate pool that holds only the authority.
func (c *CA) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(c.Cert)
	return p
}

// ReplaceFile replaces a file by renaming a new one over it, as the renewal of a certificate does.
func ReplaceFile(path string, data []byte) error {
	temp := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	if err := os.WriteFile(temp, data, fileMode); err != nil {
		return err
	}
	return os.Rename(temp, path)
}

// certTemplate returns the fields that all certificates share.
func certTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-validity), NotAfter: now.Add(validity),
	}, err
}

// encodePEM returns the PEM encoding of DER data.
func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
