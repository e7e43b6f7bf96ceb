package app

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"skylarkstand/core/event"
	"skylarkstand/core/meter"
	"skylarkstand/core/schema"
)

type referenceCmd struct {
	Page string `arg:"positional,required" help:"events, metrics or config"`
}

func (cmd *referenceCmd) run(context.Context) error {
	switch cmd.Page {
	case "events":
		fmt.Print(event.Reference())
		return nil
	case "metrics":
		fmt.Print(meter.Reference())
		return nil
	case "config":
		page, err := schema.Page()
		fmt.Print(page)
		return err
	default:
		return &exitError{ExitUsage, eris.Errorf("there is no page %q; pages: events, metrics, config", cmd.Page)}
	}
}
