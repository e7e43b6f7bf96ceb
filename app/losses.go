package app

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core/losses"
)

type lossesCmd struct {
	Files []string      `arg:"positional" help:"logs of gateways; standard input without any"`
	Span  time.Duration `arg:"--span" default:"2s" help:"the time that a row sums"`
}

// run prints a table of the causes why requests earned less than they could. It fails if the logs
// contain no request.
func (cmd *lossesCmd) run(context.Context) error {
	if cmd.Span <= 0 {
		return &exitError{ExitUsage, eris.New("--span must be above 0")}
	}
	lo, err := readLogs(cmd.Files)
	if err != nil {
		return err
	}
	ta := losses.Count(lo.Lines(), cmd.Span)
	if ta.Total.Requests == 0 {
		return eris.New("the logs contain no request; check that they are logs of gateways")
	}
	return ta.Write(os.Stdout)
}
