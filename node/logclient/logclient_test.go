package logclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestClient returns a client of a server that runs handler.
func newTestClient(t *testing.T, timeout time.Duration, handler http.HandlerFunc) *Client {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return New(Config{BaseURL: srv.URL, Timeout: timeout})
}

// replyWith returns a handler that replies with a status and a body.
func replyWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

// Guards against an append that is reported as not stored although it may be, because
// its reply is lost, malformed or an error, and against a refused append that is
// reported as unknown, so that the caller waits for the record.
func TestAppendSaysWhetherItMayHaveTakenEffect(t *testing.T) {
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		unknown bool
	}{
		"refused":         {replyWith(400, "bad"), false},
		"server error":    {replyWith(500, ""), true},
		"redirect":        {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) }, true},
		"malformed reply": {replyWith(200, `{"offs`), true},
		"no offset":       {replyWith(200, `{}`), true},
		"reply lost":      {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		"reply too long":  {replyWith(200, strings.Repeat(" ", maxReplyBytes+1)), true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t, time.Minute, tc.handler)
			_, err := c.Append(context.Background(), "control", []byte(`{}`))
			var appendErr *AppendError
			require.ErrorAs(t, err, &appendErr)
			require.Equal(t, tc.unknown, appendErr.Unknown, "%v", err)
			require.ErrorContains(t, err, "append to stream control at "+c.base)
		})
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	_, err := New(Config{BaseURL: closed.URL}).Append(context.Background(), "control", []byte(`{}`))
	var appendErr *AppendError
	require.ErrorAs(t, err, &appendErr)
	require.False(t, appendErr.Unknown, "a request cannot be sent without a connection: %v", err)
}

// Guards against requests and replies that deviate from the log service's protocol.
func TestProtocol(t *testing.T) {
	c := newTestClient(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.String() {
		case "POST /v1/streams/a%2Fb/records":
			fmt.Fprint(w, `{"offset":7}`)
		case "GET /v1/streams/control/records?from=3&max=10&wait_ms=50":
			fmt.Fprint(w, `{"first":1,"next":4,"records":[{"offset":3,"data":{"x":1}}]}`)
		case "GET /v1/vms":
			fmt.Fprint(w, `{"vms":[{"id":"v1","data_centre":"a","peer_address":"127.0.0.1:1","state":"live"}]}`)
		default:
			w.WriteHeader(http.StatusGone)
			fmt.Fprint(w, `{"first":5}`)
		}
	})
	ctx := context.Background()
	offset, err := c.Append(ctx, "a/b", []byte(`1`))
	require.NoError(t, err)
	require.EqualValues(t, 7, offset)
	page, err := c.Read(ctx, "control", 3, 10, 50*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, Page{First: 1, Next: 4, Records: []Record{{Offset: 3, Data: []byte(`{"x":1}`)}}}, page)
	vms, err := c.VMs(ctx)
	require.NoError(t, err)
	require.Equal(t, []VM{{"v1", "a", "127.0.0.1:1", "live"}}, vms)
	_, err = c.Read(ctx, "control", 0, 10, 0)
	var gone *GoneError
	require.ErrorAs(t, err, &gone)
	require.EqualValues(t, 5, gone.First)
}

// Guards against a reader that never gets past large records because every page of
// max records exceeds the size limit.
func TestReadAsksForFewerRecordsWhenThePageIsTooLarge(t *testing.T) {
	c := newTestClient(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("max") != "2" {
			fmt.Fprint(w, strings.Repeat(" ", maxPageBytes+1))
		}
		fmt.Fprint(w, `{"next":9}`)
	})
	page, err := c.Read(context.Background(), "control", 0, 8, 0)
	require.NoError(t, err)
	require.EqualValues(t, 9, page.Next)
}

// connNumber is the context key of the number of a connection, from 1.
type connNumber struct{}

// Guards against a client that keeps using silent connections, which stay open but
// deliver nothing. The server replies only from the third connection on.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var accepted atomic.Int32
	srv := &http.Server{
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connNumber{}, accepted.Add(1))
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Context().Value(connNumber{}).(int32) <= 2 {
				<-r.Context().Done()
				return
			}
			fmt.Fprint(w, `{"next":1}`)
		}),
	}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	c := New(Config{BaseURL: "http://" + ln.Addr().String(), Timeout: 50 * time.Millisecond})
	_, err = c.Read(context.Background(), "control", 0, 1, 50*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = c.Append(context.Background(), "control", []byte(`{}`))
	var appendErr *AppendError
	require.ErrorAs(t, err, &appendErr)
	require.True(t, appendErr.Unknown)
	c.timeout = time.Minute
	_, err = c.Read(context.Background(), "control", 0, 1, 0)
	require.NoError(t, err)
	require.EqualValues(t, 3, accepted.Load())
}
