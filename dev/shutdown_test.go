package dev_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/monsoontiller/monsoontiller/dev"
	"github.com/monsoontiller/monsoontiller/load"
)

func TestGracefulShutdownUnderLoadCompletesRequests(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 3})
	w, err := load.FindWorkload("bookings")
	if err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for _, i := range f.Instances() {
		addresses = append(addresses, i.CallerAddress())
	}
	stopped := make(chan error, 1)
	time.AfterFunc(2*time.Second, func() { stopped <- f.StopInstance(0) })
	r, err := load.Run(context.Background(), load.Config{
		Workload: w, Addresses: addresses, Customer: f.Customer(), Database: f.Database(),
		Sessions: 32, Rate: 400, Duration: 5 * time.Second, Seed: 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if r.Unknown > 0 || !r.Passed() {
		t.Errorf("requests failed during a graceful shutdown: %+v", r)
	}
}

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

func TestSecretsNeverReachTheLogs(t *testing.T) {
	const secret = "very-secret-password"
	logs := &logBuffer{}
	logger := log.NewJSONLogger(logs)
	f := startFleet(t, dev.Config{
		Instances:     2,
		ContractExtra: "user = \"app\"\npassword = \"" + secret + "\"\n",
		Logger:        func(string) log.Logger { return logger },
	})
	c := connectCaller(t, f, 0)
	exec(t, c, "INSERT INTO kv VALUES ('a', '1')")
	for _, m := range f.Groups()[0].Members() {
		m.Stop()
	}
	_, _ = c.Exec(context.Background(), "INSERT INTO kv VALUES ('b', '1')")
	waitUntil(t, "a line is logged", func() bool { return logs.text() != "" })
	for _, forbidden := range []string{secret, "development-fleet-token-key"} {
		if strings.Contains(logs.text(), forbidden) {
			t.Errorf("the logs contain the secret %s", forbidden)
		}
	}
}
