package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/mangogate/mangogate/node/cell"
	"github.com/mangogate/mangogate/node/eventlog"
	"github.com/rcrowley/go-metrics"
)

// hopByHop lists the headers that are not forwarded: those that apply to a
// single connection, and Content-Length, which is set from the body.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// forwardedHeader returns the headers of a caller's request without the
// hop-by-hop headers and those that its Connection headers name. Each value of
// Connection is taken as one name.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	for _, option := range h["Connection"] {
		out.Del(option)
	}
	return out
}

// problem is the JSON body of the answers that the gateway itself gives.
type problem struct {
	Outcome string `json:"outcome"` // not-run or unknown
	Reason  string `json:"reason"`
	Request string `json:"request,omitempty"`
}

// promisesNotRun reports whether a status tells the caller that the request was not run
// and will not be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuse answers 503: the request was not run and will not be. The caller may
// retry after retryAfter.
func (q *request) refuse(reason string, retryAfter time.Duration) {
	q.refuseWith(http.StatusServiceUnavailable, reason, retryAfter)
}

// refuseWith is refuse with another status that promises the same.
func (q *request) refuseWith(status int, reason string, retryAfter time.Duration) {
	q.refundAllowance()
	q.g.codec.Refuse(q.header(), q.Meta, retryAfter)
	q.writeProblem(status, problem{"not-run", reason, q.ID})
	q.recordEnd("refused: "+reason, status, "", nil)
}

// reject answers a request that is sent to no target because it is invalid or
// matches no route.
func (q *request) reject(status int, reason string) {
	q.writeProblem(status, problem{"not-run", reason, q.ID})
	q.recordEnd("rejected: "+reason, status, "", nil)
}

// answerUnknown answers a request that a target may have run: 504 after the
// deadline, 502 before it.
func (q *request) answerUnknown(reason, target string) {
	status := http.StatusBadGateway
	if q.g.clock.Now() >= q.deadline {
		status = http.StatusGatewayTimeout
	}
	q.writeProblem(status, problem{"unknown", reason, q.ID})
	q.recordEnd("unknown: "+reason, status, target, nil)
}

// answerAfterPanic ends a request in which the gateway panicked. It may have been sent to
// a target, so its outcome is unknown. If its answer has begun, the connection is closed,
// since a part of it must not look complete.
func (q *request) answerAfterPanic() {
	if q.answering {
		q.recordEnd("unknown: the router failed", 0, q.avoid, nil)
		panic(http.ErrAbortHandler)
	}
	q.answerUnknown("the router failed", q.avoid)
}

// header returns the header of the answer. During a stop, the connection is closed after
// the answer, also if the request had arrived before the stop.
func (q *request) header() http.Header {
	h := q.w.Header()
	if q.g.closing.Load() {
		h.Set("Connection", "close")
	}
	return h
}

func (q *request) writeProblem(status int, p problem) {
	q.answering = true
	body, err := json.Marshal(p)
	if err != nil {
		body = nil // cannot happen: the struct holds only strings
	}
	q.header().Set("Content-Type", "application/json")
	q.header().Set("Content-Length", strconv.Itoa(len(body))) // known before the handler ends, see discardBody
	q.w.WriteHeader(status)
	_, _ = q.w.Write(body) // a write error means that the caller disconnected
}

// recordEnd counts the outcome of a request and logs it. Answers of targets
// with a status below 500 that were written without error are logged only if
// the request is sampled. The status is 0 if the caller disconnected.
func (q *request) recordEnd(outcome string, status int, target string, err error) {
	took := q.g.clock.Now() - q.arrived
	q.g.stats.count(q.service, status, took)
	if outcome == "answered" && status < http.StatusInternalServerError && err == nil && !eventlog.Sampled(q.ID) {
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	q.g.logger.Info("request ended", "request", q.ID, "outcome", outcome, "status", status, "route", route, "service", q.service,
		"config", q.configVersion, "target", target, "attempts", q.attempts, "took", took, "key", q.Key, "error", err)
}

// logAttempt logs an attempt that did not produce the answer for the caller.
func (q *request) logAttempt(message string, slot cell.Slot, status int, err error) {
	q.g.logger.Info(message, "request", q.ID, "service", q.service, "target", slot.Target, "address", slot.Address, "by", slot.DecidedBy,
		"waited", slot.Waited, "attempt", q.attempts, "status", status, "key", q.Key, "error", err)
}

// stats counts requests that ended and records their duration in milliseconds,
// by service and status class.
type stats struct{ registry metrics.Registry }

func newStats(r metrics.Registry) *stats { return &stats{r} }

const sampleSize, sampleAlpha = 512, 0.015 // an exponentially decaying sample that covers some minutes

func (s *stats) count(service string, status int, took time.Duration) {
	class := "left"
	if status > 0 {
		class = [...]string{"0xx", "1xx", "2xx", "3xx", "4xx", "5xx"}[min(status/100, 5)]
	}
	if service == "" {
		service = "none"
	}
	name := "requests." + service + "." + class
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
	h := s.registry.GetOrRegister(name+".ms", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(took.Milliseconds())
}
