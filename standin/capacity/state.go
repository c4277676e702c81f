package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/dedupe"
	"github.com/mangogate/mangogate/core/shardmap"
)

// hotKeys measures the time and memory of the bounded hot key table.
func (r *Report) hotKeys() error {
	keys := make([]string, 1<<17)
	for i := range keys {
		keys[i] = fmt.Sprintf("field-%08d", i*i%100003)
	}
	for _, capacity := range []int{64, 256, 1024, 4096, 16384} {
		h := shardmap.NewHotKeys(capacity, 0.5)
		took := fastest(repeats, func() {
			for _, k := range keys {
				h.Add(k, 1)
			}
		})
		r.add("hotkeys.add", "slot", "ns a request", "", float64(capacity), float64(took)/float64(len(keys)))
		r.add("hotkeys.heap", "slot", "bytes", "", float64(capacity), heapOf(func() any {
			h := shardmap.NewHotKeys(capacity, 0.5)
			for i := range capacity {
				h.Add(fmt.Sprintf("field-%08d", i), 1)
			}
			return h
		}))
	}
	return nil
}

// dedupe measures the memory of write intents, and the time that a write takes at
// the dispatcher together with one VM that holds a copy of its intents.
func (r *Report) dedupe() error {
	answer := func() dedupe.Answer {
		return dedupe.Answer{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 200)}
	}
	for _, n := range []int{25000, 50000, 100000, 200000} {
		var dispatcher, copyHolder *dedupe.Table
		began, took := time.Time{}, time.Duration(0)
		heap := heapOf(func() any {
			dispatcher, copyHolder = dedupe.NewTable(dedupe.DefaultConfig()), dedupe.NewTable(dedupe.DefaultConfig())
			dispatcher.SetComplete(true)
			copyHolder.SetComplete(true)
			began = time.Now()
			for i := range n {
				executeWrite(dispatcher, copyHolder, fmt.Sprintf("%s %016x", service, i), answer())
			}
			took = time.Since(began)
			return [2]*dedupe.Table{dispatcher, copyHolder}
		})
		r.add("dedupe.heap", "write intent", "bytes", "one table, answers of 200 bytes, shared by the copy", float64(n), heap/2)
		r.add("dedupe.time", "write intent", "us", "at the dispatcher and one copy", float64(n), us(took))
		runtime.KeepAlive(copyHolder)
	}
	return nil
}

// executeWrite begins and completes a write at the dispatcher, and copies the write
// intent after each of the two steps.
func executeWrite(dispatcher, copyHolder *dedupe.Table, key string, answer dedupe.Answer) {
	now := time.Minute
	if d, _ := dispatcher.Begin(now, key, 7, 1); d != dedupe.Run {
		panic(fmt.Sprintf("write %q was not admitted: decision %d", key, d))
	}
	e, _ := dispatcher.Lookup(key)
	copyHolder.ApplyReplicated(now, e)
	dispatcher.Complete(now, key, answer)
	e, _ = dispatcher.Lookup(key)
	copyHolder.ApplyReplicated(now, e)
}

