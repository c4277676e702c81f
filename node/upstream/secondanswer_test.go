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
