package platform

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"
)

// States of a VM. StateGone is final: the id cannot be used again.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// VM is an entry of the VM list.
type VM struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"`
}

// ErrVMGone is returned by SetVM for a change from StateGone to another state.
var ErrVMGone = errors.New("the VM is gone, which is final for its id")

type vmList struct {
	visible map[string]VM
	pending []vmChange // in the order in which they become visible
}

type vmChange struct {
	vm        VM
	visibleAt time.Time
}

// applyDue makes the changes visible whose lag has passed.
func (l *vmList) applyDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible[l.pending[0].vm.ID] = l.pending[0].vm
		l.pending = l.pending[1:]
	}
}

// latest returns the entry of an id including changes that are not visible yet.
func (l *vmList) latest(id string) VM {
	for _, change := range slices.Backward(l.pending) {
		if change.vm.ID == id {
			return change.vm
		}
	}
	return l.visible[id]
}

// SetVM registers or changes an entry. The change becomes visible after
// Config.VMLag. It returns ErrVMGone for a change from StateGone to another state,
// and another error if the id is empty or the state is unknown.
func (s *Server) SetVM(vm VM) error {
	if vm.ID == "" || !slices.Contains([]string{StateLive, StateLeaving, StateGone}, vm.State) {
		return errors.New("a VM needs an id and the state live, leaving or gone")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.vms.latest(vm.ID).State == StateGone && vm.State != StateGone {
		return ErrVMGone
	}
	s.vms.pending = append(s.vms.pending, vmChange{vm: vm, visibleAt: time.Now().Add(s.cfg.VMLag)})
	return nil
}

// VMs returns the visible entries, sorted by id.
func (s *Server) VMs() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.applyDue(time.Now())
	out := make([]VM, 0, len(s.vms.visible))
	for _, id := range slices.Sorted(maps.Keys(s.vms.visible)) {
		out = append(out, s.vms.visible[id])
	}
	return out
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	down := s.faults.VMsDown
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string][]VM{"vms": s.VMs()})
}

func (s *Server) registerVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	switch err := s.SetVM(vm); {
	case errors.Is(err, ErrVMGone):
		writeError(w, http.StatusConflict, err.Error())
	case err != nil:
		writeError(w, http.StatusBadRequest, err.Error())
	default:
		writeJSON(w, http.StatusOK, vm)
	}
}
