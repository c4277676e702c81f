// Package logclient is a client of the platform's log service and of its list
// of VMs.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mangogate/mangogate/node/wire"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxPageBytes bounds the answer to a read. A page of one record of
	// control.MaxRecordBytes (4 MiB) fits with room to spare.
	maxPageBytes = 16 << 20
	// maxAnswerBytes bounds the other answers; the VM list of 760 nodes takes about 100 KB.
	maxAnswerBytes = 1 << 20
	// maxErrorText is the number of bytes of an error answer that are kept.
	maxErrorText = 256

	defaultTimeout = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	// BaseURL is the address of the service, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds a request from dialling to the last byte of the answer; a
	// read may take the time that it asks to be held open on top. 0 means 2 s.
	Timeout time.Duration
	// Client replaces the HTTP client; its transport then decides about
	// keepalive and TCP_USER_TIMEOUT.
	Client *http.Client
	// Metrics registers the traffic of the default HTTP client; nil means none.
	Metrics metrics.Registry
	// LocalAddr is the source of connections of the default HTTP client; nil
	// leaves it to the system.
	LocalAddr *net.TCPAddr
}

// Client sends requests to one log service. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// Entry is one record of a stream.
type Entry struct {
	Offset uint64          `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	First   uint64  `json:"first"` // lowest offset that is retained
	Next    uint64  `json:"next"`  // offset that the next append gets
	Records []Entry `json:"records"`
}

// VM is one entry of the platform's list of VMs, which lags behind reality.
type VM struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"` // live, leaving or gone; gone is final
}

// New returns a client. It opens no connection.
func New(cfg Config) *Client {
	c := &Client{base: strings.TrimRight(cfg.BaseURL, "/"), timeout: cfg.Timeout, http: cfg.Client}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.http == nil {
		c.http = newHTTPClient(c.timeout, cfg.LocalAddr, wire.NewCounters("logclient", cfg.Metrics))
	}
	return c
}

// Append appends a JSON value and returns its offset. The error is an *AppendError.
func (c *Client) Append(ctx context.Context, stream string, record []byte) (offset uint64, err error) {
	var sent sentTrace
	ctx, cancel := context.WithTimeout(sent.attach(ctx), c.timeout)
	defer cancel()
	fail := func(unknown bool, status int, err error) (uint64, error) {
		return 0, &AppendError{Unknown: unknown, Status: status, Stream: stream, Peer: c.base, Err: err}
	}
	status, body, err := c.do(ctx, http.MethodPost, recordsPath(stream), record, maxAnswerBytes)
	if err != nil {
		return fail(sent.maybe(), status, err)
	}
	if status/100 != 2 {
		return fail(status/100 != 4, status, statusError(status, body))
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return fail(true, status, errors.Wrap(err, "decode answer"))
	}
	if answer.Offset == nil {
		return fail(true, status, errors.New("answer has no offset"))
	}
	return *answer.Offset, nil
}

// Read returns up to max records from an offset on. It is held open for up to
// wait when there is none. The error is a *GoneError when the offset is no
// longer retained, and a *TooLargeError when a single record exceeds the limit.
func (c *Client) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	for {
		page, err := c.readOnce(ctx, stream, from, max, wait)
		var large *TooLargeError
		if max > 1 && errors.As(err, &large) {
			max /= 2 // large records: ask for fewer of them
			continue
		}
		return page, errors.Wrapf(err, "read stream %s at offset %d from %s", stream, from, c.base)
	}
}

func (c *Client) readOnce(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"max":     {strconv.Itoa(max)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, body, err := c.do(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil, maxPageBytes)
	if err != nil {
		return Page{}, err
	}
	var page Page
	switch {
	case status == http.StatusGone:
		var gone struct {
			First *uint64 `json:"first"`
		}
		if err := json.Unmarshal(body, &gone); err != nil || gone.First == nil {
			return Page{}, errors.New("answer 410 names no first offset")
		}
		return Page{}, &GoneError{First: *gone.First}
	case status != http.StatusOK:
		return Page{}, statusError(status, body)
	}
	return page, errors.Wrap(json.Unmarshal(body, &page), "decode page")
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, body, err := c.do(ctx, http.MethodGet, "/v1/vms", nil, maxAnswerBytes)
	if err == nil && status != http.StatusOK {
		err = statusError(status, body)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "list VMs from %s", c.base)
	}
	var answer struct {
		VMs []VM `json:"vms"`
	}
	err = json.Unmarshal(body, &answer)
	return answer.VMs, errors.Wrapf(err, "decode VM list from %s", c.base)
}

// do sends one request and reads the whole answer. After a failure of the
// transport, the idle connections are closed as well: they lead to the same
// peer, and one of them may have gone silent too.
func (c *Client) do(ctx context.Context, method, path string, body []byte, limit int64) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "make request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return 0, nil, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		c.http.CloseIdleConnections()
		return resp.StatusCode, nil, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return resp.StatusCode, nil, &TooLargeError{Limit: limit}
	}
	return resp.StatusCode, data, nil
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// sentTrace tells whether a request may have left the process. A transport
// that reports no trace counts as having sent it.
type sentTrace struct {
	asked, got atomic.Bool
}

func (s *sentTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { s.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.got.Store(true) },
	})
}

func (s *sentTrace) maybe() bool { return s.got.Load() || !s.asked.Load() }
