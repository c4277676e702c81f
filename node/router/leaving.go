package router

import (
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/gateway"
	"github.com/mangogate/mangogate/node/upstream"
)

// maxMalformed bounds leavingWatch.malformed.
const maxMalformed = 1000

// leavingWatch looks for announcements that a target leaves in all answers of targets: to
// requests of callers and to grants and releases of keys.
type leavingWatch struct {
	codec  gateway.HeaderCodec
	logger hclog.Logger
	// note is called for each such answer. It must be set before the first one.
	note func(target, address string, life int64)

	mu        sync.Mutex
	malformed map[string]bool // targets whose malformed headers were logged
}

func newLeavingWatch(codec gateway.HeaderCodec, logger hclog.Logger) *leavingWatch {
	return &leavingWatch{codec: codec, logger: logger, malformed: map[string]bool{}}
}

// handleAnswer is upstream.Client.OnAnswer.
func (w *leavingWatch) handleAnswer(r upstream.Request, h http.Header) {
	leaving, err := w.codec.Leaving(h)
	if err != nil {
		w.logOnce(r, err)
	}
	if leaving {
		w.note(r.Target, r.Address, r.Life)
	}
}

// logOnce logs, once for each target, that it sends a malformed header.
func (w *leavingWatch) logOnce(r upstream.Request, err error) {
	w.mu.Lock()
	known := w.malformed[r.Target] || len(w.malformed) >= maxMalformed
	if !known {
		w.malformed[r.Target] = true
	}
	w.mu.Unlock()
	if !known {
		w.logger.Warn("ignores what a target says of itself", "target", r.Target, "address", r.Address, "error", err)
	}
}
