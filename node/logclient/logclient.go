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
	// maxPageBytes limits the reply to a read. It is well above the size of a page
	// with a single record of control.MaxRecordBytes (4 MiB).
	maxPageBytes = 16 << 20
	// maxReplyBytes limits other replies. A list of 760 VMs takes about 100 KB.
	maxReplyBytes = 1 << 20
	// maxErrorText is the number of characters of an error reply that an error quotes.
	maxErrorText = 256

	defaultTimeout = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	// BaseURL is the address of the service, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout limits a call, from dialling to the last byte of the reply; 0 means 2 s.
	// Read adds the time for which the service may hold the request open.
	Timeout time.Duration
	// Client replaces the default HTTP client. Keepalive and TCP_USER_TIMEOUT are
	// then up to its transport.
	Client *http.Client
	// Metrics receives the traffic counters of the default HTTP client. If it is nil,
	// they are not exported.
	Metrics metrics.Registry
	// LocalAddr is the source address of connections of the default HTTP client;
	// nil lets the system choose.
	LocalAddr *net.TCPAddr
}

// Client sends requests to one log service. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// Record is one record of a stream.
type Record struct {
	Offset uint64          `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the result of a read.
type Page struct {
	First   uint64   `json:"first"` // lowest retained offset
	Next    uint64   `json:"next"`  // offset of the next append
	Records []Record `json:"records"`
}

// VM is one entry of the platform's list of VMs. The list is updated with a delay.
type VM struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"` // live, leaving or gone; a VM that is gone does not come back
}

// New returns a client without opening a connection.
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

// Append appends a JSON value to a stream and returns its offset. The error is an
// *AppendError.
func (c *Client) Append(ctx context.Context, stream string, record []byte) (offset uint64, err error) {
	var sent sentTrace
	ctx, cancel := context.WithTimeout(sent.attach(ctx), c.timeout)
	defer cancel()
	appendErr := func(unknown bool, status int, err error) (uint64, error) {
		return 0, &AppendError{Unknown: unknown, Status: status, Stream: stream, Peer: c.base, Err: err}
	}
	status, body, err := c.do(ctx, http.MethodPost, recordsPath(stream), record, maxReplyBytes)
	if err != nil {
		return appendErr(sent.maybeSent(), status, err)
	}
	if status/100 != 2 {
		return appendErr(status/100 != 4, status, statusError(status, body))
	}
	var reply struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		return appendErr(true, status, errors.Wrap(err, "decode reply"))
	}
	if reply.Offset == nil {
		return appendErr(true, status, errors.New("reply has no offset"))
	}
	return *reply.Offset, nil
}

// Read returns up to max records, starting at the offset from. If there is none yet, the
// service holds the request open for up to wait (a long poll). The error wraps a
// *GoneError if the offset is no longer retained, and a *TooLargeError if a page with
// a single record exceeds 16 MiB.
func (c *Client) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	for {
		page, err := c.readOnce(ctx, stream, from, max, wait)
		var tooLarge *TooLargeError
		if max > 1 && errors.As(err, &tooLarge) {
			max /= 2 // the records are large: request fewer of them
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
		var reply struct {
			First *uint64 `json:"first"`
		}
		if err := json.Unmarshal(body, &reply); err != nil || reply.First == nil {
			return Page{}, errors.New("reply with status 410 has no first offset")
		}
		return Page{}, &GoneError{First: *reply.First}
	case status != http.StatusOK:
		return Page{}, statusError(status, body)
	}
	return page, errors.Wrap(json.Unmarshal(body, &page), "decode page")
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, body, err := c.do(ctx, http.MethodGet, "/v1/vms", nil, maxReplyBytes)
	if err == nil && status != http.StatusOK {
		err = statusError(status, body)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "list VMs from %s", c.base)
	}
	var reply struct {
		VMs []VM `json:"vms"`
	}
	err = json.Unmarshal(body, &reply)
	return reply.VMs, errors.Wrapf(err, "decode VM list from %s", c.base)
}

// do sends one request and returns the status and body of the reply. If sending or
// reading fails, it also closes the idle connections, because they may be silent (open,
// but delivering nothing) too.
func (c *Client) do(ctx context.Context, method, path string, body []byte, limit int64) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
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
		return resp.StatusCode, nil, errors.Wrap(err, "read reply")
	}
	if int64(len(data)) > limit {
		return resp.StatusCode, nil, &TooLargeError{Limit: limit}
	}
	return resp.StatusCode, data, nil
}

func recordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// sentTrace records whether a request may have been sent: the transport obtained a
// connection for it, or reported nothing, as a transport without tracing does.
type sentTrace struct {
	connRequested, connObtained atomic.Bool
}

func (s *sentTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { s.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.connObtained.Store(true) },
	})
}

func (s *sentTrace) maybeSent() bool { return s.connObtained.Load() || !s.connRequested.Load() }
