package admission

import "time"

const (
	// maxPause bounds the backoff of a target that rejects requests or fails.
	maxPause = time.Second
	// recentWeight is the weight of a new sample in the recent service time. At
	// 1/8, a target counts as cold after 4 completions with a tenfold slowdown.
	recentWeight = 1.0 / 8
	// usualWeight is the weight of a new sample in the usual service time, which
	// must not follow the recent one quickly: with 1/64 and unlimited samples, a
	// tenfold slowdown never exceeded ColdFactor. Samples are therefore also
	// capped at ColdFactor times the usual service time.
	usualWeight = 1.0 / 128
	// usualSamples is the number of first samples whose mean is the initial usual
	// service time. Until then, service times do not count as a sign that the
	// target is cold.
	usualSamples = 32
	// probeWeight is the weight of a probe's sample. Probes are rare: with a
	// smaller weight, a target that has recovered would stay unused for long.
	probeWeight = 1.0 / 2
)

// target is the group's state of one target. Service times are in nanoseconds.
type target struct {
	name      string
	bootID    string
	slots     int
	available bool
	removed   bool // removed from the group, but requests are still in flight

	limit      int
	inFlight   int
	exclusive  bool // an exclusive request runs on it
	completed  int  // requests that were both started and finished under the present limit
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

// setLimit changes the limit and restarts the count of completions. The new
// generation excludes requests that were started under another limit, since
// they say nothing about this one.
func (t *target) setLimit(limit int) {
	t.limit = max(1, min(limit, t.slots))
	t.completed = 0
	t.generation++
}

// update applies a TargetUpdate event.
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

// estimate returns the expected service time of a request that is started now.
// While requests are in flight, the time since lastProgress is a lower bound of
// it; this detects a target that hangs before its requests time out.
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

// addLowerBound adds a lower bound of a service time to the recent average
// only.
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

// backoff returns the interval doubled step times, at most maxPause.
func backoff(interval time.Duration, step int) time.Duration {
	for ; step > 0 && interval < maxPause; step-- {
		interval *= 2
	}
	return min(interval, maxPause)
}
