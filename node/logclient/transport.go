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
	// idleConnTimeout is how long a connection may be idle and still be reused. It is
	// short because an idle connection can go silent without an error.
	idleConnTimeout = 2 * time.Second
	// keepAliveInterval is the time before the first TCP keepalive probe and between
	// probes. They detect a silent connection during a long poll: the read fails when
	// keepAliveProbes of them get no acknowledgement.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	maxIdleConns      = 4
)

// newHTTPClient returns a client whose connections fail if the peer does not
// acknowledge sent data within the timeout. It does not follow redirects, because
// that would send an append twice.
func newHTTPClient(timeout time.Duration, source *net.TCPAddr, traffic *wire.Counters) *http.Client {
	dialer := &net.Dialer{
		Timeout: timeout,
		Control: userTimeout(timeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
	peer.BindSource(dialer, source)
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
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true, // the size limits on replies apply to the bytes as sent
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// userTimeout returns a net.Dialer control function that sets TCP_USER_TIMEOUT. The
// kernel then closes a connection whose peer does not acknowledge sent data within
// the timeout, instead of retransmitting for minutes.
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
