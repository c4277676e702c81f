package control

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// Limits of snapshots. All control state of a node may use at most 128 MB of memory.
const (
	MaxSnapshotBytes = 32 << 20 // as JSON, all chunks together; also limits all incomplete snapshots together
	// MaxSnapshotChunks is the highest number of chunks of a snapshot. It bounds
	// the memory for tracking the chunks of incomplete snapshots.
	MaxSnapshotChunks = 1 << 16
	// MaxPendingSnapshots is the number of incomplete snapshots that an
	// Assembler keeps. Several writers are active only while a manager is replaced.
	MaxPendingSnapshots = 4
)

// Chunk is a part of a snapshot. Each chunk is one record of the snapshot stream.
type Chunk struct {
	ID     string `json:"id"`     // of the snapshot; the same in all its chunks
	Covers uint64 `json:"covers"` // Snapshot.Next: records below this offset are covered
	Index  int    `json:"index"`  // of this chunk, from 0
	Count  int    `json:"count"`  // of chunks
	SHA256 string `json:"sha256"` // of the whole snapshot, in hexadecimal
	Data   []byte `json:"data"`
}

// Encode returns the chunk as JSON.
func (c Chunk) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode snapshot chunk")
}

// DecodeChunk parses a chunk and checks what can be checked without the other
// chunks of the snapshot.
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

// check checks the fields of a chunk on their own.
func (c Chunk) check() error {
	sum, err := hex.DecodeString(c.SHA256)
	switch {
	case c.ID == "" || len(c.ID) > MaxWriterBytes:
		return errors.Errorf("snapshot chunk's id is empty or too long: %d bytes", len(c.ID))
	case c.Index < 0 || c.Index >= c.Count || c.Count > MaxSnapshotChunks:
		return errors.Errorf("snapshot chunk %d of %d is out of range", c.Index, c.Count)
	case len(c.Data) == 0:
		return errors.Errorf("snapshot chunk %d of %d is empty", c.Index, c.Count)
	case err != nil || len(sum) != sha256.Size:
		return errors.Errorf("snapshot chunk %d of %d has no valid SHA-256", c.Index, c.Count)
	}
	return nil
}

// Chunks splits a snapshot into chunks of at most maxBytes each in encoded form.
func Chunks(snap Snapshot, id string, maxBytes int) ([]Chunk, error) {
	whole, err := json.Marshal(snap)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if len(whole) > MaxSnapshotBytes {
		return nil, errors.Errorf("snapshot has %d bytes, more than %d", len(whole), MaxSnapshotBytes)
	}
	sum := sha256.Sum256(whole)
	header := Chunk{ID: id, Covers: snap.Next, Index: MaxSnapshotChunks, Count: MaxSnapshotChunks, SHA256: hex.EncodeToString(sum[:]), Data: []byte{}}
	encodedHeader, err := header.Encode()
	if err != nil {
		return nil, err
	}
	size := (min(maxBytes, MaxRecordBytes) - len(encodedHeader)) / 4 * 3 // base64 encodes 3 bytes as 4
	if size < 1 {
		return nil, errors.Errorf("limit of %d bytes is too small for a snapshot chunk", maxBytes)
	}
	chunks := make([]Chunk, (len(whole)+size-1)/size)
	for i := range chunks {
		c := header
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
// checksum matches and which Restore accepts.
type Assembler struct {
	pending []*pendingSnapshot // incomplete; by arrival of the last chunk, oldest first
	newest  Snapshot
	found   bool
}

// pendingSnapshot holds the chunks of an incomplete snapshot.
type pendingSnapshot struct {
	header Chunk          // without Index and Data
	parts  map[int][]byte // data by chunk index
	size   int
}

// Add processes the next chunk in log order and reports whether it completed a
// snapshot that is now the newest. A chunk of a snapshot that covers no more than
// the newest is ignored. The error says why the chunk, or its snapshot with all its
// chunks, was discarded; the caller can continue with the next chunk.
func (a *Assembler) Add(c Chunk) (bool, error) {
	if err := c.check(); err != nil {
		return false, err
	}
	if a.found && c.Covers <= a.newest.Next {
		return false, nil
	}
	p := a.takePending(c)
	if old, duplicate := p.parts[c.Index]; duplicate {
		if !bytes.Equal(old, c.Data) {
			return false, errors.Errorf("snapshot %q: chunk %d was written again with different data", c.ID, c.Index)
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

// takePending removes the pending snapshot with the chunk's id and returns it. If
// there is none, or if it differs in another field that all chunks of a snapshot
// share, takePending returns a new, empty one.
func (a *Assembler) takePending(c Chunk) *pendingSnapshot {
	header := c
	header.Index, header.Data = 0, nil
	for i, p := range a.pending {
		if p.header.ID != c.ID {
			continue
		}
		a.pending = append(a.pending[:i], a.pending[i+1:]...)
		if p.header.sameSnapshot(header) {
			return p
		}
		break
	}
	return &pendingSnapshot{header: header, parts: map[int][]byte{}}
}

// sameSnapshot reports whether two chunks agree in all fields that are the same in
// all chunks of a snapshot.
func (c Chunk) sameSnapshot(o Chunk) bool {
	return c.ID == o.ID && c.Covers == o.Covers && c.Count == o.Count && c.SHA256 == o.SHA256
}

// evict keeps the incomplete snapshots that received a chunk most recently, up to
// MaxPendingSnapshots with at most MaxSnapshotBytes together.
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

// complete joins and checks the chunks of a snapshot and makes it the newest.
func (a *Assembler) complete(p *pendingSnapshot) (bool, error) {
	whole := make([]byte, 0, p.size)
	for i := range p.header.Count {
		whole = append(whole, p.parts[i]...)
	}
	sum := sha256.Sum256(whole)
	if hex.EncodeToString(sum[:]) != p.header.SHA256 {
		return false, errors.Errorf("snapshot %q does not match its checksum", p.header.ID)
	}
	var snap Snapshot
	if err := json.Unmarshal(whole, &snap); err != nil {
		return false, errors.Wrapf(err, "decode snapshot %q", p.header.ID)
	}
	if snap.Next != p.header.Covers {
		return false, errors.Errorf("snapshot %q covers records below offset %d, but its chunks say %d", p.header.ID, snap.Next, p.header.Covers)
	}
	if _, err := Restore(snap); err != nil {
		return false, errors.Wrapf(err, "snapshot %q", p.header.ID)
	}
	a.newest, a.found = snap, true
	a.pending = dropCovered(a.pending, snap.Next)
	return true, nil
}

// dropCovered removes the pending snapshots that cover no records at or above the
// offset next.
func dropCovered(pending []*pendingSnapshot, next uint64) []*pendingSnapshot {
	var kept []*pendingSnapshot
	for _, p := range pending {
		if p.header.Covers > next {
			kept = append(kept, p)
		}
	}
	return kept
}
