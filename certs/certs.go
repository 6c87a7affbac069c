// Package certs loads TLS configuration from the certificate files named in settings.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
)

// Files are the TLS files of one listener or client. The zero Files means plain
// text.
type Files struct {
	// Certificate is a PEM file with the process's certificate chain. It and Key
	// are both set or both empty.
	Certificate string `json:"certificate,omitempty"`
	// Key is a PEM file with the certificate's private key.
	Key string `json:"key,omitempty"`
	// CA is a PEM file with the CA certificates that peers' certificates
	// are verified against. If set, a server requires client certificates.
	CA string `json:"authority,omitempty"`
}

// Validate returns a *fault.FieldsError if only one of Certificate and Key is set.
func (f Files) Validate() error {
	var bad fault.FieldsError
	bad.Check(f.Certificate == "" || f.Key != "", "key", "is missing; certificate requires it")
	bad.Check(f.Key == "" || f.Certificate != "", "certificate", "is missing; key requires it")
	return bad.Err()
}

// Complete reports whether all files are set.
func (f Files) Complete() bool {
	return f.Certificate != "" && f.Key != "" && f.CA != ""
}

// TLSConfig loads the files into a configuration for servers and clients, or returns
// nil if none is set. Its errors name the file but never include its content.
//
//	cfg, err := settings.TLS.TLSConfig()
//	server.TLSConfig = cfg
func (f Files) TLSConfig() (*tls.Config, error) {
	if f == (Files{}) {
		return nil, nil //nolint:nilnil // A nil *tls.Config means plain text.
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return nil, errors.Wrapf(err, "loading %s and %s", f.Certificate, f.Key)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	if f.CA == "" {
		return cfg, nil
	}
	roots, err := loadCAPool(f.CA)
	if err != nil {
		return nil, err
	}
	cfg.RootCAs = roots
	cfg.ClientCAs = roots
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

func loadCAPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file) //nolint:gosec // The name comes from the settings, which the operator writes.
	if err != nil {
		return nil, errors.Wrapf(err, "loading %s", file)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &fault.FieldError{Field: "authority", Problem: file + " contains no PEM certificate"}
	}
	return roots, nil
}
