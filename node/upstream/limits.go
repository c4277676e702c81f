package upstream

import (
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/mangogate/mangogate/node/bodies"
	"github.com/pkg/errors"
)

const (
	// MaxAnswerBytes is the largest answer body that is passed on, in bytes.
	MaxAnswerBytes = 16 << 20
	// DefaultAnswerMemory is the default of Client.AnswerMemory, in bytes.
	DefaultAnswerMemory = 24 << 20
	// MaxHeadBytes is the largest status line and header of an answer, in bytes.
	MaxHeadBytes = 64 << 10
	// MaxInformational is how many informational (1xx) answers may precede an answer.
	MaxInformational = 8
	// maxMismatchedAnswers is how many answers to other requests are skipped
	// before the request fails.
	maxMismatchedAnswers = 3
	// freeAnswerBytes is the size in bytes up to which a body does not count towards
	// AnswerMemory. Targets whose answers do not end then cannot displace the answers of
	// other targets, which are usually smaller.
	freeAnswerBytes = 128 << 10
	// firstBufferBytes is the size in bytes of the first buffer for a body of unknown
	// length; further ones are twice as large.
	firstBufferBytes = 16 << 10
)

var (
	errHeadTooLarge      = errors.Errorf("the status line and header of the answer exceed %d bytes", MaxHeadBytes)
	errBodyTooLarge      = errors.Errorf("the body of the answer exceeds %d bytes", MaxAnswerBytes)
	errAnswerMemory      = errors.New("no memory is left for an answer of this size beside those in progress")
	errManyInformational = errors.Errorf("more than %d informational answers without a final one", MaxInformational)
	errEndedEarly        = errors.New("the answer ended with the connection before the whole request was sent")
	errTwoHeads          = errors.New("the header of the answer contains the status line of another one")
	errHeadEnd           = errors.New("the header of the request ends")
	errSwitch            = errors.New("the answer switches to another protocol")
	errOtherRequests     = errors.New("the answers on the connection belong to other requests")
)

// limitedReader reads from a connection and fails once more than left bytes are read.
// A negative left means no limit.
type limitedReader struct {
	net.Conn
	left int64
}

func (r *limitedReader) Read(p []byte) (int, error) {
	switch {
	case r.left == 0:
		return 0, errHeadTooLarge
	case r.left > 0 && int64(len(p)) > r.left:
		p = p[:r.left]
	}
	n, err := r.Conn.Read(p)
	if r.left > 0 {
		r.left -= int64(n)
	}
	return n, err
}

// readHead reads the status line and header of the next answer on the connection. It
// fails if CheckHead does, and then returns the answer too.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.raw.left = MaxHeadBytes
	defer func() { c.raw.left = -1 }()
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	return resp, CheckHead(resp)
}

// CheckHead returns an error if the status line of an answer is invalid, which net/http
// does not check in full, if the answer switches to a protocol that nobody has asked for,
// or if its head contains the status line of another answer.
func CheckHead(resp *http.Response) error {
	code, _, _ := strings.Cut(resp.Status, " ")
	switch {
	case resp.Proto != "HTTP/1.1" && resp.Proto != "HTTP/1.0":
		return errors.Errorf("the answer has the version %.20q", resp.Proto)
	case len(code) != 3 || strconv.Itoa(resp.StatusCode) != code || resp.StatusCode < 100 || resp.StatusCode > 599:
		return errors.Errorf("the answer has the status %.20q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errSwitch
	case containsStatusLine(resp):
		return errTwoHeads
	}
	return nil
}

// statusLine matches the beginning of the status line of an answer.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}( |$)`)

// containsStatusLine reports whether the reason or a header of an answer contains a
// status line: the target broke off one answer and began another. Of two heads that are
// read as one, the status may belong to the first and the id to the second.
func containsStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	for name := range resp.Trailer { // net/http takes these names from the header
		if statusLine.MatchString(name) {
			return true
		}
	}
	return false
}

// BodyMemory counts the memory that the bodies of answers use beyond freeAnswerBytes
// each. The zero value counts none yet. It is safe for concurrent use.
type BodyMemory struct {
	// Budget also counts the memory, with that of the requests, unless it is nil.
	Budget *bodies.Budget

	used atomic.Int64
}

// reserve adds n bytes unless that would exceed limit or the budget, and reports whether
// it did.
func (m *BodyMemory) reserve(n, limit int64) bool {
	if n == 0 {
		return true
	}
	if m.used.Add(n) <= limit && (m.Budget == nil || m.Budget.Reserve(n)) {
		return true
	}
	m.used.Add(-n)
	return false
}

// Release ends the use of n bytes that ReadBody has reserved.
func (m *BodyMemory) Release(n int64) {
	m.used.Add(-n)
	if m.Budget != nil {
		m.Budget.Release(n)
	}
}

// reservationFor returns how much a buffer of a size counts towards a BodyMemory.
func reservationFor(size int64) int64 { return max(0, size-freeAnswerBytes) }

// ReadBody reads the whole body of an answer of at most MaxAnswerBytes. It fails if the
// bodies that count would use more than limit bytes together. reserved is what the body
// counts until it is passed to Release.
func (m *BodyMemory) ReadBody(resp *http.Response, limit int64) (body []byte, reserved int64, err error) {
	size := min(resp.ContentLength, MaxAnswerBytes+1)
	switch {
	case size > MaxAnswerBytes:
		return nil, 0, errBodyTooLarge
	case size == 0:
		return nil, 0, nil
	case size < 0:
		size = firstBufferBytes
	}
	for n := 0; ; {
		grown := reservationFor(size)
		if !m.reserve(grown, limit) { // while both buffers exist, both count
			m.Release(reserved)
			return nil, 0, errAnswerMemory
		}
		buffer := make([]byte, size)
		copy(buffer, body[:n])
		m.Release(reserved)
		body, reserved = buffer, grown
		read, err := fill(resp.Body, body[n:])
		n += read
		switch {
		case err == io.EOF || err == nil && resp.ContentLength >= 0:
			return body[:n], reserved, nil
		case err != nil:
			m.Release(reserved)
			return nil, 0, err
		case n > MaxAnswerBytes:
			m.Release(reserved)
			return nil, 0, errBodyTooLarge
		}
		size = min(2*size, MaxAnswerBytes+1)
	}
}

// fill reads until p is full or an error occurs. Unlike io.ReadFull it returns the
// error of the reader as it is: io.EOF is the end of a body, io.ErrUnexpectedEOF that of
// one that was cut off.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	return n, err
}

// discardBody reads the body of an answer to another request, up to MaxAnswerBytes.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && n > MaxAnswerBytes {
		err = errBodyTooLarge
	}
	return err
}
