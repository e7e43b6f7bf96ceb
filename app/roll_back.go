package app

import (
	"context"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
)

type rollBackCmd struct {
	storeArgs
	auditArgs
	Generation uint64   `arg:"positional,required" help:"the generation whose content comes back"`
	AcceptRisk []string `arg:"--accept-risk,separate" placeholder:"RULE@PLACE" help:"a risk that is meant, as check names it; may repeat"`
}

// run publishes a new generation with the content of an old one. The chain itself never goes back:
// a process that has a higher generation does not adopt a lower one.
func (cmd *rollBackCmd) run(ctx context.Context) error {
	accept, err := cmd.acceptedRisks()
	if err != nil {
		return err
	}
	pub := publish.New(cmd.open())
	newest, err := pub.Newest(ctx)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("generation %d", cmd.Generation)
	if cmd.Generation == 0 || core.Generation(cmd.Generation) >= newest.Number {
		return &exitError{ExitUsage, eris.Errorf("%s cannot be restored: it is not an earlier generation; the newest is generation %d, see `skylarkstand history`", name, newest.Number)}
	}
	old, err := pub.Read(ctx, core.Generation(cmd.Generation))
	if err != nil {
		return err
	}
	return cmd.apply(ctx, pub, name, publish.Proposal{Document: declaration.Restore(old, accept), Base: newest.Number})
}

func (cmd *rollBackCmd) acceptedRisks() ([]declaration.AcceptRisk, error) {
	var out []declaration.AcceptRisk
	for _, text := range cmd.AcceptRisk {
		// The place may contain an @, the rule does not.
		rule, place, ok := strings.Cut(text, "@")
		if !ok {
			return nil, &exitError{ExitUsage, eris.Errorf("%q is not a risk; write RULE@PLACE, such as %q", text, "withdrawal-lifted@withdrawals[desk@v2]")}
		}
		out = append(out, declaration.AcceptRisk{Rule: rule, Place: place, Reason: cmd.Why})
	}
	return out, nil
}
