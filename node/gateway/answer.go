package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mangogate/mangogate/node/cell"
	"github.com/mangogate/mangogate/node/eventlog"
	"github.com/rcrowley/go-metrics"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// forwardedHeader returns the headers that a target gets.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	for _, named := range h["Connection"] {
		out.Del(named)
	}
	return out
}

// problem is the body of the gateway's own answers.
type problem struct {
	Outcome string `json:"outcome"` // not-run or unknown
	Reason  string `json:"reason"`
	Request string `json:"request,omitempty"`
}

// refuse answers that the request was not run and will not be.
func (q *request) refuse(reason string, retryAfter time.Duration) {
	q.g.wire.Refuse(q.w.Header(), q.Meta, retryAfter)
	q.write(http.StatusServiceUnavailable, problem{"not-run", reason, q.ID})
	q.done("refused: "+reason, http.StatusServiceUnavailable, "", nil)
}

// fail answers a request that no target may get.
func (q *request) fail(status int, reason string) {
	q.write(status, problem{"not-run", reason, q.ID})
	q.done("rejected: "+reason, status, "", nil)
}

// unknown answers a request that may have run.
func (q *request) unknown(reason, target string) {
	status := http.StatusBadGateway
	if q.g.clock.Now() >= q.deadline {
		status = http.StatusGatewayTimeout
	}
	q.write(status, problem{"unknown", reason, q.ID})
	q.done("unknown: "+reason, status, target, nil)
}

func (q *request) write(status int, p problem) {
	body, err := json.Marshal(p)
	if err != nil {
		body = nil // three strings always encode
	}
	q.w.Header().Set("Content-Type", "application/json")
	q.w.WriteHeader(status)
	_, _ = q.w.Write(body) // a caller that left needs no answer
}

// done logs and counts the end of a request.
func (q *request) done(outcome string, status int, target string, err error) {
	took := q.g.clock.Now() - q.arrived
	q.g.stats.count(q.service, status, took)
	if outcome == "answered" && status < http.StatusInternalServerError && err == nil && !eventlog.Sampled(q.ID) {
		return
	}
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	q.g.logger.Info("request", "request", q.ID, "outcome", outcome, "status", status, "route", route, "service", q.service,
		"config", q.version, "target", target, "attempts", q.attempts, "took", took, "key", q.Key, "error", err)
}

func (q *request) logAttempt(what string, slot cell.Slot, status int, err error) {
	q.g.logger.Info(what, "request", q.ID, "service", q.service, "target", slot.Target, "address", slot.Address, "by", slot.By,
		"waited", slot.Waited, "attempt", q.attempts, "status", status, "key", q.Key, "error", err)
}

// stats counts the answers and their times by service and class.
type stats struct{ registry metrics.Registry }

func newStats(r metrics.Registry) *stats { return &stats{r} }

const sampleSize, sampleAlpha = 512, 0.015 // an exponentially decaying sample of some minutes

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
