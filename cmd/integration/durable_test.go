package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

// acknowledged is the state that was reported as durable at one moment.
type acknowledged struct {
	document, config uint64 // versions
	drained          string // the drained target
	owners           map[control.ShardKey]control.ShardAssignment
}

// makeAcknowledged drains a target and then applies a document, and returns as soon
// as the assignments of its shards to others and the document are reported as durable.
// old is a drained target that is put back first; n selects the target to drain and the
// document.
func makeAcknowledged(t *testing.T, c *cluster.Cluster, n int, old string) acknowledged {
	t.Helper()
	managerVM := manager(t, c)
	if old != "" {
		mustDrain(t, c, managerVM, control.ScopeTarget, old, false)
	}
	ack := acknowledged{drained: fmt.Sprintf("status-%d", n%6)}
	before := countEvents(t, c, managerVM, "assignments.durable")
	mustDrain(t, c, managerVM, control.ScopeTarget, ack.drained, true)
	require.NoError(t, cluster.Wait(10*time.Second, func() error {
		if countEvents(t, c, managerVM, "assignments.durable") == before {
			return fmt.Errorf("no assignment was reported as durable")
		}
		// The event may be that of the target that was put back.
		all, _ := logState(t, c).Assignments()
		for _, a := range all {
			if a.Service == "status" && a.Owner == ack.drained {
				return fmt.Errorf("%s still owns shard %d", ack.drained, a.Shard)
			}
		}
		return nil
	}))
	st := logState(t, c)
	ack.owners = map[control.ShardKey]control.ShardAssignment{}
	all, _ := st.Assignments()
	for _, a := range all {
		ack.owners[control.ShardKey{Service: a.Service, Shard: a.Shard}] = a
	}
	// Applied last, so that nothing happens between this response and the loss.
	ack.document = mustApply(t, c, managerVM, withRule(c, n)).Version
	ack.config = ack.document
	return ack
}

// requireInForce waits until the acknowledged configuration is in force on every
// running VM and the acknowledged owners on one of them.
func requireInForce(t *testing.T, c *cluster.Cluster, ack acknowledged) {
	t.Helper()
	require.NoError(t, c.WaitReady(t.Context(), readyWithin))
	waitInForce(t, c, ack.config, readyWithin)
	for _, v := range running(c) {
		s, err := c.Status(t.Context(), v)
		require.NoError(t, err)
		require.GreaterOrEqual(t, s.Document, ack.document, "%s has an older document", v.Name)
		require.Len(t, s.Drains, 1, "%s: drains", v.Name)
		require.Equal(t, ack.drained, s.Drains[0].Name)
	}
	require.NoError(t, cluster.Wait(readyWithin, func() error { return checkOwners(t, c, ack) }))
}

// checkOwners returns an error unless the dispatch map of a running VM holds the
// acknowledged assignments or later ones with the same owners.
func checkOwners(t *testing.T, c *cluster.Cluster, ack acknowledged) error {
	for n := range 60 {
		o, err := c.Owner(t.Context(), running(c)[0], "status", fmt.Sprintf("key-%d", n))
		if err != nil {
			return err
		}
		if want := ack.owners[control.ShardKey{Service: "status", Shard: o.Shard}]; o.Fence < want.Fence || o.Owner != want.Owner {
			return fmt.Errorf("shard %d: %s with fence %d, not %s with fence %d", o.Shard, o.Owner, o.Fence, want.Owner, want.Fence)
		}
	}
	return nil
}

func killAll(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	var wg sync.WaitGroup
	for _, v := range running(c) {
		wg.Go(func() { _ = v.Kill() }) // cannot fail for a running process
	}
	wg.Wait()
}

// replaceVMs kills VMs, lists them as gone and starts others under new names.
func replaceVMs(t *testing.T, c *cluster.Cluster, generation int, vms []*cluster.VM) {
	t.Helper()
	for _, v := range vms {
		require.NoError(t, v.Kill())
		require.NoError(t, c.SetVMState(t.Context(), v, "gone"))
	}
	for _, v := range vms {
		_, err := c.AddVM(t.Context(), fmt.Sprintf("%s.%d", strings.Split(v.Name, ".")[0], generation), v.DataCentre)
		require.NoError(t, err)
	}
}

// dropStoppedVMs removes replaced VMs, which are never restarted, from c.VMs.
func dropStoppedVMs(c *cluster.Cluster) { c.VMs = running(c) }

