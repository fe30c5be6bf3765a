package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Process is one instance of the real program; it is safe for concurrent use.
type Process struct {
	name     string
	host     string
	binary   string
	settings string
	output   *os.File
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan error
	// stopping says that its end is wanted.
	stopping bool
}

// ProcessConfig describes an instance.
type ProcessConfig struct {
	Name string
	// Host is its address on the loopback.
	Host       string
	DataCentre string
	Binary     string
	// Directory takes its settings and its output.
	Directory string
	// Seeds are the hosts of other instances.
	Seeds    []string
	Store    string
	Promoter string
}

// NewProcess writes the settings of an instance, which Start starts; it fails with the error of the file system.
func NewProcess(cfg ProcessConfig) (*Process, error) {
	text := platformtest.Settings{
		Instance: cfg.Name, DataCentre: cfg.DataCentre, Host: cfg.Host, SeedHosts: cfg.Seeds,
		Store: cfg.Store, Promoter: cfg.Promoter, Grace: grace,
	}.Text()
	p := &Process{name: cfg.Name, host: cfg.Host, binary: cfg.Binary, settings: filepath.Join(cfg.Directory, cfg.Name+".toml")}
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return nil, err
	}
	var err error
	p.output, err = os.Create(filepath.Join(cfg.Directory, cfg.Name+".log"))
	return p, err
}

// grace is the time from SIGTERM until an instance is killed, as on the users' machines.
const grace = 6 * time.Second

// Name returns the instance's name.
func (p *Process) Name() string { return p.name }

// Address returns where callers connect.
func (p *Process) Address() string { return platformtest.CallerAddress(p.host) }

// Start starts the program; it fails with the system's error.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, "node")
	command.Env = append(os.Environ(), platform.NodeFileVariable+"="+p.settings)
	command.Stdout, command.Stderr = p.output, p.output
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited, p.stopping = command, make(chan error, 1), false
	go func() { p.exited <- command.Wait() }()
	return nil
}

// Signal sends a signal to the program, if it runs.
func (p *Process) Signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL || s == syscall.SIGQUIT {
		p.stopping = true
	}
	// One that has just ended cannot be signalled, which is as well.
	_ = p.command.Process.Signal(s)
}

// Stop ends the program, by force after the grace, and waits for its end.
func (p *Process) Stop(s os.Signal) {
	p.mu.Lock()
	// Another fault may start the program again before this one has seen its end.
	exited := p.exited
	p.mu.Unlock()
	p.Signal(s)
	select {
	case err := <-exited:
		exited <- err
	case <-time.After(grace):
		p.Signal(syscall.SIGKILL)
		err := <-exited
		exited <- err
	}
}

// Stopped reports whether the program has ended as it was asked to.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-p.exited:
		p.exited <- err
		return p.stopping
	default:
		return false
	}
}

// Ended returns how the program ended though nobody asked it to, or nil.
func (p *Process) Ended() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-p.exited:
		p.exited <- err
		if !p.stopping {
			return fmt.Errorf("instance %s ended by itself: %v", p.name, err)
		}
	default:
	}
	return nil
}

// Ready reports whether the instance says that it takes callers.
func (p *Process) Ready(ctx context.Context) bool { return platformtest.Ready(ctx, p.host) }
