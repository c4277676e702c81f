package panics

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Guards against a process that ends because of a panic in one of its steps, and against
// a contained panic that leaves no trace.
func TestPanicIsContainedCountedAndLogged(t *testing.T) {
	var log bytes.Buffer
	registry := metrics.NewRegistry()
	g := New(hclog.New(&hclog.LoggerOptions{Output: &log}), registry)
	then := false
	func() {
		defer g.Recover("first step", "vm", "vm-1")
		panic("a")
	}()
	err := func() (err error) {
		defer g.RecoverError(&err, "second step")
		panic("b")
	}()
	func() {
		defer g.RecoverThen(func() { then = true }, "third step")
		panic("c")
	}()
	assert.EqualError(t, err, "second step: panic: b")
	assert.True(t, then)
	assert.EqualValues(t, 3, metrics.GetOrRegisterCounter(CounterName, registry).Count())
	for _, part := range []string{"first step", "vm=vm-1", "second step", "third step", "panics_test.go"} {
		assert.Contains(t, log.String(), part)
	}
}

// Guards against a step that has not panicked but is treated as if it had.
func TestNoPanicChangesNothing(t *testing.T) {
	registry := metrics.NewRegistry()
	g, failed := New(hclog.NewNullLogger(), registry), errors.New("failed")
	err := func() (err error) {
		defer g.RecoverError(&err, "step")
		defer g.RecoverThen(func() { t.Error("then was called") }, "step")
		defer g.Recover("step")
		return failed
	}()
	assert.Equal(t, failed, err)
	assert.Zero(t, metrics.GetOrRegisterCounter(CounterName, registry).Count())
}
