package placement

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/mangogate/mangogate/core/shardmap"
)

const (
	// MaxImbalance is the highest accepted ratio of a server's load to its share
	// of the total load.
	MaxImbalance = 1.05
	// assignImbalance is the ratio of a server's measured load to its share above
	// which Assign moves shards away. Below it only RebalanceShards does, within its
	// budget; otherwise noise in the loads would move shards at every change of the server list.
	assignImbalance = 1.25
	// A server below fillBelow of its share is filled up to fillTo of the share.
	// Moving shards only from servers above their limit would leave an added server
	// empty when the shards divide evenly over the old servers (256 shards over 16
	// servers, then 17).
	fillBelow = 0.5
	fillTo    = 0.8

	epsilon = 1e-9 // absorbs rounding in sums of shard loads
	none    = -1   // index that stands for no server or no shard
)

// plan is the working state of one placement. Loads are in units of the mean
// shard load.
type plan struct {
	servers      []Server // sorted by name, so that results do not depend on the input order
	index        map[string]int
	serverHash   []uint64 // by server
	available    []int    // indexes of the available servers
	shards       []Shard
	shardHash    []uint64
	owner        []int     // by shard
	load         []float64 // by shard
	used         []float64 // load of the owned shards, by server
	share        []float64 // load in proportion to the weight, by server; 0 when unavailable
	measured     bool      // some shard loads are known
	equalWeights bool
}

func newPlan(service string, servers []Server, shards []Shard) *plan {
	p := &plan{servers: slices.Clone(servers), index: map[string]int{}, shards: make([]Shard, len(shards))}
	slices.SortFunc(p.servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	p.serverHash = make([]uint64, len(p.servers))
	p.used = make([]float64, len(p.servers))
	p.equalWeights = true
	for i := range p.servers {
		s := &p.servers[i]
		if s.Weight <= 0 {
			s.Weight = 1
		}
		p.equalWeights = p.equalWeights && s.Weight == p.servers[0].Weight
		p.index[s.Name] = i
		p.serverHash[i] = shardmap.Hash(service, s.Name)
		if s.Available {
			p.available = append(p.available, i)
		}
	}
	p.shardHash = make([]uint64, len(shards))
	p.owner = make([]int, len(shards))
	for s, shard := range shards {
		p.shards[s] = shard
		p.shards[s].Standbys = slices.Clone(shard.Standbys)
		p.shardHash[s] = shardmap.Hash(service, "shard", strconv.Itoa(s))
		p.owner[s] = p.lookup(shard.Owner)
	}
	p.setLoads()
	p.setShares()
	return p
}

// lookup returns the index of an available server, or none for any other name.
func (p *plan) lookup(name string) int {
	if i, ok := p.index[name]; ok && p.servers[i].Available {
		return i
	}
	return none
}

// setLoads scales the known loads to a mean of 1 and sets unknown loads to 1.
func (p *plan) setLoads() {
	sum, known := 0.0, 0
	for _, s := range p.shards {
		if s.Load > 0 {
			sum += s.Load
			known++
		}
	}
	p.measured = known > 0
	p.load = make([]float64, len(p.shards))
	for i, s := range p.shards {
		p.load[i] = 1
		if s.Load > 0 {
			p.load[i] = s.Load * float64(known) / sum
		}
		if p.owner[i] != none {
			p.used[p.owner[i]] += p.load[i]
		}
	}
}

// setShares divides the total load over the available servers by weight.
func (p *plan) setShares() {
	total := 0.0
	for _, i := range p.available {
		total += p.servers[i].Weight
	}
	p.share = make([]float64, len(p.servers))
	for _, i := range p.available {
		p.share[i] = float64(len(p.shards)) * p.servers[i].Weight / total
	}
}

// limit returns the load above which shards are moved away from server i, and up
// to which the server may be promoted from standby to owner. Without measured
// loads the limit is a number of shards.
func (p *plan) limit(i int) float64 {
	count := math.Ceil(p.share[i] - epsilon)
	if p.measured {
		return max(count, assignImbalance*p.share[i])
	}
	return count
}

// placeLimit returns the load up to which a server accepts a shard that moves,
// other than by promotion.
func (p *plan) placeLimit(i int) float64 {
	if p.measured {
		return MaxImbalance * p.share[i]
	}
	return p.limit(i)
}

// fits reports whether a shard fits on server i within a load limit.
func (p *plan) fits(shard, i int, limit float64) bool {
	return p.used[i]+p.load[shard] <= limit+epsilon
}

// move makes a server the owner of a shard.
func (p *plan) move(shard, to int) {
	if from := p.owner[shard]; from != none {
		p.used[from] -= p.load[shard]
	}
	p.owner[shard] = to
	p.used[to] += p.load[shard]
	p.shards[shard].Owner = p.servers[to].Name
}

// score returns the weighted rendezvous score of server i for a shard. The server
// with the highest score ranks first.
func (p *plan) score(shard, i int) float64 {
	unit := rendezvous(p.shardHash[shard], p.serverHash[i])
	if p.equalWeights {
		return unit // gives the same order as the weighted score at equal weights
	}
	return -p.servers[i].Weight / math.Log(unit)
}

// rendezvous combines two string hashes into a pseudo-random number in (0, 1).
// This is cheaper than hashing the strings of every pair: 65536 shards over 500
// servers are 33 million pairs.
func rendezvous(a, b uint64) float64 {
	h := a ^ (b * 0x9e3779b97f4a7c15)
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	h ^= h >> 31
	return (float64(h>>11) + 0.5) / (1 << 53)
}

// shardsByOwner lists the shards of each server in ascending order.
func (p *plan) shardsByOwner() [][]int {
	lists := make([][]int, len(p.servers))
	for s, o := range p.owner {
		if o != none {
			lists[o] = append(lists[o], s)
		}
	}
	return lists
}
