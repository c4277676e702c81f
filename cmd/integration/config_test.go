package integration

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/node/admin"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/stretchr/testify/require"
)

// inventoryFile writes a document to a JSON file, as operators keep it, and
// returns its path.
func inventoryFile(t *testing.T, doc inventory.Document) string {
	t.Helper()
	data, err := json.MarshalIndent(doc, "", "  ")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "inventory.json")
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// watchVersions polls the configuration versions that each VM reports until the
// test ends, and fails the test when a version decreases.
func watchVersions(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	stop, stopped := make(chan struct{}), make(chan struct{})
	vms := slices.Clone(c.VMs)
	go func() {
		defer close(stopped)
		applied, inMap := map[string]uint64{}, map[string]uint64{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, v := range vms {
				s, err := c.Status(t.Context(), v)
				if err != nil {
					continue // the VM is down
				}
				for _, vm := range s.VMs {
					if vm.Error != "" || vm.VM != v.Name || vm.ConfigVersion == 0 || vm.MapConfigVersion == 0 {
						continue // a VM that has just started reports no versions yet
					}
					if vm.ConfigVersion < applied[v.Name] || vm.MapConfigVersion < inMap[v.Name] {
						t.Errorf("%s went from versions %d and %d to %d and %d", v.Name, applied[v.Name], inMap[v.Name], vm.ConfigVersion, vm.MapConfigVersion)
					}
					applied[v.Name], inMap[v.Name] = vm.ConfigVersion, vm.MapConfigVersion
				}
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
}

// Guards against an accepted configuration that takes effect too late or is
// reverted, and against concurrent changes of which one silently overwrites the
// other.
func TestConfigurationChanges(t *testing.T) {
	c := startCluster(t, nil)
	watchVersions(t, c)
	delayed := map[string]any{"delay_ms": 400, "streams": []string{"control"}}

	t.Run("in force in time, and a repeat is a no-op", func(t *testing.T) {
		file := inventoryFile(t, withRule(c, 1))
		out, code := ctl(t, c.VMs[:1], "apply", "--wait", inForceWithin.String(), file)
		require.Zero(t, code, out)
		require.Contains(t, out, "is in force on every VM")
		before := logState(t, c).ConfigVersion()
		out, code = ctl(t, c.VMs[3:4], "apply", file)
		require.Zero(t, code, out)
		require.Contains(t, out, "no change")
		require.Equal(t, before, logState(t, c).ConfigVersion())
	})
	t.Run("two at once", func(t *testing.T) {
		files := []string{inventoryFile(t, withRule(c, 2)), inventoryFile(t, withRule(c, 3))}
		require.NoError(t, c.PlatformFaults(t.Context(), delayed))
		outputs, codes := make([]string, 2), make([]int, 2)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { outputs[i], codes[i] = ctl(t, c.VMs[i:i+1], "apply", files[i]) })
		}
		wg.Wait()
		require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
		require.ElementsMatch(t, []int{0, 3}, codes, "%q", outputs)
		require.Contains(t, outputs[slices.Index(codes, 3)], "was accepted first")
		requireAgreement(t, c)
	})
	t.Run("a VM that was away", func(t *testing.T) {
		away := c.VMs[5]
		require.NoError(t, away.Kill())
		var last uint64
		for n := range 5 {
			last = mustApply(t, c, c.VMs[0], withRule(c, 10+n)).Version
		}
		waitInForce(t, c, last, inForceWithin)
		require.NoError(t, away.Restart())
		require.NoError(t, c.WaitReady(t.Context(), readyWithin))
		waitInForce(t, c, last, inForceWithin)
		requireAgreement(t, c)
	})
	t.Run("log down between append and read", func(t *testing.T) { logDownAfterAppend(t, c, delayed) })
}

// logDownAfterAppend takes the log down as soon as it has the record of a
// change, before the VM that appended the record can read it back.
func logDownAfterAppend(t *testing.T, c *cluster.Cluster, delayed map[string]any) {
	nextOffset := logState(t, c).Next()
	require.NoError(t, c.PlatformFaults(t.Context(), delayed))
	replies := make(chan admin.ChangeReply, 1)
	go func() {
		reply, err := c.Apply(t.Context(), c.VMs[0], withRule(c, 20))
		if err != nil {
			t.Errorf("apply: %v", err)
		}
		replies <- reply
	}()
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		var s struct {
			Streams map[string]struct{ Next uint64 }
		}
		resp, err := httpClient.Get("http://" + c.PlatformAddress + "/v1/stats")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		decode(t, resp, &s)
		if s.Streams["control"].Next <= nextOffset {
			return fmt.Errorf("no record was appended to the control log")
		}
		return nil
	}))
	readErrors := counter(t, c.VMs[0], "control.replica.read-errors")
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{"down": true}))
	require.NoError(t, cluster.Wait(readyWithin, func() error {
		if counter(t, c.VMs[0], "control.replica.read-errors") == readErrors {
			return fmt.Errorf("the VM has had no read error since the log went down")
		}
		return nil
	}))
	require.NoError(t, c.PlatformFaults(t.Context(), map[string]any{}))
	require.Equal(t, admin.ResultAccepted, (<-replies).Result)
	requireAgreement(t, c)
	accepted, _ := logState(t, c).Document()
	require.Equal(t, "/extra-20/", accepted.Rules[len(accepted.Rules)-1].PathPrefix)
}

