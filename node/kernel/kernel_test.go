package kernel

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// part records its calls and can fail at its start.
type part struct {
	name  string
	calls *[]string
	other string // module that it looks up
	fails bool
}

func (p *part) Name() string { return p.name }

func (p *part) Provision(k *Kernel) error {
	var other *part
	if p.other == "" {
		return nil
	}
	return k.Resolve(Into(&other, p.other))
}

func (p *part) Start(context.Context) error {
	if p.fails {
		return errors.New("no port")
	}
	*p.calls = append(*p.calls, "start "+p.name)
	return nil
}

func (p *part) Stop(context.Context) error {
	*p.calls = append(*p.calls, "stop "+p.name)
	return nil
}

// Guards against a process that leaves modules running when one cannot start.
func TestFailedStartStopsWhatWasStarted(t *testing.T) {
	var calls []string
	k := New()
	require.NoError(t, k.Register(&part{name: "a", calls: &calls}, &part{name: "b", calls: &calls, other: "a"}, &part{name: "c", fails: true}))
	require.ErrorContains(t, k.Start(t.Context()), "start c: no port")
	require.Equal(t, []string{"start a", "start b", "stop b", "stop a"}, calls)
}

func TestFaultsOfRegistrationAndLookup(t *testing.T) {
	k := New()
	require.NoError(t, k.Register(&part{name: "a", other: "missing"}))
	require.ErrorContains(t, k.Register(&part{name: "a"}), "registered twice")
	require.ErrorContains(t, k.Start(t.Context()), `provision a: module "missing" is not registered`)
	_, err := Lookup[Validator](k, "a")
	require.ErrorContains(t, err, "not a")
}
