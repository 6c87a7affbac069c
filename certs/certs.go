// Package certs holds the names of TLS files in settings and loads them.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
)

// Files names the files of one side of TLS. The zero Files means plain text.
type Files struct {
	// Certificate is a PEM file with the process's own certificate chain. It
	// and Key are both set or both empty.
	Certificate string `json:"certificate,omitempty"`
	// Key is a PEM file with the certificate's private key.
	Key string `json:"key,omitempty"`
	// Authority is a PEM file with the certificates that peers' are checked
	// against. With it a server asks its clients for a certificate too.
	Authority string `json:"authority,omitempty"`
}

// Validate returns a *fault.FieldsError when only one of a pair is set.
func (f Files) Validate() error {
	var bad fault.FieldsError
	bad.Check(f.Certificate == "" || f.Key != "", "key", "is missing beside certificate")
	bad.Check(f.Key == "" || f.Certificate != "", "certificate", "is missing beside key")
	return bad.Err()
}

// Complete reports whether all files are named.
func (f Files) Complete() bool {
	return f.Certificate != "" && f.Key != "" && f.Authority != ""
}

// Config loads the files for a server and a client alike, or returns nil when
// none is set. Its errors name the file and never hold what is in it.
//
//	cfg, err := settings.TLS.Config()
//	server.TLSConfig = cfg
func (f Files) Config() (*tls.Config, error) {
	if f == (Files{}) {
		return nil, nil //nolint:nilnil // A nil *tls.Config is the library's own word for plain text.
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return nil, errors.Wrapf(err, "loading %s and %s", f.Certificate, f.Key)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	if f.Authority == "" {
		return cfg, nil
	}
	roots, err := authority(f.Authority)
	if err != nil {
		return nil, err
	}
	cfg.RootCAs = roots
	cfg.ClientCAs = roots
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

func authority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file) //nolint:gosec // The name comes from the settings, which the operator writes.
	if err != nil {
		return nil, errors.Wrapf(err, "loading %s", file)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &fault.FieldError{Field: "authority", Problem: file + " holds no PEM certificate"}
	}
	return roots, nil
}
