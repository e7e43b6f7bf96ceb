package app

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"skylarkstand/load"
)

type loadCmd struct {
	Mix   string `arg:"positional,required" help:"mix of requests, JSON with comments; see docs/CONFIG.md"`
	CSV   string `arg:"--csv" help:"write a line a request to this file"`
	Quiet bool   `arg:"--quiet" help:"show no progress"`
}

func (cmd *loadCmd) run(ctx context.Context) error {
	raw, err := readFile(cmd.Mix)
	if err != nil {
		return eris.Wrap(err, "the mix could not be read")
	}
	mix, err := load.ParseMix(raw)
	if errors.Is(err, load.ErrMix) {
		return &exitError{ExitUsage, err}
	}
	if err != nil {
		return err
	}
	var opts []load.Option
	if !cmd.Quiet && isTerminal(os.Stderr) {
		opts = append(opts, load.WithProgress(os.Stderr))
	}
	rep := load.New(mix, opts...).Run(ctx)
	rep.Print(os.Stdout)
	return writeFile(cmd.CSV, rep.WriteCSV)
}

// writeFile writes a report to a file, if a path is given.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	fi, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "the report could not be written")
	}
	if err := write(fi); err != nil {
		_ = fi.Close()
		return err
	}
	return eris.Wrap(fi.Close(), "the report could not be written")
}

func isTerminal(fi *os.File) bool {
	st, err := fi.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0
}
