package integration

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/control"
	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/node/logclient"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/target"
	"github.com/stretchr/testify/require"
)

const (
	// inForceWithin bounds the time until an accepted configuration is in force
	// on every VM.
	inForceWithin = 5 * time.Second
	// drainedWithin bounds the time until a drained target or data centre gets
	// no new requests.
	drainedWithin = 3 * time.Second
	// readyWithin bounds the waits for a cluster to become ready.
	readyWithin = 30 * time.Second
)

// logState replays the control log as a VM does: from its first record, or from
// the newest snapshot when the first records have been truncated.
func logState(t *testing.T, c *cluster.Cluster) *control.State {
	t.Helper()
	log := logclient.New(logclient.Config{BaseURL: "http://" + c.PlatformAddress, Timeout: 2 * time.Second})
	st := control.NewState()
	for {
		page, err := log.Read(t.Context(), "control", st.Next(), 1000, 0)
		var gone *logclient.GoneError
		if errors.As(err, &gone) {
			st = newestSnapshot(t, log)
			require.GreaterOrEqual(t, st.Next(), gone.First, "no snapshot covers the truncated records")
			continue
		}
		require.NoError(t, err)
		if len(page.Records) == 0 {
			return st
		}
		for _, r := range page.Records {
			st.ApplyBytes(r.Offset, r.Data)
		}
	}
}

// newestSnapshot restores the state of the newest complete snapshot.
func newestSnapshot(t *testing.T, log *logclient.Client) *control.State {
	t.Helper()
	var assembler control.Assembler
	for next := uint64(0); ; {
		page, err := log.Read(t.Context(), "snapshots", next, 1000, 0)
		require.NoError(t, err)
		if len(page.Records) == 0 {
			break
		}
		for _, r := range page.Records {
			next = r.Offset + 1
			if chunk, err := control.DecodeChunk(r.Data); err == nil {
				_, _ = assembler.Add(chunk) // an error means an incomplete snapshot, which is skipped
			}
		}
	}
	snap, ok := assembler.Newest()
	require.True(t, ok, "the log has no complete snapshot")
	st, err := control.Restore(snap)
	require.NoError(t, err)
	return st
}

// withRule returns the cluster's document with one more rule, which n makes unique.
func withRule(c *cluster.Cluster, n int) inventory.Document {
	doc := c.Document
	doc.Rules = append(slices.Clone(doc.Rules), inventory.Rule{PathPrefix: fmt.Sprintf("/extra-%d/", n), Service: c.Document.Services[0].Name, KeyHeader: "X-Key"})
	return doc
}

// mustApply sends a document to a VM and checks that it is accepted.
func mustApply(t *testing.T, c *cluster.Cluster, v *cluster.VM, doc inventory.Document) admin.ChangeReply {
	t.Helper()
	reply, err := c.Apply(t.Context(), v, doc)
	require.NoError(t, err)
	require.Equal(t, admin.ResultAccepted, reply.Result, "%+v", reply)
	return reply
}

// mustDrain drains a target or data centre, or puts it back, through a VM, and checks
// that the command is accepted.
func mustDrain(t *testing.T, c *cluster.Cluster, v *cluster.VM, scope control.DrainScope, name string, out bool) admin.ChangeReply {
	t.Helper()
	reply, err := c.Drain(t.Context(), v, admin.DrainRequest{Author: "test", Scope: scope, Name: name, Out: out})
	require.NoError(t, err)
	require.Equal(t, admin.ResultAccepted, reply.Result, "%+v", reply)
	return reply
}

// waitInForce waits until a configuration version is in force on every running VM.
func waitInForce(t *testing.T, c *cluster.Cluster, version uint64, within time.Duration) {
	t.Helper()
	require.NoError(t, cluster.Wait(within, func() error {
		for _, v := range running(c) {
			s, err := c.Status(t.Context(), v)
			if err != nil {
				return err
			}
			i := slices.IndexFunc(s.VMs, func(s admin.VMStatus) bool { return s.VM == v.Name })
			if i < 0 || !s.VMs[i].InForce(version) {
				return fmt.Errorf("version %d is not in force on %s", version, v.Name)
			}
		}
		return nil
	}))
}

// running returns the VMs whose process runs.
func running(c *cluster.Cluster) []*cluster.VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(v *cluster.VM) bool { return !v.Alive() })
}

// countEvents returns how many events of a kind a VM's own timeline holds.
func countEvents(t *testing.T, c *cluster.Cluster, v *cluster.VM, kind string) int {
	t.Helper()
	var events []timeline.Event
	status, err := c.CallOperatorAPI(t.Context(), v, http.MethodGet, "/events", nil, &events)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	return len(slices.DeleteFunc(events, func(e timeline.Event) bool { return e.Kind != kind }))
}

// ctl runs mangogatectl against VMs and returns its output and exit code.
func ctl(t *testing.T, vms []*cluster.VM, args ...string) (string, int) {
	t.Helper()
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("cluster-secret-0123456789"), 0o600))
	all := []string{"--token-file", token}
	for _, v := range vms {
		all = append(all, "--vm", v.OperatorAddress)
	}
	cmd := exec.CommandContext(t.Context(), binaries.Mangogatectl, append(all, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil {
		require.ErrorAs(t, err, &exit, "%s", out)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// checkRunning returns an error unless the targets of a service run exactly n
// requests.
func checkRunning(t *testing.T, c *cluster.Cluster, service string, n int) error {
	t.Helper()
	sum := 0
	for _, target := range c.Targets {
		if target.Service == service {
			sum += targetStats(t, target).Running
		}
	}
	if sum != n {
		return fmt.Errorf("%d requests are running, want %d", sum, n)
	}
	return nil
}

// targetStats returns the counters of a target since its start.
func targetStats(t *testing.T, tg *cluster.Target) (s target.Stats) {
	t.Helper()
	resp, err := httpClient.Get("http://" + tg.DirectAddress + "/mangogate/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	decode(t, resp, &s)
	return s
}