// Guards against unauthenticated changes, against invalid files that are
// accepted, and against rejections that do not name the file, line and field.
func TestRefusedChanges(t *testing.T) {
	c := startCluster(t, func(cfg *cluster.Config) { cfg.VMs = 3 })
	before := logState(t, c).ConfigVersion()
	doc := withRule(c, 1)
	doc.Targets = slices.Clone(doc.Targets)
	doc.Targets[2].Service = "nowhere"
	file := inventoryFile(t, doc)
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	line := 1 + strings.Count(string(text[:strings.Index(string(text), `"nowhere"`)]), "\n")
	for _, command := range []string{"apply", "validate"} {
		out, code := ctl(t, c.VMs, command, file)
		require.Equal(t, 2, code, out)
		require.Contains(t, out, fmt.Sprintf("%s:%d", file, line))
		require.Contains(t, out, "targets[2].service")
	}
	var reply admin.ChangeReply
	status, err := c.CallOperatorAPI(t.Context(), c.VMs[0], http.MethodPost, "/v1/apply", admin.ApplyRequest{Author: "test", Base: before, Document: doc}, &reply)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, status)
	require.Equal(t, admin.ResultInvalid, reply.Result)

	for _, path := range []string{"/v1/apply", "/v1/drain"} {
		for _, token := range []string{"", "Bearer wrong", "cluster-secret-0123456789"} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.VMs[0].OperatorAddress+path, strings.NewReader(`{"scope":"target","name":"status-0","out":true}`))
			require.NoError(t, err)
			req.Header.Set("Authorization", token)
			resp, err := httpClient.Do(req)
			require.NoError(t, err)
			resp.Body.Close()
			require.Equal(t, http.StatusUnauthorized, resp.StatusCode, "%s with %q", path, token)
		}
	}
	refused := counter(t, c.VMs[0], "peer.connections_refused")
	conn, err := net.Dial("tcp", c.VMs[0].PeerAddress)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(make([]byte, 64)) // a nonce and a MAC that was not made with the cluster key
	require.NoError(t, err)
	require.NoError(t, cluster.Wait(5*time.Second, func() error {
		if counter(t, c.VMs[0], "peer.connections_refused") > refused {
			return nil
		}
		return fmt.Errorf("the peer connection was not refused")
	}))
	require.Equal(t, before, logState(t, c).ConfigVersion(), "a rejected change took effect")
}
