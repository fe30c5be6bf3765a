package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Matrix describes a comparison of several builds over cases and seeds, as read from a file in TOML; the first build is the one
// that the others are compared with.
type Matrix struct {
	// Command is the command of one run; {case}, {seed} and {report} stand for the case, the seed and the file for the report.
	Command []string `toml:"command"`
	// Jobs is the number of runs at the same time; 0 means 1.
	Jobs int `toml:"jobs"`
	// Results is the file that keeps the result of each run, as lines in JSON; runs that it contains are not repeated.
	Results string          `toml:"results"`
	Builds  []MatrixBuild   `toml:"build"`
	Cases   []MatrixCase    `toml:"case"`
	Reports []MatrixMeasure `toml:"measure"`
	// measures are the parsed Reports.
	measures []Measure
}

// MatrixBuild is a build and the directory in which the command runs for it.
type MatrixBuild struct {
	Name      string `toml:"name"`
	Directory string `toml:"directory"`
}

// MatrixCase is a case with its seeds.
type MatrixCase struct {
	Name  string   `toml:"name"`
	Seeds []uint64 `toml:"seeds"`
}

// MatrixMeasure names a number in the report of a run by its path, such as latency.p99.
type MatrixMeasure struct {
	Name string `toml:"name"`
	Path string `toml:"path"`
}

// maxMatrixJobs bounds the runs at the same time: each may start hundreds of processes.
const maxMatrixJobs = 8

// ReadMatrix reads a file; it fails with KindInvalid, and the message names the line or the entry and what is wrong with it.
func ReadMatrix(path string) (Matrix, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Matrix{}, invalidMatrix(path, "the file cannot be read", err)
	}
	var m Matrix
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&m); err != nil {
		return Matrix{}, invalidMatrix(path, decodeProblem(err), err)
	}
	if problem := m.check(); problem != "" {
		return Matrix{}, invalidMatrix(path, problem, nil)
	}
	for n, r := range m.Reports {
		measure, err := ParseMeasure(r.Name + "=" + r.Path)
		if err != nil {
			return Matrix{}, invalidMatrix(path, fmt.Sprintf("measure %d (%q): %v", n+1, r.Name, err), nil)
		}
		m.measures = append(m.measures, measure)
	}
	if !filepath.IsAbs(m.Results) {
		m.Results = filepath.Join(filepath.Dir(path), m.Results)
	}
	return m, nil
}

// decodeProblem returns the place of an error of the decoder.
func decodeProblem(err error) string {
	if strict, ok := err.(*toml.StrictMissingError); ok && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Sprintf("line %d: unknown key %s", row, strings.Join(strict.Errors[0].Key(), "."))
	}
	if decode, ok := err.(*toml.DecodeError); ok {
		row, column := decode.Position()
		return fmt.Sprintf("line %d, column %d: %s", row, column, decode.Error())
	}
	return err.Error()
}

// check returns what is wrong with a matrix, or "".
func (m Matrix) check() string {
	switch {
	case len(m.Command) == 0:
		return "command is missing"
	case !slices.ContainsFunc(m.Command, func(word string) bool { return strings.Contains(word, "{report}") }):
		return "no word of command contains {report}"
	case m.Results == "":
		return "results is missing"
	case m.Jobs < 0 || m.Jobs > maxMatrixJobs:
		return fmt.Sprintf("jobs is %d, not 1 to %d", m.Jobs, maxMatrixJobs)
	case len(m.Builds) < 2:
		return "fewer than two entries [[build]]"
	case len(m.Cases) == 0:
		return "no entry [[case]]"
	case len(m.Reports) == 0:
		return "no entry [[measure]]"
	}
	seen := map[string]bool{}
	for n, b := range m.Builds {
		if b.Name == "" || b.Directory == "" || seen[b.Name] {
			return fmt.Sprintf("build %d (%q): name and directory are needed, and names must differ", n+1, b.Name)
		}
		seen[b.Name] = true
	}
	for n, c := range m.Cases {
		if c.Name == "" || len(c.Seeds) == 0 {
			return fmt.Sprintf("case %d (%q): name and seeds are needed", n+1, c.Name)
		}
	}
	return ""
}

func invalidMatrix(path, problem string, cause error) error {
	return fault.New(fault.Config{
		Kind: fault.KindInvalid, Message: path + ": " + problem, Remedy: "correct the file and run the command again", Cause: cause,
	})
}

// MatrixResult is the result of one run.
type MatrixResult struct {
	Build  string             `json:"build"`
	Case   string             `json:"case"`
	Seed   uint64             `json:"seed"`
	Values map[string]float64 `json:"values"`
}

// same reports whether both are results of the same run.
func (r MatrixResult) same(other MatrixResult) bool {
	return r.Build == other.Build && r.Case == other.Case && r.Seed == other.Seed
}

