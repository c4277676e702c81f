// Package kernel manages the life cycle of the modules of a process: it lets them
// look each other up by name, and starts and stops them in order.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Module is a component of the process with a unique, dotted name, such as "peer.rpc".
type Module interface{ Name() string }

// Provisioner is a module that looks up other modules. Provision is called
// before any module starts.
type Provisioner interface{ Provision(k *Kernel) error }

// Validator is a module that checks itself. Validate is called after all modules
// are provisioned and before any module starts.
type Validator interface{ Validate() error }

// Starter is a module that runs in the background. Start returns once the module
// is ready.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a module to stop. Modules stop in the reverse order of their start.
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

// Register adds modules, which start in the order of registration. It fails if
// two modules have the same name.
func (k *Kernel) Register(modules ...Module) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range modules {
		if _, exists := k.byName[m.Name()]; exists {
			return errors.Errorf("module %q is registered twice", m.Name())
		}
		k.byName[m.Name()] = m
		k.order = append(k.order, m)
	}
	return nil
}

// Lookup returns the module with a name. It fails if there is none or if its type
// is not T.
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

// Into returns a look-up for Resolve that stores the module in *to.
func Into[T any](to *T, name string) func(*Kernel) error {
	return func(k *Kernel) (err error) {
		*to, err = Lookup[T](k, name)
		return err
	}
}

// Resolve runs look-ups in order until one fails, and returns its error.
func (k *Kernel) Resolve(lookups ...func(*Kernel) error) error {
	for _, lookup := range lookups {
		if err := lookup(k); err != nil {
			return err
		}
	}
	return nil
}

// Start provisions, validates and starts all modules, in this order. If a module fails
// to start, the modules before it are stopped, but not the failed one.
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
				_ = k.Stop(ctx) // the error of the start is the cause and is returned
				return errors.Wrapf(err, "start %s", m.Name())
			}
		}
		k.started = append(k.started, m)
	}
	return nil
}

// Stop stops the started modules in reverse order. It continues after an error and
// returns the first one.
func (k *Kernel) Stop(ctx context.Context) error {
	var firstErr error
	for i := len(k.started) - 1; i >= 0; i-- {
		s, ok := k.started[i].(Stopper)
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "stop %s", k.started[i].Name())
		}
	}
	k.started = nil
	return firstErr
}
