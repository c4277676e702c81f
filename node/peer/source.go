package peer

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Source returns the local address for outgoing connections of a VM that
// listens at an address: its IP address with any port, so that others can tell
// VMs apart by address. It returns nil, the system's choice, when the listener
// is on all interfaces or named by host name.
func Source(listen string) *net.TCPAddr {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

// Bind makes a dialer use a source address; nil changes nothing. It is called
// after the dialer's Control is set.
func Bind(d *net.Dialer, source *net.TCPAddr) {
	if source == nil {
		return
	}
	d.LocalAddr = source
	control := d.Control
	d.Control = func(network, address string, raw syscall.RawConn) error {
		if control != nil {
			if err := control(network, address, raw); err != nil {
				return err
			}
		}
		return lateBind(raw)
	}
}

// lateBind lets the kernel choose the port when it connects. A port chosen at
// bind could serve one connection at a time, whatever its destination.
func lateBind(raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	if err == nil {
		err = setErr
	}
	return errors.Wrap(err, "set IP_BIND_ADDRESS_NO_PORT")
}
