package kernel

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// testModule is a module that records calls of Start and Stop.
type testModule struct {
	name       string
	calls      *[]string
	dependency string // name of the module that it looks up, if any
	fails      bool   // whether Start fails
}

func (m *testModule) Name() string { return m.name }

func (m *testModule) Provision(k *Kernel) error {
	var dependency *testModule
	if m.dependency == "" {
		return nil
	}
	return k.Resolve(Into(&dependency, m.dependency))
}

func (m *testModule) Start(context.Context) error {
	if m.fails {
		return errors.New("no port")
	}
	*m.calls = append(*m.calls, "start "+m.name)
	return nil
}

func (m *testModule) Stop(context.Context) error {
	*m.calls = append(*m.calls, "stop "+m.name)
	return nil
}

// Guards against a process that leaves modules running when a later module fails
// to start.
func TestFailedStartStopsStartedModules(t *testing.T) {
	var calls []string
	k := New()
	require.NoError(t, k.Register(&testModule{name: "a", calls: &calls}, &testModule{name: "b", calls: &calls, dependency: "a"}, &testModule{name: "c", fails: true}))
	require.ErrorContains(t, k.Start(t.Context()), "start c: no port")
	require.Equal(t, []string{"start a", "start b", "stop b", "stop a"}, calls)
}

// Guards against modules that silently replace one with the same name, and against
// look-ups of a missing module or of one with another type that succeed.
func TestRegistrationAndLookupErrors(t *testing.T) {
	k := New()
	require.NoError(t, k.Register(&testModule{name: "a", dependency: "missing"}))
	require.ErrorContains(t, k.Register(&testModule{name: "a"}), "registered twice")
	require.ErrorContains(t, k.Start(t.Context()), `provision a: module "missing" is not registered`)
	_, err := Lookup[Validator](k, "a")
	require.ErrorContains(t, err, "not a")
}
