package cell

import (
	"math"
	"slices"

	"github.com/mangogate/mangogate/core/lending"
	"github.com/rcrowley/go-metrics"
)

// reportLocality logs how the requests of each data centre were served since the last
// summary, and why, and updates the metrics. It does nothing unless spillover is enabled.
func (l *leadership) reportLocality(counts []lending.LocalityCounts) {
	for _, c := range counts {
		prefix := "locality." + l.service + "." + c.DataCentre
		metrics.GetOrRegisterGauge(l.localityMetric(prefix, "home_percent"), l.s.registry).Update(int64(math.Round(100 * c.Share)))
		metrics.GetOrRegisterCounter(l.localityMetric(prefix, "home"), l.s.registry).Inc(int64(c.Home))
		metrics.GetOrRegisterCounter(l.localityMetric(prefix, "away"), l.s.registry).Inc(int64(c.Away))
		metrics.GetOrRegisterCounter(l.localityMetric(prefix, "reason."+string(c.Reason)), l.s.registry).Inc(1)
		if c.Home+c.Away > 0 {
			l.logger.Info("requests served at home and in other data centres since the last summary", "data_centre", c.DataCentre,
				"home", c.Home, "away", c.Away, "home_share", c.Share, "reason", c.Reason)
		}
	}
}

// localityMetric returns the name of a metric, which removeLocalityMetrics removes.
func (l *leadership) localityMetric(prefix, name string) string {
	name = prefix + "." + name
	if !slices.Contains(l.localityMetrics, name) {
		l.localityMetrics = append(l.localityMetrics, name)
	}
	return name
}

// removeLocalityMetrics removes the metrics of a service that this VM no longer leads:
// only the leader decides, and its figures would stay as they were last.
func (l *leadership) removeLocalityMetrics() {
	for _, name := range l.localityMetrics {
		l.s.registry.Unregister(name)
	}
}
