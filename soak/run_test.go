package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/soak"
)

// regressions are the seeds that once failed, with the cause, and one that never did.
var regressions = []struct {
	seed        uint64
	connections int
	instances   int
	length      time.Duration
	cause       string
}{
	{1, 40, 4, 6 * time.Second, "none: all instances hold connections"},
	{2, 8, 4, 6 * time.Second, "none: sessions are passed on to one home"},
	{26, 40, 4, 6 * time.Second, "the promoter was killed once it had demoted the leaving primary, and nobody took over"},
	{142, 10, 7, 8 * time.Second, "all were killed during a promotion, and none of those that started again knew a primary"},
}

// The real program runs as separate processes under faults; the long runs are those of cmd/monsoonsoak.
func TestShortSoak(t *testing.T) {
	directory := t.TempDir()
	binary := filepath.Join(directory, "monsoontiller")
	build := exec.Command("go", "build", "-o", binary, "../cmd/monsoontiller")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for i, one := range regressions {
		t.Run(one.cause, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), soak.Config{
				Seed: one.seed, Length: one.length, Instances: one.instances, Clients: 16, Connections: one.connections,
				Network: 100 + i, Binary: binary, Directory: t.TempDir(), Output: t.Output(),
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations() {
				t.Error(v)
			}
			if r.Acked() == 0 {
				t.Error("no write was acknowledged")
			}
		})
	}
}
