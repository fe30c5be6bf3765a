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

func TestGracefulShutdownUnderLoadCutsNothing(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 3})
	w, err := load.FindWorkload("bookings")
	if err != nil {
		t.Fatal(err)
	}
	var addresses []string
	for _, i := range f.Instances() {
		addresses = append(addresses, i.CallerAddress())
	}
	restarted := make(chan error, 1)
	time.AfterFunc(2*time.Second, func() { restarted <- f.StopInstance(0) })
	r, err := load.Run(context.Background(), load.Config{
		Workload: w, Addresses: addresses, Customer: f.Customer(), Database: f.Database(),
		Sessions: 32, Rate: 400, Duration: 5 * time.Second, Seed: 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-restarted; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if r.Unknown > 0 || !r.Passed() {
		t.Errorf("a shutdown cut requests: %+v", r)
	}
}

// sink collects log lines.
type sink struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(p)
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.String()
}

func TestSecretsNeverReachTheLogs(t *testing.T) {
	const secret = "very-secret-password"
	s := &sink{}
	logger := log.NewJSONLogger(s)
	f := startFleet(t, dev.Config{
		Instances:     2,
		ContractExtra: "user = \"app\"\npassword = \"" + secret + "\"\n",
		Logger:        func(string) log.Logger { return logger },
	})
	c := connectTo(t, f, 0)
	exec(t, c, "INSERT INTO kv VALUES ('a', '1')")
	for _, m := range f.Groups()[0].Members() {
		m.Stop()
	}
	_, _ = c.Exec(context.Background(), "INSERT INTO kv VALUES ('b', '1')")
	waitUntil(t, "something was logged", func() bool { return s.text() != "" })
	for _, forbidden := range []string{secret, "development-fleet-token-key"} {
		if strings.Contains(s.text(), forbidden) {
			t.Errorf("the logs hold the secret %s", forbidden)
		}
	}
}
