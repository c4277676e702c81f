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

// Answer is the JSON body of the response to a request that was executed.
type Answer struct {
	Target  string `json:"target"`
	BootID  string `json:"boot_id"`
	Key     string `json:"key"`
	Counter uint64 `json:"counter"` // writes of the key so far, including this request if it is a write
	SHA256  string `json:"sha256"`  // of the request body, in hexadecimal
	Method  string `json:"method"`
	Tag     string `json:"tag,omitempty"` // value of the request's HeaderTag
	Padding string `json:"padding,omitempty"`
}

// duplicateAnswerTimeout bounds the wait for the request that receives the second
// copy of an answer.
const duplicateAnswerTimeout = 2 * time.Second

// send draws the faults of an answer and writes it. It aborts the connection to
// truncate the body, and if the target is stopped while the answer is delayed.
func (s *Server) send(w http.ResponseWriter, r *http.Request, req *request, answer *Answer) {
	answer.Padding = strings.Repeat("x", req.paddingBytes)
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err) // Answer holds only strings and numbers, which always encode
	}
	d := s.drawFaults(req)
	if d.delay > 0 {
		select {
		case <-time.After(d.delay):
		case <-req.boot.stopped:
			panic(http.ErrAbortHandler)
		}
	}
	s.setIdentityHeaders(w.Header(), req, d.id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch {
	case d.duplicate && r.Method != http.MethodHead:
		sendDuplicate(w, body)
	case d.short:
		_, _ = w.Write(body[:len(body)/2]) // the connection is aborted in any case
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = w.Write(body) // fails only if the client has disconnected
	}
}

// sendDuplicate answers the request, waits for the next request on the same
// connection and answers that with a copy, without executing it. If none arrives
// within duplicateAnswerTimeout, no client could mistake the copy for its own
// answer, so no copy is sent.
func sendDuplicate(w http.ResponseWriter, body []byte) {
	header := w.Header().Clone()
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if writeRaw(conn, header, body) != nil {
		return
	}
	if err := conn.SetReadDeadline(time.Now().Add(duplicateAnswerTimeout)); err != nil {
		return
	}
	next, err := http.ReadRequest(bufio.NewReader(buf))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, next.Body); err == nil {
		_ = writeRaw(conn, header, body) // the connection is closed next in any case
	}
}

func writeRaw(conn net.Conn, header http.Header, body []byte) error {
	resp := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	return resp.Write(conn)
}
