package experiment

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// PairedConfig describes the comparison of two builds over the same cases and seeds.
type PairedConfig struct {
	// Base and Change are the directories in which the command runs for the two builds.
	Base   string
	Change string
	// Command is the command of one run; {case}, {seed} and {report} stand for the case, the seed and the file for the report.
	Command []string
	Cases   []string
	Seeds   []uint64
	// Measures are the numbers to read from the reports.
	Measures []Measure
	// Jobs is the number of runs at the same time, at least 1.
	Jobs int
	// Progress, if set, receives the label of each run that has ended.
	Progress func(label string)
}

// run is one run of the command.
type run struct {
	directory string
	label     string
	name      string
	seed      uint64
}

// Pair holds the measured values of both builds for one case and seed, by the names of the measures.
type Pair struct {
	Case   string
	Seed   uint64
	Base   map[string]float64
	Change map[string]float64
}

// RunPaired runs the command for both builds over all cases and seeds, and returns a pair for each case and seed.
//
// The runs of a pair are adjacent, so that both meet a similar load of the machine. It fails with the first error of a run,
// after all runs have ended.
func RunPaired(ctx context.Context, cfg PairedConfig) ([]Pair, error) {
	var pairs []Pair
	for _, seed := range cfg.Seeds {
		for _, name := range cfg.Cases {
			pairs = append(pairs, Pair{Case: name, Seed: seed})
		}
	}
	permits := make(chan struct{}, max(1, cfg.Jobs))
	errs := make([]error, 2*len(pairs))
	var wg sync.WaitGroup
	for n := range errs {
		permits <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-permits }()
			p := &pairs[n/2]
			r := run{directory: cfg.Base, label: "base", name: p.Case, seed: p.Seed}
			values := &p.Base
			if n%2 == 1 {
				r.directory, r.label = cfg.Change, "change"
				values = &p.Change
			}
			*values, errs[n] = cfg.measure(ctx, r)
			if cfg.Progress != nil {
				cfg.Progress(fmt.Sprintf("%s %s %d", r.label, r.name, r.seed))
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return pairs, err
		}
	}
	return pairs, nil
}

// measure runs the command once and reads the measures from its report.
func (c PairedConfig) measure(ctx context.Context, r run) (map[string]float64, error) {
	directory, err := os.MkdirTemp("", "paired")
	if err != nil {
		return nil, eris.Wrap(err, "cannot create a directory for a report")
	}
	defer os.RemoveAll(directory)
	report := filepath.Join(directory, "report.json")
	replacer := strings.NewReplacer("{case}", r.name, "{seed}", strconv.FormatUint(r.seed, 10), "{report}", report)
	args := make([]string, len(c.Command))
	for i, word := range c.Command {
		args[i] = replacer.Replace(word)
	}
	command := exec.CommandContext(ctx, args[0], args[1:]...)
	command.Dir = r.directory
	output, runErr := command.CombinedOutput()
	text, err := os.ReadFile(report)
	if err != nil {
		return nil, eris.Errorf("%s, case %s, seed %d: the command wrote no report (%v): %s", r.label, r.name, r.seed, runErr, lastLines(output))
	}
	return ReadMeasures(text, c.Measures)
}

// lastLines returns the end of a command's output, for an error message.
func lastLines(output []byte) string {
	const maxBytes = 500
	return strings.TrimSpace(string(output[max(0, len(output)-maxBytes):]))
}

// Difference summarises the paired differences, change minus base, of one measure.
type Difference struct {
	Measure string
	Pairs   int
	// Base and Change are the means of the two builds, and Mean the mean difference.
	Base   float64
	Change float64
	Mean   float64
	// Margin is half the width of the 95% confidence interval of Mean, or +Inf for fewer than two pairs.
	Margin float64
}

// Significant reports whether the confidence interval of the difference excludes 0.
func (d Difference) Significant() bool { return math.Abs(d.Mean) > d.Margin }

// Compare returns the difference of a measure over the pairs in which both builds have it.
func Compare(measure string, pairs []Pair) Difference {
	var base, change, differences []float64
	for _, p := range pairs {
		b, hasBase := p.Base[measure]
		c, hasChange := p.Change[measure]
		if hasBase && hasChange {
			base = append(base, b)
			change = append(change, c)
			differences = append(differences, c-b)
		}
	}
	n := len(differences)
	d := Difference{Measure: measure, Pairs: n, Margin: math.Inf(1)}
	if n == 0 {
		return d
	}
	d.Base = stat.Mean(base, nil)
	d.Change = stat.Mean(change, nil)
	mean, deviation := stat.MeanStdDev(differences, nil)
	d.Mean = mean
	if n > 1 {
		const upperQuantile = 0.975
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
		d.Margin = t.Quantile(upperQuantile) * stat.StdErr(deviation, float64(n))
	}
	return d
}
