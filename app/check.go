package app

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"skylarkstand/core/declaration"
)

// fileArgs names the files of a configuration. Several files are joined into one.
type fileArgs struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"configuration, JSON with comments; several files make one; - reads standard input"`
}

func (fa fileArgs) name() string { return strings.Join(fa.Files, " ") }

type checkCmd struct{ fileArgs }

func (cmd *checkCmd) run(context.Context) error {
	doc, err := cmd.read()
	if err != nil {
		return err
	}
	fmt.Printf("%s: no mistakes; %d workspaces, %d models, %d cascades\n", cmd.name(), len(doc.Workspaces), len(doc.Models), len(doc.Cascades))
	return nil
}

// read reads and validates a configuration. Mistakes in its form and in its content are reported
// together.
func (fa fileArgs) read() (declaration.Document, error) {
	if len(fa.Files) == 1 {
		raw, err := readFile(fa.Files[0])
		if err != nil {
			return declaration.Document{}, eris.Wrap(err, "the configuration could not be read")
		}
		doc, err := declaration.Load(raw)
		return doc, refusalError(fa.name(), err)
	}
	var list []declaration.Source
	for _, path := range fa.Files {
		raw, err := readFile(path)
		if err != nil {
			return declaration.Document{}, eris.Wrap(err, "the configuration could not be read")
		}
		doc, err := declaration.Parse(raw)
		if err != nil {
			return doc, refusalError(path, err)
		}
		list = append(list, declaration.Source{Name: path, Document: doc})
	}
	doc, err := declaration.Join(list)
	if err == nil {
		err = doc.Check()
	}
	return doc, refusalError(fa.name(), err)
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		path = "/dev/stdin"
	}
	return os.ReadFile(path)
}

// refusalError converts the mistakes of a document into a message for operators with its exit code.
func refusalError(path string, err error) error {
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
