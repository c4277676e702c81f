package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// worthTarget is the users' target for the mean worth of days with trouble on
// barcud-porth-grown. Worth is less than the share served in aim.
const worthTarget = 0.68

// fieldReads are the reads by key of a large deployment.
func fieldReads() Config {
	return Config{Seed: 1, Targets: 155, Slots: 3, Speeds: []float64{0.7, 0.7, 1.6}, NoiseShare: 0.2, NoiseFactor: 3, NoiseSpan: 400 * ms,
		Rate: 1050, Work: 190 * ms, Spread: 0.8, Objective: 600 * ms, Deadline: 1500 * ms, Keyed: true, Skew: 0.37, Warm: 15 * time.Second, Length: 20 * time.Second}
}

func TestRunRepeats(t *testing.T) {
	c := fieldReads()
	c.Length = 3 * time.Second
	assert.Equal(t, Run(c), Run(c))
	other := c
	other.Seed = 2
	assert.NotEqual(t, Run(c), Run(other))
}

// The patterns are those of the heaviest days: reads by key at the usual rate,
// with busy keys side by side, in a burst, and at twice the rate for good.
func TestReadsByKeyAreServedInAim(t *testing.T) {
	patterns := map[string]func(c *Config){
		"usual rate": func(*Config) {},
		"busy keys side by side": func(c *Config) {
			c.Hot = []HotSpot{{From: 16 * time.Second, For: 5 * time.Second, Share: 0.3, Keys: 40}}
		},
		"burst": func(c *Config) {
			c.Bursts = []Burst{{From: 18 * time.Second, For: 3 * time.Second, Factor: 3}}
		},
		"twice the rate": func(c *Config) { c.Rate *= 2 },
	}
	for name, set := range patterns {
		t.Run(name, func(t *testing.T) {
			c := fieldReads()
			set(&c)
			r := Run(c)
			t.Logf("%+v", r)
			assert.GreaterOrEqual(t, r.InAim, worthTarget)
		})
	}
}

// What every target can serve is refused to nobody.
func TestPoolWithFreeSlotsRefusesNobody(t *testing.T) {
	c := fieldReads()
	c.Keyed = false
	r := Run(c)
	t.Logf("%+v", r)
	assert.Zero(t, r.Refused)
}
