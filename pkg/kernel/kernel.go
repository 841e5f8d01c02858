// Package kernel is a micro-kernel on uber/fx. Services register under a name and find each other by that name;
// the kernel starts them in the order of registration and stops them in reverse. It knows nothing of their jobs.
package kernel

import (
	"context"
	"fmt"
	"sync"

	"go.uber.org/fx"
)

// Starter is implemented by services with work to start.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by services with work to stop.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Factory builds one service. New may look up every service that stands before it in the list.
type Factory struct {
	Name string
	New  func(k *Kernel) (any, error)
}

// Kernel is the registry of services.
type Kernel struct {
	lifecycle  fx.Lifecycle
	shutdowner fx.Shutdowner

	mu       sync.RWMutex
	services map[string]any
}

// New returns an empty kernel whose services follow the given lifecycle.
func New(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner) *Kernel {
	return &Kernel{lifecycle: lifecycle, shutdowner: shutdowner, services: map[string]any{}}
}

// Shutdown asks the application to stop; it does not wait.
func (k *Kernel) Shutdown() error { return k.shutdowner.Shutdown() }

// Module returns the fx option that provides the kernel and builds the services in order.
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

func (k *Kernel) build(f Factory) error {
	service, err := f.New(k)
	if err != nil {
		return fmt.Errorf("service %q: %w", f.Name, err)
	}
	return k.Register(f.Name, service)
}

// Register adds a service and hooks it into the lifecycle.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, exists := k.services[name]; exists {
		return fmt.Errorf("service %q is registered twice", name)
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

// Lookup returns the service with the given name as type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	service, registered := k.services[name]
	k.mu.RUnlock()
	typedService, hasType := service.(T)
	switch {
	case !registered:
		return typedService, fmt.Errorf("service %q is not registered; check the order of the factories", name)
	case !hasType:
		return typedService, fmt.Errorf("service %q is a %T, not the requested type", name, service)
	}
	return typedService, nil
}

// MustLookup is Lookup for factories: it panics on a missing service, which is a programming error found at start.
func MustLookup[T any](k *Kernel, name string) T {
	typedService, err := Lookup[T](k, name)
	if err != nil {
		panic(err)
	}
	return typedService
}
