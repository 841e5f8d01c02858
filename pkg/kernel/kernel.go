// Package kernel is a micro-kernel on top of uber/fx. It runs the parts of a daemon as kernel services, which are not the
// replicated database services that the daemon serves. Kernel services register under a name and look each other up by
// that name. The kernel starts them in the order of registration and stops them in reverse order. It does not depend on
// what they do.
package kernel

import (
	"context"
	"fmt"
	"sync"

	"go.uber.org/fx"
)

// Starter is implemented by kernel services that have to be started, for example to run goroutines.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by kernel services that have to be stopped, for example to close connections.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Factory builds one kernel service. New may look up every kernel service whose factory comes before this one in the call
// of Module.
type Factory struct {
	Name string
	New  func(k *Kernel) (any, error)
}

// Kernel is the registry of kernel services. It is safe for concurrent use.
type Kernel struct {
	lifecycle  fx.Lifecycle
	shutdowner fx.Shutdowner

	mu       sync.RWMutex
	services map[string]any
}

// New returns an empty kernel, whose services are started and stopped by the given lifecycle.
func New(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner) *Kernel {
	return &Kernel{lifecycle: lifecycle, shutdowner: shutdowner, services: map[string]any{}}
}

// Shutdown asks the application to stop and does not wait until it has stopped.
func (k *Kernel) Shutdown() error { return k.shutdowner.Shutdown() }

// Module returns the fx option that provides the kernel and builds the kernel services in order.
func Module(factories ...Factory) fx.Option {
	build := func(k *Kernel) error {
		for _, f := range factories {
			if err := k.build(f); err != nil {
				return err
			}
		}
		return nil
	}
	return fx.Options(fx.Provide(New), fx.Invoke(build))
}

// build builds the kernel service of f and registers it.
func (k *Kernel) build(f Factory) error {
	service, err := f.New(k)
	if err != nil {
		return fmt.Errorf("kernel service %q: %w", f.Name, err)
	}
	return k.Register(f.Name, service)
}

// Register adds a kernel service, and adds its Start and Stop methods, if any, to the lifecycle. Names must be unique.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, exists := k.services[name]; exists {
		return fmt.Errorf("kernel service %q is registered twice", name)
	}
	k.services[name] = service
	hook := fx.Hook{}
	if starter, ok := service.(Starter); ok {
		hook.OnStart = starter.Start
	}
	if stopper, ok := service.(Stopper); ok {
		hook.OnStop = stopper.Stop
	}
	k.lifecycle.Append(hook)
	return nil
}

// Lookup returns the kernel service with the given name. It is an error if there is none or if it is not of type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	service, registered := k.services[name]
	k.mu.RUnlock()
	typedService, hasType := service.(T)
	switch {
	case !registered:
		return typedService, fmt.Errorf("kernel service %q is not registered; check the order of the factories", name)
	case !hasType:
		return typedService, fmt.Errorf("kernel service %q is a %T, not the requested type", name, service)
	}
	return typedService, nil
}

// MustLookup is like Lookup, but panics on an error. A missing kernel service is a programming error that shows when the
// daemon starts.
func MustLookup[T any](k *Kernel, name string) T {
	typedService, err := Lookup[T](k, name)
	if err != nil {
		panic(err)
	}
	return typedService
}
