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

// Hash returns a 64-bit hash of the strings: FNV-1a followed by a finalizer, so
// that all bits of the result depend on every byte.
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
	// The high word of the product maps the hash to 0..shards-1 without the bias
	// of a modulus.
	hi, _ := bits.Mul64(Hash(service, key), uint64(shards))
	return int(hi)
}

// GroupName returns the name of the dispatch group of a request. There is one
// group per owner target for services with key ownership, and one per service
// for services with pool ownership.
func GroupName(s inventory.Service, owner string) string {
	if s.Ownership == inventory.OwnershipPool {
		return s.Name
	}
	return s.Name + "/" + owner
}

// Route names the server that holds a shard. Owner is empty while no server holds
// it, such as during a move.
type Route struct {
	Owner string
	Fence uint64 // fencing token of the owner's lease
}

// Group is the dispatch state of one group. A group that is named after a service
// also stores the write intents of that service; the group of a single target
// only dispatches requests.
type Group struct {
	// Dispatcher is the VM that sends the group's requests, once Active is set.
	Dispatcher string
	// DispatcherBoot is the boot id of the dispatcher's process. A process that
	// was started later has lost the write intents and must not dispatch.
	DispatcherBoot string
	Active         bool
	// Epoch increases with each change of the dispatcher or the copies.
	Epoch  uint64
	Copies []string // VMs that hold the write intents besides the dispatcher
	// DataEpochs lists the last epochs, at most two, at which the group was active. A
	// copy that is complete at one of them holds all write intents. A new manager
	// uses them to find such copies, also while the group is not active.
	DataEpochs []uint64
	// UnknownUntilMS is a wall clock time in Unix milliseconds. Until then, a write
	// with an idempotency key may have been executed although the dispatcher has no
	// intent of it, because no complete copy of the intents was found.
	UnknownUntilMS int64
}

// DispatchedBy reports whether the process with bootID on a VM is the group's
// active dispatcher.
func (g Group) DispatchedBy(vm, bootID string) bool {
	return g.Active && g.Dispatcher == vm && g.DispatcherBoot == bootID
}

// WriteIntentGroup returns the name of the group that stores the write intents of a
// service.
func WriteIntentGroup(service string) string { return service }

// StoresWriteIntents reports whether a group stores write intents.
func StoresWriteIntents(group string) bool { return !strings.Contains(group, "/") }

// Map holds everything that a VM needs to route requests. Maps are ordered by
// term, then by sequence; the highest one is in force.
type Map struct {
	Term          uint64
	Sequence      uint64
	ConfigVersion uint64
	Shards        map[string][]Route // by service; index is the shard
	Groups        map[string]Group
	Peers         map[string]string // peer address by VM
}

// Newer reports whether m replaces other, which may be nil.
func (m *Map) Newer(other *Map) bool {
	if other == nil {
		return true
	}
	if m.Term != other.Term {
		return m.Term > other.Term
	}
	return m.Sequence > other.Sequence
}

// Lookup returns the shard and route of a key of a service with key ownership. ok
// is false if the map has no shards of the service or the shard has no owner.
func (m *Map) Lookup(service, key string) (shard int, route Route, ok bool) {
	routes := m.Shards[service]
	if len(routes) == 0 {
		return 0, Route{}, false
	}
	shard = ShardOf(service, key, len(routes))
	return shard, routes[shard], routes[shard].Owner != ""
}
