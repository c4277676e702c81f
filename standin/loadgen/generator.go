package loadgen

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

// hotStride is the distance, in keys, between the hot keys of two consecutive
// intervals. It is a prime, so that the same keys become hot again only after
// many intervals.
const hotStride = 104_729

// callerRequest is one generated request. All its attempts send the same content.
type callerRequest struct {
	id     string // idempotency key and tag
	key    string
	read   bool
	body   []byte
	hangUp time.Duration // from the first attempt until the caller abandons the request; 0 means never
	start  time.Time     // scheduled arrival; the first attempt may be later
}

// requestGenerator generates random requests. It is not safe for concurrent
// use, so each sending goroutine has its own.
type requestGenerator struct {
	cfg      Config
	rng      *rand.Rand
	zipf     *rand.Zipf
	runStart time.Time
	idPrefix string
	count    int
}

func newRequestGenerator(cfg Config, idPrefix string, seed int64, runStart time.Time) *requestGenerator {
	g := &requestGenerator{cfg: cfg, rng: rand.New(rand.NewSource(seed)), runStart: runStart, idPrefix: idPrefix}
	if cfg.Zipf > 1 {
		g.zipf = rand.NewZipf(g.rng, cfg.Zipf, 1, uint64(cfg.Keys-1))
	}
	return g
}

func (g *requestGenerator) next(at time.Time) *callerRequest {
	g.count++
	c := &callerRequest{id: fmt.Sprintf("%s-%s-%d", g.cfg.RunID, g.idPrefix, g.count), start: at}
	c.key = g.drawKey(at)
	c.read = g.rng.Float64() < g.cfg.ReadRatio
	if !c.read {
		c.body = []byte(c.id) // unique, so that the hash in an answer shows which request it belongs to
		if missing := g.cfg.BodyBytes - len(c.body); missing > 0 {
			c.body = append(c.body, strings.Repeat(".", missing)...)
		}
	}
	if g.cfg.HangUpRate > 0 && g.rng.Float64() < g.cfg.HangUpRate {
		c.hangUp = 1 + time.Duration(g.rng.Float64()*float64(g.cfg.HangUpAfter))
	}
	return c
}

// drawKey draws a popularity rank, 0 being the most popular, and maps it to a
// key. With HotInterval set, each interval has another mapping.
func (g *requestGenerator) drawKey(at time.Time) string {
	rank := 0
	switch {
	case g.cfg.HotShare > 0 && g.rng.Float64() < g.cfg.HotShare:
		rank = g.rng.Intn(g.cfg.HotKeys)
	case g.zipf != nil:
		rank = int(g.zipf.Uint64())
	default:
		rank = g.rng.Intn(g.cfg.Keys)
	}
	if g.cfg.HotInterval > 0 {
		rank += int(at.Sub(g.runStart)/g.cfg.HotInterval) * hotStride
	}
	return fmt.Sprintf("%s%d", g.cfg.KeyPrefix, rank%g.cfg.Keys)
}

// drawInterarrival draws the time to the next arrival of the Poisson process.
func (g *requestGenerator) drawInterarrival() time.Duration {
	return time.Duration(g.rng.ExpFloat64() / g.cfg.Rate * float64(time.Second))
}
