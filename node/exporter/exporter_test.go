package exporter

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Guards against metrics that are missing from the text, such as the quantiles of
// histograms.
func TestTextHasCountersAndQuantiles(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.a.2xx", r).Inc(3)
	h := metrics.NewHistogram(metrics.NewUniformSample(100))
	assert.NoError(t, r.Register("requests.a.2xx.ms", h))
	for i := range int64(100) {
		h.Update(i)
	}
	text := Text(r)
	assert.Contains(t, text, "requests.a.2xx 3\n")
	assert.Contains(t, text, "requests.a.2xx.ms.count 100\n")
	assert.Contains(t, text, "requests.a.2xx.ms.p99 ")
}
