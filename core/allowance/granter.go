package allowance

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Granter leases tokens of all workspaces. It keeps nothing across a restart and starts with
// empty buckets.
type Granter struct {
	id     string
	bounds Bounds
	limits map[string]Limit
	vms    recentMax
	// supporters holds, by VM, until when its share counts; processes the spenders by VM
	// and process.
	supporters map[string]time.Duration
	processes  map[string]*process
	buckets    map[string]*grantBucket
	prunedAt   time.Duration
}

type process struct {
	number uint64 // of the last report
	seen   time.Duration
	leases []granted
}

// granted is a lease whose tokens may be returned.
type granted struct {
	number    uint64
	workspace string
	at        time.Duration
	tokens    int
}

type grantBucket struct {
	bucket
	// short and shortBefore count the reports that got too little, in the present and the
	// previous reportInterval.
	short, shortBefore int
	shortStart         time.Duration
}

// NewGranter returns the granter with the given number of a VM's process, which has at most
// one at a time.
func NewGranter(vm, boot string, number int, b Bounds) *Granter {
	return &Granter{id: granterPrefix(vm, boot) + strconv.Itoa(number), bounds: b, supporters: map[string]time.Duration{}, processes: map[string]*process{}, buckets: map[string]*grantBucket{}}
}

func granterPrefix(vm, boot string) string { return vm + "/" + boot + "/" }

// VMOf returns the VM of a granter. The id of a VM may contain slashes, boot and number do not.
func VMOf(granter string) string {
	for range 2 {
		granter = granter[:max(0, strings.LastIndex(granter, "/"))]
	}
	return granter
}

// ReplyWithoutGranter answers a report to a VM that has no granter. A granter that this
// process has had before has ended for good.
func ReplyWithoutGranter(vm, boot string, r Report) Reply {
	return Reply{Number: r.Number, Left: strings.HasPrefix(r.Granter, granterPrefix(vm, boot))}
}

// ID returns the id of the granter.
func (g *Granter) ID() string { return g.id }

// Configure sets the limits of the workspaces and the number of VMs. It keeps limits.
func (g *Granter) Configure(now time.Duration, limits map[string]Limit, vms int) {
	g.limits = limits
	g.vms.note(now, vms)
	for name := range limits {
		if g.buckets[name] == nil { // fills from now on, not from the first request
			g.buckets[name] = &grantBucket{bucket: newBucket(now), shortStart: now}
		}
	}
	for name := range g.buckets {
		if _, ok := limits[name]; !ok {
			delete(g.buckets, name)
		}
	}
}

// Share returns the share of the VMs that support this granter.
func (g *Granter) Share(now time.Duration) float64 {
	n := 0
	for vm, until := range g.supporters {
		if until <= now {
			delete(g.supporters, vm)
			continue
		}
		n++
	}
	return min(1, float64(n)/float64(g.vms.value()))
}

// Handle answers a report.
func (g *Granter) Handle(now time.Duration, r Report) Reply {
	reply := Reply{Granter: g.id, At: now, Number: r.Number}
	// An earlier granter of this process has ended.
	prefix := g.id[:strings.LastIndex(g.id, "/")+1]
	reply.Left = r.Granter != g.id && strings.HasPrefix(r.Granter, prefix)
	key := r.VM + "/" + r.Process
	p := g.processes[key]
	if p == nil {
		p = &process{}
		g.processes[key] = p
	}
	if r.Number <= p.number {
		return Reply{Granter: g.id, At: now, Number: r.Number} // late or repeated
	}
	g.settle(now) // with the support until now
	p.number, p.seen = r.Number, now
	switch {
	case r.Granter != g.id:
	case r.Leaves:
		delete(g.supporters, r.VM)
		reply.Left = true
	case r.Supports && r.Echo <= now && r.Echo+supportTime > now:
		g.supporters[r.VM] = max(g.supporters[r.VM], r.Echo+supportTime)
	}
	share := g.Share(now)
	for _, w := range r.Wants {
		if limit, ok := g.limits[w.Workspace]; ok {
			reply.Grants = append(reply.Grants, g.grant(now, share, limit, p, r, w))
		}
	}
	g.prune(now)
	return reply
}

// settle refills all buckets with the present support, before the support changes.
func (g *Granter) settle(now time.Duration) {
	share := g.Share(now)
	for name, b := range g.buckets {
		g.advance(b, now, share, g.limits[name])
	}
}

func (g *Granter) advance(b *grantBucket, now time.Duration, share float64, l Limit) {
	b.advance(now, share*g.bounds.rate(l), share*g.bounds.capacity(l), g.bounds.Lease())
}

func (g *Granter) grant(now time.Duration, share float64, l Limit, p *process, r Report, w Want) Grant {
	b := g.buckets[w.Workspace]
	g.advance(b, now, share, l)
	for _, ret := range w.Returned {
		b.takeBack(float64(p.takeBack(now-g.bounds.Lease(), w.Workspace, ret)))
	}
	tokens := min(max(0, w.Waiting), int(b.level))
	// Half of the rest is kept for requests that wait at other VMs.
	tokens += min(max(0, w.Ahead), int((b.level-float64(tokens))/2))
	b.level -= float64(tokens)
	if tokens > 0 {
		p.leases = append(p.leases, granted{number: r.Number, workspace: w.Workspace, at: now, tokens: tokens})
	}
	out := Grant{Workspace: w.Workspace, Tokens: tokens}
	if now-b.shortStart >= reportInterval {
		b.short, b.shortBefore, b.shortStart = 0, b.short, now
	}
	if tokens < w.Waiting {
		b.short++
		rate := max(g.bounds.rate(l)*share, g.bounds.rate(l)/float64(g.vms.value()))
		inLine := float64(max(b.short, b.shortBefore))
		out.RoomIn, out.Spacing = perSecond(inLine-b.level, rate), perSecond(inLine, rate)
	}
	return out
}

// perSecond returns the time for n tokens at a rate, at most an hour.
func perSecond(n, rate float64) time.Duration {
	return time.Duration(math.Min(float64(time.Hour), max(0, n)/rate*float64(time.Second)))
}

// takeBack returns how many returned tokens count: each once, and none that were granted
// before oldest, since the bucket does not remember its levels any longer.
func (p *process) takeBack(oldest time.Duration, workspace string, r Returned) int {
	for i := range p.leases {
		if l := &p.leases[i]; l.number == r.Lease && l.workspace == workspace && l.at >= oldest {
			n := min(l.tokens, max(0, r.Tokens))
			l.tokens -= n
			return n
		}
	}
	return 0
}

// prune forgets old leases, and processes that are gone. A process that comes back later
// with an old report cannot support this granter by it.
func (g *Granter) prune(now time.Duration) {
	if now-g.prunedAt < g.bounds.Lease() {
		return
	}
	g.prunedAt = now
	for key, p := range g.processes {
		if now-p.seen > countMemory {
			delete(g.processes, key)
			continue
		}
		kept := p.leases[:0]
		for _, l := range p.leases {
			if now-l.at <= g.bounds.Lease() && l.tokens > 0 {
				kept = append(kept, l)
			}
		}
		p.leases = kept
	}
}
