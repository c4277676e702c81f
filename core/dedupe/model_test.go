package dedupe

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// The model runs one group on three VMs. Messages between them can be lost,
// duplicated and reordered; the manager can change dispatcher and copies while
// an earlier dispatcher, or one that does not know of it, goes on.

type message struct {
	from, to, life int // life of the sender when it sent
	kind           string
	entry          Entry
}

type vm struct {
	table   *Table
	life    int
	epoch   uint64           // dispatches under it if not 0
	copies  []int            // the copies that this dispatcher must reach
	acks    map[string][]int // copies that acknowledged an unsent intent
	running map[string]bool
	seen    map[string]Phase
}

type model struct {
	honourEpochs bool // off: a refusal for an old epoch counts as acknowledgement
	now          time.Duration
	vms          [3]*vm
	epoch        uint64
	holders      []int // the dispatcher first, then the complete copies that the manager lists
	messages     []message
	sent         map[string]int
	answers      map[string]string
}

func newModel(honourEpochs bool) *model {
	m := &model{honourEpochs: honourEpochs, epoch: 1, holders: []int{0, 1, 2}, sent: map[string]int{}, answers: map[string]string{}}
	for i := range m.vms {
		m.lose(i)
		m.vms[i].table.SetComplete(true)
	}
	m.dispatch(0)
	return m
}

func (m *model) lose(i int) {
	life := 0
	if m.vms[i] != nil {
		life = m.vms[i].life + 1
	}
	cfg := Config{Retention: time.Hour, MaxEntries: 3, MaxAnswerSize: 8}
	m.vms[i] = &vm{table: NewTable(cfg), life: life, acks: map[string][]int{}, running: map[string]bool{}, seen: map[string]Phase{}}
}

// dispatch makes a VM take up what the manager decided.
func (m *model) dispatch(i int) {
	v := m.vms[i]
	v.epoch, v.copies = m.epoch, slices.Clone(m.holders[1:])
	v.table.Promote(m.now, m.epoch)
}

func (m *model) call(t *rapid.T, i int, key string) {
	v := m.vms[i]
	decision, answer := v.table.Begin(m.now, key, 7, v.epoch)
	switch decision {
	case Run:
		v.acks[key] = nil
		m.copy(i, key)
	case Replay:
		if got := string(answer.Body); got != m.answers[key] {
			t.Fatalf("replay of %s returned %q, the target answered %q", key, got, m.answers[key])
		}
	case Ran:
		if len(m.answers[key]) <= 8 {
			t.Fatalf("the answer of %s was not kept", key)
		}
	}
}

func (m *model) copy(i int, key string) {
	e, _ := m.vms[i].table.Lookup(key)
	for _, to := range m.vms[i].copies {
		m.messages = append(m.messages, message{i, to, m.vms[i].life, "copy", e})
	}
}

func (m *model) deliver(t *rapid.T, msg message) {
	to := m.vms[msg.to]
	switch msg.kind {
	case "withdraw":
		to.table.Withdraw(msg.entry.Key, msg.entry.Epoch, msg.entry.Attempt)
		delete(to.seen, msg.entry.Key)
	case "copy":
		d := to.table.Copy(m.now, msg.entry)
		if msg.entry.Phase == PhaseIntent && (d == Run || d == OldEpoch && !m.honourEpochs) {
			m.messages = append(m.messages, message{msg.to, msg.from, msg.life, "ack", msg.entry})
		}
	case "ack":
		key := msg.entry.Key
		acks, unsent := to.acks[key]
		if unsent && to.life == msg.life && to.table.MaySend(key, msg.entry.Attempt) {
			to.acks[key] = append(acks, msg.from)
			m.send(t, msg.to, key)
		}
	}
}

// send sends a write to the target once every copy acknowledged it.
func (m *model) send(t *rapid.T, i int, key string) {
	v := m.vms[i]
	for _, c := range v.copies {
		if !slices.Contains(v.acks[key], c) {
			return
		}
	}
	if len(v.copies) == 0 {
		return
	}
	delete(v.acks, key)
	v.running[key] = true
	if m.sent[key]++; m.sent[key] > 1 {
		t.Fatalf("%s was sent twice", key)
	}
	m.answers[key] = fmt.Sprintf("answer to %s", key)
	if key == "a" {
		m.answers[key] = "short"
	}
}

// giveUp ends a write that waits for its copies.
func (m *model) giveUp(i int, key string) {
	v := m.vms[i]
	e, _ := v.table.Lookup(key)
	for _, to := range v.copies {
		m.messages = append(m.messages, message{i, to, v.life, "withdraw", e})
	}
	delete(v.acks, key)
	delete(v.seen, key)
	v.table.Fail(m.now, key, true)
}

// join gives a VM that is not listed the dispatcher's table. The dispatcher
// counts it as a copy before it exports.
func (m *model) join(t *rapid.T, i int) {
	d := m.vms[m.holders[0]]
	if slices.Contains(m.holders, i) || d.epoch != m.epoch {
		return
	}
	if !slices.Contains(d.copies, i) {
		d.copies = append(d.copies, i)
	}
	m.vms[i].epoch = 0
	m.vms[i].table.Observe(m.epoch)
	m.vms[i].table.SetComplete(false)
	if err := m.vms[i].table.Import(m.now, d.table.Export()); err != nil {
		t.Fatalf("import: %v", err)
	}
	m.vms[i].table.SetComplete(d.table.IsComplete())
	m.holders = append(m.holders, i)
}

// check guards against phases that move back.
func (m *model) check(t *rapid.T) {
	for i, v := range m.vms {
		for _, e := range v.table.Export() {
			if e.Phase == PhaseIntent && v.seen[e.Key] > PhaseIntent || e.Phase == PhaseUnknown && v.seen[e.Key] == PhaseDone {
				t.Fatalf("VM %d: %s went from phase %d to %d", i, e.Key, v.seen[e.Key], e.Phase)
			}
			v.seen[e.Key] = e.Phase
		}
	}
}
