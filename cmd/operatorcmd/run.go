// Package operatorcmd implements the command line of the operators' tool.
package operatorcmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
)

// Exit codes of the tool. They are documented in docs/OPERATORS.md.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitRefused        = 3
	exitUnreachable    = 4
	exitOutcomeUnknown = 5
)

// globals are the flags of all commands.
type globals struct {
	Daemon []string `help:"Operators' addresses of daemons, IP:port; the first that answers is used." default:"127.0.0.1:7401" env:"QUARTZSHELF_DAEMONS" short:"d"`
	Output string   `help:"Format of output: table, json or yaml." enum:"table,json,yaml" default:"table" short:"o"`
}

type commandLine struct {
	globals

	Apply      applyCommand      `cmd:"" help:"Publish the documents in files."`
	Get        getCommand        `cmd:"" help:"Show the configuration in force."`
	Delete     deleteCommand     `cmd:"" help:"Delete an object."`
	Label      labelCommand      `cmd:"" help:"Set or remove labels of an object; a node's object is made when missing."`
	Validate   validateCommand   `cmd:"" help:"Check the documents in files without publishing them."`
	History    historyCommand    `cmd:"" help:"Show the newest changes and the verdicts on them."`
	Status     statusCommand     `cmd:"" help:"Show replicas, domains, daemons and refusals."`
	Hall       hallCommand       `cmd:"" help:"Show, close or open data halls."`
	Quarantine quarantineCommand `cmd:"" help:"Show or lift the quarantine of requests that ended workers."`
	Explain    explainCommand    `cmd:"" help:"Say why a replica, node or data hall is as it is, or why a request went where it did."`
	Report     reportCommand     `cmd:"" help:"Sum up from the logs of daemons what was refused and late, why, and what leaders did."`
	Builds     buildsCommand     `cmd:"" help:"List from the logs of daemons what each was built from, and by which format they act."`
	Trace      traceCommand      `cmd:"" help:"Tell the story of a request, worker or replica from the logs of daemons."`
	HashKey    hashKeyCommand    `cmd:"" help:"Print the hash of a bearer key, as a ClientAccount needs it."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Print or install completions for the shell."`
}

// environment is the context in which a command runs: the client, the output format and the
// output streams.
type environment struct {
	client *client
	format string
	stdout io.Writer
	stderr io.Writer
}

// refusedError means that a change was refused or was overridden by a later one.
type refusedError struct {
	problem string
}

// Error implements error.
func (e *refusedError) Error() string { return "refused: " + e.problem }

// usageError means that the input is invalid.
type usageError struct {
	cause error
}

// Error implements error.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// Run runs one command and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var flags commandLine
	parser, err := kong.New(&flags, kong.Name("quartzshelf"),
		kong.Description("Publishes labels and selectors to quartzshelf and shows what it does with them."),
		kong.Writers(stdout, stderr), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	kongplete.Complete(parser, kongplete.WithPredictor("hall", complete.PredictFunc(predictHalls)))
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "quartzshelf:", err)
		return exitUsage
	}
	env := &environment{client: newClient(flags.Daemon), format: flags.Output, stdout: stdout, stderr: stderr}
	if err := parsed.Run(env); err != nil {
		fmt.Fprintln(stderr, "quartzshelf:", err)
		return exitCode(err)
	}
	return exitOK
}

func exitCode(err error) int {
	var refused *refusedError
	var usage *usageError
	var answered *apiError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, errOutcomeUnknown), errors.Is(err, errHallNotKnownEmpty):
		return exitOutcomeUnknown
	case errors.As(err, &answered):
		return exitFailed
	default:
		return exitUnreachable
	}
}
