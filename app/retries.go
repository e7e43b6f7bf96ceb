package app

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core/retryusage"
)

type retriesCmd struct {
	Files  []string      `arg:"positional" help:"logs of gateways; standard input without any"`
	Window time.Duration `arg:"--window" default:"10s" help:"the window of the retry budget"`
}

// run prints, for each service, which gateway made the retries of the span with the most of them. It fails
// if the logs contain no attempt.
func (cmd *retriesCmd) run(context.Context) error {
	if cmd.Window <= 0 {
		return &exitError{ExitUsage, eris.New("--window must be above 0")}
	}
	lo, err := readLogs(cmd.Files)
	if err != nil {
		return err
	}
	spans := retryusage.Worst(lo.Lines(), cmd.Window)
	if len(spans) == 0 {
		return eris.New("the logs contain no attempt with its service; check that they are logs of gateways of this release")
	}
	return retryusage.Write(os.Stdout, spans)
}
