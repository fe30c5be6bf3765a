package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/soak"
)

// regressions are the seeds that once failed, with the cause, and two seeds without a failure as a baseline.
var regressions = []struct {
	seed        uint64
	connections int
	instances   int
	length      time.Duration
	cause       string
}{
	{1, 40, 4, 6 * time.Second, "none: all instances hold connections"},
	{2, 8, 4, 6 * time.Second, "none: sessions are forwarded to one home"},
	{26, 40, 4, 6 * time.Second, "the promotion coordinator was killed after it had demoted the leaving primary, and no instance took over"},
	{142, 10, 7, 8 * time.Second, "all instances were killed during a promotion, and none knew a primary after the restart"},
}

// TestShortSoak runs the real program as separate processes under faults for a few seconds; cmd/monsoonsoak does longer
// runs.
func TestShortSoak(t *testing.T) {
	directory := t.TempDir()
	binary := filepath.Join(directory, "monsoontiller")
	build := exec.Command("go", "build", "-o", binary, "../cmd/monsoontiller")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for i, regression := range regressions {
		t.Run(regression.cause, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), soak.Config{
				Seed: regression.seed, Length: regression.length, Instances: regression.instances, Clients: 16, Connections: regression.connections,
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
