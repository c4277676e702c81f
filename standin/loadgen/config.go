// Package loadgen simulates callers. It sends reads and writes to the entries of
// a deployment, checks the answers, and reports outcomes, latencies and gaps in
// service as callers see them.
package loadgen

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a Config.
const (
	DefaultDeadline    = 2 * time.Second
	DefaultGrace       = time.Second // how long a caller waits beyond its deadline
	DefaultOutstanding = 4096
	DefaultRepeatPause = 50 * time.Millisecond
	DefaultKeyPrefix   = "key-"
)

// Config holds the settings of a run.
type Config struct {
	Entries  []string      `json:"entries"` // addresses, used round-robin
	Duration time.Duration `json:"duration"`
	// Balance returns the entries that a load balancer would use now, in place
	// of Entries. Entries is used if Balance is nil or returns none.
	Balance func() []string `json:"-"`

	// Rate is the mean rate of Poisson arrivals in requests per second (open
	// loop). If it is 0, each of Callers callers sends its next request after
	// the answer to its previous one (closed loop).
	Rate        float64       `json:"rate"`
	Callers     int           `json:"callers"`
	Pause       time.Duration `json:"pause"`       // closed loop: between an answer and the next request of the caller
	Outstanding int           `json:"outstanding"` // open loop: maximum number of outstanding requests, above which arrivals are skipped; 0 means DefaultOutstanding

	ReadRatio float64 `json:"read_ratio"` // share of requests that are reads
	// ReadPath and WritePath must contain {key}, unless KeyHeader is set.
	ReadPath  string `json:"read_path"`
	WritePath string `json:"write_path"`
	KeyHeader string `json:"key_header"` // name of a header that carries the key; empty means none

	Keys        int           `json:"keys"`         // number of keys, at least 1
	KeyPrefix   string        `json:"key_prefix"`   // empty means DefaultKeyPrefix
	Zipf        float64       `json:"zipf"`         // exponent of the key popularity, above 1; 0 means uniform
	HotKeys     int           `json:"hot_keys"`     // number of hot keys
	HotShare    float64       `json:"hot_share"`    // share of the requests that go to hot keys; 0 means that no key is hot
	HotInterval time.Duration `json:"hot_interval"` // time after which other keys become hot or popular; 0 means never

	BodyBytes   int           `json:"body_bytes"`   // minimum body size of writes
	AnswerBytes int           `json:"answer_bytes"` // requested padding of answers
	Deadline    time.Duration `json:"deadline"`     // of each attempt; 0 means DefaultDeadline
	Grace       time.Duration `json:"grace"`        // after the deadline, until the caller gives up; 0 means DefaultGrace

	Repeats     int           `json:"repeats"`       // maximum number of repeats of a write whose outcome is unknown
	RepeatReads bool          `json:"repeat_reads"`  // applies Repeats to reads too
	RepeatPause time.Duration `json:"repeat_pause"`  // delay before a repeat; 0 means DefaultRepeatPause
	HangUpRate  float64       `json:"hang_up_rate"`  // share of requests that the caller abandons
	HangUpAfter time.Duration `json:"hang_up_after"` // maximum time until the caller abandons one; the time is uniformly distributed

	Seed  int64  `json:"seed"`
	RunID string `json:"run_id"` // prefix of the idempotency keys; empty means a random one
	// Closing Stop ends the sending of new requests. Run still waits for the
	// outstanding answers.
	Stop <-chan struct{} `json:"-"`
	// OnResult is called when a request ends, unless it was skipped. Calls are concurrent.
	OnResult func(Result) `json:"-"`
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Entries) == 0 {
		return c, errors.New("no entry is configured")
	}
	if c.Rate <= 0 && c.Callers <= 0 {
		return c, errors.New("either a request rate or a number of callers is required")
	}
	if c.Zipf != 0 && c.Zipf <= 1 {
		return c, errors.Errorf("the Zipf exponent %g is not above 1", c.Zipf)
	}
	if c.ReadPath == "" || c.WritePath == "" {
		return c, errors.New("both a read path and a write path are required")
	}
	if c.KeyHeader == "" && (!strings.Contains(c.ReadPath, "{key}") || !strings.Contains(c.WritePath, "{key}")) {
		return c, errors.New("no key header is configured, so both paths must contain {key}")
	}
	c.Keys = max(c.Keys, 1)
	c.HotKeys = min(max(c.HotKeys, 1), c.Keys)
	if c.KeyPrefix == "" {
		c.KeyPrefix = DefaultKeyPrefix
	}
	if c.Outstanding == 0 {
		c.Outstanding = DefaultOutstanding
	}
	for value, defaultValue := range map[*time.Duration]time.Duration{&c.Deadline: DefaultDeadline,
		&c.Grace: DefaultGrace, &c.RepeatPause: DefaultRepeatPause} {
		if *value == 0 {
			*value = defaultValue
		}
	}
	return c, nil
}
