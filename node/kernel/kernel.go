// Package kernel starts and stops the services of a process and lets them find
// each other by name.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Module is a service with a dotted name, such as "peer.rpc".
type Module interface{ Name() string }

// Provisioner is a module that looks other modules up before anything starts.
type Provisioner interface{ Provision(k *Kernel) error }

// Validator is a module that checks itself after all modules are provisioned.
type Validator interface{ Validate() error }

// Starter is a module that does work. Start returns once the module serves.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a module that ends its work. Modules stop in the reverse order of
// their start.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the modules of one process.
type Kernel struct {
	mu      sync.Mutex
	order   []Module
	byName  map[string]Module
	started []Module
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{byName: map[string]Module{}} }

// Register adds modules; start order is the order of registration.
func (k *Kernel) Register(modules ...Module) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range modules {
		if _, twice := k.byName[m.Name()]; twice {
			return errors.Errorf("module %q is registered twice", m.Name())
		}
		k.byName[m.Name()] = m
		k.order = append(k.order, m)
	}
	return nil
}

// Lookup returns the module of a name if it has the type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	m, ok := k.byName[name]
	if !ok {
		return zero, errors.Errorf("module %q is not registered", name)
	}
	t, ok := m.(T)
	if !ok {
		return zero, errors.Errorf("module %q is a %T, not a %T", name, m, zero)
	}
	return t, nil
}

// Into looks a module up and stores it; it is an argument of Resolve.
func Into[T any](to *T, name string) func(*Kernel) error {
	return func(k *Kernel) (err error) {
		*to, err = Lookup[T](k, name)
		return err
	}
}

// Resolve does several look-ups and returns the first error.
func (k *Kernel) Resolve(lookups ...func(*Kernel) error) error {
	for _, lookup := range lookups {
		if err := lookup(k); err != nil {
			return err
		}
	}
	return nil
}

// Start provisions, validates and starts all modules. When one fails, those
// that were started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, m := range k.order {
		if p, ok := m.(Provisioner); ok {
			if err := p.Provision(k); err != nil {
				return errors.Wrapf(err, "provision %s", m.Name())
			}
		}
	}
	for _, m := range k.order {
		if v, ok := m.(Validator); ok {
			if err := v.Validate(); err != nil {
				return errors.Wrapf(err, "validate %s", m.Name())
			}
		}
	}
	for _, m := range k.order {
		if s, ok := m.(Starter); ok {
			if err := s.Start(ctx); err != nil {
				_ = k.Stop(ctx) // the start error matters more
				return errors.Wrapf(err, "start %s", m.Name())
			}
		}
		k.started = append(k.started, m)
	}
	return nil
}

// Stop stops the started modules in reverse order and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.started) - 1; i >= 0; i-- {
		s, ok := k.started[i].(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", k.started[i].Name())
		}
	}
	k.started = nil
	return first
}
