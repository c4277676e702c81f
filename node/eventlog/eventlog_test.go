package eventlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Guards against a message that displaces others: after 10000 lines of it, a different
// message must still be written.
func TestFrequentMessageDoesNotDisplaceOthers(t *testing.T) {
	var out bytes.Buffer
	log, flush := New("vm", &out, metrics.NewRegistry())
	for range 10000 {
		log.Info("request", "request", "r1")
	}
	log.Info("leads a cell", "service", "s")
	flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.LessOrEqual(t, len(lines), int(burst)+100)
	assert.Contains(t, lines[len(lines)-1], "leads a cell")
}

// Guards against a logger that blocks its callers when the output is stuck. Lines that
// the queue has no room for must be dropped and counted.
func TestStuckOutputDoesNotBlock(t *testing.T) {
	r, w := io.Pipe() // nobody reads
	defer r.Close()
	registry := metrics.NewRegistry()
	log, _ := New("vm", w, registry)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			log.Error("step failed") // errors have no rate limit
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the logger blocked although the output is stuck")
	}
	assert.Positive(t, registry.Get("log.lines_lost").(metrics.Counter).Count())
}
