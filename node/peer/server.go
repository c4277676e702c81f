// Package peer carries calls between the VMs over net/rpc. Before the first call
// on a connection, both ends prove that they hold the deployment's shared key.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/wire"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// ServerName is the module name of Server.
const ServerName = "peer.server"

// Server serves calls of other VMs.
type Server struct {
	address string
	key     []byte
	tls     *tls.Config
	logger  hclog.Logger
	refused metrics.Counter
	traffic *wire.Counters
	rpc     *rpc.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	closed   bool
	wg       sync.WaitGroup
}

// NewServer returns a server that will listen on an address. A nil TLS
// configuration means plain text.
func NewServer(address string, key []byte, tlsConfig *tls.Config, logger hclog.Logger, registry metrics.Registry) *Server {
	s := &Server{
		address: address, key: key, tls: tlsConfig, logger: logger, rpc: rpc.NewServer(),
		refused: metrics.GetOrRegisterCounter("peer.connections_refused", registry),
		traffic: wire.NewCounters("peer.server", registry),
		conns:   map[net.Conn]bool{},
	}
	_ = s.rpc.RegisterName("Ping", new(pinger)) // the receiver is fixed and valid
	return s
}

// Name implements kernel.Module.
func (s *Server) Name() string { return ServerName }

// Register makes the methods of receiver callable as name.Method. It must be
// called before Start.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register peer service %s", name)
}

// Start listens on the address and serves connections in the background.
func (s *Server) Start(context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen for peer connections")
	}
	l = s.traffic.Listener(l)
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	s.listener = l
	s.wg.Add(1)
	go s.accept(l)
	return nil
}

func (s *Server) accept(l net.Listener) {
	defer s.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !s.track(conn) {
			conn.Close()
			return
		}
		s.wg.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.wg.Done()
	defer s.untrack(conn)
	if err := serverHandshake(conn, s.key); err != nil {
		s.refused.Inc(1)
		s.logger.Debug("refused a peer connection: handshake failed", "peer", conn.RemoteAddr().String(), "error", err)
		return
	}
	s.rpc.ServeConn(conn)
}

// track records a connection, so that Stop closes it. It returns false if the
// server was stopped.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Stop closes the listener and all connections, and waits for their goroutines.
func (s *Server) Stop(context.Context) error {
	s.mu.Lock()
	s.closed = true
	err := s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return errors.Wrap(err, "close peer listener")
}

type pinger struct{}

// Ping returns at once. Clients use it to tell a silent connection from a slow
// call.
func (*pinger) Ping(_ struct{}, _ *struct{}) error { return nil }
