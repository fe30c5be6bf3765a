package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1/operatorv1connect"
)

// explainCommand prints recent decisions of running instances, or the lines of log files about one request.
type explainCommand struct {
	remote
	Limit uint32   `long:"limit" default:"50" description:"Most decisions per instance"`
	Logs  []string `long:"log" value-name:"FILE" description:"Log of an instance; may be given several times. SUBJECT is then the id of a request"`
	Args  struct {
		Subject string `positional-arg-name:"SUBJECT" description:"Start of a subject, such as group/orders-1, or the id of a request with --log"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.explainRequest()
	}
	return c.call(func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.Explain(ctx, connect.NewRequest(&operatorv1.ExplainRequest{Subject: c.Args.Subject, Limit: c.Limit}))
		if err != nil {
			return err
		}
		t := newTable("TIME", "INSTANCE", "SUBJECT", "DECISION", "EVIDENCE")
		for _, d := range resp.Msg.GetDecisions() {
			at := time.Unix(0, d.GetAtUnixNano()).UTC().Format("15:04:05.000")
			writeRow(t, at, d.GetInstance(), d.GetSubject(), d.GetDecision(), d.GetEvidence())
		}
		t.Flush()
		for _, name := range resp.Msg.GetUnreachable() {
			fmt.Println("no answer from", name)
		}
		return nil
	})
}

// explainRequest prints the lines of the logs about one request.
func (c *explainCommand) explainRequest() error {
	trace := event.NewTrace()
	for _, name := range c.Logs {
		if err := readLog(trace, name); err != nil {
			return err
		}
	}
	lines := trace.Explain(c.Args.Subject)
	if len(lines) == 0 {
		return fault.New(fault.Config{
			Kind:    fault.KindNotFound,
			Message: "no line of the logs names the request " + c.Args.Subject,
			Remedy:  "pass the logs of all instances; a request that was answered in time has no log line",
		})
	}
	for _, l := range lines {
		fmt.Println(l.Text)
	}
	return nil
}

func readLog(trace *event.Trace, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return trace.Read(f)
}
