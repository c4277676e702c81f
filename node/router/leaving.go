package router

import (
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/node/gateway"
	"github.com/mangogate/mangogate/node/upstream"
)

// maxOddTargets bounds leavingWatch.odd.
const maxOddTargets = 1000

// leavingWatch looks in all answers of targets, to requests of callers and to calls of this
// VM, for the word that the target leaves.
type leavingWatch struct {
	codec  gateway.HeaderCodec
	logger hclog.Logger
	// note is called for each answer with that word. It must be set before the first answer.
	note func(target, address string, life int64)

	mu  sync.Mutex
	odd map[string]bool // targets whose headers could not be read, which were logged
}

func newLeavingWatch(codec gateway.HeaderCodec, logger hclog.Logger) *leavingWatch {
	return &leavingWatch{codec: codec, logger: logger, odd: map[string]bool{}}
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

// logOnce logs, once for each target, that its headers could not be read.
func (w *leavingWatch) logOnce(r upstream.Request, err error) {
	w.mu.Lock()
	known := w.odd[r.Target] || len(w.odd) >= maxOddTargets
	if !known {
		w.odd[r.Target] = true
	}
	w.mu.Unlock()
	if !known {
		w.logger.Warn("ignores what a target says of itself", "target", r.Target, "address", r.Address, "error", err)
	}
}
