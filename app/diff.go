package app

import (
	"context"
	"errors"
	"fmt"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
)

type diffCmd struct {
	storeArgs
	fileArgs
	Base *uint64 `arg:"--base" help:"the generation that the file was written against; default is the newest"`
}

func (cmd *diffCmd) run(ctx context.Context) error {
	pub, pr, err := readProposal(ctx, cmd.storeArgs, cmd.fileArgs, cmd.Base)
	if err != nil {
		return err
	}
	res, err := pub.Prepare(ctx, pr)
	if errors.Is(err, publish.ErrUnchanged) {
		fmt.Printf("no change: generation %d has the same content\n", res.Before.Number)
		return nil
	}
	if err != nil {
		return publishError(cmd.name(), err)
	}
	printChange(res)
	fmt.Printf("to put it in force as reviewed: skylarkstand apply %s --base %d --why REASON\n", cmd.name(), res.Before.Number)
	return nil
}

// baseGeneration returns the generation that a file was written against: the given one, or the
// newest.
func baseGeneration(ctx context.Context, pub *publish.Publisher, given *uint64) (core.Generation, error) {
	if given != nil {
		return core.Generation(*given), nil
	}
	newest, err := pub.Newest(ctx)
	if err != nil {
		return 0, err
	}
	return newest.Number, nil
}

// printChange prints a change and its effects in readable form.
func printChange(res publish.Result) {
	fmt.Printf("against generation %d:\n", res.Before.Number)
	if res.Rebased > 0 {
		fmt.Printf("  (carried over %d generation(s) that changed other parts)\n", res.Rebased)
	}
	printAudit(res.After.Audit)
}

func printAudit(au declaration.Audit) {
	for _, line := range au.Changed {
		fmt.Println(" ", line)
	}
	if len(au.Effects) > 0 {
		fmt.Println("  effect:")
	}
	for _, line := range au.Effects {
		fmt.Println("   ", line)
	}
	for _, ar := range au.Accepted {
		fmt.Printf("  accepted risk %s at %s: %s\n", ar.Rule, ar.Place, ar.Reason)
	}
}
