package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

const validRest = " OK\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok"

// malformed are answers with an invalid beginning. What follows them is an answer that
// would be valid by itself.
var malformed = map[string]string{
	"status 000":             "HTTP/1.1 000" + validRest,
	"status 000, final":      "HTTP/1.1 000\r\nAttempt-Id: a\r\n\r\nHTTP/1.1 200" + validRest,
	"status 1":               "HTTP/1.1 1" + validRest,
	"status 99":              "HTTP/1.1 99" + validRest,
	"status 099":             "HTTP/1.1 099\r\n\r\nHTTP/1.1 200" + validRest,
	"status +99":             "HTTP/1.1 +99\r\n\r\nHTTP/1.1 200" + validRest,
	"status -00":             "HTTP/1.1 -00\r\n\r\nHTTP/1.1 200" + validRest,
	"status 600":             "HTTP/1.1 600" + validRest,
	"status 999":             "HTTP/1.1 999" + validRest,
	"status 1000":            "HTTP/1.1 1000" + validRest,
	"status in letters":      "HTTP/1.1 abc" + validRest,
	"status 2x0":             "HTTP/1.1 2x0" + validRest,
	"no status":              "HTTP/1.1 \r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok",
	"version only":           "HTTP/1.1\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nok",
	"empty line":             "\r\nHTTP/1.1 200" + validRest,
	"nothing":                "",
	"version 0.9":            "HTTP/0.9 200" + validRest,
	"version 1.2":            "HTTP/1.2 200" + validRest,
	"version 2.0":            "HTTP/2.0 200" + validRest,
	"version 9.9":            "HTTP/9.9 200" + validRest,
	"version in letters":     "HTTP/x.y 200" + validRest,
	"another protocol":       "ICY 200" + validRest,
	"endless informational":  strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000) + "HTTP/1.1 200" + validRest,
	"switch":                 "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: a\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	"switch, final":          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nHTTP/1.1 200" + validRest,
	"informational and 600":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600" + validRest,
	"informational in HTTP2": "HTTP/2.0 100 Continue\r\n\r\nHTTP/1.1 200" + validRest,
}

// Guards against an answer with an invalid status line that is passed on, or that is
// skipped, so that the next one is taken for the answer.
func TestMalformedAnswerFails(t *testing.T) {
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, text) // the client may close the connection
				}
				c.Close()
			})
			a, err := New(net.Dialer{}, metrics.NewRegistry()).Do(context.Background(), request(address, "a", true))
			if !assert.Error(t, err) {
				t.Logf("status %d, body %q", a.Status, a.Body)
			}
		})
	}
}

// bytesConn is a connection whose other side has sent some bytes and has closed it.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// finalStatusLine matches the status line of an answer that may be passed on.
var finalStatusLine = regexp.MustCompile(`(?m)^HTTP/1\.[01] +[2-5][0-9][0-9]( |\r?$)`)

// FuzzAnswers checks that no answer is passed on that has an invalid status line.
func FuzzAnswers(f *testing.F) {
	for _, text := range malformed {
		if len(text) < 1<<10 {
			f.Add([]byte(text))
		}
	}
	f.Add([]byte("HTTP/1.1 200" + validRest))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 404" + validRest))
	f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	c := New(net.Dialer{}, metrics.NewRegistry())
	f.Fuzz(func(t *testing.T, sent []byte) {
		limited := &limitedReader{Conn: bytesConn{Reader: bytes.NewReader(sent)}, left: -1}
		cn := &conn{Conn: limited.Conn, raw: limited, reader: bufio.NewReader(limited)}
		r := request("", "a", true)
		a, err := c.receive(cn, r, &http.Request{Method: r.Method}, time.Now())
		if err != nil {
			return
		}
		defer a.Release()
		if a.Status < 200 || a.Status > 599 || !finalStatusLine.Match(sent) || a.Header.Get("Attempt-Id") != "a" {
			t.Fatalf("status %d, header %v", a.Status, a.Header)
		}
	})
}

// notForwarded lists the headers that package gateway does not forward.
var notForwarded = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// FuzzRequests checks that what a caller sends as one request reaches the target as one,
// with the same method and body.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"GET //a/%0d%0aX:%20y HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET http://h/a HTTP/1.1\r\nHost: g\r\n\r\n",
		"GET /a\rb HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.0\r\nExpect: 100-continue\r\n\r\n",
		"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"HEAD * HTTP/1.1\r\nHost: h\r\nUser-Agent:\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		in, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent)))
		if err != nil {
			return
		}
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return
		}
		for _, name := range notForwarded {
			delete(in.Header, name)
		}
		r := Request{Method: in.Method, URI: in.RequestURI, Host: in.Host, Header: in.Header}
		if len(body) > 0 {
			r.Body = [][]byte{body}
		}
		_, encoded, err := encodeHead(r)
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(append(encoded, body...)))
		out, err := http.ReadRequest(reader)
		if err != nil {
			return // the target rejects it
		}
		got, err := io.ReadAll(out.Body)
		if err != nil || out.Method != in.Method || !bytes.Equal(got, body) {
			t.Fatalf("method %q, body %q, error %v in %q", out.Method, got, err, encoded)
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Fatalf("%q follows the request in %q", rest, encoded)
		}
	})
}
