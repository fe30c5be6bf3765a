package kernel

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"github.com/oklog/run"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Service is a part of an instance that runs until its context ends.
type Service interface {
	// Name returns the name by which Lookup finds the service.
	Name() string
	// Run runs the service until ctx ends; if it returns earlier, the kernel stops.
	Run(ctx context.Context) error
}

// Kernel holds the services of one instance; all of them must be registered before Run.
type Kernel struct {
	services []Service
}

// New returns a kernel without services.
func New() *Kernel { return &Kernel{} }

// Register adds a service; it fails with KindInvalid if a service of that name is registered.
func (k *Kernel) Register(s Service) error {
	for _, registered := range k.services {
		if registered.Name() == s.Name() {
			return fault.New(fault.Config{
				Kind:    fault.KindInvalid,
				Message: "service " + s.Name() + " is registered twice",
				Remedy:  "give each service a unique name",
			})
		}
	}
	k.services = append(k.services, s)
	return nil
}

// Lookup returns the service of that name and type; it fails with KindNotFound if none is registered.
func Lookup[T any](k *Kernel, name string) (T, error) {
	for _, s := range k.services {
		if s.Name() != name {
			continue
		}
		if t, ok := s.(T); ok {
			return t, nil
		}
	}
	var zero T
	return zero, fault.New(fault.Config{
		Kind:    fault.KindNotFound,
		Message: fmt.Sprintf("no service %s of type %T is registered; registered services: %s", name, zero, k.names()),
		Remedy:  "register the service before those that look it up",
	})
}

func (k *Kernel) names() string {
	var names []string
	for _, s := range k.services {
		names = append(names, s.Name())
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Run runs all services until ctx ends or one of them returns, and then stops the others.
//
// It returns the error of the service that returned first, or nil if ctx ended
// first; errors of services that return during the stop are dropped.
func (k *Kernel) Run(ctx context.Context) error {
	var g run.Group
	for i := len(k.services) - 1; i >= 0; i-- {
		addService(&g, k.services[i])
	}
	runCtx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-runCtx.Done()
		return nil
	}, func(error) { cancel() })
	return g.Run()
}

// addService adds s to g; interrupting it cancels the context of s and waits until its Run returns.
func addService(g *run.Group, s Service) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	g.Add(func() error {
		defer close(ended)
		if err := s.Run(ctx); err != nil {
			return fmt.Errorf("service %s: %w", s.Name(), err)
		}
		return nil
	}, func(error) {
		cancel()
		<-ended
	})
}
