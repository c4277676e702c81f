// Package control replays the control log into the state that every VM shares.
// Order comes from the log's offsets alone: of two records that replace the
// same version the one at the lower offset is accepted, on every reader alike.
package control

import (
	"encoding/json"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/pkg/errors"
)

// Record is one entry of the control log. Exactly one body is set.
type Record struct {
	Writer   string            `json:"writer"` // unique per process start
	Seq      uint64            `json:"seq"`    // grows by one a record of the writer
	Document *DocumentChange   `json:"document,omitempty"`
	Drain    *DrainChange      `json:"drain,omitempty"`
	Members  *MembersChange    `json:"members,omitempty"`
	Term     *TermOpened       `json:"term,omitempty"`
	Assign   *AssignmentChange `json:"assign,omitempty"`
}

// DocumentChange replaces the configuration document.
type DocumentChange struct {
	Base     uint64             `json:"base"` // document version it was edited from
	Author   string             `json:"author"`
	Document inventory.Document `json:"document"`
}

// DrainScope is the kind of thing that operators take out of service.
type DrainScope string

// The scopes of a drain.
const (
	ScopeDataCentre DrainScope = "data-centre"
	ScopeVM         DrainScope = "vm"
	ScopeTarget     DrainScope = "target"
)

func (d DrainScope) valid() bool {
	return d == ScopeDataCentre || d == ScopeVM || d == ScopeTarget
}

// DrainChange takes something out of service or back in.
type DrainChange struct {
	Scope  DrainScope `json:"scope"`
	Name   string     `json:"name"`
	Out    bool       `json:"out"`
	Base   uint64     `json:"base"` // version of this scope and name that it was decided on
	Author string     `json:"author"`
}

// Member is a VM that supports terms.
type Member struct {
	Slot        int    `json:"slot"`
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
}

// MembersChange replaces the members.
type MembersChange struct {
	Base    uint64   `json:"base"`
	Members []Member `json:"members"`
}

// TermOpened is a manager's first record. It closes the earlier terms: a later
// record of a lower term is void.
type TermOpened struct {
	Term    uint64 `json:"term"`
	Manager string `json:"manager"`
}

// ShardAssignment names a shard's owner, its standbys in order, and its fence.
type ShardAssignment struct {
	Service  string   `json:"service"`
	Shard    int      `json:"shard"`
	Owner    string   `json:"owner"`
	Standbys []string `json:"standbys,omitempty"`
	Fence    uint64   `json:"fence"`
}

// FenceBlock is the distance between two fences that the log hands out for a
// shard. A manager that promotes a standby during a log outage uses the
// numbers in between.
const FenceBlock = 1024

// AssignmentChange sets owners of shards.
type AssignmentChange struct {
	Term   uint64            `json:"term"`
	Base   uint64            `json:"base"` // offset of the last accepted AssignmentChange
	Shards []ShardAssignment `json:"shards"`
	// Published says that a dispatch map may be in use from now on. Before the
	// first such record no write can have run.
	Published bool `json:"published,omitempty"`
}

// MaxRecordBytes is the largest record that readers accept.
const MaxRecordBytes = 4 << 20

// MaxWriterBytes is the longest writer id; every state keeps the recent ones.
const MaxWriterBytes = 256

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode control record")
}

// DecodeRecord parses a record and checks that it has exactly one body.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, errors.Errorf("control record has %d bytes, more than %d", len(data), MaxRecordBytes)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "decode control record")
	}
	if len(r.Writer) > MaxWriterBytes {
		return r, errors.Errorf("control record's writer id has %d bytes, more than %d", len(r.Writer), MaxWriterBytes)
	}
	if n := r.bodies(); n != 1 {
		return r, errors.Errorf("control record of writer %q has %d bodies, not 1", r.Writer, n)
	}
	return r, nil
}

func (r Record) bodies() int {
	n := 0
	for _, set := range []bool{r.Document != nil, r.Drain != nil, r.Members != nil, r.Term != nil, r.Assign != nil} {
		if set {
			n++
		}
	}
	return n
}
