package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a success that no target gave: net/http answers OPTIONS with the asterisk
// by itself, with 200, unless it is told not to.
func TestOptionsWithTheAsteriskIsNoSuccess(t *testing.T) {
	target := startTarget(t, func(c net.Conn, r *http.Request) { respond(c, r, "200 OK", "", "ran") })
	l, address := startListener(t, Drain{Notice: time.Millisecond, Grace: time.Second}, target)
	t.Cleanup(func() { assert.NoError(t, l.Stop(context.Background())) })
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h.example\r\nId: o\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, resp.StatusCode)
	assert.Zero(t, target.requests.Load())
}