// Guards against a change that is acknowledged while it exists only in the memory
// of processes: VMs that know of it are killed or replaced right afterwards.
func TestAcknowledgedChangeSurvivesLosses(t *testing.T) {
	c := startCluster(t, nil)
	ack := makeAcknowledged(t, c, 0, "")
	t.Run("all killed, same names", func(t *testing.T) {
		killAll(t, c)
		for _, v := range c.VMs {
			require.NoError(t, v.Restart())
		}
		requireInForce(t, c, ack)
	})
	t.Run("manager and two others killed", func(t *testing.T) {
		ack = makeAcknowledged(t, c, 1, ack.drained)
		managerVM := manager(t, c)
		killed := []*cluster.VM{managerVM}
		for _, v := range c.VMs {
			if v != managerVM && len(killed) < 3 {
				killed = append(killed, v)
			}
		}
		for _, v := range killed {
			require.NoError(t, v.Kill())
		}
		requireInForce(t, c, ack)
		for _, v := range killed {
			require.NoError(t, v.Restart())
		}
		requireInForce(t, c, ack)
	})
	t.Run("append answers lost, then all replaced at once", func(t *testing.T) {
		require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"lose_answers": 0.7, "seed": seed(t)}))
		ack = makeAcknowledged(t, c, 2, ack.drained)
		require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
		replaceVMs(t, c, 1, running(c))
		dropStoppedVMs(c)
		requireInForce(t, c, ack)
	})
	t.Run("all replaced one by one", func(t *testing.T) {
		ack = makeAcknowledged(t, c, 3, ack.drained)
		for _, v := range running(c) {
			replaceVMs(t, c, 2, []*cluster.VM{v})
			dropStoppedVMs(c)
			require.NoError(t, c.WaitReady(t.Context(), readyWithin))
			waitMembers(t, c)
		}
		requireInForce(t, c, ack)
	})
}

// waitMembers waits until every member in the log is a running VM.
func waitMembers(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		members, _ := logState(t, c).Members()
		for _, m := range members {
			if !strings.Contains(runningNames(c), "|"+m.VM+"|") {
				return fmt.Errorf("%s is still a member", m.VM)
			}
		}
		return nil
	}))
}

// runningNames returns the names of the running VMs, each between two bars.
func runningNames(c *cluster.Cluster) string {
	all := "|"
	for _, v := range running(c) {
		all += v.Name + "|"
	}
	return all
}

func nextSnapshotOffset(t *testing.T, c *cluster.Cluster) uint64 {
	t.Helper()
	resp, err := httpClient.Get("http://" + c.PlatformAddress + "/v1/streams/snapshots/records?from=0&max=1")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var page struct{ Next uint64 }
	decode(t, resp, &page)
	return page.Next
}

// Guards against the use of an incomplete snapshot, whose writer was killed
// before the last chunk, and against a VM without local state that cannot start
// once the log's first records are truncated.
func TestBlankStartFromSnapshot(t *testing.T) {
	const retained = 1500
	c := startCluster(t, func(cfg *cluster.Config) {
		cfg.VMs = 5
		cfg.PlatformArgs = []string{"--retain-records", fmt.Sprint(retained)}
	})
	doc := withRule(c, 0)
	for n := range 2000 { // makes a snapshot of three chunks
		doc.Rules = append(doc.Rules, inventory.Rule{PathPrefix: fmt.Sprintf("/%s-%d/", strings.Repeat("long", 60), n), Service: "bookings"})
	}
	waitInForce(t, c, mustApply(t, c, c.VMs[0], doc).Version, readyWithin)
	ack := makeAcknowledgedWith(t, c, doc)

	// With delayed appends to the snapshots stream, the next manager is slow to write
	// its first snapshot, and is killed while it writes.
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"delay_ms": 500, "streams": []string{"snapshots"}}))
	require.NoError(t, manager(t, c).Kill())
	managerVM, from := manager(t, c), nextSnapshotOffset(t, c)
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		if nextSnapshotOffset(t, c) > from {
			return nil
		}
		return fmt.Errorf("no chunk was written")
	}))
	require.Zero(t, countEvents(t, c, managerVM, "snapshot.written"), "the snapshot was written before its writer was killed")
	require.NoError(t, managerVM.Kill())
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
	for _, v := range c.VMs {
		if !v.Alive() {
			require.NoError(t, v.Restart())
		}
	}
	require.NoError(t, c.WaitReady(t.Context(), readyWithin))

	ack.config = changeUntilTruncated(t, c, retained)
	killAll(t, c)
	for _, v := range c.VMs {
		require.NoError(t, v.Restart())
	}
	requireInForce(t, c, ack)
	for _, v := range c.VMs {
		require.Equal(t, 1, counter(t, v, "control.replica.snapshots-loaded"), "%s did not start from a snapshot", v.Name)
	}
}

// makeAcknowledgedWith is makeAcknowledged on top of a document, which becomes
// the base of later changes.
func makeAcknowledgedWith(t *testing.T, c *cluster.Cluster, doc inventory.Document) acknowledged {
	t.Helper()
	c.Document = doc
	return makeAcknowledged(t, c, 1, "")
}

// changeUntilTruncated makes changes until the log has truncated its first
// record, and returns the last version.
func changeUntilTruncated(t *testing.T, c *cluster.Cluster, retained uint64) (last uint64) {
	t.Helper()
	goal := logState(t, c).Next() + retained + 200
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, v := range running(c)[:4] {
		wg.Go(func() {
			name := fmt.Sprintf("bookings-%d", i)
			for out := true; ; out = !out {
				version := mustDrain(t, c, v, control.ScopeTarget, name, out).Version
				mu.Lock()
				last = max(last, version)
				enough := last > goal
				mu.Unlock()
				if enough && !out {
					return
				}
			}
		})
	}
	wg.Wait()
	return last
}
