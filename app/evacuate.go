package app

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
)

type evacuateCmd struct {
	storeArgs
	auditArgs
	Zone string `arg:"positional,required" help:"the availability zone"`
	End  bool   `arg:"--end" help:"give the zone work again"`
}

// run changes nothing but the zone: what other operators change meanwhile is kept.
func (cmd *evacuateCmd) run(ctx context.Context) error {
	pub := publish.New(cmd.open())
	newest, err := pub.Newest(ctx)
	if err != nil {
		return err
	}
	reason, accept := cmd.Why, []declaration.AcceptRisk(nil)
	if cmd.End {
		reason = ""
		accept = append(accept, declaration.AcceptEnd(core.Zone(cmd.Zone), cmd.Why))
	}
	// What was accepted about the last step is spent.
	now := declaration.Again(newest, accept)
	doc, ok := now.Evacuate(core.Zone(cmd.Zone), reason)
	if !ok {
		var known []string
		for _, zo := range newest.Document.Zones {
			known = append(known, string(zo.ID))
		}
		return &exitError{ExitUsage, eris.Errorf("zone %q is not declared; the configuration in force declares: %s", cmd.Zone, strings.Join(known, ", "))}
	}
	return cmd.apply(ctx, pub, "the evacuation of "+cmd.Zone, publish.Proposal{Document: doc, Base: newest.Number})
}
