package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/settings"
)

// checkCommand reports the validation errors of settings and contract files.
type checkCommand struct {
	Kind string `long:"kind" choice:"settings" choice:"contract" choice:"auto" default:"auto" description:"What the files hold; auto tells by the keys"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	total := 0
	for _, name := range c.Args.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		validationErrors := c.validate(text)
		for _, e := range validationErrors {
			fmt.Printf("%s: %s\n", name, e)
		}
		if len(validationErrors) == 0 {
			fmt.Printf("%s: ok\n", name)
		}
		total += len(validationErrors)
	}
	if total == 0 {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: fmt.Sprintf("%d validation errors", total),
		Remedy:  "correct each of the reported lines",
	})
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
