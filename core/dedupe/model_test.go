package dedupe

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// The model simulates one dispatch group on three VMs. Messages between the VMs
// can be lost, duplicated and reordered. The manager can change the dispatcher
// and the copy holders while an earlier dispatcher, which has not learned of the
// change, keeps dispatching.

type message struct {
	from, to, incarnation int // incarnation is that of the VM that sent the intent
	kind                  string
	entry                 Entry
}

type vm struct {
	table       *Table
	incarnation int
	epoch       uint64           // epoch in which this VM dispatches; 0 if it does not
	copyHolders []int            // VMs that must acknowledge an intent
	acks        map[string][]int // by key of an unsent write: the copy holders that acknowledged it
	inFlight    map[string]bool  // keys of writes that were sent and have no answer yet
	lastPhase   map[string]Phase // phase of each entry at the last check
}

type model struct {
	enforceEpochs bool // if false, a StaleEpoch refusal counts as an acknowledgement
	now           time.Duration
	vms           [3]*vm
	epoch         uint64
	listed        []int // VMs that the manager lists: the dispatcher, then the copy holders
	messages      []message
	sent          map[string]int
	answers       map[string]string
}

func newModel(enforceEpochs bool) *model {
	m := &model{enforceEpochs: enforceEpochs, epoch: 1, listed: []int{0, 1, 2}, sent: map[string]int{}, answers: map[string]string{}}
	for i := range m.vms {
		m.restartEmpty(i)
		m.vms[i].table.SetComplete(true)
	}
	m.becomeDispatcher(0)
	return m
}

func (m *model) restartEmpty(i int) {
	incarnation := 0
	if m.vms[i] != nil {
		incarnation = m.vms[i].incarnation + 1
	}
	cfg := Config{Retention: time.Hour, MaxEntries: 3, MaxAnswerSize: 8}
	m.vms[i] = &vm{table: NewTable(cfg), incarnation: incarnation, acks: map[string][]int{}, inFlight: map[string]bool{}, lastPhase: map[string]Phase{}}
}

// becomeDispatcher makes a VM the dispatcher in the manager's current epoch.
func (m *model) becomeDispatcher(i int) {
	v := m.vms[i]
	v.epoch, v.copyHolders = m.epoch, slices.Clone(m.listed[1:])
	v.table.Promote(m.now, m.epoch)
}

func (m *model) beginWrite(t *rapid.T, i int, key string) {
	v := m.vms[i]
	decision, answer := v.table.Begin(m.now, key, 7, v.epoch)
	switch decision {
	case Run:
		v.acks[key] = nil
		m.copy(i, key)
	case Replay:
		if got := string(answer.Body); got != m.answers[key] {
			t.Fatalf("replay of %s returned %q, but the target answered %q", key, got, m.answers[key])
		}
	case AnswerNotKept:
		if len(m.answers[key]) <= 8 {
			t.Fatalf("the answer of %s fits the limit but was not stored", key)
		}
	}
}

// copy sends the current entry of a key to all copy holders.
func (m *model) copy(i int, key string) {
	e, _ := m.vms[i].table.Lookup(key)
	for _, to := range m.vms[i].copyHolders {
		m.messages = append(m.messages, message{i, to, m.vms[i].incarnation, "copy", e})
	}
}

func (m *model) deliver(t *rapid.T, msg message) {
	to := m.vms[msg.to]
	switch msg.kind {
	case "withdraw":
		to.table.Withdraw(msg.entry.Key, msg.entry.Epoch, msg.entry.Attempt)
		delete(to.lastPhase, msg.entry.Key)
	case "copy":
		d := to.table.ApplyReplicated(m.now, msg.entry)
		if msg.entry.Phase == PhaseIntent && (d == Run || d == StaleEpoch && !m.enforceEpochs) {
			m.messages = append(m.messages, message{msg.to, msg.from, msg.incarnation, "ack", msg.entry})
		}
	case "ack":
		key := msg.entry.Key
		acks, unsent := to.acks[key]
		if unsent && to.incarnation == msg.incarnation && to.table.MaySend(key, msg.entry.Attempt) {
			to.acks[key] = append(acks, msg.from)
			m.send(t, msg.to, key)
		}
	}
}

// send sends a write to the target if there are copy holders and all acknowledged it.
func (m *model) send(t *rapid.T, i int, key string) {
	v := m.vms[i]
	for _, c := range v.copyHolders {
		if !slices.Contains(v.acks[key], c) {
			return
		}
	}
	if len(v.copyHolders) == 0 {
		return
	}
	delete(v.acks, key)
	v.inFlight[key] = true
	if m.sent[key]++; m.sent[key] > 1 {
		t.Fatalf("write %s was sent to the target twice", key)
	}
	m.answers[key] = fmt.Sprintf("answer to %s", key)
	if key == "a" {
		m.answers[key] = "short"
	}
}

// withdrawWrite withdraws a write whose intent some copy holder has not
// acknowledged.
func (m *model) withdrawWrite(i int, key string) {
	v := m.vms[i]
	e, _ := v.table.Lookup(key)
	for _, to := range v.copyHolders {
		m.messages = append(m.messages, message{i, to, v.incarnation, "withdraw", e})
	}
	delete(v.acks, key)
	delete(v.lastPhase, key)
	v.table.Fail(m.now, key, true)
}

// join makes an unlisted VM a copy holder by importing the dispatcher's table. The
// dispatcher requires the VM's acknowledgements before it exports the table.
func (m *model) join(t *rapid.T, i int) {
	d := m.vms[m.listed[0]]
	if slices.Contains(m.listed, i) || d.epoch != m.epoch {
		return
	}
	if !slices.Contains(d.copyHolders, i) {
		d.copyHolders = append(d.copyHolders, i)
	}
	m.vms[i].epoch = 0
	m.vms[i].table.Observe(m.epoch)
	m.vms[i].table.SetComplete(false)
	if err := m.vms[i].table.Import(m.now, d.table.Export()); err != nil {
		t.Fatalf("import: %v", err)
	}
	m.vms[i].table.SetComplete(d.table.IsComplete())
	m.listed = append(m.listed, i)
}

// check fails the test if an entry moved back to an earlier phase.
func (m *model) check(t *rapid.T) {
	for i, v := range m.vms {
		for _, e := range v.table.Export() {
			if e.Phase == PhaseIntent && v.lastPhase[e.Key] > PhaseIntent || e.Phase == PhaseUnknown && v.lastPhase[e.Key] == PhaseDone {
				t.Fatalf("VM %d: entry %s went back from phase %d to phase %d", i, e.Key, v.lastPhase[e.Key], e.Phase)
			}
			v.lastPhase[e.Key] = e.Phase
		}
	}
}
