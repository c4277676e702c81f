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
	// inForceWithin is how soon an accepted configuration is in force everywhere.
	inForceWithin = 5 * time.Second
	// noNewWorkAfter is how soon something taken out of service gets no new work.
	noNewWorkAfter = 3 * time.Second
	readyWithin    = 30 * time.Second
)

// logState replays the control log as a VM does, from the newest snapshot when
// the first records are gone.
func logState(t *testing.T, c *cluster.Cluster) *control.State {
	t.Helper()
	log := logclient.New(logclient.Config{BaseURL: "http://" + c.PlatformAddress, Timeout: 2 * time.Second})
	st := control.NewState()
	for {
		page, err := log.Read(t.Context(), "control", st.Next(), 1000, 0)
		var gone *logclient.GoneError
		if errors.As(err, &gone) {
			st = newestSnapshot(t, log)
			require.GreaterOrEqual(t, st.Next(), gone.First, "no snapshot covers the records that are gone")
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
				_, _ = assembler.Add(chunk) // an incomplete snapshot is of no use
			}
		}
	}
	snap, ok := assembler.Newest()
	require.True(t, ok, "no complete snapshot")
	st, err := control.Restore(snap)
	require.NoError(t, err)
	return st
}

// withRule returns the deployment's document with one more rule, so that each
// number makes another document.
func withRule(c *cluster.Cluster, n int) inventory.Document {
	doc := c.Document
	doc.Rules = append(slices.Clone(doc.Rules), inventory.Rule{PathPrefix: fmt.Sprintf("/extra-%d/", n), Service: c.Document.Services[0].Name, KeyHeader: "X-Key"})
	return doc
}

// mustApply puts a document in force through a VM.
func mustApply(t *testing.T, c *cluster.Cluster, v *cluster.VM, doc inventory.Document) admin.ChangeReply {
	t.Helper()
	reply, err := c.Apply(t.Context(), v, doc)
	require.NoError(t, err)
	require.Equal(t, admin.ResultAccepted, reply.Result, "%+v", reply)
	return reply
}

// mustDrain takes something out of service or back in through a VM.
func mustDrain(t *testing.T, c *cluster.Cluster, v *cluster.VM, scope control.DrainScope, name string, out bool) admin.ChangeReply {
	t.Helper()
	reply, err := c.Drain(t.Context(), v, admin.DrainRequest{Author: "test", Scope: scope, Name: name, Out: out})
	require.NoError(t, err)
	require.Equal(t, admin.ResultAccepted, reply.Result, "%+v", reply)
	return reply
}

// waitInForce waits until a version is in force on every VM that runs.
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

func running(c *cluster.Cluster) []*cluster.VM {
	return slices.DeleteFunc(slices.Clone(c.VMs), func(v *cluster.VM) bool { return !v.Alive() })
}

// countEvents returns how often a VM's own timeline holds an event.
func countEvents(t *testing.T, c *cluster.Cluster, v *cluster.VM, kind string) int {
	t.Helper()
	var events []timeline.Event
	status, err := c.Operator(t.Context(), v, http.MethodGet, "/events", nil, &events)
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
		all = append(all, "--vm", v.Operators)
	}
	cmd := exec.CommandContext(t.Context(), binaries.Mangogatectl, append(all, args...)...)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil {
		require.ErrorAs(t, err, &exit, "%s", out)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// runningAt returns nil when n requests run at the targets of a service.
func runningAt(t *testing.T, c *cluster.Cluster, service string, n int) error {
	t.Helper()
	sum := 0
	for _, target := range c.Targets {
		if target.Service == service {
			sum += targetStats(t, target).Running
		}
	}
	if sum != n {
		return fmt.Errorf("%d requests run, not %d", sum, n)
	}
	return nil
}

// targetStats returns what a target counted since its start.
func targetStats(t *testing.T, tg *cluster.Target) (s target.Stats) {
	t.Helper()
	resp, err := caller.Get("http://" + tg.Direct + "/mangogate/stats")
	require.NoError(t, err)
	defer resp.Body.Close()
	decode(t, resp, &s)
	return s
}
