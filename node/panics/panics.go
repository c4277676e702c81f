// Package panics contains a panic in the request, exchange or cell that it happens in,
// so that a malformed message or a programming error does not end the process.
package panics

import (
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// CounterName is the name of the metric that counts contained panics.
const CounterName = "process.panics"

// Guard recovers from panics, counts them and logs them with their stack.
type Guard struct {
	logger hclog.Logger
	count  metrics.Counter
}

// New returns a guard that logs to logger.
func New(logger hclog.Logger, registry metrics.Registry) *Guard {
	return &Guard{logger: logger, count: metrics.GetOrRegisterCounter(CounterName, registry)}
}

// Recover ends a panic of the calling goroutine. It must be deferred directly. step says
// what is given up; args are key-value pairs for the log line.
func (g *Guard) Recover(step string, args ...any) {
	if p := recover(); p != nil {
		g.note(p, step, args)
	}
}

// RecoverError is Recover for functions that return an error, which it sets.
func (g *Guard) RecoverError(err *error, step string, args ...any) {
	if p := recover(); p != nil {
		g.note(p, step, args)
		*err = errors.Errorf("%s: panic: %v", step, p)
	}
}

// RecoverThen is Recover and, after a panic, calls then.
func (g *Guard) RecoverThen(then func(), step string, args ...any) {
	if p := recover(); p != nil {
		g.note(p, step, args)
		then()
	}
}

func (g *Guard) note(p any, step string, args []any) {
	g.count.Inc(1)
	g.logger.Error("panic; this step is given up and the process goes on",
		append([]any{"step", step, "panic", p, "stack", string(debug.Stack())}, args...)...)
}
