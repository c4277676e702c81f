package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEchoProxy starts an echo server and a proxy in front of it.
func startEchoProxy(t *testing.T) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := New(Config{Upstream: l.Addr().String()})
	require.NoError(t, err)
	t.Cleanup(func() { p.Close(); l.Close() })
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func roundTrip(t *testing.T, conn net.Conn, timeout time.Duration) error {
	_, err := conn.Write([]byte("ping"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
	_, err = io.ReadFull(conn, make([]byte, 4))
	return err
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 50 * time.Millisecond
)

// Guards against a black-holed connection that still forwards bytes or is closed,
// and against BlackholeExisting affecting connections that are opened later.
func TestBlackholeExisting(t *testing.T) {
	p := startEchoProxy(t)
	blackholedConn := dial(t, p)
	require.NoError(t, roundTrip(t, blackholedConn, longTimeout))
	p.BlackholeExisting()
	require.NoError(t, roundTrip(t, dial(t, p), longTimeout))
	var timeout net.Error
	require.ErrorAs(t, roundTrip(t, blackholedConn, shortTimeout), &timeout)
	require.True(t, timeout.Timeout(), "the black-holed connection must stay open without forwarding bytes")
	require.Equal(t, Stats{Accepted: 2, Open: 2, Blackholed: 1}, p.Stats())
}

// Guards against a delay that is implemented as a sleep per chunk, which limits
// the throughput: 200 chunks with a sleep of 20 ms each would take 4 s.
func TestDelayKeepsThroughput(t *testing.T) {
	p := startEchoProxy(t)
	conn := dial(t, p)
	p.Set(ToUpstream, Settings{Delay: 20 * time.Millisecond})
	began := time.Now()
	go func() {
		for range 200 {
			_, _ = conn.Write(make([]byte, 1000))
			time.Sleep(100 * time.Microsecond)
		}
	}()
	_, err := io.ReadFull(conn, make([]byte, 200*1000))
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), 20*time.Millisecond)
	require.Less(t, time.Since(began), 2*time.Second)
}

// Guards against a cut that loses bytes: after a partition, TCP delivers them.
func TestCutHoldsBytesBack(t *testing.T) {
	p := startEchoProxy(t)
	conn := dial(t, p)
	p.Set(ToClient, Settings{Cut: true})
	require.Error(t, roundTrip(t, conn, shortTimeout))
	p.Set(ToClient, Settings{})
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(longTimeout)))
	_, err := io.ReadFull(conn, make([]byte, 4))
	require.NoError(t, err)
}

// Guards against Refuse affecting open connections, and against Reset affecting
// connections that are opened later.
func TestRefuseAndReset(t *testing.T) {
	p := startEchoProxy(t)
	conn := dial(t, p)
	require.NoError(t, roundTrip(t, conn, longTimeout))
	require.NoError(t, p.Refuse(true))
	_, err := net.Dial("tcp", p.Addr())
	require.True(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	require.NoError(t, roundTrip(t, conn, longTimeout))
	require.NoError(t, p.Refuse(false))
	p.Reset(ToClient)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(longTimeout)))
	_, err = conn.Read(make([]byte, 1))
	require.True(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	require.NoError(t, roundTrip(t, dial(t, p), longTimeout))
}

// Guards against a cut of one client that affects other clients, and against a
// Heal that does not end the cut of one client.
func TestCutOfOneClient(t *testing.T) {
	p := startEchoProxy(t)
	dialFrom := func(ip string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := d.Dial("tcp", p.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	cutConn, otherConn := dialFrom("127.0.1.1"), dialFrom("127.0.1.2")
	p.SetClientBoth("127.0.1.1", Settings{Cut: true})
	require.Error(t, roundTrip(t, cutConn, shortTimeout))
	require.NoError(t, roundTrip(t, otherConn, longTimeout))
	p.Heal()
	require.NoError(t, cutConn.SetReadDeadline(time.Now().Add(longTimeout)))
	_, err := io.ReadFull(cutConn, make([]byte, 4))
	require.NoError(t, err)
}

// Guards against a link delay that is not applied, or that is looked up again
// for each chunk: one lookup must apply to both directions of a connection.
func TestLinkDelaysByClient(t *testing.T) {
	const delay = 30 * time.Millisecond
	p := startEchoProxy(t)
	var delayCalls atomic.Int32
	p.SetLink(Link{Delay: func(net.Addr) time.Duration { delayCalls.Add(1); return delay }})
	c, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	defer c.Close()
	start := time.Now()
	_, err = c.Write([]byte("ping"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), 2*delay)
	require.EqualValues(t, 1, delayCalls.Load())
	up, down := p.Bytes()
	require.EqualValues(t, 4, up)
	require.EqualValues(t, 4, down)
}

// Guards against an upstream that cannot tell clients apart behind the proxy: faults for
// one client would then hit all clients or none.
func TestUpstreamSeesClientIP(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	p, err := New(Config{Upstream: l.Addr().String(), FromClientIP: true})
	require.NoError(t, err)
	defer p.Close()
	client := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 9, 9, 9)}}
	conn, err := client.Dial("tcp", p.Addr())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(longTimeout)))
	seen, err := l.Accept()
	require.NoError(t, err)
	defer seen.Close()
	require.Equal(t, "127.9.9.9", seen.RemoteAddr().(*net.TCPAddr).IP.String())
}