// logRecords measures the log records that contain a whole list: of targets, members
// or shard assignments.
func (r *Report) logRecords() error {
	for _, n := range []int{190, 380, 760, 1520, fullTargets} {
		rec := control.Record{Writer: "vm-001-0123456789ab", Seq: 1, Document: &control.DocumentChange{Author: "operator", Document: document(n)}}
		data, err := rec.Encode()
		if err != nil {
			return err
		}
		r.add("record.document", "target", "bytes of JSON", "", float64(n), float64(len(data)))
		var verdict control.Verdict
		took := fastest(repeats, func() { verdict = control.NewState().ApplyBytes(0, data) })
		if !verdict.Accepted {
			return fmt.Errorf("document of %d targets was rejected: %s %s", n, verdict.Reason, verdict.Detail)
		}
		r.add("record.document_apply", "target", "ms", "decode, validate, apply", float64(n), ms(took))
	}
	for _, n := range []int{95, 190, 380, fullVMs} {
		rec := control.Record{Writer: "vm-001-0123456789ab", Seq: 1, Members: &control.MembersChange{Members: members(n)}}
		data, err := rec.Encode()
		if err != nil {
			return err
		}
		r.add("record.members", "member", "bytes of JSON", "", float64(n), float64(len(data)))
		r.add("record.members_apply", "member", "ms", "", float64(n), ms(fastest(repeats, func() { control.NewState().ApplyBytes(0, data) })))
	}
	for _, n := range []int{64, 256, 1024, 4096} {
		rec := control.Record{Writer: "vm-001-0123456789ab", Seq: 1, Assign: &control.AssignmentChange{Shards: assignments(n, fullTargets)}}
		data, err := rec.Encode()
		if err != nil {
			return err
		}
		r.add("record.assign", "shard", "bytes of JSON", "", float64(n), float64(len(data)))
		r.add("record.assign_apply", "shard", "ms", "", float64(n), ms(fastest(repeats, func() { control.NewState().ApplyBytes(0, data) })))
	}
	return nil
}

// replay measures the replay of a log in which each record assigns 27 shards, as many
// as the loss of one server moves at full size.
func (r *Report) replay() error {
	const shardsPerRecord = 27
	for _, n := range []int{1000, 2000, 4000, 8000} {
		log := make([][]byte, n)
		for i := range log {
			shards := assignments(shardsPerRecord, fullTargets)
			for j := range shards {
				shards[j].Shard = (i*shardsPerRecord + j) % fullShards
				shards[j].Fence = uint64(i+1) * control.FenceBlock
			}
			rec := control.Record{Writer: vmName(i % fullVMs), Seq: uint64(i + 1), Assign: &control.AssignmentChange{Base: uint64(i), Shards: shards}}
			var err error
			if log[i], err = rec.Encode(); err != nil {
				return err
			}
		}
		var last control.Verdict
		took := fastest(3, func() {
			st := control.NewState()
			for i, data := range log {
				last = st.ApplyBytes(uint64(i), data)
			}
		})
		if !last.Accepted {
			return fmt.Errorf("replay of %d records was rejected: %s %s", n, last.Reason, last.Detail)
		}
		r.add("replay.time", "log record", "ms", "27 shards a record", float64(n), ms(took))
	}
	return nil
}

// snapshots measures the memory of the replicated state, the size of its snapshot,
// and the time to write and load it.
func (r *Report) snapshots() error {
	for _, shards := range []int{4096, 16384, 32768, fullShards} {
		fill := func() *control.State {
			st := control.NewState()
			st.Apply(0, control.Record{Writer: "a", Seq: 1, Document: &control.DocumentChange{Document: document(fullTargets)}})
			st.Apply(1, control.Record{Writer: "a", Seq: 2, Members: &control.MembersChange{Members: members(fullVMs)}})
			st.Apply(2, control.Record{Writer: "a", Seq: 3, Assign: &control.AssignmentChange{Shards: assignments(shards, fullTargets)}})
			return st
		}
		r.add("state.heap", "shard", "bytes", "2,470 targets, 760 members", float64(shards), heapOf(func() any { return fill() }))
		st, size := fill(), 0
		var chunks []control.Chunk
		var err error
		writeTime := fastest(3, func() { chunks, err = control.Chunks(st.Snapshot(), "id", 256<<10) })
		if err != nil {
			return err
		}
		for _, c := range chunks {
			size += len(c.Data)
		}
		loadTime := fastest(3, func() {
			var a control.Assembler
			for _, c := range chunks {
				if _, e := a.Add(c); e != nil {
					err = e
				}
			}
		})
		if err != nil {
			return err
		}
		r.add("snapshot.bytes", "shard", "bytes of JSON", "2,470 targets, 760 members", float64(shards), float64(size))
		r.add("snapshot.write", "shard", "ms", "encode, hash, split", float64(shards), ms(writeTime))
		r.add("snapshot.load", "shard", "ms", "join, check, decode, restore", float64(shards), ms(loadTime))
	}
	return nil
}
