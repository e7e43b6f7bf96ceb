// Command stand plays one case of the review: it starts gateways as separate processes in front of
// stand-ins for the users' store, runners and callers, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//
// # Usage
//
//	stand --case keys --program target/skylarkstand --record record.txt [--trouble=false]
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is the error of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name. Each returns errBroken if the rule was broken.
var cases = map[string]func(wo *world, trouble bool) error{
	"keys":   playKeys,
	"poison": playPoison,
	"split":  func(wo *world, trouble bool) error { return playSplit(wo, trouble, "drafter-two") },
	// For comparison: the bad version is one of the first service.
	"split-first": func(wo *world, trouble bool) error { return playSplit(wo, trouble, "drafter") },
	// Further faults, which the report describes.
	"events":   playEvents,
	"unframed": playUnframed,
}

// limit bounds the time of a case.
const limit = 110 * time.Second

func main() {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/skylarkstand", "the program under test")
	record := flag.String("record", "record.txt", "the file to write the record to")
	logs := flag.String("logs", "", "the folder for the gateways' logs; by default they are not kept")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	runnerID := flag.String("runner", "", "run a runner with this id instead of a case")
	listen := flag.String("listen", "", "the address of the runner, if its requests may crash it")
	crashAfter := flag.Duration("crash-after", 1500*time.Millisecond, "the time after which a poisonous request crashes its runner")
	flag.Parse()
	if *runnerID != "" {
		fmt.Fprintln(os.Stderr, runRunner(*runnerID, *listen, *crashAfter))
		os.Exit(exitFailed)
	}
	os.Exit(run(*name, *trouble, options{program: *program, record: *record, logs: *logs, crashAfter: *crashAfter}))
}

// runRunner runs a runner process until it ends.
func runRunner(id, listen string, crashAfter time.Duration) error {
	if listen != "" {
		return poisonRunnerMain(id, listen, crashAfter)
	}
	return runnerMain(id)
}

func run(name string, trouble bool, opts options) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return exitFailed
	}
	wo, err := newWorld(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer wo.close()
	// The gateways end with this process, even if the case hangs.
	timeout := time.AfterFunc(limit, func() {
		wo.logf("the case took too long")
		wo.close()
		os.Exit(exitFailed)
	})
	defer timeout.Stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		wo.close()
		os.Exit(exitFailed)
	}()
	wo.logf("case %s, trouble %t", name, trouble)
	err = play(wo, trouble)
	defer wo.endRecord()
	switch {
	case errors.Is(err, errBroken):
		wo.logf("result: broken")
		return exitBroken
	case err != nil:
		wo.logf("result: could not run: %v", err)
		return exitFailed
	default:
		wo.logf("result: held")
		return exitHeld
	}
}
