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

// run changes only the zone; concurrent changes by other operators are kept.
func (cmd *evacuateCmd) run(ctx context.Context) error {
	pub := publish.New(cmd.open())
	newest, err := pub.Newest(ctx)
	if err != nil {
		return err
	}
	reason, accept := cmd.Why, []declaration.AcceptRisk(nil)
	if cmd.End {
		reason = ""
		accept = append(accept, declaration.AcceptEvacuationEnd(core.Zone(cmd.Zone), cmd.Why))
	}
	// The accepted risks of the previous generation do not carry over.
	now := declaration.Restore(newest, accept)
	doc, ok := now.Evacuate(core.Zone(cmd.Zone), reason)
	if !ok {
		var declared []string
		for _, zo := range newest.Document.Zones {
			declared = append(declared, string(zo.ID))
		}
		return &exitError{ExitUsage, eris.Errorf("zone %q is not declared; the configuration in force declares: %s", cmd.Zone, strings.Join(declared, ", "))}
	}
	return cmd.apply(ctx, pub, "the evacuation of "+cmd.Zone, publish.Proposal{Document: doc, Base: newest.Number})
}
