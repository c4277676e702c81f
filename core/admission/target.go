package admission

import "time"

const (
	// maxPause bounds the backoff of a target that rejects requests or fails.
	maxPause = time.Second
	// recentWeight is the weight of a new sample in the recent service time. At
	// 1/8, a target counts as cold after 4 completions with a tenfold slowdown.
	recentWeight = 1.0 / 8
	// usualWeight is the weight of a new sample in the usual service time. With
	// 1/64 and uncapped samples, recent/usual never exceeded ColdFactor in a tenfold
	// slowdown; samples are therefore also capped at ColdFactor times the usual time.
	usualWeight = 1.0 / 128
	// The mean of the first usualSamples samples is the initial usual service time.
	// Until then, service times do not count as a sign that the target is cold.
	usualSamples = 32
	// probeWeight is the weight of a probe's sample in the recent service time.
	// Probes are rare: with less, a recovered target would stay unused for long.
	probeWeight = 1.0 / 2
)

// target is what a group knows about one target. Service times are in nanoseconds.
type target struct {
	name      string
	bootID    string
	slots     int
	available bool
	removed   bool // removed from the group, but requests are still in flight

	limit      int
	inFlight   int
	exclusive  bool // an exclusive request runs on it
	completed  int  // requests that were both started and answered under the present limit
	generation uint64

	recent, usual float64
	samples       int

	pauseCount   int
	pausedUntil  time.Duration
	failureCount int
	penaltyUntil time.Duration
	lastStart    time.Duration
	lastProgress time.Duration // time of the last finish, or of the first start after the target was idle
}

// setLimit sets the limit, within 1 and slots, and restarts the count of
// completions. The new generation excludes requests that were started before,
// since they say nothing about the new limit.
func (t *target) setLimit(limit int) {
	t.limit = max(1, min(limit, t.slots))
	t.completed = 0
	t.generation++
}

func (t *target) update(ev TargetUpdate) {
	reset := t.bootID != ev.BootID || t.generation == 0 || t.removed
	// A target that was out of service may be cold again.
	returned := !t.available && ev.Available
	t.removed = false
	t.bootID, t.slots, t.available = ev.BootID, ev.Slots, ev.Available && ev.Slots > 0
	if reset {
		t.recent, t.pauseCount, t.pausedUntil, t.failureCount, t.penaltyUntil = t.usual, 0, 0, 0, 0
	}
	if reset || ev.Granted || returned {
		t.setLimit(1)
	} else if t.limit > max(1, t.slots) {
		t.setLimit(t.slots)
	}
}

// usable reports whether requests may be started on the target, regardless of
// its limit.
func (t *target) usable(now time.Duration) bool {
	return t.available && !t.removed && now >= t.pausedUntil
}

// estimate returns the expected service time of a request that is started now,
// from meanTime without samples, and times penalty for a while after a failure.
// With requests in flight it is at least the time since lastProgress, which
// detects a target that hangs before its requests time out.
func (t *target) estimate(now time.Duration, meanTime, penalty float64) float64 {
	e := meanTime
	if t.samples > 0 {
		e = t.recent
	}
	if now < t.penaltyUntil {
		e *= penalty
	}
	if t.inFlight > 0 {
		e = max(e, float64(now-t.lastProgress))
	}
	return e
}

// load returns the share of the limit that is in use.
func (t *target) load() float64 { return float64(t.inFlight) / float64(t.limit) }

// recordResult updates the state from the end of a request of the target's
// present process.
func (t *target) recordResult(now time.Duration, r *request, ev Finish, cfg *Config) {
	took := float64(ev.ServiceTime)
	switch ev.Result {
	case ResultDone:
		t.pauseCount, t.failureCount, t.penaltyUntil = 0, 0, 0
		t.addSample(took, r.probe, cfg.ColdFactor)
		t.updateLimit(r, cfg)
	case ResultShed:
		t.reduceLimit()
		t.pause(now, cfg.ProbeInterval)
	case ResultRefused:
		// The target rejects at once, so its free slots would attract ever more
		// requests.
		t.pause(now, cfg.ProbeInterval)
	case ResultFailed, ResultTimeout:
		t.addLowerBound(max(took, cfg.ColdFactor*t.usual))
		if now >= t.penaltyUntil {
			t.penaltyUntil = now + backoff(cfg.ProbeInterval, t.failureCount)
			t.failureCount++
		}
	case ResultCancelled:
		if took > t.recent {
			t.addLowerBound(took)
		}
	}
}

func (t *target) addSample(took float64, probe bool, coldFactor float64) {
	t.samples++
	weight := max(recentWeight, 1/float64(t.samples))
	if probe {
		weight = max(weight, probeWeight)
	}
	t.recent += weight * (took - t.recent)
	if t.samples <= usualSamples {
		t.usual += (took - t.usual) / float64(t.samples)
		return
	}
	t.usual += usualWeight * (min(took, coldFactor*t.usual) - t.usual)
}

// addLowerBound adds a lower bound of a service time to recent, not to usual.
func (t *target) addLowerBound(took float64) {
	if t.samples > 0 {
		t.recent += recentWeight * (took - t.recent)
	}
}

// updateLimit resets the limit of a target that has become cold, and grows the
// limit after enough completions.
func (t *target) updateLimit(r *request, cfg *Config) {
	if t.samples > usualSamples && t.recent > cfg.ColdFactor*t.usual {
		t.setLimit(1)
		return
	}
	if r.generation != t.generation {
		return
	}
	if t.completed++; t.completed >= cfg.RampCompletions && t.limit < t.slots {
		t.setLimit(t.limit + 1)
	}
}

// reduceLimit reduces the limit after a shed. A target at its full limit was
// considered warm, so a shed there means that it is cold.
func (t *target) reduceLimit() {
	if t.limit >= t.slots {
		t.setLimit(1)
		return
	}
	t.setLimit(t.limit - 1)
}

// pause stops new starts on the target for the next backoff interval.
// Rejections of requests that were started before the pause do not extend it.
func (t *target) pause(now, interval time.Duration) {
	if now >= t.pausedUntil {
		t.pausedUntil = now + backoff(interval, t.pauseCount)
		t.pauseCount++
	}
}

// backoff returns the interval doubled the given number of times, at most
// maxPause.
func backoff(interval time.Duration, doublings int) time.Duration {
	for ; doublings > 0 && interval < maxPause; doublings-- {
		interval *= 2
	}
	return min(interval, maxPause)
}
