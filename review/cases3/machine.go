package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Ports of every machine of a run, which differ in their loopback address.
const (
	portFrontend  = 8784
	portReadiness = 8785
	portControl   = 8782
	portFirst     = 7440
	portLast      = 7455
)

// memoryMb is the memory of a machine, beyond which its process is killed.
const memoryMb = 284

// machine is one machine with one process of the system.
type machine struct {
	name     string
	host     string
	settings string
	output   *os.File
	command  *exec.Cmd
}

// machineConfig describes a machine.
type machineConfig struct {
	name, zone, host string
	seeds            []string
	store, cloud     string
	directory        string
}

func newMachine(cfg machineConfig) (*machine, error) {
	var seeds []string
	for _, s := range cfg.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	text := fmt.Sprintf(`NodeName = %q
Role = "proxy"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
Ip = %q
Zone = %q
Region = "central-belt"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = false
HeartbeatMs = 1200
[BindAddrs]
Frontend = "%[2]s:%[7]d"
Readiness = "%[2]s:%[8]d"
Control = "%[2]s:%[9]d"
[Limits]
CpuQuota = 0.4
Cores = 1
MemoryMb = %[12]d
MaxFds = 4200
[Bounds]
ContactMs = 4000
AckTimeoutMs = 5000
DrainTimeoutMs = 7000
GraceS = 6
ConfigApplyMs = 3000
DowngradeSlackMs = 250
FencingRequired = false
ThawSlackMs = 300
[platform]
Address = %[10]q
form = "table"
[CloudApi]
Address = %[11]q
Duties = ["promotion"]
`, cfg.name, cfg.host, cfg.zone, portFirst, portLast, strings.Join(seeds, ","), portFrontend, portReadiness, portControl,
		cfg.store, cfg.cloud, memoryMb)
	m := &machine{name: cfg.name, host: cfg.host, settings: filepath.Join(cfg.directory, cfg.name+".toml")}
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	m.output, err = os.Create(filepath.Join(cfg.directory, cfg.name+".log"))
	return m, err
}

// start starts the process with the command of the deploy file.
func (m *machine) start(binary string) error {
	m.command = exec.Command(binary, "node", "--metrics-port", "9464")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONTILLER_NODE_FILE=" + m.settings}
	m.command.Stdout, m.command.Stderr = m.output, m.output
	return m.command.Start()
}

// kill ends the process.
func (m *machine) kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	// The process may have ended by itself, which its exit status shows.
	_ = m.command.Process.Kill()
	_ = m.command.Wait()
	m.command = nil
}

// privateMemory returns the anonymous memory of the process in MiB, or 0 if it is not known.
func (m *machine) privateMemory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kib float64
		if n, err := fmt.Sscanf(line, "RssAnon: %f kB", &kib); n == 1 && err == nil {
			return kib / 1024
		}
	}
	return 0
}

func (m *machine) frontend() string { return fmt.Sprintf("%s:%d", m.host, portFrontend) }

// ready reports whether the readiness probe succeeds.
func (m *machine) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/api/readiness", m.host, portReadiness), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(ctx context.Context, machines []*machine, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, m := range machines {
		for !m.ready(ctx) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// freeNetwork returns a loopback network A.B.C. of which the addresses 10 to 19 have all ports of the machines free.
func freeNetwork() (string, error) {
	for n := range 200 {
		k := (os.Getpid() + 37*n) % (200 * 200)
		network := fmt.Sprintf("127.%d.%d.", 20+k/200, 1+k%200)
		if isFree(network) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback network has the ports free")
}

func isFree(network string) bool {
	for host := 10; host < 20; host++ {
		for _, port := range []int{portFrontend, portReadiness, portControl, portFirst, portFirst + 1, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}
