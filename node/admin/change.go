package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/timeline"
)

const (
	changeTimeout    = 10 * time.Second
	maxDocumentBytes = 4 << 20
)

// HeaderMissing is the response header that lists the VMs whose events are
// missing from a merged timeline, separated by spaces.
const HeaderMissing = "Mangogate-Missing"

// ApplyRequest asks to replace the configuration document.
type ApplyRequest struct {
	Author   string             `json:"author"`
	Base     uint64             `json:"base"` // document version that the change is based on; a conflict if the log has another one
	Document inventory.Document `json:"document"`
}

// DrainRequest asks to take a data centre, VM or target out of service, or back
// into service.
type DrainRequest struct {
	Author string             `json:"author"`
	Scope  control.DrainScope `json:"scope"`
	Name   string             `json:"name"`
	Out    bool               `json:"out"`
}

// ChangeReply answers ApplyRequest and DrainRequest.
type ChangeReply struct {
	Result  string `json:"result"`            // one of the Result constants
	Version uint64 `json:"version,omitempty"` // configuration version that includes the change
	Winner  uint64 `json:"winner,omitempty"`  // with ResultLost: version that was accepted instead
	By      string `json:"by,omitempty"`      // with ResultLost: author of that version
	Detail  string `json:"detail,omitempty"`
}

// Results of a change.
const (
	ResultAccepted = "accepted"  // appended to the log
	ResultNoChange = "no-change" // the log contains the requested state already
	ResultLost     = "lost"      // conflicts with a change that was accepted first
	ResultInvalid  = "invalid"   // rejected; Detail says why
)

// ConfigReply is the newest configuration that this VM has read from the log.
type ConfigReply struct {
	DocumentVersion uint64             `json:"document_version"`
	ConfigVersion   uint64             `json:"config_version"`
	Document        inventory.Document `json:"document"`
}

func (a *Admin) handleConfig(w http.ResponseWriter, _ *http.Request) {
	var reply ConfigReply
	a.replica.View(func(st *control.State) {
		reply.Document, reply.DocumentVersion = st.Document()
		reply.ConfigVersion = st.ConfigVersion()
	})
	writeJSON(w, http.StatusOK, reply)
}

func (a *Admin) handleStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, a.Cluster(r.Context()))
}

func (a *Admin) handleEvents(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("all") != "" {
		events, missing := a.Timeline(r.Context())
		w.Header().Set(HeaderMissing, strings.Join(missing, " "))
		writeJSON(w, http.StatusOK, events)
		return
	}
	writeJSON(w, http.StatusOK, a.events.Events())
}

func (a *Admin) handleApply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	if !decode(w, r, &req) {
		return
	}
	if err := req.Document.Validate(); err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, ChangeReply{Result: ResultInvalid, Detail: err.Error()})
		return
	}
	if !a.catchUp(w, r) {
		return
	}
	var current inventory.Document
	var version, config uint64
	a.replica.View(func(st *control.State) {
		current, version = st.Document()
		config = st.ConfigVersion()
	})
	if version > 0 && reflect.DeepEqual(canonical(current), canonical(req.Document)) {
		writeJSON(w, http.StatusOK, ChangeReply{Result: ResultNoChange, Version: config})
		return
	}
	a.change(w, r, control.Record{Document: &control.DocumentChange{Base: req.Base, Author: req.Author, Document: req.Document}})
}

// catchUp reads the log to its end, so that a change is not compared with an older
// state than its author may have read from another VM. If it cannot read the log,
// it answers the request and returns false.
func (a *Admin) catchUp(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	if err := a.replica.CatchUp(ctx); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "nothing was changed: "+err.Error())
		return false
	}
	return true
}

// canonical returns a document as JSON, which is equal for nil and empty lists where
// JSON omits empty lists.
func canonical(doc inventory.Document) string {
	data, err := json.Marshal(doc)
	if err != nil {
		return fmt.Sprintf("%+v", doc)
	}
	return string(data)
}

