package vm

import (
	"crypto/tls"

	"github.com/mangogate/mangogate/node/settings"
	"github.com/pkg/errors"
)

// tlsSet holds the TLS configurations of a VM. A nil configuration means plain
// text.
type tlsSet struct {
	callers, operators, peerServer, peerClient, targets *tls.Config
}

// loadTLS loads all TLS files that the settings name. Its error names the field
// of the settings.
func loadTLS(s *settings.Settings) (set tlsSet, err error) {
	for _, l := range []struct {
		field string
		load  func() (*tls.Config, error)
		into  **tls.Config
	}{
		{"callers.tls", s.Callers.TLS.ServerConfig, &set.callers},
		{"operators.tls", s.Operators.TLS.ServerConfig, &set.operators},
		{"peers.tls", s.Peers.TLS.ServerConfig, &set.peerServer},
		{"peers.tls", s.Peers.TLS.ClientConfig, &set.peerClient},
		{"targets.tls", s.Targets.TLS.ClientConfig, &set.targets},
	} {
		if *l.into, err = l.load(); err != nil {
			return set, errors.Wrap(err, l.field)
		}
	}
	return set, nil
}
