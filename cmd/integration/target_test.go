package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/faultproxy"
	"github.com/mangogate/mangogate/standin/history"
	"github.com/stretchr/testify/require"
)

// Guards against a target that still runs requests for a key after the key's next
// owner has begun. This can happen when the target is suspended until its lease has
// expired and then processes the requests in its socket buffers, or when a lease
// renewal reaches it late.
func TestTargetFailures(t *testing.T) {
	c := startProxiedCluster(t)
	t.Run("suspended, checks fences", func(t *testing.T) {
		all := startLoads(t, c)
		suspendTarget(t, c, all, ownerOf(t, c, "status"))
		all.requireSafe(c)
	})
	t.Run("renewal delivered late", func(t *testing.T) { lateRenewal(t, c) })
	t.Run("suspended, checks no fences", func(t *testing.T) {
		all := startLoads(t, c)
		pause := suspendTarget(t, c, all, ownerOf(t, c, "lockers"))
		all.stop()
		ran, err := c.Executions()
		require.NoError(t, err)
		// These targets do not check fencing tokens, and a sender cannot recall
		// requests that reached the suspended target before the next owner began.
		// Those are taken out; no other executions may overlap.
		rest, delayed := history.SplitDelayedByPause(ran, []history.Pause{pause}, c.Arrivals())
		t.Logf("requests that the suspended target had received and ran after it was resumed: %d", len(delayed))
		for _, e := range rest {
			if e.Target == pause.Target && e.StartUS < pause.UntilUS+resumedWindowUS && e.EndUS >= pause.UntilUS {
				t.Logf("%s fence %d at %s arrived %d, ran %d to %d; paused %d to %d", e.Key, e.Fence, e.Target,
					c.Arrivals()[history.Attempt{Target: e.Target, RequestID: e.RequestID}], e.StartUS, e.EndUS, pause.FromUS, pause.UntilUS)
			}
		}
		require.Empty(t, history.CheckSingleOwner(rest), "a key had two owners")
		require.Empty(t, history.CheckWriteOnce(ran), "a write ran twice")
	})
}

// resumedWindowUS is how long after a pause, in microseconds, an execution may begin
// to be printed.
const resumedWindowUS = 500_000

// ownerOf returns the target that owns the key "<service>-key" of a service.
func ownerOf(t *testing.T, c *cluster.Cluster, service string) *cluster.Target {
	t.Helper()
	reply, err := c.Owner(t.Context(), c.VMs[0], service, service+"-key")
	require.NoError(t, err)
	for _, target := range c.Targets {
		if target.Name == reply.Owner {
			return target
		}
	}
	require.Fail(t, "no target of the cluster is the owner of the key")
	return nil
}

// suspendTarget suspends a target until it is declared lost and its keys are served
// elsewhere, resumes it, and waits until it has returned. Requests that arrive just
// before it is suspended stay in its socket buffers until it is resumed.
func suspendTarget(t *testing.T, c *cluster.Cluster, all loadGroup, target *cluster.Target) history.Pause {
	t.Helper()
	require.NoError(t, target.Suspend())
	t.Cleanup(func() { _ = target.Resume() }) // so that the next subtest can run when this one fails
	from := time.Now()
	all.waitServedSince(from)
	waitLost(t, c, target, from)
	until := time.Now()
	require.NoError(t, target.Resume())
	waitReturned(t, c, target, until)
	all.waitServed(200)
	return history.Pause{Target: target.Name, FromUS: from.UnixMicro(), UntilUS: until.UnixMicro()}
}

func waitLost(t *testing.T, c *cluster.Cluster, target *cluster.Target, since time.Time) {
	t.Helper()
	waitEvent(t, c, "server.lost", target, since)
}

func waitReturned(t *testing.T, c *cluster.Cluster, target *cluster.Target, since time.Time) {
	t.Helper()
	waitEvent(t, c, "server.returned", target, since)
}

func waitEvent(t *testing.T, c *cluster.Cluster, kind string, target *cluster.Target, since time.Time) {
	t.Helper()
	require.NoError(t, cluster.Wait(recoveryTimeout, func() error {
		for _, e := range events(t, c, kind, since, time.Now()) {
			if e.Target == target.Name {
				return nil
			}
		}
		return fmt.Errorf("no event %s for %s", kind, target.Name)
	}))
}

// renewalDelay is longer than a lease with its allowance for clock drift, and
// longer than the time in which a standby takes over.
const renewalDelay = 3 * time.Second

// lateRenewal delays only what the manager sends to a target, so that grants sent
// before the target is declared lost arrive after the next owner has begun.
func lateRenewal(t *testing.T, c *cluster.Cluster) {
	managerVM, target := actingManager(t, c), ownerOf(t, c, "status")
	all := startLoads(t, c, managerVM)
	at := time.Now()
	target.Proxy.SetClient(managerVM.IP, faultproxy.ToUpstream, faultproxy.Settings{Delay: renewalDelay})
	t.Cleanup(c.Heal)
	waitLost(t, c, target, at)
	lost := time.Now()
	reply, err := c.Grants(t.Context(), target)
	require.NoError(t, err)
	require.Empty(t, reply.Holds, "the target was declared lost before its lease had expired")
	all.waitServedSince(lost)
	// The grants that were sent before the loss arrive until renewalDelay after
	// it. None of them may give the target a shard again.
	held := 0
	require.NoError(t, cluster.Wait(recoveryTimeout, func() error {
		reply, err := c.Grants(t.Context(), target)
		if err != nil {
			return err
		}
		held += len(reply.Holds)
		if late := time.Since(lost); late < renewalDelay {
			return fmt.Errorf("the last grant before the loss arrives in %v", renewalDelay-late)
		}
		return nil
	}))
	require.Zero(t, held, "the target held shards after the next owner had begun")
	require.Empty(t, events(t, c, "server.returned", lost, time.Now()))
	resp, body := request(t, c.VMs[0], http.MethodGet, "/status/status-key", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
	require.NotEqual(t, target.Name, resp.Header.Get("X-Target"))
	healed := time.Now()
	c.Heal()
	waitReturned(t, c, target, healed)
	all.waitServed(200)
	all.requireSafe(c)
}
