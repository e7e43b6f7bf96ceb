// Package app wires the processes and controls their start and shutdown. Each role and each
// operator command is a subcommand of one binary.
//
// # Usage
//
//	os.Exit(app.Main(os.Args[1:]))
package app

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes of the commands.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed; the message says why.
	ExitFailed = 1
	// ExitUsage: the command line or a file named on it was invalid.
	ExitUsage = 2
	// ExitRefused: a configuration was refused; nothing was changed.
	ExitRefused = 3
	// ExitOutcomeUnknown: it is unknown whether the change was accepted.
	ExitOutcomeUnknown = 4
	// ExitNotInForce: the change was accepted, but was not in force everywhere before the timeout.
	ExitNotInForce = 5
)

type args struct {
	Entry     *entryCmd     `arg:"subcommand:entry" help:"serve callers"`
	Gateway   *gatewayCmd   `arg:"subcommand:gateway" help:"serve callers and call upstreams directly"`
	Agent     *agentCmd     `arg:"subcommand:agent" help:"guard the upstream on this host"`
	Check     *checkCmd     `arg:"subcommand:check" help:"find mistakes in a configuration"`
	Diff      *diffCmd      `arg:"subcommand:diff" help:"show what a configuration would change"`
	Apply     *applyCmd     `arg:"subcommand:apply" help:"put a configuration in force"`
	Status    *statusCmd    `arg:"subcommand:status" help:"show what is in force"`
	History   *historyCmd   `arg:"subcommand:history" help:"show who changed what"`
	RollBack  *rollBackCmd  `arg:"subcommand:roll-back" help:"put an old generation's content in force again"`
	Evacuate  *evacuateCmd  `arg:"subcommand:evacuate" help:"keep new work from an availability zone, or end that"`
	Order     *orderCmd     `arg:"subcommand:order" help:"give an engine an order through its agent"`
	Bill      *billCmd      `arg:"subcommand:bill" help:"sum the ledger by workspace"`
	Load      *loadCmd      `arg:"subcommand:load" help:"drive entries with a mix of requests"`
	Explain   *explainCmd   `arg:"subcommand:explain" help:"tell the story of one request from logs"`
	Losses    *lossesCmd    `arg:"subcommand:losses" help:"say why callers got less than they could, from logs"`
	Retries   *retriesCmd   `arg:"subcommand:retries" help:"say which gateway made the retries of the worst span, from logs"`
	Reference *referenceCmd `arg:"subcommand:reference" help:"print a generated reference page"`
}

// Description implements [arg.Described].
func (args) Description() string {
	return "skylarkstand routes requests to versions of models, from cheap to costly.\n"
}

// Epilogue implements [arg.Epilogued].
func (args) Epilogue() string {
	return `Examples:
  skylarkstand entry --settings entry.jsonc
  skylarkstand check routing.json
  skylarkstand diff routing.json --store http://127.0.0.1:9200
  skylarkstand apply routing.json --store http://127.0.0.1:9200 --base 7 --why "desk v2 to 10%"
  skylarkstand explain 2a05daab3234778d gateway-1.log gateway-2.log
  skylarkstand losses gateway-1.log gateway-2.log
  skylarkstand retries gateway-1.log gateway-2.log
  skylarkstand evacuate muc-b --store http://127.0.0.1:9200 --why "power works"
  skylarkstand roll-back 6 --store http://127.0.0.1:9200 --why "desk v2 is bad"

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 configuration refused, 4 outcome not known,
5 accepted but not yet in force everywhere.`
}

// command is implemented by each subcommand.
type command interface {
	run(ctx context.Context) error
}

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (ex *exitError) Error() string { return ex.err.Error() }

// Unwrap returns the cause.
func (ex *exitError) Unwrap() error { return ex.err }

// Main runs the program and returns its exit code.
func Main(argv []string) int {
	var ar args
	ps, err := arg.NewParser(arg.Config{Program: "skylarkstand"}, &ar)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	switch err := ps.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = ps.WriteHelpForSubcommand(os.Stdout, ps.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_ = ps.WriteUsageForSubcommand(os.Stderr, ps.SubcommandNames()...)
		fmt.Fprintln(os.Stderr, "error:", err)
		return ExitUsage
	}
	cmd, ok := ps.Subcommand().(command)
	if !ok {
		ps.WriteHelp(os.Stderr)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return exitCode(cmd.run(ctx))
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var ex *exitError
	if errors.As(err, &ex) {
		return ex.code
	}
	return ExitFailed
}
