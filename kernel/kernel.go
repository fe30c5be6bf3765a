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
	// Name returns the name under which others find the service.
	Name() string
	// Run serves until ctx ends; an earlier return stops the kernel.
	Run(ctx context.Context) error
}

// Kernel holds the services of one instance; register them all before Run.
type Kernel struct {
	services []Service
}

// New returns a kernel without services.
func New() *Kernel { return &Kernel{} }

// Register adds a service; it fails with KindInvalid when the name is taken.
func (k *Kernel) Register(s Service) error {
	for _, held := range k.services {
		if held.Name() == s.Name() {
			return fault.New(fault.Config{
				Kind:    fault.KindInvalid,
				Message: "service " + s.Name() + " is registered twice",
				Remedy:  "give each service a name of its own",
			})
		}
	}
	k.services = append(k.services, s)
	return nil
}

// Lookup returns the service of that name and type; it fails with KindNotFound.
func Lookup[T any](k *Kernel, name string) (T, error) {
	for _, s := range k.services {
		if s.Name() != name {
			continue
		}
		if t, ok := s.(T); ok {
			return t, nil
		}
	}
	var none T
	return none, fault.New(fault.Config{
		Kind:    fault.KindNotFound,
		Message: fmt.Sprintf("no service %s of type %T; there are %s", name, none, k.names()),
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

// Run runs all services until ctx ends or one of them returns, and returns the first error.
func (k *Kernel) Run(ctx context.Context) error {
	var g run.Group
	for i := len(k.services) - 1; i >= 0; i-- {
		addService(&g, k.services[i])
	}
	wait, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-wait.Done()
		return nil
	}, func(error) { cancel() })
	return g.Run()
}

// addService runs s as an actor whose interrupt returns once s has ended.
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