func (a *Admin) handleDrain(w http.ResponseWriter, r *http.Request) {
	var req DrainRequest
	if !decode(w, r, &req) {
		return
	}
	if problem := a.validateDrain(r.Context(), req.Scope, req.Name); problem != "" {
		writeProblem(w, http.StatusNotFound, problem)
		return
	}
	if !a.catchUp(w, r) {
		return
	}
	var current control.Drain
	var config uint64
	a.replica.View(func(st *control.State) {
		current = st.Drain(req.Scope, req.Name)
		config = st.ConfigVersion()
	})
	if current.Out == req.Out {
		writeJSON(w, http.StatusOK, ChangeReply{Result: ResultNoChange, Version: max(current.Version, config)})
		return
	}
	a.change(w, r, control.Record{Drain: &control.DrainChange{
		Scope: req.Scope, Name: req.Name, Out: req.Out, Base: current.Version, Author: req.Author,
	}})
}

// validateDrain returns what is wrong with the scope or the name of a drain, or an
// empty string if both are known.
func (a *Admin) validateDrain(ctx context.Context, scope control.DrainScope, name string) string {
	var known bool
	switch scope {
	case control.ScopeDataCentre, control.ScopeTarget:
		a.replica.View(func(st *control.State) {
			doc, _ := st.Document()
			if scope == control.ScopeTarget {
				_, known = doc.Target(name)
				return
			}
			known = slices.ContainsFunc(doc.DataCentres, func(dc inventory.DataCentre) bool { return dc.Name == name })
		})
	case control.ScopeVM:
		_, known = a.peerAddresses()[name]
		known = known || name == a.cfg.VM
	default:
		return fmt.Sprintf("scope %q is not %q, %q or %q", scope, control.ScopeDataCentre, control.ScopeVM, control.ScopeTarget)
	}
	if known {
		return ""
	}
	return fmt.Sprintf("%s %q does not exist", scope, name)
}

// change appends a record to the log and answers the request with the result.
func (a *Admin) change(w http.ResponseWriter, r *http.Request, rec control.Record) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	v, err := a.replica.Append(ctx, rec)
	switch {
	case err != nil:
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
	case v.Accepted:
		a.events.Record(timeline.Event{Kind: "config.accepted", Detail: fmt.Sprint(v.Offset + 1)})
		writeJSON(w, http.StatusOK, ChangeReply{Result: ResultAccepted, Version: v.Offset + 1})
	case v.Reason == control.ReasonBase:
		writeJSON(w, http.StatusConflict, ChangeReply{Result: ResultLost, Winner: v.Current, By: v.CurrentAuthor})
	default:
		writeJSON(w, http.StatusUnprocessableEntity, ChangeReply{Result: ResultInvalid, Detail: string(v.Reason) + " " + v.Detail})
	}
}

// decode reads the JSON body of a request. If the body is invalid, decode answers
// the request and returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		writeProblem(w, http.StatusBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// OwnerReply names the owner of a key in one service.
type OwnerReply struct {
	Service    string   `json:"service"`
	Key        string   `json:"key"`
	Shard      int      `json:"shard"`
	Owner      string   `json:"owner"` // empty while the shard has no owner
	Fence      uint64   `json:"fence"` // fencing token of the owner
	Standbys   []string `json:"standbys"`
	Dispatcher string   `json:"dispatcher"` // VM that dispatches the requests of the shard
}

func (a *Admin) handleOwner(w http.ResponseWriter, r *http.Request) {
	key, service := r.URL.Query().Get("key"), r.URL.Query().Get("service")
	m := a.maps.Current()
	if m == nil {
		writeProblem(w, http.StatusServiceUnavailable, "no dispatch map has been received")
		return
	}
	replies := []OwnerReply{}
	a.replica.View(func(st *control.State) {
		doc, _ := st.Document()
		for _, s := range doc.Services {
			if s.Ownership == inventory.OwnershipKey && (service == "" || s.Name == service) {
				replies = append(replies, ownerOf(m, st, s, key))
			}
		}
	})
	if len(replies) == 0 {
		writeProblem(w, http.StatusNotFound, fmt.Sprintf("no service with key ownership is named %q", service))
		return
	}
	writeJSON(w, http.StatusOK, replies)
}

// ownerOf returns the owner of a key of a service according to the dispatch map,
// and the standbys according to the log.
func ownerOf(m *shardmap.Map, st *control.State, s inventory.Service, key string) OwnerReply {
	shard, route, _ := m.Lookup(s.Name, key)
	assignment, _ := st.Assignment(control.ShardKey{Service: s.Name, Shard: shard})
	return OwnerReply{
		Service: s.Name, Key: key, Shard: shard, Owner: route.Owner, Fence: route.Fence,
		Standbys: assignment.Standbys, Dispatcher: m.Groups[shardmap.GroupName(s, route.Owner)].Dispatcher,
	}
}
