package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/monsoontiller/monsoontiller/check"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/settings"
)

// checkCommand reports the validation errors of settings and contract files, and the findings on configurations.
type checkCommand struct {
	Kind      string `long:"kind" choice:"settings" choice:"contract" choice:"configuration" choice:"auto" default:"auto" description:"What the files hold; auto tells by the content"`
	Against   string `long:"against" value-name:"FILE" description:"Configuration in force, to show the differences; - is standard input"`
	JSON      bool   `long:"json" description:"Print one JSON object for each configuration"`
	Instances int    `long:"instances" value-name:"N" description:"Number of instances, for the check of the connection limits"`
	Args      struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"File to check; - is standard input"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	if err := c.validateFlags(); err != nil {
		return err
	}
	var inForce *source
	if c.Against != "" {
		text, err := readInput(c.Against)
		s := newSource(c.Against, text, err)
		inForce = &s
	}
	total := 0
	var worst check.Severity
	for _, name := range c.Args.Files {
		text, err := readInput(name)
		if c.isConfiguration(name, text, err) {
			report := c.reportOn(newSource(name, text, err), inForce)
			if err := c.print(report); err != nil {
				// The code of other failures would read as warnings.
				fmt.Fprintln(os.Stderr, "monsoontiller: the report cannot be written:", err)
				return exitErrors
			}
			worst = max(worst, report.Worst())
			continue
		}
		if err != nil {
			return err
		}
		total += c.checkText(name, text)
	}
	if total > 0 {
		return fault.New(fault.Config{
			Kind:    fault.KindInvalid,
			Message: fmt.Sprintf("%d validation errors", total),
			Remedy:  "correct each of the reported lines",
		})
	}
	return statusOf(worst)
}

// checkText prints the validation errors of a settings or contract file and returns their number.
func (c *checkCommand) checkText(name string, text []byte) int {
	validationErrors := c.validate(text)
	for _, e := range validationErrors {
		fmt.Printf("%s: %s\n", name, e)
	}
	if len(validationErrors) == 0 {
		fmt.Printf("%s: ok\n", name)
	}
	return len(validationErrors)
}

// validate parses a file as the kind given by the flag or detected from its keys.
func (c *checkCommand) validate(text []byte) contract.ValidationErrors {
	var err error
	if c.Kind == "settings" || c.Kind == "auto" && strings.Contains(string(text), "platform_url") {
		_, err = settings.Parse(text)
	} else {
		_, err = contract.Parse(text)
	}
	var validationErrors contract.ValidationErrors
	errors.As(err, &validationErrors)
	return validationErrors
}
