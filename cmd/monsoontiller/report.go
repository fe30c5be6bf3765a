package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/operator"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1/operatorv1connect"
	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/report"
	"github.com/monsoontiller/monsoontiller/scram"
)

// reportCommand groups the reports.
type reportCommand struct {
	Burn     reportBurn     `command:"burn" description:"Report how fast error budgets are used up"`
	Timeline reportTimeline `command:"timeline" description:"Draw a day that the users' test tool played: outcomes, faults, latency"`
}

// reportTimeline draws the timeline of a recorded run.
type reportTimeline struct {
	Recording string `long:"played" value-name:"FILE" required:"true" description:"Report of the played day, as JSON"`
	Output    string `long:"output" value-name:"FILE" required:"true" description:"HTML page to write"`
}

// Execute runs the command.
func (c *reportTimeline) Execute([]string) error {
	text, err := os.ReadFile(c.Recording)
	if err != nil {
		return err
	}
	t, err := platform.ParseRecordedRun(filepath.Base(c.Recording), text)
	if err != nil {
		return err
	}
	f, err := os.Create(c.Output)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteTimeline(f, t), f.Close())
}

// reportBurn reports error budget burn rates, summed over the given instances.
type reportBurn struct {
	Operators []string `long:"operator" env:"MONSOONTILLER_OPERATORS" env-delim:"," default:"127.0.0.1:7300" value-name:"ADDRESS" description:"Operator address; repeat it for each instance to add up"`
	Cert      string   `long:"cert" value-name:"FILE" description:"Certificate for mutual TLS"`
	Key       string   `long:"key" value-name:"FILE" description:"Key of the certificate"`
	CA        string   `long:"ca" value-name:"FILE" description:"Authority of the instances' certificates"`
	Format    string   `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"Form of the report"`
	Output    string   `long:"output" value-name:"FILE" description:"File to write; default is standard output"`
}

// Execute runs the command.
func (c *reportBurn) Execute([]string) error {
	var parts [][]report.CustomerCounts
	for _, address := range c.Operators {
		part, err := c.fetch(address)
		if err != nil {
			return err
		}
		parts = append(parts, part)
	}
	customers := report.Merge(parts...)
	now := time.Now()
	burns := []report.Burn{report.NewFleetBurn(now, customers)}
	for _, customer := range customers {
		burns = append(burns, report.NewBurn(now, customer))
	}
	return c.write(burns)
}

func (c *reportBurn) fetch(address string) ([]report.CustomerCounts, error) {
	r := remote{Operator: address, Cert: c.Cert, Key: c.Key, CA: c.CA}
	var out []report.CustomerCounts
	err := r.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.Burn(ctx, connect.NewRequest(&operatorv1.BurnRequest{}))
		if err != nil {
			return err
		}
		for _, m := range resp.Msg.GetCustomers() {
			out = append(out, operator.CustomerOf(m))
		}
		return nil
	})
	return out, err
}

func (c *reportBurn) write(burns []report.Burn) error {
	var w io.Writer = os.Stdout
	if c.Output != "" {
		f, err := os.Create(c.Output)
		if err != nil {
			return err
		}
		defer f.Close()
		w = f
	}
	switch c.Format {
	case "json":
		return report.WriteJSON(w, burns)
	case "html":
		return report.WriteHTML(w, burns)
	}
	return report.WriteText(w, burns)
}

// verifierCommand prints the SCRAM verifier of a password read from standard input.
type verifierCommand struct{}

// Execute runs the command.
func (c *verifierCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return err
	}
	v, err := scram.NewVerifier(strings.TrimRight(line, "\r\n"))
	if err != nil {
		return err
	}
	fmt.Println(v)
	return nil
}
