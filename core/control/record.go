// Package control replays the control log into the state that all VMs share. The
// result depends only on the records and their offsets in the log. If two records
// change the same base version, every reader accepts the record at the lower
// offset and rejects the other.
package control

import (
	"encoding/json"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/pkg/errors"
)

// Record is one entry of the control log. Exactly one of Document, Drain, Members,
// Term and Assign is set: the body of the record.
type Record struct {
	Writer   string            `json:"writer"` // unique per process start
	Seq      uint64            `json:"seq"`    // higher than in all earlier records of the writer
	Document *DocumentChange   `json:"document,omitempty"`
	Drain    *DrainChange      `json:"drain,omitempty"`
	Members  *MembersChange    `json:"members,omitempty"`
	Term     *TermOpened       `json:"term,omitempty"`
	Assign   *AssignmentChange `json:"assign,omitempty"`
}

// DocumentChange replaces the configuration document.
type DocumentChange struct {
	Base     uint64             `json:"base"` // document version that the change was made from
	Author   string             `json:"author"`
	Document inventory.Document `json:"document"`
}

// DrainScope says what kind of entity a drain takes out of service.
type DrainScope string

const (
	ScopeDataCentre DrainScope = "data-centre"
	ScopeVM         DrainScope = "vm"
	ScopeTarget     DrainScope = "target"
)

func (d DrainScope) valid() bool {
	return d == ScopeDataCentre || d == ScopeVM || d == ScopeTarget
}

// DrainChange takes a data centre, VM or target out of service, or puts it back.
type DrainChange struct {
	Scope  DrainScope `json:"scope"`
	Name   string     `json:"name"`
	Out    bool       `json:"out"`
	Base   uint64     `json:"base"` // version of the drain with this scope and name that the change was made from
	Author string     `json:"author"`
}

// Member is a VM that takes part in electing managers: it can support a manager's
// term. Slot is its index in the list of members.
type Member struct {
	Slot        int    `json:"slot"`
	VM          string `json:"vm"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
}

// MembersChange replaces the list of members. Base is the version of the list that
// the change was made from.
type MembersChange struct {
	Base    uint64   `json:"base"`
	Members []Member `json:"members"`
}

// TermOpened is the first record that a manager writes in its term. From then on,
// assignment changes of another term and terms that are not higher are rejected.
type TermOpened struct {
	Term    uint64 `json:"term"`
	Manager string `json:"manager"`
}

// ShardAssignment holds a shard's owner, its standbys in order of promotion, and
// its fencing token.
type ShardAssignment struct {
	Service  string   `json:"service"`
	Shard    int      `json:"shard"`
	Owner    string   `json:"owner"`
	Standbys []string `json:"standbys,omitempty"`
	Fence    uint64   `json:"fence"`
}

// FenceBlock is the distance between two successive fencing tokens that are
// assigned to a shard through the log. While the log is unavailable, a manager
// that promotes a standby uses the numbers in between.
const FenceBlock = 1024

// AssignmentChange sets the assignments of the listed shards.
type AssignmentChange struct {
	Term   uint64            `json:"term"`
	Base   uint64            `json:"base"` // State.AssignVersion that the change was made from
	Shards []ShardAssignment `json:"shards"`
	// Published says that a dispatch map may be in use from this record on. Before
	// the first record with Published set, no write can have been executed.
	Published bool `json:"published,omitempty"`
}

// MaxRecordBytes is the size of the largest record or chunk that readers accept.
const MaxRecordBytes = 4 << 20

// MaxWriterBytes is the length of the longest accepted writer or snapshot id. It is
// limited because every State keeps the ids of recent writers.
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
	if n := r.countBodies(); n != 1 {
		return r, errors.Errorf("control record of writer %q has %d bodies, not 1", r.Writer, n)
	}
	return r, nil
}

func (r Record) countBodies() int {
	n := 0
	for _, set := range []bool{r.Document != nil, r.Drain != nil, r.Members != nil, r.Term != nil, r.Assign != nil} {
		if set {
			n++
		}
	}
	return n
}
