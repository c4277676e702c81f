package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

const minSecretBytes = 16 // shorter secrets can be guessed

// ReadSecret reads a shared key or token from a file and trims the surrounding
// white space. Secrets of fewer than 16 bytes are an error.
func ReadSecret(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read secret")
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("secret in %s has %d bytes, fewer than %d", path, len(secret), minSecretBytes)
	}
	return secret, nil
}

// ServerConfig returns the TLS configuration of a listener, nil for plain text.
// If a CA file is named, clients must present a certificate signed by that CA.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cfg, err := t.base()
	if err != nil {
		return nil, err
	}
	if cfg.RootCAs != nil {
		cfg.ClientCAs, cfg.ClientAuth = cfg.RootCAs, tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// ClientConfig returns the TLS configuration of outgoing connections, nil for
// plain text.
func (t TLS) ClientConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	return t.base()
}

// base returns what servers and clients share. RootCAs is nil if no CA file is named.
func (t TLS) base() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.CertFile != "" {
		pair, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
		if err != nil {
			return nil, errors.Wrap(err, "load certificate")
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	if t.CAFile != "" {
		pem, err := os.ReadFile(t.CAFile)
		if err != nil {
			return nil, errors.Wrap(err, "read CA file")
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("CA file %s holds no certificate", t.CAFile)
		}
	}
	return cfg, nil
}
