package app

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
	"skylarkstand/core/event"
	"skylarkstand/io/store"
)

// storeArgs is what commands that talk to the platform's store share.
type storeArgs struct {
	Store string `arg:"--store,env:SKYLARKSTAND_STORE,required" help:"base URL of the platform's store"`
}

func (sa storeArgs) open() core.Store { return store.New(sa.Store) }

type checkCmd struct {
	File string `arg:"positional,required" help:"configuration, JSON with comments"`
}

func (cmd *checkCmd) run(context.Context) error {
	doc, err := readDocument(cmd.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: no mistakes; %d workspaces, %d models, %d cascades\n", cmd.File, len(doc.Workspaces), len(doc.Models), len(doc.Cascades))
	return nil
}

func readDocument(path string) (declaration.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return declaration.Document{}, eris.Wrap(err, "configuration")
	}
	doc, err := declaration.Parse(raw)
	if err == nil {
		err = doc.Check()
	}
	if err != nil {
		return doc, &exitError{ExitRefused, eris.Wrapf(err, "%s is refused", path)}
	}
	return doc, nil
}

type diffCmd struct {
	storeArgs
	File string `arg:"positional,required" help:"configuration, JSON with comments"`
}

func (cmd *diffCmd) run(ctx context.Context) error {
	doc, err := readDocument(cmd.File)
	if err != nil {
		return err
	}
	cur, err := current(ctx, cmd.open())
	if err != nil {
		return err
	}
	fmt.Printf("against generation %d:\n", cur.Number)
	for _, ch := range declaration.Diff(&cur.Document, &doc) {
		fmt.Println(" ", ch)
	}
	return nil
}

// current reads the newest generation; generation 0 is an empty one.
func current(ctx context.Context, st core.Store) (*declaration.Generation, error) {
	last, err := chain.New(st, configurationChain).Last(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the configuration; is the store up?")
	}
	if last.Number == 0 {
		return &declaration.Generation{}, nil
	}
	return declaration.Decode(last.Payload)
}

type applyCmd struct {
	storeArgs
	File string `arg:"positional,required" help:"configuration, JSON with comments"`
	Base uint64 `arg:"--base" help:"the generation that was reviewed; default is the newest"`
	Why  string `arg:"--why,required" help:"the reason, for the audit trail"`
	Who  string `arg:"--who,env:SKYLARKSTAND_OPERATOR" help:"who applies; default is the user"`
}

func (cmd *applyCmd) run(ctx context.Context) error {
	doc, err := readDocument(cmd.File)
	if err != nil {
		return err
	}
	st := cmd.open()
	cur, err := current(ctx, st)
	if err != nil {
		return err
	}
	if cmd.Base != 0 && core.Generation(cmd.Base) != cur.Number {
		return &exitError{ExitRefused, eris.Errorf("generation %d was reviewed, but %s applied generation %d at %s (%s); review again",
			cmd.Base, cur.Audit.Who, cur.Number, cur.Audit.When.Format(time.RFC3339), cur.Audit.Why)}
	}
	gen := declaration.Generation{
		Number: cur.Number + 1, Document: doc,
		Audit: declaration.Audit{
			Who: cmd.operator(), When: time.Now().UTC(), Why: cmd.Why, Base: cur.Number,
			Changed: declaration.Diff(&cur.Document, &doc),
		},
	}
	raw, err := gen.Encode()
	if err != nil {
		return err
	}
	err = chain.New(st, configurationChain).Create(ctx, uint64(gen.Number), raw)
	switch {
	case errors.Is(err, chain.ErrTaken):
		return &exitError{ExitRefused, eris.New("another operator applied a change at the same time; review again")}
	case errors.Is(err, chain.ErrUnsettled):
		return &exitError{ExitUncertain, eris.Errorf("it is not known whether generation %d was accepted; look at `skylarkstand history`", gen.Number)}
	case err != nil:
		return eris.Wrap(err, "nothing was changed")
	}
	fmt.Printf("generation %d is accepted\n", gen.Number)
	return nil
}

func (cmd *applyCmd) operator() string {
	if cmd.Who != "" {
		return cmd.Who
	}
	if us, err := user.Current(); err == nil {
		return us.Username
	}
	return "unknown"
}

type statusCmd struct{ storeArgs }

func (cmd *statusCmd) run(ctx context.Context) error {
	cur, err := current(ctx, cmd.open())
	if err != nil {
		return err
	}
	fmt.Printf("generation %d, applied by %s at %s: %s\n", cur.Number, cur.Audit.Who, cur.Audit.When.Format(time.RFC3339), cur.Audit.Why)
	for _, mo := range cur.Document.Models {
		fmt.Printf("  model %s: stable %s\n", mo.ID, mo.Stable)
	}
	for _, ro := range cur.Document.RollOuts {
		fmt.Printf("  roll-out %s@%s: %d%% of new sessions %s\n", ro.Model, ro.Version, ro.Percent, ro.Halted)
	}
	for _, wd := range cur.Document.Withdrawals {
		fmt.Printf("  withdrawn %s@%s: %s\n", wd.Model, wd.Version, wd.Reason)
	}
	return nil
}

type historyCmd struct {
	storeArgs
	JSON bool `arg:"--json" help:"one JSON object a line"`
}

func (cmd *historyCmd) run(ctx context.Context) error {
	ch := chain.New(cmd.open(), configurationChain)
	for n := uint64(1); ; n++ {
		en, err := ch.Read(ctx, n)
		if errors.Is(err, chain.ErrAbsent) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "history")
		}
		gen, err := declaration.Decode(en.Payload)
		if err != nil {
			return err
		}
		if cmd.JSON {
			raw, err := json.Marshal(gen.Audit)
			if err != nil {
				return err
			}
			fmt.Println(string(raw))
			continue
		}
		fmt.Printf("%d  %s  %s: %s\n", gen.Number, gen.Audit.When.Format(time.RFC3339), gen.Audit.Who, gen.Audit.Why)
		for _, ch := range gen.Audit.Changed {
			fmt.Println("     ", ch)
		}
	}
}

type referenceCmd struct {
	Page string `arg:"positional,required" help:"events"`
}

func (cmd *referenceCmd) run(context.Context) error {
	switch cmd.Page {
	case "events":
		fmt.Print(event.Reference())
		return nil
	default:
		return &exitError{ExitUsage, eris.Errorf("there is no page %q; pages: events", cmd.Page)}
	}
}
