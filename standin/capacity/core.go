package capacity

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/mangogate/mangogate/core/authority"
	"github.com/mangogate/mangogate/core/lease"
	"github.com/mangogate/mangogate/core/placement"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/manager"
	"github.com/mangogate/mangogate/node/mapstore"
	"github.com/mangogate/mangogate/node/targets"
)

const repeats = 5 // runs of a measurement that takes a few milliseconds

// Core measures the time, memory and message sizes of the control plane's decision
// code, in this process and without a network.
func (r *Report) Core() error {
	for _, measure := range []func() error{
		r.heartbeats, r.mapSizes, r.dispatchers, r.placement, r.leases, r.hotKeys, r.dedupe, r.logRecords, r.replay, r.snapshots,
	} {
		if err := measure(); err != nil {
			return err
		}
	}
	return nil
}

// heartbeats measures one heartbeat round, in which the manager sends a message to
// each other member and handles the reply.
func (r *Report) heartbeats() error {
	for _, n := range []int{24, 95, 190, 380, fullVMs} {
		managerTime, memberTime, err := heartbeatRound(n)
		if err != nil {
			return err
		}
		r.add("heartbeat.manager", "member", "us a round", "200 ms a round", float64(n), us(managerTime))
		r.add("heartbeat.members", "member", "us a round", "all other members together", float64(n), us(memberTime))
	}
	size, err := steadyGobSize(func(e *gob.Encoder, i int) error {
		return e.Encode(manager.DeliverArgs{From: vmName(i), Message: authority.Message{
			Kind: authority.KindHeartbeat, Term: 900, SentAt: time.Hour + time.Duration(i), Incarnation: rand.Uint64(), Version: 90000,
		}})
	})
	r.add("heartbeat.message", "message", "bytes of gob", "body without the header of net/rpc", 1, size)
	return err
}

// heartbeatRound makes member 1 of n, which may hold term 1, the manager and measures
// rounds. It returns the time per round at the manager, and at all others together.
func heartbeatRound(n int) (managerTime, memberTime time.Duration, err error) {
	names := make([]string, n)
	nodes := map[string]*authority.Node{}
	now := time.Duration(0)
	for i := range names {
		names[i] = vmName(i)
		nodes[names[i]] = authority.New(authority.DefaultConfig(names[i]), now, rand.New(rand.NewPCG(1, uint64(i))))
	}
	for _, name := range names {
		nodes[name].Step(now, authority.MembersChanged{Members: names})
	}
	now += 2 * time.Second
	managerVM := names[1]
	step := func() (atManager, atOthers time.Duration) {
		began := time.Now()
		actions := nodes[managerVM].Step(now, authority.Tick{})
		atManager = time.Since(began)
		for _, a := range actions {
			send, ok := a.(authority.Send)
			if !ok {
				continue
			}
			t0 := time.Now()
			replies := nodes[send.To].Step(now, authority.Received{From: managerVM, Message: send.Message})
			t1 := time.Now()
			for _, reply := range replies {
				if s, ok := reply.(authority.Send); ok && s.To == managerVM {
					nodes[managerVM].Step(now, authority.Received{From: send.To, Message: s.Message})
				}
			}
			atManager, atOthers = atManager+time.Since(t1), atOthers+t1.Sub(t0)
		}
		now += 20 * time.Millisecond
		return atManager, atOthers
	}
	for range 200 {
		step()
		if _, ok := nodes[managerVM].Acting(now); ok {
			break
		}
	}
	if _, ok := nodes[managerVM].Acting(now); !ok {
		return 0, 0, fmt.Errorf("none of %d members became manager", n)
	}
	const rounds = 50
	for range rounds * 10 { // a tick is 20 ms and a round is 200 ms
		m, o := step()
		managerTime, memberTime = managerTime+m, memberTime+o
	}
	return managerTime / rounds, memberTime / rounds, nil
}

// steadyGobSize returns the size in bytes of a gob message on a connection that has
// carried a message of this type, and so the type description, before.
func steadyGobSize(encode func(e *gob.Encoder, i int) error) (float64, error) {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	if err := encode(e, 0); err != nil {
		return 0, err
	}
	b.Reset()
	err := encode(e, 1)
	return float64(b.Len()), err
}

