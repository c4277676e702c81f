package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against an answer that reaches another caller because a target sends a second
// copy of it, or bytes of it, later on a connection that has been reused: each request
// gets its own answer or an error.
func TestSecondAnswerNeverReachesTheNextRequest(t *testing.T) {
	// send is called for the second request on a connection with the id of the first.
	for name, send := range map[string]func(c io.Writer, previous, id string){
		"whole copy": func(c io.Writer, previous, id string) {
			_, _ = io.WriteString(c, answerText(previous, "other's")+answerText(id, "own"))
		},
		"copy in two packets": func(c io.Writer, previous, id string) {
			copied := answerText(previous, "other's")
			for _, part := range []string{copied[:25], copied[25:60], copied[60:], answerText(id, "own")} {
				_, _ = io.WriteString(c, part)
				time.Sleep(10 * time.Millisecond)
			}
		},
		"behind an informational answer": func(c io.Writer, previous, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nAttempt-Id: "+id+"\r\n\r\n"+answerText(previous, "other's")+answerText(id, "own"))
		},
		"without an id": func(c io.Writer, _, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nother's"+answerText(id, "own"))
		},
		"with two ids": func(c io.Writer, previous, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+previous+"\r\nAttempt-Id: "+id+"\r\nContent-Length: 7\r\n\r\nother's"+answerText(id, "own"))
		},
		"body only": func(c io.Writer, _, id string) {
			_, _ = io.WriteString(c, "other's"+answerText(id, "own"))
		},
		"copy that closes the connection": func(c io.Writer, previous, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+previous+"\r\nConnection: close\r\n\r\nother's"+answerText(id, "own"))
		},
		"longer copy than stated": func(c io.Writer, previous, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+previous+"\r\nContent-Length: 2\r\n\r\nother's"+answerText(id, "own"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(c net.Conn, r *bufio.Reader) {
				defer c.Close()
				for previous := ""; ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					id := req.Header.Get("Attempt-Id")
					if previous == "" {
						_, _ = io.WriteString(c, answerText(id, "own"))
					} else {
						send(c, previous, id)
					}
					previous = id
				}
			})
			c := New(net.Dialer{}, metrics.NewRegistry())
			for n := range 6 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				id := fmt.Sprintf("id-%d", n)
				a, err := c.Do(ctx, request(address, id, true))
				cancel()
				if err != nil {
					var failed *Error
					assert.ErrorAs(t, err, &failed)
					assert.True(t, failed.Sent, "the target has run the request")
					continue
				}
				assert.Equal(t, "own", string(a.Body))
				assert.Equal(t, []string{id}, a.Header["Attempt-Id"])
			}
		})
	}
}

// Guards against bytes behind an answer that arrive between two requests, before or after
// the connection is taken for the next one: they must not become its answer.
func TestBytesBetweenRequestsAreNoAnswer(t *testing.T) {
	for delay := time.Duration(0); delay <= 8*time.Millisecond; delay += 250 * time.Microsecond {
		address := serve(t, func(c net.Conn, r *bufio.Reader) {
			defer c.Close()
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				id := req.Header.Get("Attempt-Id")
				_, _ = io.WriteString(c, answerText(id, "own"))
				time.Sleep(delay)
				_, _ = io.WriteString(c, answerText(id, "late copy of "+id))
			}
		})
		c := New(net.Dialer{}, metrics.NewRegistry())
		for n := range 8 {
			id := fmt.Sprintf("id-%d", n)
			a, err := c.Do(context.Background(), request(address, id, false))
			if assert.NoError(t, err) {
				assert.Equal(t, "own", string(a.Body))
			}
			time.Sleep(time.Duration(n) * time.Millisecond)
		}
	}
}

// Guards against a refusal, or a short body, that is made of two answers: a target sends a
// part of a copy of an earlier answer right before the answer to the next request, and
// both are read as one. The request gets its own answer or an error.
func TestPartOfACopyNeverChangesTheNextAnswer(t *testing.T) {
	copies := map[string]string{
		"refusal":       "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\nRetry-After: 0.2\r\nContent-Length: 0\r\nAttempt-Id: first\r\n\r\n",
		"id before":     "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: first\r\nNot-Executed: full\r\nContent-Length: 4\r\n\r\nfull",
		"wrong target":  "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: other\r\nConnection: close\r\nAttempt-Id: first\r\n\r\n",
		"success":       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nResponse-Signature: 3e1b.07\r\nAttempt-Id: first\r\n\r\nxx",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nAttempt-Id: first\r\n\r\n2\r\nxx\r\n0\r\nSum: 1\r\n\r\n",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n",
		"folded lines":  "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\n of requests\r\nAttempt-Id: first\r\n\r\n",
	}
	const id = "Attempt-Id: second\r\n"
	for name, own := range map[string]struct {
		status       int
		answer, body string
	}{
		"success":   {http.StatusOK, "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nbody", "body"},
		"no length": {http.StatusOK, "HTTP/1.1 200 OK\r\n" + id + "\r\nbody", "body"},
		"no body":   {http.StatusNoContent, "HTTP/1.1 204 No Content\r\n" + id + "\r\n", ""},
		"chunks":    {http.StatusOK, "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"},
		"failure":   {http.StatusInternalServerError, "HTTP/1.1 500 Internal Server Error\r\n" + id + "Content-Length: 4\r\n\r\nbody", "body"},
		"refusal":   {http.StatusServiceUnavailable, "HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Executed: full\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		for copied, text := range copies {
			t.Run(copied+" before "+name, func(t *testing.T) {
				cuts := make(chan int, 1)
				address := serve(t, func(c net.Conn, r *bufio.Reader) {
					defer c.Close()
					for _, send := range []func() string{
						func() string { return answerText("first", "own") },
						func() string { return text[:<-cuts] + own.answer },
					} {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						_, _ = io.WriteString(c, send()) // a failed write also makes the read fail
					}
				})
				wrong := 0
				for cut := range len(text) + 1 {
					c := New(net.Dialer{}, metrics.NewRegistry())
					_, err := c.Do(context.Background(), request(address, "first", true))
					require.NoError(t, err)
					cuts <- cut
					a, err := c.Do(context.Background(), request(address, "second", true))
					if err != nil {
						var failed *Error
						require.ErrorAs(t, err, &failed)
						require.True(t, failed.Sent, "the target has run the request")
						continue
					}
					refused := a.Header.Get("Not-Executed") != ""
					if a.Status != own.status || string(a.Body) != own.body || refused != (own.status == http.StatusServiceUnavailable) {
						wrong++
						t.Logf("after %q: status %d, refused %t, body %q", text[:cut], a.Status, refused, a.Body)
					}
				}
				assert.Zero(t, wrong, "wrong answers")
			})
		}
	}
}
