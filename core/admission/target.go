package admission

import "time"

const (
	// A probe or a repeated shed waits at most this long.
	maxPause = time.Second
	// A tenfold slowdown is a sign of cold after 4 completions at weight 1/8.
	recentWeight = 1.0 / 8
	// The usual service time must not follow the recent one at once: with 1/64
	// and samples counted in full, a tenfold slowdown was never a sign of cold.
	// Samples are therefore also cut at ColdFactor times the usual.
	usualWeight = 1.0 / 128
	// The mean of this many first samples is the first usual service time; no
	// sign of cold is taken from service times before.
	usualSamples = 32
	// Probes are rare, so each must count more, or a target that recovered
	// would stay unused for long.
	probeWeight = 1.0 / 2
)

// target is what the group knows about one target. Service times are in
// nanoseconds.
type target struct {
	name      string
	bootID    string
	slots     int
	available bool
	gone      bool // removed, with requests still in flight

	limit      int
	inFlight   int
	alone      bool // an Alone request runs on it
	completed  int  // requests started and done at the present limit
	generation uint64

	recent, usual float64
	samples       int

	pauses       int
	pausedUntil  time.Duration
	failures     int
	penaltyUntil time.Duration
	lastStart    time.Duration
	progress     time.Duration // of the last finish, or of the start that ended idleness
}

// setLimit starts counting completions anew: requests that were started at
// another limit say nothing about this one.
func (t *target) setLimit(limit int) {
	t.limit = max(1, min(limit, t.slots))
	t.completed = 0
	t.generation++
}

func (t *target) seen(ev TargetSeen) {
	first := t.bootID != ev.BootID || t.generation == 0 || t.gone
	// A target that was out of service may have gone cold meanwhile.
	returned := !t.available && ev.Available
	t.gone = false
	t.bootID, t.slots, t.available = ev.BootID, ev.Slots, ev.Available && ev.Slots > 0
	if first {
		t.recent, t.pauses, t.pausedUntil, t.failures, t.penaltyUntil = t.usual, 0, 0, 0, 0
	}
	if first || ev.Granted || returned {
		t.setLimit(1)
	} else if t.limit > max(1, t.slots) {
		t.setLimit(t.slots)
	}
}

// usable reports whether requests may be started, apart from the limit.
func (t *target) usable(now time.Duration) bool {
	return t.available && !t.gone && now >= t.pausedUntil
}

// estimate is the expected service time of a request that is started now.
// While nothing finishes, the time since then is a lower bound, which finds a
// frozen target before its requests time out.
func (t *target) estimate(now time.Duration, typical, penalty float64) float64 {
	e := typical
	if t.samples > 0 {
		e = t.recent
	}
	if now < t.penaltyUntil {
		e *= penalty
	}
	if t.inFlight > 0 {
		e = max(e, float64(now-t.progress))
	}
	return e
}

// load is the part of the limit that is in use.
func (t *target) load() float64 { return float64(t.inFlight) / float64(t.limit) }

func (t *target) finished(now time.Duration, r *request, ev Finish, cfg *Config) {
	took := float64(ev.ServiceTime)
	switch ev.Result {
	case ResultDone:
		t.pauses, t.failures, t.penaltyUntil = 0, 0, 0
		t.sample(took, r.probe, cfg.ColdFactor)
		t.ramp(r, cfg)
	case ResultShed:
		t.shed()
		t.pause(now, cfg.ProbeInterval)
	case ResultRefused:
		// It answers at once, so it would attract requests with its free slots.
		t.pause(now, cfg.ProbeInterval)
	case ResultFailed, ResultTimeout:
		t.slow(max(took, cfg.ColdFactor*t.usual))
		if now >= t.penaltyUntil {
			t.penaltyUntil = now + backoff(cfg.ProbeInterval, t.failures)
			t.failures++
		}
	case ResultCancelled:
		if took > t.recent {
			t.slow(took)
		}
	}
}

func (t *target) sample(took float64, probe bool, coldFactor float64) {
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

// slow counts a lower bound of a service time. It leaves the usual one alone.
func (t *target) slow(took float64) {
	if t.samples > 0 {
		t.recent += recentWeight * (took - t.recent)
	}
}

func (t *target) ramp(r *request, cfg *Config) {
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

// shed shrinks the limit. A target at its full limit was taken for warm, so
// there a shed is a sign of cold.
func (t *target) shed() {
	if t.limit >= t.slots {
		t.setLimit(1)
		return
	}
	t.setLimit(t.limit - 1)
}

// pause stops new starts. Refusals of requests that were started before the
// pause do not prolong it.
func (t *target) pause(now, interval time.Duration) {
	if now >= t.pausedUntil {
		t.pausedUntil = now + backoff(interval, t.pauses)
		t.pauses++
	}
}

// backoff doubles the interval with each step, up to maxPause.
func backoff(interval time.Duration, step int) time.Duration {
	for ; step > 0 && interval < maxPause; step-- {
		interval *= 2
	}
	return min(interval, maxPause)
}
