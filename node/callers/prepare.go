package callers

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/dispatch"
	"github.com/pkg/errors"
)

// Headers that callers and the router exchange.
const (
	HeaderDeadline       = "Mangogate-Deadline-Ms"
	HeaderOutcome        = "Mangogate-Outcome"
	HeaderReason         = "Mangogate-Reason"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	maxDeadline            = 10 * time.Minute
	maxIdempotencyKeyBytes = 256
	maxKeyBytes            = 1024
	ownHeaderPrefix        = "Mangogate-"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// refusal says why this VM refuses a request before it looks up a dispatcher.
type refusal struct {
	status  int
	reason  dispatch.Reason
	message string
}

func badRequest(format string, args ...any) *refusal {
	return &refusal{http.StatusBadRequest, dispatch.ReasonBadRequest, fmt.Sprintf(format, args...)}
}

// prepare turns an HTTP request into a dispatch request, or returns why it is
// refused.
func (l *Listener) prepare(w http.ResponseWriter, r *http.Request) (inventory.Service, *dispatch.Request, *refusal) {
	rule, service, ok := l.match(r.URL.EscapedPath())
	if !ok {
		return service, nil, &refusal{http.StatusNotFound, dispatch.ReasonNoRule,
			fmt.Sprintf("No rule matches the path %q.", r.URL.Path)}
	}
	req := &dispatch.Request{
		ID:      l.requestID(),
		Service: service.Name, Method: r.Method, URI: r.URL.RequestURI(), Read: rule.IsRead(r.Method),
	}
	for _, step := range []func(*http.Request, inventory.Rule, inventory.Service, *dispatch.Request) *refusal{
		setKey, setDeadline, setIdempotencyKey,
	} {
		if refused := step(r, rule, service, req); refused != nil {
			return service, nil, refused
		}
	}
	req.Header = endToEndHeader(r.Header)
	body, refused := readBody(w, r, rule.BodyLimit())
	req.Body = body
	return service, req, refused
}

// requestID returns an id that is unique across all VMs and process starts.
func (l *Listener) requestID() string {
	return l.vm + "-" + l.boot + "-" + strconv.FormatUint(l.nextID.Add(1), 36)
}

// setKey sets the key that decides the shard, from the header or path that the rule
// names. Only services with key ownership require one.
func setKey(r *http.Request, rule inventory.Rule, service inventory.Service, req *dispatch.Request) *refusal {
	values := r.Header.Values(rule.KeyHeader)
	if rule.KeyHeader != "" && len(values) > 1 {
		return badRequest("The header %s is given %d times.", rule.KeyHeader, len(values))
	}
	value := ""
	if len(values) == 1 {
		value = values[0]
	}
	key, ok := rule.Key(r.URL.EscapedPath(), value)
	if service.Ownership == inventory.OwnershipKey && (!ok || key == "") {
		return &refusal{http.StatusBadRequest, dispatch.ReasonNoKey, "The request carries no key: " + keySources(rule) + "."}
	}
	if len(key) > maxKeyBytes {
		return badRequest("The key has %d bytes, more than %d.", len(key), maxKeyBytes)
	}
	req.Key = key
	return nil
}

// keySources describes to the caller where the rule expects the key.
func keySources(rule inventory.Rule) string {
	var sources []string
	if rule.KeyHeader != "" {
		sources = append(sources, "set the header "+rule.KeyHeader)
	}
	if rule.KeyTemplate != "" {
		sources = append(sources, "use a path like "+rule.KeyTemplate)
	}
	return strings.Join(sources, " or ")
}

// setDeadline sets the time until the deadline, from the request's header or
// else the rule.
func setDeadline(r *http.Request, rule inventory.Rule, _ inventory.Service, req *dispatch.Request) *refusal {
	req.Remaining = rule.Deadline()
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return badRequest("%s is %q, not a number of milliseconds from 1 to %d.", HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	req.Remaining = time.Duration(ms) * time.Millisecond
	return nil
}

// setIdempotencyKey sets the Idempotency-Key if the request has one.
func setIdempotencyKey(r *http.Request, _ inventory.Rule, _ inventory.Service, req *dispatch.Request) *refusal {
	values := r.Header.Values(HeaderIdempotencyKey)
	if len(values) > 1 {
		return badRequest("The header %s is given %d times.", HeaderIdempotencyKey, len(values))
	}
	if len(values) == 0 {
		return nil
	}
	if values[0] == "" || len(values[0]) > maxIdempotencyKeyBytes {
		return badRequest("%s must have 1 to %d bytes.", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	req.IdempotencyKey = values[0]
	return nil
}

// endToEndHeader returns the headers without the hop-by-hop headers and without
// those that have the router's own prefix, such as HeaderDeadline.
func endToEndHeader(h http.Header) map[string][]string {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			out.Del(name)
		}
	}
	return out
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refusal) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLargeErr *http.MaxBytesError
	switch {
	case errors.As(err, &tooLargeErr):
		return nil, bodyTooLarge(limit)
	case err != nil:
		return nil, badRequest("The body could not be read: %v.", err)
	}
	return body, nil
}

func bodyTooLarge(limit int64) *refusal {
	return &refusal{http.StatusRequestEntityTooLarge, dispatch.ReasonBodyTooLarge,
		fmt.Sprintf("The body is larger than %d bytes.", limit)}
}
