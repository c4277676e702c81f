package cell

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/core/locality"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Guards against metrics of a leader that stay as they were after another VM has taken
// the cell, and against metrics and log lines while spillover is not enabled.
func TestLocalityMetricsEndWithTheLeadership(t *testing.T) {
	registry := metrics.NewRegistry()
	l := &leadership{lenderDriver: &lenderDriver{service: "s", logger: hclog.NewNullLogger()}, s: &Service{registry: registry}}
	names := func() (out []string) {
		registry.Each(func(name string, _ any) { out = append(out, name) })
		return out
	}
	l.reportLocality(nil)
	assert.Empty(t, names())
	l.reportLocality([]lending.LocalityCounts{{DataCentre: "a", Home: 3, Away: 1, Share: 0.75, Reason: locality.HomeShort}})
	assert.ElementsMatch(t, []string{"locality.s.a.home_percent", "locality.s.a.home", "locality.s.a.away", "locality.s.a.reason.home-short"}, names())
	assert.Equal(t, int64(75), registry.Get("locality.s.a.home_percent").(metrics.Gauge).Value())
	l.removeLocalityMetrics()
	assert.Empty(t, names())
}
