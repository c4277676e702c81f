package gateway

import "net/http"

const (
	// headFieldBytes is about what a field of a head takes in memory beside its text.
	headFieldBytes = 128
	// freeHeadBytes is the memory, in bytes, up to which a head is not counted. Usual heads
	// take less.
	freeHeadBytes = 8 << 10
)

// headMemory returns about how many bytes a parsed head takes.
func headMemory(h http.Header) int64 {
	var n int64
	for name, values := range h {
		for _, value := range values {
			n += int64(headFieldBytes + len(name) + len(value))
		}
	}
	return n
}

// holdHead counts the memory of the request's head until release is called. If too much is in
// use, ok is false, and the request has been refused. A head of the permitted size can take
// many times as much once it is parsed.
func (q *request) holdHead() (release func(), ok bool) {
	n := headMemory(q.r.Header)
	if n <= freeHeadBytes {
		return func() {}, true
	}
	if q.g.bodies.AddHead(n) {
		return func() { q.g.bodies.RemoveHead(n) }, true
	}
	hasBody := q.r.ContentLength != 0 && q.r.Body != http.NoBody
	if hasBody {
		q.w.Header().Set("Connection", "close")
	}
	q.Meta, _ = q.g.codec.Request(q.r.Header) // a malformed one has no id
	q.refuse("no-memory-for-head", memoryRetryAfter)
	q.r.Header = http.Header{} // net/http keeps the request until its body has ended
	if hasBody {
		q.discardBody(http.NewResponseController(q.w))
	}
	return nil, false
}
