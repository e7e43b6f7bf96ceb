package app

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"skylarkstand/core/declaration"
)

type checkCmd struct {
	File string `arg:"positional,required" help:"configuration, JSON with comments; - reads standard input"`
}

func (cmd *checkCmd) run(context.Context) error {
	doc, err := readDocument(cmd.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: no mistakes; %d workspaces, %d models, %d cascades\n", cmd.File, len(doc.Workspaces), len(doc.Models), len(doc.Cascades))
	return nil
}

// readDocument reads and checks a configuration. Mistakes of its form and
// mistakes of its content are reported together.
func readDocument(path string) (declaration.Document, error) {
	raw, err := readFile(path)
	if err != nil {
		return declaration.Document{}, eris.Wrap(err, "configuration")
	}
	doc, err := declaration.Load(raw)
	return doc, refused(path, err)
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		path = "/dev/stdin"
	}
	return os.ReadFile(path)
}

// refused turns the mistakes of a document into an error for people.
func refused(path string, err error) error {
	var mis declaration.Mistakes
	var cls declaration.Clashes
	switch {
	case err == nil:
		return nil
	case errors.As(err, &mis):
		return &exitError{ExitRefused, fmt.Errorf("%s is refused, nothing was changed; mistakes: %d\n%w", path, len(mis), mis)}
	case errors.As(err, &cls):
		return &exitError{ExitRefused, fmt.Errorf("%s clashes with other changes, nothing was changed; take them into the file and review it again\n%w", path, cls)}
	}
	return &exitError{ExitRefused, eris.Wrapf(err, "%s is refused", path)}
}
