package target

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is the body of the answer to a request that ran.
type Answer struct {
	Target  string `json:"target"`
	BootID  string `json:"boot_id"`
	Key     string `json:"key"`
	Counter uint64 `json:"counter"` // writes of the key, this one included
	SHA256  string `json:"sha256"`  // of the request body, in hexadecimal
	Method  string `json:"method"`
	Tag     string `json:"tag,omitempty"` // HeaderTag of the request
	Padding string `json:"padding,omitempty"`
}

// crossedWait is how long a connection waits for the request that gets the
// second copy of an answer.
const crossedWait = 2 * time.Second

// send writes an answer, with the faults that are drawn for it.
func (s *Server) send(w http.ResponseWriter, r *http.Request, req *request, answer *Answer) {
	answer.Padding = strings.Repeat("x", req.padding)
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err) // strings and numbers only
	}
	d := s.drawFaults(req)
	if d.late > 0 {
		select {
		case <-time.After(d.late):
		case <-req.boot.dead:
			panic(http.ErrAbortHandler)
		}
	}
	s.identify(w.Header(), req, d.id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch {
	case d.twice && r.Method != http.MethodHead:
		sendTwice(w, body)
	case d.short:
		_, _ = w.Write(body[:len(body)/2]) // cut either way
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(body) // the sender is gone when this fails
	}
}

// sendTwice answers the request, waits for the next one on the connection and
// answers it with the same answer. The next request does not run. Without a
// next request no client could confuse the two, so then nothing is sent.
func sendTwice(w http.ResponseWriter, body []byte) {
	header := w.Header().Clone()
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if writeRaw(conn, header, body) != nil {
		return
	}
	if err := conn.SetReadDeadline(time.Now().Add(crossedWait)); err != nil {
		return
	}
	next, err := http.ReadRequest(bufio.NewReader(buf))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, next.Body); err == nil {
		_ = writeRaw(conn, header, body) // closed next
	}
}

func writeRaw(conn net.Conn, header http.Header, body []byte) error {
	resp := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	return resp.Write(conn)
}
