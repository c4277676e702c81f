package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
)

// The server sends a nonce; the client answers with its own nonce and the MAC
// of both; the server answers with a MAC in the other direction. The key never
// crosses the network, and a recorded handshake cannot be replayed.
func serverHandshake(conn net.Conn, key []byte) error {
	defer withDeadline(conn)()
	var ours, theirs [nonceBytes]byte
	if _, err := rand.Read(ours[:]); err != nil {
		return errors.Wrap(err, "create nonce")
	}
	if _, err := conn.Write(ours[:]); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	if _, err := io.ReadFull(conn, theirs[:]); err != nil {
		return errors.Wrap(err, "read nonce")
	}
	if err := readMAC(conn, mac(key, "client", ours[:], theirs[:])); err != nil {
		return err
	}
	_, err := conn.Write(mac(key, "server", ours[:], theirs[:]))
	return errors.Wrap(err, "send MAC")
}

func clientHandshake(conn net.Conn, key []byte) error {
	defer withDeadline(conn)()
	var ours, theirs [nonceBytes]byte
	if _, err := rand.Read(ours[:]); err != nil {
		return errors.Wrap(err, "create nonce")
	}
	if _, err := io.ReadFull(conn, theirs[:]); err != nil {
		return errors.Wrap(err, "read nonce")
	}
	if _, err := conn.Write(append(ours[:], mac(key, "client", theirs[:], ours[:])...)); err != nil {
		return errors.Wrap(err, "send MAC")
	}
	return readMAC(conn, mac(key, "server", theirs[:], ours[:]))
}

func withDeadline(conn net.Conn) func() {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // a closed connection fails at the next read
	return func() { _ = conn.SetDeadline(time.Time{}) }
}

func mac(key []byte, role string, nonces ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(role))
	for _, n := range nonces {
		h.Write(n)
	}
	return h.Sum(nil)
}

func readMAC(conn net.Conn, want []byte) error {
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil {
		return errors.Wrap(err, "read MAC")
	}
	if !hmac.Equal(got, want) {
		return errors.New("peer does not hold the deployment's key")
	}
	return nil
}
