package lending

import (
	"math"
	"slices"
	"time"
)

const (
	// workWeight and slownessWeight are the weights of a new sample in the moving
	// averages.
	workWeight     = 0.05 // work varies by a factor of several between requests
	slownessWeight = 0.12 // shows a slow target within about eight answers
	// maxSampleRatio caps one sample of a target's slowness at this multiple of
	// its average, so that a single long request does not dominate it.
	maxSampleRatio = 4.0
	// minSlowness and maxSlowness bound the learned slowness, so that a target
	// that recovers is soon seen as fast again.
	maxSlowness, minSlowness = 12.0, 0.2
	// slowdownHalfLife is the half-life of the part of a target's reported slowdown that
	// exceeds its usual one: the load of its neighbours on the same machine changes
	// several times a second.
	slowdownHalfLife = 300 * time.Millisecond
	// maxSlowdown caps the slowdown that a target may report.
	maxSlowdown = 20.0
	// slowdownReports is the number of reports of which the least is a target's usual
	// slowdown.
	slowdownReports = 6
	// unreportedSlowness is the factor beyond which measured times count although the
	// target reports another slowdown. Below it the times of single requests, which vary
	// by a factor of several, say less than the reports.
	unreportedSlowness = 1.8
)

// slownessEstimate is what is known about how long work takes at a target, relative to
// one of average speed. Targets may report the factor by which work takes longer on
// their machine at the moment, which changes with the load of its neighbours. The least
// of some reports is taken for the speed of the machine. What the target does not
// report is estimated from the times of its requests.
type slownessEstimate struct {
	reports  []float64 // the last slowdownReports reports, oldest first
	usual    float64   // least of reports; 0 if there is none
	excess   float64   // last report / usual
	excessAt time.Duration
	measured float64 // moving average of the measured factor, without usual
	logRatio float64 // moving average of the logarithm of the measured factor, without usual
}

func newSlownessEstimate() slownessEstimate { return slownessEstimate{excess: 1, measured: 1} }

// recordReport adds the slowdown that a target reports of itself.
func (e *slownessEstimate) recordReport(now time.Duration, load *LoadReport) {
	if load == nil || load.Slowdown <= 0 {
		return
	}
	if len(e.reports) == slowdownReports {
		e.reports = e.reports[1:]
	}
	e.reports = append(e.reports, min(max(load.Slowdown, minSlowness), maxSlowdown))
	e.usual = slices.Min(e.reports)
	e.excess, e.excessAt = e.reports[len(e.reports)-1]/e.usual, now
}

// recordTime adds the duration of a request whose work takes expected, with the
// logarithm expectedLog, at a target of average speed.
func (e *slownessEstimate) recordTime(took, expected, expectedLog float64) {
	took /= e.reported()
	ratio := took / expected
	e.measured += slownessWeight * (min(ratio, maxSampleRatio*e.measured) - e.measured)
	e.measured = min(max(e.measured, minSlowness), maxSlowness)
	logRatio := min(max(math.Log(took)-expectedLog, -math.Log(maxSampleRatio)), math.Log(maxSampleRatio))
	e.logRatio += slownessWeight * (logRatio - e.logRatio)
}

// reported returns the usual slowdown that the target reports, or 1 if it reports none.
func (e *slownessEstimate) reported() float64 {
	if e.usual == 0 {
		return 1
	}
	return e.usual
}

// usually returns the factor by which work usually takes longer at the target.
func (e *slownessEstimate) usually() float64 {
	switch {
	case e.usual == 0:
		return e.measured
	case math.Abs(e.logRatio) > logUnreportedSlowness:
		return min(max(e.usual*math.Exp(e.logRatio), minSlowness), maxSlowness)
	}
	return e.usual
}

var logUnreportedSlowness = math.Log(unreportedSlowness)

// excessNow returns the factor by which work now takes longer than usually. It decays
// towards 1 with the age of the target's last report.
func (e *slownessEstimate) excessNow(now time.Duration) float64 {
	if e.excess == 1 { // of most targets, and this is called for each of them on each request
		return 1
	}
	return 1 + (e.excess-1)*math.Exp2(-float64(now-e.excessAt)/float64(slowdownHalfLife))
}
