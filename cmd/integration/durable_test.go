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

// done is what was reported as done at one moment.
type done struct {
	document, config uint64 // versions
	out              string // a target out of service
	owners           map[control.ShardKey]control.ShardAssignment
}

// makeDone changes an assignment and then the document, and returns as soon as
// the last of both is reported as done.
func makeDone(t *testing.T, c *cluster.Cluster, n int, old string) done {
	t.Helper()
	boss := manager(t, c)
	if old != "" {
		mustDrain(t, c, boss, control.ScopeTarget, old, false)
	}
	d := done{out: fmt.Sprintf("status-%d", n%6)}
	before := countEvents(t, c, boss, "assignments.durable")
	mustDrain(t, c, boss, control.ScopeTarget, d.out, true)
	require.NoError(t, cluster.Wait(10*time.Second, func() error {
		if countEvents(t, c, boss, "assignments.durable") > before {
			return nil
		}
		return fmt.Errorf("no assignment was reported as done")
	}))
	st := logState(t, c)
	d.owners = map[control.ShardKey]control.ShardAssignment{}
	all, _ := st.Assignments()
	for _, a := range all {
		d.owners[control.ShardKey{Service: a.Service, Shard: a.Shard}] = a
	}
	// Last, so that nothing is between this answer and the loss.
	d.document = mustApply(t, c, boss, withRule(c, n)).Version
	d.config = d.document
	return d
}

// requireDone checks that every VM has what was reported as done in force.
func requireDone(t *testing.T, c *cluster.Cluster, d done) {
	t.Helper()
	require.NoError(t, c.WaitReady(t.Context(), readyWithin))
	waitInForce(t, c, d.config, readyWithin)
	for _, v := range running(c) {
		s, err := c.Status(t.Context(), v)
		require.NoError(t, err)
		require.GreaterOrEqual(t, s.Document, d.document, "%s has an older document", v.Name)
		require.Len(t, s.Drains, 1, "%s: drains", v.Name)
		require.Equal(t, d.out, s.Drains[0].Name)
	}
	require.NoError(t, cluster.Wait(readyWithin, func() error { return ownersAsDone(t, c, d) }))
}

// ownersAsDone tells whether the map holds the assignments that were reported
// as done or later ones of the same owners.
func ownersAsDone(t *testing.T, c *cluster.Cluster, d done) error {
	for n := range 60 {
		o, err := c.Owner(t.Context(), running(c)[0], "status", fmt.Sprintf("key-%d", n))
		if err != nil {
			return err
		}
		if was := d.owners[control.ShardKey{Service: "status", Shard: o.Shard}]; o.Fence < was.Fence || o.Owner != was.Owner {
			return fmt.Errorf("shard %d: %s with fence %d, not %s with fence %d", o.Shard, o.Owner, o.Fence, was.Owner, was.Fence)
		}
	}
	return nil
}

func killAll(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	var all sync.WaitGroup
	for _, v := range running(c) {
		all.Go(func() { _ = v.Kill() }) // a process that runs can be killed
	}
	all.Wait()
}

// replace takes VMs off the list as gone and starts others under new names.
func replace(t *testing.T, c *cluster.Cluster, generation int, vms []*cluster.VM) {
	t.Helper()
	for _, v := range vms {
		require.NoError(t, v.Kill())
		require.NoError(t, c.List(t.Context(), v, "gone"))
	}
	for _, v := range vms {
		_, err := c.AddVM(t.Context(), fmt.Sprintf("%s.%d", strings.Split(v.Name, ".")[0], generation), v.DataCentre)
		require.NoError(t, err)
	}
}

// forgetDead removes replaced VMs, whose names are never used again.
func forgetDead(c *cluster.Cluster) { c.VMs = running(c) }

