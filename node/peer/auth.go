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

// serverHandshake proves to the client that the server holds the key, and checks
// the same of the client. The server sends a nonce; the client replies with its
// own nonce and the MAC of both; the server replies with a MAC for the other
// direction. The key is never sent, and the fresh nonces prevent the replay of a
// recorded handshake.
func serverHandshake(conn net.Conn, key []byte) error {
	defer withDeadline(conn)()
	var ownNonce, peerNonce [nonceBytes]byte
	if _, err := rand.Read(ownNonce[:]); err != nil {
		return errors.Wrap(err, "create nonce")
	}
	if _, err := conn.Write(ownNonce[:]); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	if _, err := io.ReadFull(conn, peerNonce[:]); err != nil {
		return errors.Wrap(err, "read nonce")
	}
	if err := readMAC(conn, mac(key, "client", ownNonce[:], peerNonce[:])); err != nil {
		return err
	}
	_, err := conn.Write(mac(key, "server", ownNonce[:], peerNonce[:]))
	return errors.Wrap(err, "send MAC")
}

// clientHandshake is the client's side of serverHandshake.
func clientHandshake(conn net.Conn, key []byte) error {
	defer withDeadline(conn)()
	var ownNonce, peerNonce [nonceBytes]byte
	if _, err := rand.Read(ownNonce[:]); err != nil {
		return errors.Wrap(err, "create nonce")
	}
	if _, err := io.ReadFull(conn, peerNonce[:]); err != nil {
		return errors.Wrap(err, "read nonce")
	}
	if _, err := conn.Write(append(ownNonce[:], mac(key, "client", peerNonce[:], ownNonce[:])...)); err != nil {
		return errors.Wrap(err, "send MAC")
	}
	return readMAC(conn, mac(key, "server", peerNonce[:], ownNonce[:]))
}

// withDeadline limits the handshake to handshakeTimeout. The caller runs the
// returned function to remove the deadline.
func withDeadline(conn net.Conn) func() {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // if this fails, the next read fails too
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
		return errors.New("wrong MAC: peer does not hold the deployment's key")
	}
	return nil
}
