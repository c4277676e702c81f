package target

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// ShardFence is a shard and its fence.
type ShardFence struct {
	Shard int    `json:"shard"`
	Fence uint64 `json:"fence"`
}

// Grant replaces the set of shards that the target holds. A grant without an
// echo and without shards changes no shard: it asks for the clock and the holds.
type Grant struct {
	Term          uint64 `json:"term"`
	Sequence      uint64 `json:"sequence"`
	EchoMS        int64  `json:"echo_ms"` // the target's clock reading that the lease counts from
	LeaseMS       int64  `json:"lease_ms"`
	DispatchEpoch uint64 `json:"dispatch_epoch"`
	// BootID is the boot in which the target read EchoMS. A target of another
	// boot takes no shards, because it no longer knows what it had released.
	BootID string       `json:"boot_id"`
	Shards []ShardFence `json:"shards"`
}

// GrantReply is the answer to a grant. Busy lists the shards for which requests
// run; Holds lists a shard that was left out for as long as it is busy.
type GrantReply struct {
	BootID       string         `json:"boot_id"`
	ClockMS      int64          `json:"clock_ms"`
	Warm         bool           `json:"warm"`
	HighestFence map[int]uint64 `json:"highest_fence"`
	Holds        []ShardFence   `json:"holds"`
	Busy         []int          `json:"busy"`
	// Term and Sequence are those of the last accepted grant; Error says why
	// a grant was refused.
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Error    string `json:"error,omitempty"`
}

// grants is the state of the target protocol. Invariant: held is empty once
// the lease has ended.
type grants struct {
	term, sequence uint64
	epoch          uint64 // highest dispatch epoch of grants and requests
	leaseEnd       time.Duration
	held           map[int]*hold
	highest        map[int]uint64 // fence by shard
	running        map[int]int    // requests by shard
}

type hold struct {
	fence   uint64
	leaving bool // left out of the last grant
}

func newGrants() grants {
	return grants{held: map[int]*hold{}, highest: map[int]uint64{}, running: map[int]int{}}
}

// settle drops what the end of the lease or of the last request released.
func (g *grants) settle(now time.Duration) {
	if now >= g.leaseEnd {
		clear(g.held)
	}
	for shard, h := range g.held {
		if h.leaving && g.running[shard] == 0 {
			delete(g.held, shard)
		}
	}
}

// accept applies a grant, or returns the status and the reason of a refusal.
func (g *grants) accept(now time.Duration, bootID string, grant Grant) (int, string) {
	switch {
	case grant.Term < g.term:
		return http.StatusConflict, "a higher term is known"
	case grant.Term == g.term && grant.Sequence < g.sequence:
		return http.StatusConflict, "a later grant of the term is known"
	case grant.EchoMS > now.Milliseconds():
		return http.StatusBadRequest, "the echo is ahead of the clock"
	}
	g.settle(now)
	g.term, g.sequence = grant.Term, grant.Sequence
	g.epoch = max(g.epoch, grant.DispatchEpoch)
	if grant.EchoMS == 0 && len(grant.Shards) == 0 || grant.BootID != "" && grant.BootID != bootID {
		return http.StatusOK, ""
	}
	for _, h := range g.held {
		h.leaving = true
	}
	for _, sf := range grant.Shards {
		if sf.Fence < g.highest[sf.Shard] {
			continue // granted again to others in the meantime
		}
		g.highest[sf.Shard] = sf.Fence
		g.held[sf.Shard] = &hold{fence: sf.Fence}
	}
	g.leaseEnd = time.Duration(grant.EchoMS+grant.LeaseMS) * time.Millisecond
	g.settle(now)
	return http.StatusOK, ""
}

func (s *Server) grantReply(now time.Duration) GrantReply {
	g := &s.boot.grants
	g.settle(now)
	reply := GrantReply{BootID: s.boot.id, ClockMS: now.Milliseconds(), Warm: s.boot.warm(s.cfg),
		HighestFence: maps.Clone(g.highest), Holds: []ShardFence{}, Busy: []int{}, Term: g.term, Sequence: g.sequence}
	for _, shard := range slices.Sorted(maps.Keys(g.held)) {
		reply.Holds = append(reply.Holds, ShardFence{Shard: shard, Fence: g.held[shard].fence})
	}
	reply.Busy = slices.AppendSeq(reply.Busy, maps.Keys(g.running))
	slices.Sort(reply.Busy)
	return reply
}

// Grant applies a grant and returns the reply with its HTTP status.
func (s *Server) Grant(grant Grant) (int, GrantReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	status, refusal := s.boot.grants.accept(now, s.boot.id, grant)
	s.stats.Grants++
	if refusal != "" {
		s.stats.GrantsRefused++
	}
	reply := s.grantReply(now)
	reply.Error = refusal
	return status, reply
}

func (s *Server) postGrants(w http.ResponseWriter, r *http.Request) {
	var grant Grant
	if err := json.NewDecoder(r.Body).Decode(&grant); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	status, reply := s.Grant(grant)
	writeJSON(w, status, reply)
}

func (s *Server) getGrants(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	reply := s.grantReply(s.cfg.Clock())
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}
