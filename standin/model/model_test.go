package model

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// fieldReads are the reads by key of a large deployment.
func fieldReads() Config {
	return Config{Seed: 1, Targets: 155, Slots: 3, Speeds: []float64{0.7, 0.7, 1.6}, NoiseShare: 0.2, NoiseFactor: 3, NoiseSpan: 400 * ms,
		Rate: 1050, Work: 190 * ms, Spread: 0.8, Objective: 600 * ms, Deadline: 1500 * ms, Keyed: true, Skew: 0.37, Warm: 15 * time.Second, Length: 20 * time.Second}
}

func TestTry(t *testing.T) {
	for _, rate := range []float64{800, 1050, 1300} {
		c := fieldReads()
		c.Rate = rate
		t.Logf("rate %v: %+v", rate, Run(c))
	}
	c := fieldReads()
	c.Keyed = false
	t.Logf("pool: %+v", Run(c))
}
