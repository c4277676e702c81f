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

// echo starts a server that returns what it gets, and a proxy before it.
func echo(t *testing.T) *Proxy {
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

func roundTrip(t *testing.T, conn net.Conn, wait time.Duration) error {
	_, err := conn.Write([]byte("ping"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err = io.ReadFull(conn, make([]byte, 4))
	return err
}

const (
	long  = 10 * time.Second
	short = 50 * time.Millisecond
)

// Guards against a held connection that comes back or is closed, and against a
// proxy that holds new ones too.
func TestHoldExisting(t *testing.T) {
	p := echo(t)
	old := dial(t, p)
	require.NoError(t, roundTrip(t, old, long))
	p.HoldExisting()
	require.NoError(t, roundTrip(t, dial(t, p), long))
	var timeout net.Error
	require.ErrorAs(t, roundTrip(t, old, short), &timeout)
	require.True(t, timeout.Timeout(), "silent, not closed")
	require.Equal(t, Stats{Accepted: 2, Open: 2, Held: 1}, p.Stats())
}

// Guards against a delay that sleeps for each chunk: 200 chunks of 20 ms would
// take 4 s.
func TestDelayKeepsThroughput(t *testing.T) {
	p := echo(t)
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

// Guards against bytes that a partition loses although TCP would deliver them.
func TestCutHoldsBytesBack(t *testing.T) {
	p := echo(t)
	conn := dial(t, p)
	p.Set(ToClient, Settings{Cut: true})
	require.Error(t, roundTrip(t, conn, short))
	p.Set(ToClient, Settings{})
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(long)))
	_, err := io.ReadFull(conn, make([]byte, 4))
	require.NoError(t, err)
}

// Guards against faults of new connections that hit old ones, and the reverse.
func TestRefuseAndReset(t *testing.T) {
	p := echo(t)
	conn := dial(t, p)
	require.NoError(t, roundTrip(t, conn, long))
	require.NoError(t, p.Refuse(true))
	_, err := net.Dial("tcp", p.Addr())
	require.True(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	require.NoError(t, roundTrip(t, conn, long))
	require.NoError(t, p.Refuse(false))
	p.Reset(ToClient)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(long)))
	_, err = conn.Read(make([]byte, 1))
	require.True(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	require.NoError(t, roundTrip(t, dial(t, p), long))
}

// Guards against a cut of one client that hits others, and one that Heal keeps.
func TestCutOfOneClient(t *testing.T) {
	p := echo(t)
	from := func(ip string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := d.Dial("tcp", p.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	one, other := from("127.0.1.1"), from("127.0.1.2")
	p.SetClientBoth("127.0.1.1", Settings{Cut: true})
	require.Error(t, roundTrip(t, one, short))
	require.NoError(t, roundTrip(t, other, long))
	p.Heal()
	require.NoError(t, one.SetReadDeadline(time.Now().Add(long)))
	_, err := io.ReadFull(one, make([]byte, 4))
	require.NoError(t, err)
}

// Guards against a link whose delay is left out, or asked anew for each chunk:
// one answer must hold for a connection in both directions.
func TestLinkDelaysByClient(t *testing.T) {
	const delay = 30 * time.Millisecond
	p := echo(t)
	var asked atomic.Int32
	p.SetLink(Link{Delay: func(net.Addr) time.Duration { asked.Add(1); return delay }})
	c, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	defer c.Close()
	start := time.Now()
	_, err = c.Write([]byte("ping"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(start), 2*delay)
	require.EqualValues(t, 1, asked.Load())
	up, down := p.Bytes()
	require.EqualValues(t, 4, up)
	require.EqualValues(t, 4, down)
}