// Run plays the runs that the file of results lacks, those of a case and seed next to each other, and returns all results.
//
// Each result is written when its run ends, so that a comparison that was stopped continues where it was. It fails with the
// first error of a run, after the runs in progress have ended. progress, if set, receives the number of runs that have ended, and
// of all.
func (m Matrix) Run(ctx context.Context, progress func(done, all int)) ([]MatrixResult, error) {
	results, complete, err := readResults(m.Results)
	if err != nil {
		return nil, err
	}
	all := m.runs()
	results = slices.DeleteFunc(results, func(r MatrixResult) bool { return !slices.ContainsFunc(all, r.same) })
	due := slices.DeleteFunc(slices.Clone(all), func(r MatrixResult) bool { return slices.ContainsFunc(results, r.same) })
	file, err := os.OpenFile(m.Results, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err == nil {
		err = file.Truncate(complete)
	}
	if err != nil {
		return results, eris.Wrap(err, "cannot write the results")
	}
	defer file.Close()
	permits := make(chan struct{}, max(1, m.Jobs))
	ended := make(chan error, len(due))
	var mu sync.Mutex
	started := 0
	failed := false
	for _, r := range due {
		permits <- struct{}{}
		mu.Lock()
		stop := failed || ctx.Err() != nil
		mu.Unlock()
		if stop {
			break
		}
		started++
		go func() {
			defer func() { <-permits }()
			values, err := m.play(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				r.Values = values
				err = appendResult(file, r)
			}
			if err != nil {
				failed = true
				ended <- err
				return
			}
			results = append(results, r)
			if progress != nil {
				progress(len(results), len(all))
			}
			ended <- nil
		}()
	}
	var first error
	for range started {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	if first == nil {
		first = ctx.Err()
	}
	return results, first
}

// runs returns all runs, without values.
func (m Matrix) runs() []MatrixResult {
	var out []MatrixResult
	for _, c := range m.Cases {
		for _, seed := range c.Seeds {
			for _, b := range m.Builds {
				out = append(out, MatrixResult{Build: b.Name, Case: c.Name, Seed: seed})
			}
		}
	}
	return out
}

// play runs the command once and reads the measures from its report; it fails if the report has none of them.
func (m Matrix) play(ctx context.Context, r MatrixResult) (map[string]float64, error) {
	n := slices.IndexFunc(m.Builds, func(b MatrixBuild) bool { return b.Name == r.Build })
	cfg := PairedConfig{Command: m.Command, Measures: m.measures}
	values, err := cfg.measure(ctx, run{directory: m.Builds[n].Directory, label: r.Build, name: r.Case, seed: r.Seed})
	if err == nil && len(values) == 0 {
		err = eris.Errorf("%s, case %s, seed %d: the report has a number at none of the paths of the measures; correct the paths",
			r.Build, r.Case, r.Seed)
	}
	return values, err
}

func appendResult(file *os.File, r MatrixResult) error {
	text, err := json.Marshal(r)
	if err == nil {
		_, err = file.Write(append(text, '\n'))
	}
	return eris.Wrap(err, "cannot write a result")
}

// readResults reads the results of earlier runs; complete is the length of the lines that were written in full, in bytes.
func readResults(path string) (results []MatrixResult, complete int64, err error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, eris.Wrap(err, "cannot read the results")
	}
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		var r MatrixResult
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, 0, invalidMatrix(path, fmt.Sprintf("line %d is not a result", n), err)
		}
		results = append(results, r)
	}
	return results, int64(len(text)), lines.Err()
}

// MatrixDifference is the paired difference of a measure between a build and the first one, over the seeds of a case.
type MatrixDifference struct {
	Build      string
	Case       string
	Difference Difference
}

// MarshalJSON encodes the difference; the margin is null for fewer than two pairs.
func (d MatrixDifference) MarshalJSON() ([]byte, error) {
	out := struct {
		Build      string   `json:"build"`
		Case       string   `json:"case"`
		Measure    string   `json:"measure"`
		Pairs      int      `json:"pairs"`
		Base       float64  `json:"base"`
		Change     float64  `json:"change"`
		Difference float64  `json:"difference"`
		Margin     *float64 `json:"margin"`
	}{
		Build: d.Build, Case: d.Case, Measure: d.Difference.Measure, Pairs: d.Difference.Pairs, Base: d.Difference.Base,
		Change: d.Difference.Change, Difference: d.Difference.Mean,
	}
	if !math.IsInf(d.Difference.Margin, 0) {
		out.Margin = &d.Difference.Margin
	}
	return json.Marshal(out)
}

// AllCases is the case of the differences over the pairs of all cases.
const AllCases = "all"

// Differences compares each build with the first one, for each measure and case and over all cases.
func (m Matrix) Differences(results []MatrixResult) []MatrixDifference {
	var out []MatrixDifference
	for _, measure := range measureNames(results) {
		for _, b := range m.Builds[1:] {
			pairs := m.pairs(results, b.Name)
			for _, c := range m.Cases {
				of := slices.DeleteFunc(slices.Clone(pairs), func(p Pair) bool { return p.Case != c.Name })
				out = append(out, MatrixDifference{Build: b.Name, Case: c.Name, Difference: Compare(measure, of)})
			}
			out = append(out, MatrixDifference{Build: b.Name, Case: AllCases, Difference: Compare(measure, pairs)})
		}
	}
	return out
}

// pairs returns the results of a build beside those of the first one.
func (m Matrix) pairs(results []MatrixResult, build string) []Pair {
	var out []Pair
	for _, r := range results {
		if r.Build != build {
			continue
		}
		base := MatrixResult{Build: m.Builds[0].Name, Case: r.Case, Seed: r.Seed}
		if n := slices.IndexFunc(results, base.same); n >= 0 {
			out = append(out, Pair{Case: r.Case, Seed: r.Seed, Base: results[n].Values, Change: r.Values})
		}
	}
	return out
}

// measureNames returns the names of all measures, sorted.
func measureNames(results []MatrixResult) []string {
	names := map[string]bool{}
	for _, r := range results {
		for name := range r.Values {
			names[name] = true
		}
	}
	var out []string
	for name := range names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
