package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/core/shardmap"
)

// The size of the deployment for which docs/CAPACITY.md derives its figures.
const (
	fullVMs         = 760
	fullShards      = 65536
	fullTargets     = 2470 // for 760 VMs, at the present ratio of 26 targets to 8 VMs
	fullDataCentres = 11
	service         = "field-conditions"
)

// fastest returns the shortest time of several runs of f, which other load on the
// machine has slowed down least.
func fastest(runs int, f func()) time.Duration {
	best := time.Duration(0)
	for i := range runs {
		began := time.Now()
		f()
		if took := time.Since(began); i == 0 || took < best {
			best = took
		}
	}
	return best
}

// heapOf returns the heap, in bytes, that the result of f keeps reachable.
func heapOf(f func() any) float64 {
	before := heapNow()
	v := f()
	after := heapNow()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// heapNow returns the bytes of reachable heap objects after a garbage collection.
func heapNow() uint64 {
	runtime.GC()
	runtime.GC() // frees the objects whose finalizers ran after the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func vmName(i int) string         { return fmt.Sprintf("vm-%03d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i%fullDataCentres) }
func targetName(i int) string     { return fmt.Sprintf("%s-%04d", service, i) }
func address(i int) string        { return fmt.Sprintf("10.%d.%d.%d:7400", i/65536, i/256%256, i%256) }

func members(n int) []control.Member {
	out := make([]control.Member, n)
	for i := range out {
		out[i] = control.Member{Slot: i, VM: vmName(i), DataCentre: dataCentreName(i), PeerAddress: address(i)}
	}
	return out
}

func document(targets int) inventory.Document {
	doc := inventory.Document{Deployment: "full"}
	for i := range fullDataCentres {
		doc.DataCentres = append(doc.DataCentres, inventory.DataCentre{Name: dataCentreName(i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	doc.Services = []inventory.Service{{Name: service, Ownership: inventory.OwnershipKey, Shards: fullShards}}
	doc.Rules = []inventory.Rule{{PathPrefix: "/fields/", Service: service, KeyTemplate: "/fields/{key}/conditions"}}
	for i := range targets {
		doc.Targets = append(doc.Targets, inventory.Target{
			Name: targetName(i), Service: service, DataCentre: dataCentreName(i), Address: address(i), Slots: 3, Connections: 100,
		})
	}
	return doc
}

func servers(n int) []placement.Server {
	out := make([]placement.Server, n)
	for i := range out {
		out[i] = placement.Server{Name: targetName(i), DataCentre: dataCentreName(i), Weight: 1, Available: true}
	}
	return out
}

// assignments spreads shards over targets in turn, without the cost of a placement.
func assignments(shards, targets int) []control.ShardAssignment {
	out := make([]control.ShardAssignment, shards)
	for i := range out {
		out[i] = control.ShardAssignment{
			Service: service, Shard: i, Owner: targetName(i % targets), Fence: control.FenceBlock,
			Standbys: []string{targetName((i + 1) % targets), targetName((i*7 + 2) % targets)},
		}
	}
	return out
}

// dispatchMap returns a dispatch map as the manager publishes it, with one group per
// target and one for the whole service.
func dispatchMap(shards, targets, vms int) *shardmap.Map {
	m := &shardmap.Map{
		Term: 7, Sequence: 9, ConfigVersion: 11, Shards: map[string][]shardmap.Route{service: make([]shardmap.Route, shards)},
		Groups: map[string]shardmap.Group{}, Peers: map[string]string{},
	}
	for i := range shards {
		m.Shards[service][i] = shardmap.Route{Owner: targetName(i % targets), Fence: control.FenceBlock}
	}
	for i := range targets {
		m.Groups[service+"/"+targetName(i)] = shardmap.Group{Dispatcher: vmName(i % vms), Active: true, Epoch: 7<<20 | uint64(i)}
	}
	m.Groups[service] = shardmap.Group{Dispatcher: vmName(0), Active: true, Epoch: 7 << 20, Copies: []string{vmName(1), vmName(2)}}
	for i := range vms {
		m.Peers[vmName(i)] = address(i)
	}
	return m
}
