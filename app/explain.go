package app

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/trace"
)

type explainCmd struct {
	Request string   `arg:"positional,required" help:"the request's id"`
	Files   []string `arg:"positional" help:"logs of gateways; standard input without any"`
}

// run prints the timeline of a request. It fails if no log line has the request's id.
func (cmd *explainCmd) run(context.Context) error {
	lo, err := readLogs(cmd.Files)
	if err != nil {
		return err
	}
	tr := lo.Trace(core.RequestID(cmd.Request))
	if err := tr.Write(os.Stdout); err != nil {
		return err
	}
	if len(tr.Lines) == 0 {
		return eris.Errorf("the logs contain no line with the request id %s; check the id and the log files", cmd.Request)
	}
	return nil
}

// readLogs reads the named files, or standard input if there are none.
func readLogs(names []string) (*trace.Log, error) {
	var lo trace.Log
	if len(names) == 0 {
		return &lo, lo.Read("standard input", os.Stdin)
	}
	for _, name := range names {
		if err := readLog(&lo, name); err != nil {
			return nil, err
		}
	}
	return &lo, nil
}

func readLog(lo *trace.Log, name string) error {
	fi, err := os.Open(name)
	if err != nil {
		return &exitError{ExitUsage, eris.Wrap(err, "the log could not be opened")}
	}
	defer fi.Close()
	return lo.Read(name, fi)
}
