package app

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core/declaration/publish"
)

// auditArgs holds the arguments shared by the commands that change the configuration.
type auditArgs struct {
	Why string `arg:"--why,required" help:"the reason, for the audit trail"`
	Who string `arg:"--who,env:SKYLARKSTAND_OPERATOR" help:"who applies; default is the user"`
	// Wait bounds the attempts to determine the outcome after a lost reply. A store that was
	// only slow answers within it; a longer wait would only delay the report that the outcome
	// is unknown.
	Wait time.Duration `arg:"--wait" default:"30s" help:"how long to look for a reply that was lost, and for the change to be in force"`
	// Hosts, if set, makes the command wait until the change is in force everywhere.
	Hosts string `arg:"--hosts,env:SKYLARKSTAND_HOSTS" help:"base URL of the platform's host list; waits and reports zone by zone"`
}

type applyCmd struct {
	storeArgs
	auditArgs
	fileArgs
	Base *uint64 `arg:"--base" help:"the generation that was reviewed; default is the newest"`
}

func (cmd *applyCmd) run(ctx context.Context) error {
	pub, pr, err := readProposal(ctx, cmd.storeArgs, cmd.fileArgs, cmd.Base)
	if err != nil {
		return err
	}
	return cmd.apply(ctx, pub, cmd.name(), pr)
}

// readProposal reads the files and determines the generation that they replace: the given one,
// or the newest.
func readProposal(ctx context.Context, sa storeArgs, fa fileArgs, given *uint64) (*publish.Publisher, publish.Proposal, error) {
	doc, err := fa.read()
	if err != nil {
		return nil, publish.Proposal{}, err
	}
	pub := publish.New(sa.open())
	base, err := baseGeneration(ctx, pub, given)
	return pub, publish.Proposal{Document: doc, Base: base}, err
}

// apply prints a change, publishes it and reports its outcome, including an unknown one. The exit
// code reports the same to scripts.
func (aa auditArgs) apply(ctx context.Context, pub *publish.Publisher, name string, pr publish.Proposal) error {
	pr.Who, pr.Why = aa.operator(), aa.Why
	res, err := pub.Prepare(ctx, pr)
	if ctx.Err() != nil {
		return publish.ErrInterrupted
	}
	if errors.Is(err, publish.ErrUnchanged) {
		fmt.Printf("no change: generation %d has the same content\n", res.Before.Number)
		return nil
	}
	if err != nil {
		return publishError(name, err)
	}
	printChange(res)
	ctx, cancel := context.WithTimeout(ctx, aa.Wait)
	defer cancel()
	shown := res.Before.Number
	res, err = pub.Apply(ctx, pr)
	if errors.Is(err, publish.ErrUnchanged) {
		fmt.Printf("no change: generation %d has the same content\n", res.Before.Number)
		return nil
	}
	if err != nil {
		return publishError(name, err)
	}
	if res.Before.Number != shown {
		fmt.Printf("generation %d was accepted meanwhile; it changed other parts, and the change was carried over\n", res.Before.Number)
	}
	fmt.Printf("generation %d is accepted\n", res.After.Number)
	if aa.Hosts == "" {
		return nil
	}
	return reportInForce(ctx, aa.Hosts, res.After.Number)
}

// publishError converts a publisher's error into a message for operators with its exit code.
func publishError(name string, err error) error {
	var un *publish.Uncertain
	switch {
	case errors.As(err, &un):
		return &exitError{ExitOutcomeUnknown, eris.Errorf("%s: the store's reply was lost; check `skylarkstand history`, or apply the same file again, which is safe", un)}
	case errors.Is(err, publish.ErrUnreachable), errors.Is(err, publish.ErrContended), errors.Is(err, publish.ErrInterrupted):
		return err
	}
	return refusalError(name, err)
}

func (aa auditArgs) operator() string {
	if aa.Who != "" {
		return aa.Who
	}
	if us, err := user.Current(); err == nil {
		return us.Username
	}
	return "unknown"
}
