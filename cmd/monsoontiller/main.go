package main

import (
	"errors"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitUnknown  = 5
)

// Exit codes of the check of a configuration, which differ from those of the other commands.
const (
	exitWarnings exitStatus = 1
	exitErrors   exitStatus = 2
)

// exitStatus is returned by a command that has printed its result and ends with this exit code.
type exitStatus int

// Error returns the exit code as text.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

// options holds the subcommands.
type options struct {
	Serve    serveCommand    `command:"serve" description:"Run one instance"`
	Node     nodeCommand     `command:"node" description:"Run one instance on a machine of the platform"`
	Dev      devCommand      `command:"dev" description:"Run instances with a stand-in platform and databases in one process"`
	Check    checkCommand    `command:"check" description:"Report every mistake of settings, contract and configuration files"`
	Contract contractCommand `command:"contract" description:"Apply and read contracts"`
	Instance instanceCommand `command:"instance" description:"List and drain instances"`
	Endpoint endpointCommand `command:"endpoint" description:"List and drain endpoints"`
	Status   statusCommand   `command:"status" description:"Show what an instance knows"`
	Explain  explainCommand  `command:"explain" description:"Show recent decisions of all instances with their evidence"`
	Report   reportCommand   `command:"report" description:"Report on service levels"`
	Verifier verifierCommand `command:"verifier" description:"Print the SCRAM verifier of a password read from standard input"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flags.NewParser(&options{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "monsoontiller"
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	var status exitStatus
	if errors.As(err, &status) {
		return int(status)
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "monsoontiller:", message(err))
	return exitCode(err)
}

// message returns the text of an error, without the status code that connect puts before it.
func message(err error) string {
	var rpcError *connect.Error
	if errors.As(err, &rpcError) {
		return rpcError.Message()
	}
	return err.Error()
}

func exitCode(err error) int {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitInvalid
	case connect.CodeAborted:
		return exitConflict
	}
	var remote *connect.Error
	if errors.As(err, &remote) && remote.Code() == connect.CodeUnknown {
		return exitUnknown
	}
	if fault.KindOf(err) == fault.KindInvalid {
		return exitInvalid
	}
	return exitFailure
}