// Guards against a change that is reported as done while only processes know
// of it: everything that heard it is killed as soon as it was reported.
func TestDoneChangeSurvivesItsWitnesses(t *testing.T) {
	c := deployment(t, nil)
	d := makeDone(t, c, 0, "")
	t.Run("all killed, same names", func(t *testing.T) {
		killAll(t, c)
		for _, v := range c.VMs {
			require.NoError(t, v.Restart())
		}
		requireDone(t, c, d)
	})
	t.Run("manager and two others killed", func(t *testing.T) {
		d = makeDone(t, c, 1, d.out)
		boss := manager(t, c)
		killed := []*cluster.VM{boss}
		for _, v := range c.VMs {
			if v != boss && len(killed) < 3 {
				killed = append(killed, v)
			}
		}
		for _, v := range killed {
			require.NoError(t, v.Kill())
		}
		requireDone(t, c, d)
		for _, v := range killed {
			require.NoError(t, v.Restart())
		}
		requireDone(t, c, d)
	})
	t.Run("append answers lost, then all replaced at once", func(t *testing.T) {
		require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"lose_answers": 0.7, "seed": seed(t)}))
		d = makeDone(t, c, 2, d.out)
		require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
		replace(t, c, 1, running(c))
		forgetDead(c)
		requireDone(t, c, d)
	})
	t.Run("all replaced one by one", func(t *testing.T) {
		d = makeDone(t, c, 3, d.out)
		for _, v := range running(c) {
			replace(t, c, 2, []*cluster.VM{v})
			forgetDead(c)
			require.NoError(t, c.WaitReady(t.Context(), readyWithin))
			waitMembers(t, c)
		}
		requireDone(t, c, d)
	})
}

// waitMembers waits until the members are exactly the VMs that run.
func waitMembers(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		members, _ := logState(t, c).Members()
		for _, m := range members {
			if !strings.Contains(names(c), "|"+m.VM+"|") {
				return fmt.Errorf("%s is still a member", m.VM)
			}
		}
		return nil
	}))
}

func names(c *cluster.Cluster) string {
	all := "|"
	for _, v := range running(c) {
		all += v.Name + "|"
	}
	return all
}

// snapshots returns the next offset of the stream of snapshots.
func snapshots(t *testing.T, c *cluster.Cluster) uint64 {
	t.Helper()
	resp, err := caller.Get("http://" + c.PlatformAddress + "/v1/streams/snapshots/records?from=0&max=1")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var page struct{ Next uint64 }
	decode(t, resp, &page)
	return page.Next
}

// Guards against a snapshot that is trusted although its writer was killed
// before its end, and against a blank VM that cannot start once the first
// records are gone.
func TestBlankStartFromSnapshot(t *testing.T) {
	const retained = 1500
	c := deployment(t, func(cfg *cluster.Config) {
		cfg.VMs = 5
		cfg.PlatformArgs = []string{"--retain-records", fmt.Sprint(retained)}
	})
	doc := withRule(c, 0)
	for n := range 2000 { // three chunks in a snapshot
		doc.Rules = append(doc.Rules, inventory.Rule{PathPrefix: fmt.Sprintf("/%s-%d/", strings.Repeat("long", 60), n), Service: "bookings"})
	}
	waitInForce(t, c, mustApply(t, c, c.VMs[0], doc).Version, readyWithin)
	d := makeDoneWith(t, c, doc)

	// The next two managers are slow to write their first snapshot; the
	// first of them is killed in the middle of it.
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"delay_ms": 500, "streams": []string{"snapshots"}}))
	require.NoError(t, manager(t, c).Kill())
	boss, from := manager(t, c), snapshots(t, c)
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		if snapshots(t, c) > from {
			return nil
		}
		return fmt.Errorf("no chunk was written")
	}))
	require.Zero(t, countEvents(t, c, boss, "snapshot.written"), "the snapshot was written before its writer was killed")
	require.NoError(t, boss.Kill())
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
	for _, v := range c.VMs {
		if !v.Alive() {
			require.NoError(t, v.Restart())
		}
	}
	require.NoError(t, c.WaitReady(t.Context(), readyWithin))

	d.config = passRetention(t, c, retained)
	killAll(t, c)
	for _, v := range c.VMs {
		require.NoError(t, v.Restart())
	}
	requireDone(t, c, d)
	for _, v := range c.VMs {
		require.Equal(t, 1, counter(t, v, "control.replica.snapshots-loaded"), "%s did not start from a snapshot", v.Name)
	}
}

// makeDoneWith is makeDone for a document that stays.
func makeDoneWith(t *testing.T, c *cluster.Cluster, doc inventory.Document) done {
	t.Helper()
	c.Document = doc
	return makeDone(t, c, 1, "")
}

// passRetention makes changes until the first record of the log is gone, and
// returns the last version.
func passRetention(t *testing.T, c *cluster.Cluster, retained uint64) (last uint64) {
	t.Helper()
	goal := logState(t, c).Next() + retained + 200
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, v := range running(c)[:4] {
		all.Go(func() {
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
	all.Wait()
	return last
}
