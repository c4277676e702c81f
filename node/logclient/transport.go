package logclient

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/wire"
	"golang.org/x/sys/unix"
)

const (
	// idleTrust is how long an idle connection is reused. Connections go
	// silent without notice, so an older one is replaced by a new one.
	idleTrust = 2 * time.Second
	// keepAliveProbe is the time before and between keepalive probes. They run
	// while a read is held open, and end it when they stay unanswered.
	keepAliveProbe  = time.Second
	keepAliveProbes = 3
	maxIdleConns    = 4
)

// newHTTPClient returns a client whose connections end when the peer has
// acknowledged nothing for the timeout. Redirects are not followed: an append
// would be sent twice.
func newHTTPClient(timeout time.Duration, source *net.TCPAddr, traffic *wire.Counters) *http.Client {
	dialer := &net.Dialer{
		Timeout: timeout,
		Control: userTimeout(timeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: keepAliveProbes,
		},
	}
	peer.Bind(dialer, source)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return traffic.Conn(conn), nil
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			IdleConnTimeout:     idleTrust,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true, // the limits on answers count bytes as sent
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// userTimeout sets TCP_USER_TIMEOUT, so that the kernel drops a connection
// whose peer acknowledges nothing instead of retransmitting for minutes.
func userTimeout(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var sockErr error
		err := conn.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}
