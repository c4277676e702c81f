// Package loadgen is a stand-in for callers. It sends reads and writes to the
// entries of a deployment, checks each answer and measures what callers see.
package loadgen

import (
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a Config.
const (
	DefaultDeadline    = 2 * time.Second
	DefaultGrace       = time.Second // that a caller waits beyond its deadline
	DefaultOutstanding = 4096
	DefaultRepeatPause = 50 * time.Millisecond
	DefaultKeyPrefix   = "key-"
)

// Config holds the settings of a run.
type Config struct {
	Entries  []string      `json:"entries"` // addresses, used in turn
	Duration time.Duration `json:"duration"`
	// Balance returns the entries in use now, as a load balancer knows them;
	// nil or an empty answer means Entries.
	Balance func() []string `json:"-"`

	// Rate is the mean of Poisson arrivals in requests per second. With 0, each
	// of Callers callers sends its next request after the answer to the last.
	Rate        float64       `json:"rate"`
	Callers     int           `json:"callers"`
	Pause       time.Duration `json:"pause"`       // of a caller between requests
	Outstanding int           `json:"outstanding"` // arrivals beyond this are skipped; 0 means DefaultOutstanding

	ReadRatio float64 `json:"read_ratio"` // share of reads
	// ReadPath and WritePath hold {key} once, unless KeyHeader carries the key.
	ReadPath  string `json:"read_path"`
	WritePath string `json:"write_path"`
	KeyHeader string `json:"key_header"`

	Keys        int           `json:"keys"`
	KeyPrefix   string        `json:"key_prefix"`   // empty means DefaultKeyPrefix
	Zipf        float64       `json:"zipf"`         // exponent above 1; 0 means uniform
	HotKeys     int           `json:"hot_keys"`     // keys that share HotShare of the requests
	HotShare    float64       `json:"hot_share"`    // 0 means that no key is hot
	HotInterval time.Duration `json:"hot_interval"` // after which other keys are hot; 0 means never

	BodyBytes   int           `json:"body_bytes"`   // of writes, at least
	AnswerBytes int           `json:"answer_bytes"` // padding of answers
	Deadline    time.Duration `json:"deadline"`     // of each attempt; 0 means DefaultDeadline
	Grace       time.Duration `json:"grace"`        // until the caller gives up; 0 means DefaultGrace

	Repeats     int           `json:"repeats"`       // of a write whose outcome is unknown
	RepeatReads bool          `json:"repeat_reads"`  // applies Repeats to reads too
	RepeatPause time.Duration `json:"repeat_pause"`  // 0 means DefaultRepeatPause
	HangUpRate  float64       `json:"hang_up_rate"`  // share of requests whose caller hangs up
	HangUpAfter time.Duration `json:"hang_up_after"` // longest time until then; it is drawn evenly

	Seed  int64  `json:"seed"`
	RunID string `json:"run_id"` // begins the idempotency keys; empty means a random one
	// Stop ends the sending when it is closed; answers are still awaited.
	Stop <-chan struct{} `json:"-"`
	// OnResult is called for each request when it ends, by several goroutines.
	OnResult func(Result) `json:"-"`
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Entries) == 0 {
		return c, errors.New("no entry is configured")
	}
	if c.Rate <= 0 && c.Callers <= 0 {
		return c, errors.New("either a rate or a number of callers is needed")
	}
	if c.Zipf != 0 && c.Zipf <= 1 {
		return c, errors.Errorf("the Zipf exponent %g is not above 1", c.Zipf)
	}
	if c.ReadPath == "" || c.WritePath == "" {
		return c, errors.New("a path for reads and one for writes are needed")
	}
	if c.KeyHeader == "" && (!strings.Contains(c.ReadPath, "{key}") || !strings.Contains(c.WritePath, "{key}")) {
		return c, errors.New("the key is in no header, so the paths need {key}")
	}
	c.Keys = max(c.Keys, 1)
	c.HotKeys = min(max(c.HotKeys, 1), c.Keys)
	if c.KeyPrefix == "" {
		c.KeyPrefix = DefaultKeyPrefix
	}
	if c.Outstanding == 0 {
		c.Outstanding = DefaultOutstanding
	}
	for value, standard := range map[*time.Duration]time.Duration{&c.Deadline: DefaultDeadline,
		&c.Grace: DefaultGrace, &c.RepeatPause: DefaultRepeatPause} {
		if *value == 0 {
			*value = standard
		}
	}
	return c, nil
}
