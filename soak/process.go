package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
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

// The ports of every instance, each of which has an address of its own on the loopback.
const (
	portCallers   = 7600
	portReadiness = 7601
	portPeers     = 7602
	portFirst     = 7610
	portLast      = 7620
)

// ProcessConfig describes an instance.
type ProcessConfig struct {
	Name string
	// Host is its address on the loopback.
	Host       string
	DataCentre string
	Binary     string
	// Directory takes its settings and its output.
	Directory string
	Seeds     []string
	Store     string
	Promoter  string
}

// NewProcess writes the settings of an instance, which Start starts; it fails with the error of the file system.
func NewProcess(cfg ProcessConfig) (*Process, error) {
	text := fmt.Sprintf(`NodeName = %q
Zone = %q
Ip = %q
PortRange = [%d,%d]
Seeds = [`, cfg.Name, cfg.DataCentre, cfg.Host, portFirst, portLast)
	for _, s := range cfg.Seeds {
		text += fmt.Sprintf("%q,", net.JoinHostPort(s, fmt.Sprint(portPeers)))
	}
	text += fmt.Sprintf(`]
[BindAddrs]
Frontend = "%[1]s:%[2]d"
Readiness = "%[1]s:%[3]d"
Control = "%[1]s:%[4]d"
[Limits]
CpuQuota = 0.5
MemoryMb = 256
[Bounds]
GraceS = %[5]d
[platform]
Address = %[6]q
[CloudApi]
Address = %[7]q
`, cfg.Host, portCallers, portReadiness, portPeers, int(grace/time.Second), cfg.Store, cfg.Promoter)
	p := &Process{name: cfg.Name, host: cfg.Host, binary: cfg.Binary, settings: filepath.Join(cfg.Directory, cfg.Name+".toml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
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
func (p *Process) Address() string { return net.JoinHostPort(p.host, fmt.Sprint(portCallers)) }

// Start starts the program; it fails with the system's error.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.binary, "node")
	command.Env = append(os.Environ(), "MONSOONTILLER_NODE_FILE="+p.settings)
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
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopping = true
	}
	// One that has just ended cannot be signalled, which is as well.
	_ = p.command.Process.Signal(s)
}

// Stop ends the program, by force after the grace, and waits for its end.
func (p *Process) Stop(s os.Signal) {
	p.Signal(s)
	select {
	case err := <-p.exited:
		p.exited <- err
	case <-time.After(grace):
		p.Signal(syscall.SIGKILL)
		err := <-p.exited
		p.exited <- err
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
func (p *Process) Ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", p.host, portReadiness))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
