package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// instance is one machine with the command of the deploy file.
type instance struct {
	name, host, settings string
	output               *os.File
	command              *exec.Cmd
	ended                chan error
}

// grace is the time from SIGTERM until an instance is killed, as the sheet of bairdlennox-pool gives it.
const grace = 6 * time.Second

func newInstance(directory, name, zone, host string, seeds []string, store, promotions string) (*instance, error) {
	i := &instance{name: name, host: host, settings: filepath.Join(directory, name+".toml")}
	text := platformtest.Settings{
		Instance: name, DataCentre: zone, Host: host, SeedHosts: seeds, Store: store, Promoter: promotions, Grace: grace,
	}.Text()
	if err := os.WriteFile(i.settings, text, 0o600); err != nil {
		return nil, err
	}
	var err error
	i.output, err = os.Create(filepath.Join(directory, name+".log"))
	return i, err
}

// start starts the program with the command of deploy/system.toml.
func (i *instance) start() error {
	i.command = exec.Command("target/monsoontiller", "node", "--metrics-port", "9464")
	i.command.Env = append(os.Environ(), platform.SettingsFileVariable+"="+i.settings)
	i.command.Stdout, i.command.Stderr = i.output, i.output
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended = make(chan error, 1)
	go func() { i.ended <- i.command.Wait() }()
	return nil
}

// kill ends the program and waits for it.
func (i *instance) kill() {
	if i.command == nil || i.ended == nil {
		return
	}
	// The call fails if the process has already ended.
	_ = i.command.Process.Kill()
	<-i.ended
	i.ended = nil
}

// awaitReady waits until the readiness probe succeeds.
func (i *instance) awaitReady(ctx context.Context) error {
	for !platformtest.Ready(ctx, i.host) {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s did not become ready", i.name)
		}
	}
	return nil
}
