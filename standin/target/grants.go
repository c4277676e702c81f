package target

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// ShardFence is a shard and the fencing token under which it is granted.
type ShardFence struct {
	Shard int    `json:"shard"`
	Fence uint64 `json:"fence"`
}

// Grant replaces the set of shards that the target holds and renews its lease
// on them. A grant without EchoMS and without shards is a query for the target's
// clock and held shards: it records term, sequence and epoch and changes no shard.
type Grant struct {
	Term          uint64 `json:"term"`
	Sequence      uint64 `json:"sequence"`
	EchoMS        int64  `json:"echo_ms"` // the target's clock reading, in ms, at which the lease starts
	LeaseMS       int64  `json:"lease_ms"`
	DispatchEpoch uint64 `json:"dispatch_epoch"`
	// BootID identifies the boot in which the target read EchoMS; empty means any.
	// A target that has restarted since then handles the grant as a query, because
	// it no longer knows which shards it had released.
	BootID string       `json:"boot_id"`
	Shards []ShardFence `json:"shards"`
}

// GrantReply is the answer to a grant. Busy lists the shards for which requests
// are running. Holds lists the held shards; one that the last grant omitted stays
// held until it is no longer busy or the lease expires.
type GrantReply struct {
	BootID       string         `json:"boot_id"`
	ClockMS      int64          `json:"clock_ms"`
	Warm         bool           `json:"warm"`
	HighestFence map[int]uint64 `json:"highest_fence"`
	Holds        []ShardFence   `json:"holds"`
	Busy         []int          `json:"busy"`
	// Term and Sequence are those of the last accepted grant. Error is why this
	// grant was refused, or empty.
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Error    string `json:"error,omitempty"`
}

// grants is the state that grants set and that requests are checked against.
type grants struct {
	term, sequence uint64
	epoch          uint64         // highest dispatch epoch seen in grants and requests
	leaseEnd       time.Duration  // reading of Config.Clock
	held           map[int]*hold  // up to date only after dropExpiredAndReleased
	highestFence   map[int]uint64 // highest fence granted, by shard
	running        map[int]int    // number of running requests, by shard
}

// hold is a shard that the target holds.
type hold struct {
	fence     uint64
	releasing bool // omitted by the last grant; held until its running requests end
}

func newGrants() grants {
	return grants{held: map[int]*hold{}, highestFence: map[int]uint64{}, running: map[int]int{}}
}

// dropExpiredAndReleased removes all held shards if the lease has expired, and each
// releasing shard for which no request is running any more.
func (g *grants) dropExpiredAndReleased(now time.Duration) {
	if now >= g.leaseEnd {
		clear(g.held)
	}
	for shard, h := range g.held {
		if h.releasing && g.running[shard] == 0 {
			delete(g.held, shard)
		}
	}
}

// accept applies a grant, or refuses it. It returns the HTTP status and why the grant
// was refused, or "".
func (g *grants) accept(now time.Duration, bootID string, grant Grant) (int, string) {
	switch {
	case grant.Term < g.term:
		return http.StatusConflict, "a higher term is known"
	case grant.Term == g.term && grant.Sequence < g.sequence:
		return http.StatusConflict, "a later grant of the term is known"
	case grant.EchoMS > now.Milliseconds():
		return http.StatusBadRequest, "the echo is ahead of the clock"
	}
	g.dropExpiredAndReleased(now)
	g.term, g.sequence = grant.Term, grant.Sequence
	g.epoch = max(g.epoch, grant.DispatchEpoch)
	if grant.EchoMS == 0 && len(grant.Shards) == 0 || grant.BootID != "" && grant.BootID != bootID {
		return http.StatusOK, ""
	}
	for _, h := range g.held {
		h.releasing = true
	}
	for _, sf := range grant.Shards {
		if sf.Fence < g.highestFence[sf.Shard] {
			continue // stale: the shard was already granted under a higher fence
		}
		g.highestFence[sf.Shard] = sf.Fence
		g.held[sf.Shard] = &hold{fence: sf.Fence}
	}
	g.leaseEnd = time.Duration(grant.EchoMS+grant.LeaseMS) * time.Millisecond
	g.dropExpiredAndReleased(now)
	return http.StatusOK, ""
}

func (s *Server) grantReply(now time.Duration) GrantReply {
	g := &s.boot.grants
	g.dropExpiredAndReleased(now)
	reply := GrantReply{BootID: s.boot.id, ClockMS: now.Milliseconds(), Warm: s.boot.isWarm(s.cfg),
		HighestFence: maps.Clone(g.highestFence), Holds: []ShardFence{}, Busy: []int{}, Term: g.term, Sequence: g.sequence}
	for _, shard := range slices.Sorted(maps.Keys(g.held)) {
		reply.Holds = append(reply.Holds, ShardFence{Shard: shard, Fence: g.held[shard].fence})
	}
	reply.Busy = slices.AppendSeq(reply.Busy, maps.Keys(g.running))
	slices.Sort(reply.Busy)
	return reply
}

// Grant applies a grant and returns the HTTP status and the reply.
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
