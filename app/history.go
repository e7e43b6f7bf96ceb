package app

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
)

type historyCmd struct {
	storeArgs
	JSON bool `arg:"--json" help:"one JSON object a line"`
}

// historyLine is one line of the audit trail in JSON output.
type historyLine struct {
	Generation core.Generation `json:"generation"`
	declaration.Audit
}

func (cmd *historyCmd) run(ctx context.Context) error {
	pub := publish.New(cmd.open())
	for n := core.Generation(1); ; n++ {
		gen, err := pub.Read(ctx, n)
		if errors.Is(err, publish.ErrNoGeneration) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "the history could not be read")
		}
		if err := cmd.print(gen); err != nil {
			return err
		}
	}
}

func (cmd *historyCmd) print(gen *declaration.Generation) error {
	if cmd.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetEscapeHTML(false)
		return eris.Wrap(enc.Encode(historyLine{gen.Number, gen.Audit}), "the history could not be printed")
	}
	fmt.Printf("%d  %s  %s: %s\n", gen.Number, gen.Audit.When.Format(time.RFC3339), gen.Audit.Who, gen.Audit.Why)
	printAudit(gen.Audit)
	return nil
}
