package callers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/mangogate/mangogate/node/dispatch"
)

// errorBody is the JSON body of the answer to a request that was not run or whose
// outcome is unknown.
type errorBody struct {
	Outcome string          `json:"outcome"`
	Reason  dispatch.Reason `json:"reason"`
	Message string          `json:"message"`
}

// outcomeName returns the value of HeaderOutcome.
func outcomeName(o dispatch.Outcome) string {
	switch o {
	case dispatch.OutcomeRun:
		return "run"
	case dispatch.OutcomeNotRun:
		return "not-run"
	}
	return "unknown"
}

// statusOf returns the HTTP status of an answer with an errorBody.
func statusOf(r *dispatch.Result) int {
	switch r.Reason {
	case dispatch.ReasonDeadline, dispatch.ReasonDeadlineRunning:
		return http.StatusGatewayTimeout
	case dispatch.ReasonOutcomeUnknown, dispatch.ReasonAnswerNotKept:
		return http.StatusBadGateway
	case dispatch.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case dispatch.ReasonTooMany:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// writeResult writes a target's answer, or an error if there is none. It drops
// hop-by-hop headers and those with the router's own prefix.
func writeResult(w http.ResponseWriter, r *dispatch.Result) {
	if r.Outcome != dispatch.OutcomeRun {
		writeError(w, statusOf(r), r)
		return
	}
	h := w.Header()
	for name, values := range r.Header {
		if name = http.CanonicalHeaderKey(name); name != "Connection" && !strings.HasPrefix(name, ownHeaderPrefix) {
			h[name] = values
		}
	}
	for _, name := range hopByHopHeaders {
		if name != "Connection" { // not copied above; ServeHTTP sets it while the VM stops
			h.Del(name)
		}
	}
	h.Set(HeaderOutcome, outcomeName(r.Outcome))
	if h.Get("Content-Length") == "" && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // a write error means that the caller disconnected
}

// writeError writes the outcome and reason as headers and as an errorBody.
func writeError(w http.ResponseWriter, status int, r *dispatch.Result) {
	outcome := outcomeName(r.Outcome)
	body, err := json.Marshal(errorBody{Outcome: outcome, Reason: r.Reason, Message: r.Message})
	if err != nil { // cannot happen, because all fields are strings; the fallback is valid JSON too
		body = []byte(`{"outcome":"` + outcome + `","reason":"` + string(r.Reason) + `","message":""}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, outcome)
	h.Set(HeaderReason, string(r.Reason))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