// mapSizes measures the full dispatch map as it is installed on a VM.
func (r *Report) mapSizes() error {
	for _, shards := range []int{4096, 16384, 32768, fullShards, 4 * fullShards} {
		m := dispatchMap(shards, fullTargets, fullVMs)
		size, encode, decode, err := installCost(m)
		if err != nil {
			return err
		}
		fixed := fmt.Sprintf("%d targets, %d VMs", fullTargets, fullVMs)
		r.add("map.bytes", "shard", "bytes of gob", fixed, float64(shards), size)
		r.add("map.encode", "shard", "ms", fixed, float64(shards), ms(encode))
		r.add("map.decode", "shard", "ms", fixed, float64(shards), ms(decode))
		r.add("map.heap", "shard", "bytes", fixed, float64(shards), heapOf(func() any { return gobCopy(m) }))
		runtime.KeepAlive(m) // if m were freed during heapOf, the copy would seem smaller
	}
	for _, n := range []int{95, 190, 380, fullVMs} {
		size, _, _, err := installCost(dispatchMap(fullShards, n*fullTargets/fullVMs, n))
		if err != nil {
			return err
		}
		r.add("map.bytes_by_vms", "VM", "bytes of gob", "65,536 shards, 3.25 targets a VM", float64(n), size)
	}
	size, err := steadyGobSize(func(e *gob.Encoder, _ int) error {
		return e.Encode(mapstore.InstallArgs{Term: 9, Manager: vmName(1), Echo: time.Hour, BootID: "0123456789ab", Lease: time.Second, Sequence: 9})
	})
	r.add("map.renewal", "message", "bytes of gob", "without a map", 1, size)
	return err
}

// installCost returns the size of the message that installs a map, in bytes, and the
// time to encode and to decode it.
func installCost(m *shardmap.Map) (size float64, encode, decode time.Duration, err error) {
	var b bytes.Buffer
	args := mapstore.InstallArgs{Term: m.Term, Sequence: m.Sequence, Map: m}
	encode = fastest(repeats, func() {
		b.Reset()
		err = gob.NewEncoder(&b).Encode(args)
	})
	decode = fastest(repeats, func() {
		var out mapstore.InstallArgs
		if e := gob.NewDecoder(bytes.NewReader(b.Bytes())).Decode(&out); e != nil {
			err = e
		}
	})
	return float64(b.Len()), encode, decode, err
}

// gobCopy returns a copy of m that shares no memory with it.
func gobCopy(m *shardmap.Map) any {
	var b bytes.Buffer
	var out shardmap.Map
	_ = gob.NewEncoder(&b).Encode(m) // installCost has encoded m without an error
	_ = gob.NewDecoder(&b).Decode(&out)
	return &out
}

// dispatchers measures one choice of the dispatcher of a group, which the manager
// repeats for every group.
func (r *Report) dispatchers() error {
	for _, n := range []int{24, 95, 190, 380, fullVMs} {
		vms := make([]placement.VM, n)
		for i := range vms {
			vms[i] = placement.VM{Name: vmName(i), DataCentre: dataCentreName(i), Available: true}
		}
		current := placement.PlaceGroup(service, dataCentreName(0), vms, placement.DispatchPlacement{})
		took := fastest(repeats, func() {
			for range 20 {
				placement.PlaceGroup(service, dataCentreName(0), vms, current)
			}
		})
		r.add("placement.dispatcher", "VM", "us a group", "no change", float64(n), us(took)/20)
	}
	return nil
}

// placement measures a computation of the placement without a change, and one after
// the loss of a server.
func (r *Report) placement() error {
	measureSize := func(name, x string, size, shards, targets int, fixed string) {
		list := servers(targets)
		placed := placement.Assign(service, list, make([]placement.Shard, shards))
		unchanged := fastest(2, func() { placement.Assign(service, list, placed) })
		list[targets/2].Available = false
		loss := fastest(2, func() { placement.Assign(service, list, placed) })
		r.add("placement.unchanged_by_"+name, x, "ms", fixed, float64(size), ms(unchanged))
		r.add("placement.loss_by_"+name, x, "ms", fixed, float64(size), ms(loss))
	}
	for _, shards := range []int{4096, 16384, 32768, fullShards} {
		measureSize("shards", "shard", shards, shards, fullVMs, "760 servers")
	}
	for _, n := range []int{95, 190, 380, fullVMs, fullTargets} {
		measureSize("servers", "server", n, fullShards, n, "65,536 shards")
	}
	return nil
}

