// Package shardmap maps keys to shards and shards to owners and dispatchers.
package shardmap

import (
	"math/bits"
	"strings"

	"github.com/mangogate/mangogate/core/inventory"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns the 64-bit hash of the strings, FNV-1a followed by a final mix
// so that all bits depend on every byte.
func Hash(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		for i := 0; i < len(p); i++ {
			h = (h ^ uint64(p[i])) * fnvPrime
		}
		h = (h ^ 0xff) * fnvPrime // separator: {"ab","c"} differs from {"a","bc"}
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// ShardOf returns the shard of a key in a service with the given shard count.
func ShardOf(service, key string, shards int) int {
	// The high word of the product scales the hash without the bias of a modulus.
	hi, _ := bits.Mul64(Hash(service, key), uint64(shards))
	return int(hi)
}

// GroupName returns the dispatch group of a request: one per target for key
// ownership, one per service for a pool.
func GroupName(s inventory.Service, owner string) string {
	if s.Ownership == inventory.OwnershipPool {
		return s.Name
	}
	return s.Name + "/" + owner
}

// Route is the owner of a shard, as far as the manager has granted it. An
// empty owner means that the shard is between owners.
type Route struct {
	Owner string
	Fence uint64
}

// Group is the dispatch state of one group. A group named after a service also
// keeps that service's write intents; a group of one target only dispatches.
type Group struct {
	// Dispatcher is the VM that sends the group's requests, once Active is set.
	Dispatcher string
	// DispatcherBoot is the boot id of that VM's process. A process that was
	// started since then has lost the write intents and must not go on.
	DispatcherBoot string
	Active         bool
	// Epoch grows with each change of the dispatcher or the copies.
	Epoch  uint64
	Copies []string // VMs that hold the write intents besides the dispatcher
	// DataEpochs are the last epochs at which a copy can be complete. They tell
	// the next manager which copies are, also while the entry is not active.
	DataEpochs []uint64
	// UnknownUntilMS is the wall clock time, in milliseconds, until which a
	// write with a key may have run before without a surviving record.
	UnknownUntilMS int64
}

// DispatchedBy tells whether a VM's process dispatches the group now.
func (g Group) DispatchedBy(vm, bootID string) bool {
	return g.Active && g.Dispatcher == vm && g.DispatcherBoot == bootID
}

// LedgerGroup returns the group that keeps the write intents of a service.
func LedgerGroup(service string) string { return service }

// IsLedger tells whether a group keeps write intents.
func IsLedger(group string) bool { return !strings.Contains(group, "/") }

// Map is what a VM needs to route. Version orders maps: a higher term wins,
// then a higher sequence.
type Map struct {
	Term          uint64
	Sequence      uint64
	ConfigVersion uint64
	Shards        map[string][]Route // by service; index is the shard
	Groups        map[string]Group
	Peers         map[string]string // VM to peer address
}

// Newer tells whether m replaces other.
func (m *Map) Newer(other *Map) bool {
	if other == nil {
		return true
	}
	if m.Term != other.Term {
		return m.Term > other.Term
	}
	return m.Sequence > other.Sequence
}

// Lookup returns the route of a key of a service with key ownership.
func (m *Map) Lookup(service, key string) (shard int, route Route, ok bool) {
	routes := m.Shards[service]
	if len(routes) == 0 {
		return 0, Route{}, false
	}
	shard = ShardOf(service, key, len(routes))
	return shard, routes[shard], routes[shard].Owner != ""
}
