package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// Limits of snapshots. A node's whole control may use 128 MB.
const (
	MaxSnapshotBytes = 32 << 20
	// MaxSnapshotChunks bounds the bookkeeping of incomplete snapshots.
	MaxSnapshotChunks = 1 << 16
	// MaxPendingSnapshots is the number of incomplete snapshots that an
	// Assembler keeps. Writers overlap only while a manager is replaced.
	MaxPendingSnapshots = 4
)

// Chunk is a part of a snapshot, one record of the stream of snapshots.
type Chunk struct {
	ID     string `json:"id"`     // the same in all chunks of a snapshot
	Covers uint64 `json:"covers"` // Snapshot.Next
	Index  int    `json:"index"`  // from 0
	Count  int    `json:"count"`
	SHA256 string `json:"sha256"` // of the whole snapshot, in hexadecimal
	Data   []byte `json:"data"`
}

// Encode returns the chunk as JSON.
func (c Chunk) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode snapshot chunk")
}

// DecodeChunk parses a chunk and checks what can be told from it alone.
func DecodeChunk(data []byte) (Chunk, error) {
	var c Chunk
	if len(data) > MaxRecordBytes {
		return c, errors.Errorf("snapshot chunk has %d bytes, more than %d", len(data), MaxRecordBytes)
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(err, "decode snapshot chunk")
	}
	return c, c.check()
}

func (c Chunk) check() error {
	sum, err := hex.DecodeString(c.SHA256)
	switch {
	case c.ID == "" || len(c.ID) > MaxWriterBytes:
		return errors.Errorf("snapshot chunk's id has %d bytes", len(c.ID))
	case c.Index < 0 || c.Index >= c.Count || c.Count > MaxSnapshotChunks:
		return errors.Errorf("snapshot chunk %d of %d is out of range", c.Index, c.Count)
	case len(c.Data) == 0:
		return errors.Errorf("snapshot chunk %d of %d is empty", c.Index, c.Count)
	case err != nil || len(sum) != sha256.Size:
		return errors.Errorf("snapshot chunk %d of %d has no SHA-256", c.Index, c.Count)
	}
	return nil
}

// Chunks splits a snapshot into chunks whose encoded form has at most maxBytes.
func Chunks(snap Snapshot, id string, maxBytes int) ([]Chunk, error) {
	whole, err := json.Marshal(snap)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if len(whole) > MaxSnapshotBytes {
		return nil, errors.Errorf("snapshot has %d bytes, more than %d", len(whole), MaxSnapshotBytes)
	}
	sum := sha256.Sum256(whole)
	head := Chunk{ID: id, Covers: snap.Next, Index: MaxSnapshotChunks, Count: MaxSnapshotChunks, SHA256: hex.EncodeToString(sum[:]), Data: []byte{}}
	empty, err := head.Encode()
	if err != nil {
		return nil, err
	}
	size := (min(maxBytes, MaxRecordBytes) - len(empty)) / 4 * 3 // base64 turns 3 bytes into 4
	if size < 1 {
		return nil, errors.Errorf("%d bytes are too few for a snapshot chunk", maxBytes)
	}
	chunks := make([]Chunk, (len(whole)+size-1)/size)
	for i := range chunks {
		c := head
		c.Index, c.Count, c.Data = i, len(chunks), whole[i*size:min((i+1)*size, len(whole))]
		if err := c.check(); err != nil {
			return nil, err
		}
		chunks[i] = c
	}
	return chunks, nil
}

// Assembler finds the newest complete snapshot in a stream of chunks. The zero
// value is ready for use. Invariant: Newest returns only a snapshot whose
// checksum is right and which Restore accepts.
type Assembler struct {
	pending []*pendingSnapshot // in order of the last chunk, oldest first
	newest  Snapshot
	found   bool
}

type pendingSnapshot struct {
	head  Chunk // without Index and Data
	parts map[int][]byte
	size  int
}

// Add takes the next chunk in log order and tells whether it completed a
// snapshot that is now the newest. The error says why a chunk or a snapshot is
// of no use; the Assembler goes on with the next chunk.
func (a *Assembler) Add(c Chunk) (bool, error) {
	if err := c.check(); err != nil {
		return false, err
	}
	if a.found && c.Covers <= a.newest.Next {
		return false, nil
	}
	p := a.take(c)
	if old, twice := p.parts[c.Index]; twice {
		if !bytes.Equal(old, c.Data) {
			return false, errors.Errorf("snapshot %q: chunk %d was written with two contents", c.ID, c.Index)
		}
	} else {
		p.parts[c.Index] = bytes.Clone(c.Data)
		p.size += len(c.Data)
	}
	if len(p.parts) == c.Count {
		return a.complete(p)
	}
	a.pending = append(a.pending, p)
	a.evict()
	return false, nil
}

// Newest returns the complete snapshot that covers the most records.
func (a *Assembler) Newest() (Snapshot, bool) { return a.newest, a.found }

// take removes the snapshot that a chunk belongs to from the pending ones, or
// starts it. A chunk that differs from the earlier ones starts it afresh.
func (a *Assembler) take(c Chunk) *pendingSnapshot {
	head := c
	head.Index, head.Data = 0, nil
	for i, p := range a.pending {
		if p.head.ID != c.ID {
			continue
		}
		a.pending = append(a.pending[:i], a.pending[i+1:]...)
		if p.head.equal(head) {
			return p
		}
		break
	}
	return &pendingSnapshot{head: head, parts: map[int][]byte{}}
}

func (c Chunk) equal(o Chunk) bool {
	return c.ID == o.ID && c.Covers == o.Covers && c.Count == o.Count && c.SHA256 == o.SHA256
}

// evict bounds the memory of incomplete snapshots; those whose writer wrote
// last are kept.
func (a *Assembler) evict() {
	size := 0
	for i := len(a.pending) - 1; i >= 0; i-- {
		size += a.pending[i].size
		if size > MaxSnapshotBytes || len(a.pending)-i > MaxPendingSnapshots {
			a.pending = append([]*pendingSnapshot(nil), a.pending[i+1:]...)
			return
		}
	}
}

func (a *Assembler) complete(p *pendingSnapshot) (bool, error) {
	whole := make([]byte, 0, p.size)
	for i := range p.head.Count {
		whole = append(whole, p.parts[i]...)
	}
	sum := sha256.Sum256(whole)
	if hex.EncodeToString(sum[:]) != p.head.SHA256 {
		return false, errors.Errorf("snapshot %q has a wrong checksum", p.head.ID)
	}
	var snap Snapshot
	if err := json.Unmarshal(whole, &snap); err != nil {
		return false, errors.Wrapf(err, "decode snapshot %q", p.head.ID)
	}
	if snap.Next != p.head.Covers {
		return false, errors.Errorf("snapshot %q covers %d, its chunks say %d", p.head.ID, snap.Next, p.head.Covers)
	}
	if _, err := Restore(snap); err != nil {
		return false, errors.Wrapf(err, "snapshot %q", p.head.ID)
	}
	a.newest, a.found = snap, true
	a.pending = dropCovered(a.pending, snap.Next)
	return true, nil
}

func dropCovered(pending []*pendingSnapshot, next uint64) []*pendingSnapshot {
	var kept []*pendingSnapshot
	for _, p := range pending {
		if p.head.Covers > next {
			kept = append(kept, p)
		}
	}
	return kept
}
