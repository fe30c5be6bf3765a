package soak_test

import (
	"fmt"
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
	accounts    int
	instances   int
	length      time.Duration
	powerLosses int
	restores    int
	severances  int
	series      string
	syncReplica bool
	cause       string
}{
	{1, 40, 0, 4, 6 * time.Second, 0, 0, 0, "", false, "none: all instances hold connections"},
	{2, 8, 0, 4, 6 * time.Second, 0, 0, 0, "", false, "none: sessions are forwarded to one home"},
	{3, 20, 0, 5, 6 * time.Second, 1, 0, 0, "", false, "none: all instances lose power, and the endpoints keep their connections"},
	{26, 40, 0, 4, 6 * time.Second, 0, 0, 0, "", false, "the promotion coordinator was killed after it had demoted the leaving primary, and no instance took over"},
	{142, 10, 0, 7, 8 * time.Second, 0, 0, 0, "", false, "all instances were killed during a promotion, and none knew a primary after the restart"},
	{601, 40, 0, 4, 7 * time.Second, 0, 1, 0, "", false, "the store returned from an older copy, and all instances missed a configuration"},
	{1, 40, 0, 4, 12 * time.Second, 0, 0, 0, "promotion", false, "none: the store returns from an older copy during a promotion"},
	{4, 40, 0, 4, 8 * time.Second, 0, 0, 2, "", false, "none: open connections go silent twice"},
	{15, 40, 3, 5, 15 * time.Second, 0, 0, 0, "", false, "none: keys are removed and moved, limits are lowered, accounts become hot"},
	{7006, 40, 0, 4, 32 * time.Second, 0, 0, 0, "replacement", false, "orders of a promotion outlived their attempt, and an unseen promotion was not fenced"},
	{9202, 40, 0, 4, 32 * time.Second, 0, 0, 0, "partition", false, "the order of a promotion could not be recorded, and an instance served before it was registered"},
	{7101, 40, 0, 4, 32 * time.Second, 0, 0, 0, "replacement", true, "none: writes need a replica, and one receives nothing"},
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "monsoontiller")
	build := exec.Command("go", "build", "-o", binary, "../cmd/monsoontiller")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// checkReport reports the violations of a run, and fails the test if nothing was written.
func checkReport(t *testing.T, r soak.Report, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations() {
		t.Error(v)
	}
	if r.Acked() == 0 {
		t.Error("no write was acknowledged")
	}
}

// TestShortSoak runs the real program as separate processes under faults for a few seconds; cmd/monsoonsoak does longer
// runs.
func TestShortSoak(t *testing.T) {
	binary := buildProgram(t)
	for i, regression := range regressions {
		t.Run(regression.cause, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), soak.Config{
				Seed: regression.seed, Length: regression.length, Instances: regression.instances, Clients: 16, Connections: regression.connections, Accounts: regression.accounts, PowerLosses: regression.powerLosses, StoreRestores: regression.restores, Severances: regression.severances, Case: regression.series, SyncReplica: regression.syncReplica,
				Network: 100 + i, Binary: binary, Directory: t.TempDir(), Output: t.Output(),
			})
			checkReport(t, r, err)
		})
	}
}

// Guards against statements under values that were refused, and against instances that take no answer of the store for no change.
func TestShortSoakOfRefusedValuesAndMissedAnswers(t *testing.T) {
	binary := buildProgram(t)
	for i, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), soak.Config{
				Seed: seed, Length: 12 * time.Second, Instances: 3, Clients: 24, Connections: 40,
				RefusedValues: 5, MissedAnswers: 2, Network: 160 + i, Binary: binary, Directory: t.TempDir(), Output: t.Output(),
			})
			checkReport(t, r, err)
		})
	}
}

// Guards against sessions that miss their own writes after a route moved, messages that run in part, and odd entries that
// count as members: seeds with which these faults were seen.
func TestShortSoakOfMovedRoutesAndCutMessages(t *testing.T) {
	binary := buildProgram(t)
	for i, seed := range []uint64{2, 5} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), soak.Config{
				Seed: seed, Length: 20 * time.Second, Instances: 4, Clients: 24, Connections: 40, Accounts: soak.DrawAccounts(seed),
				RouteMoves: 15, OddEntries: 4, CutMessages: true, Network: 150 + i, Binary: binary, Directory: t.TempDir(), Output: t.Output(),
			})
			checkReport(t, r, err)
		})
	}
}
