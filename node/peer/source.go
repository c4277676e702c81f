package peer

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// SourceAddr returns the local address for outgoing connections of a VM whose
// listener has the given address: the same IP address with any port, so that
// other VMs can identify this VM by its address. SourceAddr returns nil, which lets
// the system choose, if the listener is on all interfaces or given by host name.
func SourceAddr(listen string) *net.TCPAddr {
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

// BindSource makes a dialer use a source address; nil changes nothing. If the dialer
// needs a Control function of its own, it must be set before BindSource, which
// wraps it.
func BindSource(d *net.Dialer, source *net.TCPAddr) {
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
		return deferPortChoice(raw)
	}
}

// deferPortChoice lets the kernel choose the local port at connect instead of at
// bind. A port chosen at bind can be used by one connection only, even if other
// connections have other destinations.
func deferPortChoice(raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	if err == nil {
		err = setErr
	}
	return errors.Wrap(err, "set IP_BIND_ADDRESS_NO_PORT")
}
