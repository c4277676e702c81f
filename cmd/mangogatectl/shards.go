package main

import (
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/shardmap"
)

// shardsOf returns the shard of a key in each service with key ownership, by the
// name of the service.
func shardsOf(doc inventory.Document, key string) map[string]int {
	shards := map[string]int{}
	for _, s := range doc.Services {
		if s.Ownership == inventory.OwnershipKey {
			shards[s.Name] = shardmap.ShardOf(s.Name, key, s.Shards)
		}
	}
	return shards
}
