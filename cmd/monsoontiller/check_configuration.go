package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/monsoontiller/monsoontiller/check"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/platform"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// validateFlags reports combinations of flags that have no meaning.
func (c *checkCommand) validateFlags() error {
	text := ""
	inputs := 0
	for _, name := range append([]string{c.Against}, c.Args.Files...) {
		if name == standardInput {
			inputs++
		}
	}
	switch {
	case inputs > 1:
		text = "standard input can be read only once"
	case c.Instances < 0:
		text = "--instances is negative"
	case (c.JSON || c.Against != "") && (c.Kind == "settings" || c.Kind == "contract"):
		text = "--against and --json are for configurations"
	default:
		return nil
	}
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: text}
}

func readInput(name string) ([]byte, error) {
	if name == standardInput {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// isConfiguration reports whether a file holds a configuration, or counts as one since it could not be read (readErr).
// Settings and contracts are TOML, which cannot begin with a brace.
func (c *checkCommand) isConfiguration(name string, text []byte, readErr error) bool {
	if c.Kind != "auto" {
		return c.Kind == "configuration"
	}
	if c.JSON || c.Against != "" || name == standardInput || filepath.Ext(name) == ".json" {
		return true
	}
	if readErr != nil {
		return filepath.Ext(name) != ".toml"
	}
	return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
}

// source is a configuration that was read from a file.
type source struct {
	name          string
	configuration check.Configuration
	// faults holds one finding if the file could not be read or decoded.
	faults []check.Finding
}

// newSource decodes text, the content of a file; readErr is the error of reading it.
func newSource(name string, text []byte, readErr error) source {
	s := source{name: name}
	if readErr != nil {
		s.fail("it cannot be read: "+readErr.Error(), "pass the path of a readable file, or - for standard input")
		return s
	}
	var err error
	if s.configuration, err = platform.DescribeDocument(text); err != nil {
		s.fail(fault.As(err).Message(), fault.As(err).Remedy())
	}
	return s
}

func (s *source) fail(message, remedy string) {
	s.faults = append(s.faults, check.Finding{
		Severity: check.SeverityError,
		Place:    fmt.Sprintf("file %q", s.name),
		Message:  message,
		Remedy:   remedy,
	})
}

// reportOn returns the report on a configuration; inForce is the version in force, or nil.
func (c *checkCommand) reportOn(s source, inForce *source) check.Report {
	r := check.Report{File: s.name, Version: s.configuration.Version}
	options := check.Options{ConnectionsNeeded: fleet.ConnectionsNeeded(c.Instances)}
	r.Findings = append(r.Findings, s.faults...)
	if inForce != nil {
		r.Against = inForce.name
		r.Findings = append(r.Findings, inForce.faults...)
	}
	if len(s.faults) > 0 {
		return r
	}
	if inForce != nil && len(inForce.faults) == 0 {
		options.InForce = &inForce.configuration
		r.Differences = check.Differences(inForce.configuration, s.configuration)
	}
	r.Findings = append(r.Findings, check.Findings(s.configuration, options)...)
	return r
}

// print writes a report in the form that the flags select.
func (c *checkCommand) print(r check.Report) error {
	if c.JSON {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteText(os.Stdout)
}

// statusOf returns the exit status for the highest severity, or nil if there are no findings.
func statusOf(worst check.Severity) error {
	switch worst {
	case check.SeverityError:
		return exitErrors
	case check.SeverityWarning:
		return exitWarnings
	default:
		return nil
	}
}
