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

// Process is an instance that runs as a separate process; it is safe for concurrent use.
type Process struct {
	name     string
	host     string
	binary   string
	settings string
	output   *os.File
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan error
	// stopRequested is set once a terminating signal has been sent.
	stopRequested bool
}

// ProcessConfig describes an instance.
type ProcessConfig struct {
	Name string
	// Host is the loopback address of the instance.
	Host       string
	DataCentre string
	Binary     string
	// Directory receives the settings file and the output file.
	Directory string
	// Seeds are the hosts of the instances to join.
	Seeds []string
	// Store and Promoter are the addresses of the platform's services.
	Store    string
	Promoter string
	// Accounts are the bounds on keys and quotas.
	Accounts platformtest.AccountBounds
}

// NewProcess writes the settings file of an instance without starting it; it returns the error of the file system.
func NewProcess(cfg ProcessConfig) (*Process, error) {
	text := platformtest.Settings{
		Instance: cfg.Name, DataCentre: cfg.DataCentre, Host: cfg.Host, SeedHosts: cfg.Seeds,
		Store: cfg.Store, Promoter: cfg.Promoter, Grace: grace, Accounts: cfg.Accounts,
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

// Address returns the host:port for callers.
func (p *Process) Address() string { return platformtest.CallerAddress(p.host) }

// Start starts the program; it returns the error of the operating system.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, "node")
	command.Env = append(os.Environ(), platform.SettingsFileVariable+"="+p.settings)
	command.Stdout, command.Stderr = p.output, p.output
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited, p.stopRequested = command, make(chan error, 1), false
	go func() { p.exited <- command.Wait() }()
	return nil
}

// Signal sends a signal to the program if it is running.
func (p *Process) Signal(sig os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL || sig == syscall.SIGQUIT {
		p.stopRequested = true
	}
	// The call fails if the process has already exited; that needs no handling.
	_ = p.command.Process.Signal(sig)
}

// Stop sends a signal that ends the program, kills it after the grace, and waits for its exit.
func (p *Process) Stop(sig os.Signal) {
	p.mu.Lock()
	// Another fault may restart the program, which replaces p.exited, before this call receives the exit.
	exited := p.exited
	p.mu.Unlock()
	p.Signal(sig)
	select {
	case err := <-exited:
		exited <- err
	case <-time.After(grace):
		p.Signal(syscall.SIGKILL)
		err := <-exited
		exited <- err
	}
}

// Stopped reports whether the program has exited after a terminating signal.
func (p *Process) Stopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-p.exited:
		p.exited <- err
		return p.stopRequested
	default:
		return false
	}
}

// UnexpectedExit returns an error if the program has exited without a terminating signal, or nil.
func (p *Process) UnexpectedExit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-p.exited:
		p.exited <- err
		if !p.stopRequested {
			return fmt.Errorf("instance %s exited without a terminating signal; see its log: %v", p.name, err)
		}
	default:
	}
	return nil
}

// Ready reports whether the instance's readiness check says that it accepts callers.
func (p *Process) Ready(ctx context.Context) bool { return platformtest.Ready(ctx, p.host) }
