package peer

import (
	"context"
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
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/settings"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// writeCertificate writes a self-signed certificate for loopback, which is its
// own CA, and returns settings that name its files.
func writeCertificate(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vm"}, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, data []byte) string {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	certFile := write("cert.pem", "CERTIFICATE", cert)
	return settings.TLS{CertFile: certFile, KeyFile: write("key.pem", "PRIVATE KEY", keyDER), CAFile: certFile}
}

// Guards against a VM with TLS in its settings that accepts peers with plain
// text, with a certificate of another CA, or without a certificate.
func TestCallsOverTLS(t *testing.T) {
	trusted, untrusted := writeCertificate(t), writeCertificate(t)
	serverTLS, err := trusted.ServerConfig()
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	s := NewServer(address, key, serverTLS, hclog.NewNullLogger(), metrics.NewRegistry())
	require.NoError(t, s.Register("Echo", &Echo{}))
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { _ = s.Stop(context.Background()) })

	call := func(files settings.TLS) error {
		config, err := files.ClientConfig()
		require.NoError(t, err)
		c := NewClient(key, config, metrics.NewRegistry())
		defer func() { _ = c.Stop(context.Background()) }()
		in, out := "hello", ""
		return c.Call(t.Context(), address, "Echo.Say", &in, &out)
	}
	require.NoError(t, call(trusted))
	require.Error(t, call(settings.TLS{}), "a client without TLS must be refused")
	require.Error(t, call(untrusted), "a client with a certificate of another CA must be refused")
	require.Error(t, call(settings.TLS{CAFile: trusted.CAFile}), "a client without a certificate must be refused")
}
