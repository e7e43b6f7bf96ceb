package main

import (
	"fmt"
	"strings"
	"time"

	"skylarkstand/test/fleet"
)

// inForceLimit is how long a change of the configuration may take to be in force.
const inForceLimit = 8 * time.Second

// zones shows a workspace that is bound to a region without an upstream, and the
// evacuation of the only zone with upstreams.
func (de *demo) zones() error {
	fmt.Println("\nA workspace that is bound to region nue, where no engine stands:")
	re, err := fleet.Chat(de.one.URL, "courts-key", "desk", "hello", false, nil)
	if err != nil {
		return err
	}
	de.expect(re.Error.Code == "no-allowed-region" && re.Error.Ran == "not-run", "%s", re)

	fmt.Println("\nZone muc-a, with all engines, is evacuated and restored:")
	if err := de.evacuate("--why", "power works"); err != nil {
		return err
	}
	if err := de.until("turned away", func(re *fleet.Reply) bool { return !re.Whole && re.Error.Ran == "not-run" }); err != nil {
		return err
	}
	if err := de.evacuate("--end", "--why", "power works are over"); err != nil {
		return err
	}
	return de.until("answered", func(re *fleet.Reply) bool { return re.Whole })
}

func (de *demo) evacuate(args ...string) error {
	args = append([]string{"evacuate", "muc-a", "--store", de.fl.StoreURL, "--who", "demo"}, args...)
	out, err := de.fl.Command(args...)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	de.expect(err == nil, "%s: %s", strings.Join(args[:2], " "), lines[len(lines)-1])
	return err
}

// until asks both entries until each reply is as wanted.
func (de *demo) until(what string, wanted func(*fleet.Reply) bool) error {
	began := time.Now()
	for _, pr := range []*fleet.Process{de.one, de.two} {
		for {
			re, err := de.ask(pr, "desk", "Is anybody there?", false)
			if err != nil {
				return err
			}
			if wanted(re) {
				de.expect(true, "%s: %s", pr.Name, what)
				break
			}
			if time.Since(began) > inForceLimit {
				de.expect(false, "%s: not %s: %s", pr.Name, what, re)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
