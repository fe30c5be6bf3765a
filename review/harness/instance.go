package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/monsoontiller/monsoontiller/platform"
)

// pipeSize is the size of the pipe that takes the output of an instance, in bytes.
const pipeSize = 64 << 10

// program and its arguments are the command of the deploy file, which runs in the root of the repository.
const program = "target/monsoontiller"

var programArguments = []string{"node", "--metrics-port", fmt.Sprint(metricsPort)}

// instance is one process of the program.
type instance struct {
	name      string
	settings  string
	log       string
	callers   string
	readiness string
	record    *record
	command   *exec.Cmd
	exited    chan struct{}
	// reading is the reader of the process's output; it stops reading while stalled is set.
	stalled atomic.Bool
}

// start starts the process; its output is read into the log, as the platform reads it.
func (i *instance) start(ctx context.Context) error {
	output, err := os.Create(i.log)
	if err != nil {
		return err
	}
	command := exec.CommandContext(ctx, program, programArguments...)
	command.Env = []string{platform.SettingsFileVariable + "=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	// The usual size, which is larger on machines with larger pages.
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, pipeSize); err != nil {
		return err
	}
	command.Stdout, command.Stderr = write, write
	if err := command.Start(); err != nil {
		return err
	}
	write.Close()
	i.command, i.exited = command, make(chan struct{})
	go i.readLog(read, output)
	go func() {
		err := command.Wait()
		i.record.line("%s ended: %v", i.name, err)
		close(i.exited)
	}()
	return nil
}

// readLog copies the output until it ends.
func (i *instance) readLog(from *os.File, to *os.File) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4<<10)
	for {
		for i.stalled.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		n, err := from.Read(buffer)
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.record.line("%s gets signal %v", i.name, s)
	if err := i.command.Process.Signal(s); err != nil {
		i.record.line("%s did not get the signal: %v", i.name, err)
	}
}

// kill ends the process if it still runs, and waits for its end.
func (i *instance) kill() {
	i.stalled.Store(false)
	if i.command == nil {
		return
	}
	select {
	case <-i.exited:
		return
	default:
	}
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// ready reports whether the readiness probe of the platform succeeds.
func (i *instance) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.readiness+"/api/readiness", nil)
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