// leases measures a renewal round of the leases of all servers, with a grant and a
// reply per server, and the messages of a grant.
func (r *Report) leases() error {
	for _, n := range []int{95, 190, 380, fullVMs, fullTargets} {
		round, heap := leaseRound(n, fullShards)
		r.add("lease.round_by_servers", "server", "ms a round", "65,536 shards, 200 ms a round", float64(n), ms(round))
		r.add("lease.heap_by_servers", "server", "bytes", "65,536 shards", float64(n), heap)
	}
	for _, shards := range []int{4096, 16384, 32768, fullShards} {
		round, _ := leaseRound(fullVMs, shards)
		r.add("lease.round_by_shards", "shard", "ms a round", "760 servers, 200 ms a round", float64(shards), ms(round))
	}
	for _, held := range []int{8, 16, 32, 64, 128} {
		req, reply := grantMessages(held)
		r.add("grant.request", "shard held", "bytes of JSON", "without HTTP headers", float64(held), float64(len(req)))
		r.add("grant.reply", "shard held", "bytes of JSON", "without HTTP headers", float64(held), float64(len(reply)))
		r.add("grant.codec", "shard held", "us", "encode the grant, decode the reply", float64(held), us(fastest(repeats, func() {
			for range 100 {
				_, data := grantMessages(held)
				var out targets.GrantReply
				_ = json.Unmarshal(data, &out) // cannot fail: the data has just been encoded
			}
		}))/100)
	}
	return nil
}

// grantMessages returns a grant to a server that holds a number of shards, and the
// reply, as JSON.
func grantMessages(held int) (request, reply []byte) {
	req := targets.GrantRequest{Term: 900, Sequence: 1 << 30, EchoMS: 86400000, LeaseMS: 1200, DispatchEpoch: 900 << 20, BootID: "0123456789ab"}
	ans := targets.GrantReply{BootID: "0123456789ab", ClockMS: 86400000, Warm: true, HighestFence: map[int]uint64{}}
	for i := range held {
		s := targets.ShardFence{Shard: 40000 + i*199%25000, Fence: 5 * 1024}
		req.Shards, ans.Holds = append(req.Shards, s), append(ans.Holds, s)
		ans.HighestFence[s.Shard] = s.Fence
	}
	request, _ = json.Marshal(req) // cannot fail: plain data
	reply, _ = json.Marshal(ans)
	return request, reply
}

// leaseRound returns the time of a renewal round of n servers, and the heap of the
// lease table in bytes.
func leaseRound(n, shards int) (round time.Duration, heap float64) {
	var table *lease.Table
	now := time.Duration(0)
	serve := func(actions []lease.Action) {
		for _, a := range actions {
			if g, ok := a.(lease.Grant); ok {
				table.Step(now, lease.Reply{Server: g.Server, Sequence: g.Sequence, BootID: "b", Clock: now + time.Hour, Holds: g.Shards})
			}
		}
	}
	heap = heapOf(func() any {
		table = lease.NewTable(lease.DefaultConfig(), now)
		var all []lease.Assignment
		for _, a := range assignments(shards, n) {
			all = append(all, lease.Assignment{Shard: lease.Shard{Service: service, Index: a.Shard}, Owner: a.Owner, Standbys: a.Standbys, Fence: a.Fence})
		}
		table.Step(now, lease.Assigned{Assignments: all})
		for i := range n {
			table.Step(now, lease.ServerAdded{Server: targetName(i), Service: service})
		}
		for range 100 {
			serve(table.Step(now, lease.Tick{}))
			now += 20 * time.Millisecond
		}
		return table
	})
	const rounds = 10
	round = fastest(3, func() {
		for range rounds * 10 {
			serve(table.Step(now, lease.Tick{}))
			now += 20 * time.Millisecond
		}
	}) / rounds
	return round, heap
}
