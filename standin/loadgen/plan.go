package loadgen

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

// hotStride is the distance, in keys, between the hot keys of two intervals.
// It is a prime, so that the hot keys do not return for long.
const hotStride = 104_729

// call is one request as it was drawn. All its attempts are alike.
type call struct {
	id     string // idempotency key and tag
	key    string
	read   bool
	body   []byte
	hangUp time.Duration // 0 means never
	start  time.Time     // arrival, whether or not the sender was late
}

// planner draws requests. Each goroutine has its own.
type planner struct {
	cfg   Config
	rng   *rand.Rand
	zipf  *rand.Zipf
	began time.Time
	name  string
	n     int
}

func newPlanner(cfg Config, name string, seed int64, began time.Time) *planner {
	p := &planner{cfg: cfg, rng: rand.New(rand.NewSource(seed)), began: began, name: name}
	if cfg.Zipf > 1 {
		p.zipf = rand.NewZipf(p.rng, cfg.Zipf, 1, uint64(cfg.Keys-1))
	}
	return p
}

func (p *planner) next(at time.Time) *call {
	p.n++
	c := &call{id: fmt.Sprintf("%s-%s-%d", p.cfg.RunID, p.name, p.n), start: at}
	c.key = p.key(at)
	c.read = p.rng.Float64() < p.cfg.ReadRatio
	if !c.read {
		c.body = []byte(c.id) // differs from all others, which tells crossed answers
		if missing := p.cfg.BodyBytes - len(c.body); missing > 0 {
			c.body = append(c.body, strings.Repeat(".", missing)...)
		}
	}
	if p.cfg.HangUpRate > 0 && p.rng.Float64() < p.cfg.HangUpRate {
		c.hangUp = 1 + time.Duration(p.rng.Float64()*float64(p.cfg.HangUpAfter))
	}
	return c
}

// key draws a rank, the most frequent first, and turns it into a key that
// depends on the interval.
func (p *planner) key(at time.Time) string {
	rank := 0
	switch {
	case p.cfg.HotShare > 0 && p.rng.Float64() < p.cfg.HotShare:
		rank = p.rng.Intn(p.cfg.HotKeys)
	case p.zipf != nil:
		rank = int(p.zipf.Uint64())
	default:
		rank = p.rng.Intn(p.cfg.Keys)
	}
	if p.cfg.HotInterval > 0 {
		rank += int(at.Sub(p.began)/p.cfg.HotInterval) * hotStride
	}
	return fmt.Sprintf("%s%d", p.cfg.KeyPrefix, rank%p.cfg.Keys)
}

// gap draws the time to the next arrival.
func (p *planner) gap() time.Duration {
	return time.Duration(p.rng.ExpFloat64() / p.cfg.Rate * float64(time.Second))
}
