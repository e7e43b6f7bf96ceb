package app

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/propagation"
	"skylarkstand/io/hosts"
	"skylarkstand/io/peer"
)

// reportInForce waits until an accepted generation is in force and reports its propagation per
// availability zone.
func reportInForce(ctx context.Context, list string, gen core.Generation) error {
	hos, err := hosts.New(list).List(ctx)
	if err != nil {
		return &exitError{ExitNotInForce, eris.Wrap(err, "the change is accepted; its propagation is unknown, since the host list could not be read")}
	}
	deps := core.NewDeps()
	wait := func(ctx context.Context, addr string, gen core.Generation) error {
		_, err := peer.AwaitGeneration(ctx, deps, addr, gen)
		return err
	}
	rep := propagation.Follow(ctx, hos, gen, wait, printZone)
	if len(rep.Missing) > 0 {
		return &exitError{ExitNotInForce, eris.Errorf("generation %d is accepted, and %d processes do not have it in force yet; those that are up will adopt it", gen, len(rep.Missing))}
	}
	fmt.Printf("generation %d is in force everywhere\n", gen)
	return nil
}

func printZone(zo propagation.ZoneReport) {
	if len(zo.Missing) > 0 {
		fmt.Printf("  %s (%s): not in force at %v\n", zo.Zone, zo.Region, zo.Missing)
		return
	}
	fmt.Printf("  %s (%s): in force at %d entries and %d agents after %s\n", zo.Zone, zo.Region, zo.Entries, zo.Agents, zo.Took.Round(time.Millisecond))
}
